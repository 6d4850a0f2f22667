"""The usage ledger: hourly totals and the gaps left by crashed hosts."""

import typing

from masticquay_membership import messages as membership_messages
from masticquay_membership import usage_messages
from masticquay_wire import messages
from masticquay_wire import records

SOURCE_RETENTION_MS = 30 * 24 * 3_600_000
# How far the hour of a usage entry may lie before that of the newest entry.
ENTRY_RETENTION_HOURS = 400 * 24
# The bound of an incarnation that has not reported a batch.
UNKNOWN_BOUND_TOKENS = -1

IsLive = typing.Callable[[str, int], bool]
EntryKey = tuple[str, str, str, int]


class UsageSource(records.Record):
    """Progress of the usage batches of one incarnation of a host.

    :param sequence: the number of the last batch added, -1 before the first
    :param bound_tokens: an upper bound on the tokens that are missing if no
        other batch follows, ``UNKNOWN_BOUND_TOKENS`` before the first batch
    :param ended: whether the final batch was added
    :param stamp_ms: logical time of the last batch added, or of the
        registration before the first batch, see ``commands.Command``
    """

    __slots__ = (
        'host',
        'incarnation',
        'sequence',
        'bound_tokens',
        'ended',
        'stamp_ms',
    )

    def __init__(
        self,
        host: str,
        incarnation: int,
        sequence: int,
        bound_tokens: int,
        ended: bool,
        stamp_ms: int,
    ):
        self.host = host
        self.incarnation = incarnation
        self.sequence = sequence
        self.bound_tokens = bound_tokens
        self.ended = ended
        self.stamp_ms = stamp_ms


class LedgerSnapshot(records.Record):
    """The contents of the ledger."""

    __slots__ = ('entries', 'sources')

    def __init__(
        self,
        entries: list[usage_messages.UsageEntry],
        sources: list[UsageSource],
    ):
        self.entries = entries
        self.sources = sources


class UsageLedger:
    """Sums usage by workspace, target, class and hour.

    :param is_live: tells whether an incarnation of a host is in the view
    """

    def __init__(self, is_live: IsLive) -> None:
        self._is_live = is_live
        self._entries: dict[EntryKey, usage_messages.UsageEntry] = {}
        self._sources: dict[tuple[str, int], UsageSource] = {}

    def add_source(self, stamp_ms: int, host: str, incarnation: int) -> None:
        """Registers an incarnation that may report usage from now on.

        Also drops the sources and entries whose retention has ended.
        """
        self._sources.setdefault(
            (host, incarnation),
            UsageSource(
                host, incarnation, -1, UNKNOWN_BOUND_TOKENS, False, stamp_ms
            ),
        )
        self._expire(stamp_ms)

    def merge(
        self, stamp_ms: int, command: usage_messages.ReportUsage
    ) -> messages.Message:
        """Adds a batch to the totals unless it was added before.

        The first batch of an incarnation may have any number; each later one
        must have the next number.

        :returns: Done, or a Failure ``stale`` if the incarnation is not
            registered or a batch before this one is missing
        """
        key = (command.host, command.incarnation)
        source = self._sources.get(key)
        if source is None:
            return messages.Failure(
                membership_messages.CODE_STALE, 'unknown incarnation'
            )
        if command.sequence <= source.sequence:
            return messages.Done()
        if 0 <= source.sequence < command.sequence - 1:
            return messages.Failure(
                membership_messages.CODE_STALE,
                f'batch {source.sequence + 1} is missing',
            )
        for entry in command.entries:
            self._add(entry)
        source.sequence = command.sequence
        source.bound_tokens = command.unreported_bound_tokens
        source.ended = command.last
        source.stamp_ms = stamp_ms
        return messages.Done()

    def report(
        self, query: usage_messages.QueryUsage
    ) -> usage_messages.UsageReport:
        """Returns the entries that a query selects, and all known gaps."""
        entries = [
            entry
            for key, entry in sorted(self._entries.items())
            if _matches(entry, query)
        ]
        gaps = [
            usage_messages.UsageGap(
                source.host, source.incarnation, source.bound_tokens
            )
            for source in self._sources.values()
            if self._is_gap(source)
        ]
        return usage_messages.UsageReport(entries, gaps)

    def take_snapshot(self) -> LedgerSnapshot:
        """Returns the contents of the ledger."""
        return LedgerSnapshot(
            list(self._entries.values()), list(self._sources.values())
        )

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Replaces the contents of the ledger."""
        self._entries = {
            _entry_key(entry): entry for entry in snapshot.entries
        }
        self._sources = {
            (source.host, source.incarnation): source
            for source in snapshot.sources
        }

    def _is_gap(self, source: UsageSource) -> bool:
        return (
            not source.ended
            and source.bound_tokens != 0
            and not self._is_live(source.host, source.incarnation)
        )

    def _add(self, entry: usage_messages.UsageEntry) -> None:
        total = self._entries.get(_entry_key(entry))
        if total is None:
            total = usage_messages.UsageEntry(*_entry_key(entry))
            self._entries[_entry_key(entry)] = total
        total.requests += entry.requests
        total.prompt_tokens += entry.prompt_tokens
        total.output_tokens += entry.output_tokens
        total.refused_within_rate += entry.refused_within_rate
        for reason, count in entry.refusals.items():
            total.refusals[reason] = total.refusals.get(reason, 0) + count

    def _expire(self, stamp_ms: int) -> None:
        expired_sources = [
            key
            for key, source in self._sources.items()
            if stamp_ms - source.stamp_ms > SOURCE_RETENTION_MS
            and not self._is_live(*key)
        ]
        for key in expired_sources:
            del self._sources[key]
        if not self._entries:
            return
        newest_hour = max(key[3] for key in self._entries)
        expired_entries = [
            key
            for key in self._entries
            if newest_hour - key[3] > ENTRY_RETENTION_HOURS
        ]
        for key in expired_entries:
            del self._entries[key]


def _entry_key(entry: usage_messages.UsageEntry) -> EntryKey:
    return (entry.workspace, entry.target, entry.class_name, entry.hour)


def _matches(
    entry: usage_messages.UsageEntry, query: usage_messages.QueryUsage
) -> bool:
    if query.workspace and entry.workspace != query.workspace:
        return False
    if query.from_hour and entry.hour < query.from_hour:
        return False
    return not query.to_hour or entry.hour <= query.to_hour
