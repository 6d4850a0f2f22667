"""Usage of workspaces, counted here and reported to control in batches."""

import logging
import threading
import time
import typing

from masticquay_bundles import models
from masticquay_membership import errors
from masticquay_membership import messages
from masticquay_membership import protocols
from masticquay_membership import usage_messages

LOG = logging.getLogger(__name__)

REPORT_TIMEOUT_MS = 2_000
SECONDS_PER_HOUR = 3_600
# Longest time that a host serves keyed requests after its last report: a
# host that cannot reach control to report loses its lease as well.
MAX_UNREPORTED_S = 10

# Workspace, target, class name and hour.
EntryKey = tuple[str, str, str, int]


def current_hour() -> int:
    """Returns the wall-clock hour since the epoch."""
    return int(time.time()) // SECONDS_PER_HOUR


class UsageRecorder:
    """Counts usage until a report takes the entries."""

    def __init__(self, read_hour: typing.Callable[[], int] = current_hour):
        self._read_hour = read_hour
        self._entries: dict[EntryKey, usage_messages.UsageEntry] = {}
        self._active_tokens = 0
        self._lock = threading.Lock()

    def add_active_tokens(self, tokens: int) -> None:
        """Adds the tokens charged for a request that begins."""
        with self._lock:
            self._active_tokens += tokens

    def remove_active_tokens(self, tokens: int) -> None:
        """Removes the tokens of a request that has ended."""
        with self._lock:
            self._active_tokens -= tokens

    def record_answer(
        self,
        workspace: str,
        target: str,
        class_name: str,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Counts a request that used tokens."""
        with self._lock:
            entry = self._current_entry(workspace, target, class_name)
            entry.requests += 1
            entry.prompt_tokens += prompt_tokens
            entry.output_tokens += output_tokens

    def record_refusal(
        self,
        workspace: str,
        target: str,
        class_name: str,
        reason: str,
        within_rate: bool,
    ) -> None:
        """Counts a request that was refused or failed.

        :param within_rate: whether the rate of the workspace allowed it
        """
        with self._lock:
            entry = self._current_entry(workspace, target, class_name)
            entry.refusals[reason] = entry.refusals.get(reason, 0) + 1
            entry.refused_within_rate += within_rate

    def take_entries(self) -> list[usage_messages.UsageEntry]:
        """Removes and returns the entries counted so far."""
        with self._lock:
            entries = list(self._entries.values())
            self._entries.clear()
        return entries

    def return_entries(self, entries: list[usage_messages.UsageEntry]) -> None:
        """Merges back entries that control refused."""
        with self._lock:
            for entry in entries:
                self._merge(entry)

    @property
    def active_tokens(self) -> int:
        """The tokens charged for requests in progress."""
        return self._active_tokens

    def _merge(self, added: usage_messages.UsageEntry) -> None:
        entry = self._get_entry(
            (added.workspace, added.target, added.class_name, added.hour)
        )
        entry.requests += added.requests
        entry.prompt_tokens += added.prompt_tokens
        entry.output_tokens += added.output_tokens
        entry.refused_within_rate += added.refused_within_rate
        for reason, count in added.refusals.items():
            entry.refusals[reason] = entry.refusals.get(reason, 0) + count

    def _current_entry(
        self, workspace: str, target: str, class_name: str
    ) -> usage_messages.UsageEntry:
        return self._get_entry(
            (workspace, target, class_name, self._read_hour())
        )

    def _get_entry(self, key: EntryKey) -> usage_messages.UsageEntry:
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = usage_messages.UsageEntry(*key)
        return entry


class UsageReporter:
    """Sends numbered batches, each until control has confirmed it."""

    def __init__(
        self,
        membership: protocols.Membership,
        recorder: UsageRecorder,
        interval_ms: int,
    ):
        self._membership = membership
        self._recorder = recorder
        self._interval_ms = interval_ms
        self._incarnation = 0
        self._sequence = 0
        self._unconfirmed: usage_messages.ReportUsage | None = None
        self._idle_reported = False
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='usage', daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Sends what is left and then the final batch, if control answers."""
        self._stopped.set()
        self._thread.join()
        if self.report_once():
            self.report_once(last=True)

    def _run(self) -> None:
        while not self._stopped.wait(self._interval_ms / 1000):
            try:
                self.report_once()
            except Exception:
                LOG.exception('sending a usage batch failed')

    def report_once(self, last: bool = False) -> bool:
        """Sends the next batch, or an unconfirmed one again.

        :returns: whether no batch is left unconfirmed
        """
        if self._unconfirmed is None:
            self._unconfirmed = self._next_batch(last)
        if self._unconfirmed is None:
            return True
        try:
            self._membership.report_usage(self._unconfirmed, REPORT_TIMEOUT_MS)
        except errors.RefusedError:
            LOG.warning(
                'control refused a usage batch; its entries will be resent'
            )
            self._recorder.return_entries(self._unconfirmed.entries)
            self._unconfirmed = None
            return False
        except errors.MembershipError:
            return False
        self._unconfirmed = None
        return True

    def _next_batch(self, last: bool) -> usage_messages.ReportUsage | None:
        host = self._membership.host
        if host.incarnation != self._incarnation and self._incarnation:
            return self._end_incarnation(host)
        if not host.incarnation:
            return None
        self._incarnation = host.incarnation
        entries = self._recorder.take_entries()
        active_tokens = self._recorder.active_tokens
        idle = not entries and not active_tokens
        if idle and self._idle_reported and not last:
            return None
        self._idle_reported = idle
        self._sequence += 1
        bundle = self._membership.state().bundle
        bound_tokens = (
            0 if last else active_tokens + _max_unreported_tokens(bundle)
        )
        return usage_messages.ReportUsage(
            host.name,
            host.incarnation,
            self._sequence,
            entries,
            bound_tokens,
            last,
        )

    def _end_incarnation(
        self, host: messages.Host
    ) -> usage_messages.ReportUsage:
        """Returns the final batch of an incarnation that has been replaced."""
        ended = self._incarnation
        sequence = self._sequence + 1
        self._incarnation = host.incarnation
        self._sequence = 0
        return usage_messages.ReportUsage(
            host.name, ended, sequence, self._recorder.take_entries(), 0, True
        )


def _max_unreported_tokens(bundle: models.Bundle | None) -> int:
    """Returns the most tokens that can be used until the lease is lost.

    That is what the rates and bursts of all workspaces allow.
    """
    if bundle is None:
        return 0
    return sum(
        workspace.burst_tokens + workspace.rate_tokens_per_s * MAX_UNREPORTED_S
        for workspace in bundle.workspaces
    )
