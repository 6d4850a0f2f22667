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
# The longest time in which a host goes on after its last report: a lost
# report means a lost lease, which ends keyed work.
UNREPORTED_S = 10

Key = tuple[str, str, str, int]


def current_hour() -> int:
    """Returns the wall-clock hour since the epoch."""
    return int(time.time()) // SECONDS_PER_HOUR


class UsageRecorder:
    """Sums usage until it is taken for a report."""

    def __init__(self, hour: typing.Callable[[], int] = current_hour):
        self._hour = hour
        self._entries: dict[Key, usage_messages.UsageEntry] = {}
        self._open_tokens = 0
        self._lock = threading.Lock()

    def open(self, tokens: int) -> None:
        """Notes tokens charged for a request under way."""
        with self._lock:
            self._open_tokens += tokens

    def close(self, tokens: int) -> None:
        """Notes that the request has ended."""
        with self._lock:
            self._open_tokens -= tokens

    def record_answer(
        self,
        workspace: str,
        target: str,
        class_name: str,
        prompt_tokens: int,
        output_tokens: int,
    ) -> None:
        """Counts a request that used something."""
        with self._lock:
            entry = self._entry(workspace, target, class_name)
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
        """Counts a request that was refused."""
        with self._lock:
            entry = self._entry(workspace, target, class_name)
            entry.refusals[reason] = entry.refusals.get(reason, 0) + 1
            entry.refused_within_rate += within_rate

    def take(self) -> list[usage_messages.UsageEntry]:
        """Returns what was counted since the last time."""
        with self._lock:
            entries = list(self._entries.values())
            self._entries.clear()
        return entries

    def put_back(self, entries: list[usage_messages.UsageEntry]) -> None:
        """Adds entries again that control did not take."""
        with self._lock:
            for entry in entries:
                self._merge(entry)

    @property
    def open_tokens(self) -> int:
        """Tokens charged for requests under way."""
        return self._open_tokens

    def _merge(self, added: usage_messages.UsageEntry) -> None:
        entry = self._entry_at(
            (added.workspace, added.target, added.class_name, added.hour)
        )
        entry.requests += added.requests
        entry.prompt_tokens += added.prompt_tokens
        entry.output_tokens += added.output_tokens
        entry.refused_within_rate += added.refused_within_rate
        for reason, count in added.refusals.items():
            entry.refusals[reason] = entry.refusals.get(reason, 0) + count

    def _entry(
        self, workspace: str, target: str, class_name: str
    ) -> usage_messages.UsageEntry:
        return self._entry_at((workspace, target, class_name, self._hour()))

    def _entry_at(self, key: Key) -> usage_messages.UsageEntry:
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = usage_messages.UsageEntry(*key)
        return entry


class UsageReporter:
    """Sends numbered batches until control has confirmed each."""

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
        """Sends the last batch and stops."""
        self._stopped.set()
        self._thread.join()
        if self.report_once():
            self.report_once(last=True)

    def _run(self) -> None:
        while not self._stopped.wait(self._interval_ms / 1000):
            try:
                self.report_once()
            except Exception:
                LOG.exception('a usage report failed')

    def report_once(self, last: bool = False) -> bool:
        """Sends one batch; returns whether nothing is left unconfirmed."""
        if self._unconfirmed is None:
            self._unconfirmed = self._next_batch(last)
        if self._unconfirmed is None:
            return True
        try:
            self._membership.report_usage(self._unconfirmed, REPORT_TIMEOUT_MS)
        except errors.RefusedError:
            LOG.warning('control refused a usage batch')
            self._recorder.put_back(self._unconfirmed.entries)
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
        entries = self._recorder.take()
        open_tokens = self._recorder.open_tokens
        idle = not entries and not open_tokens
        if idle and self._idle_reported and not last:
            return None
        self._idle_reported = idle
        self._sequence += 1
        bundle = self._membership.state().bundle
        bound_tokens = 0 if last else open_tokens + _allowance(bundle)
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
        """Ends the accounting of an incarnation that control has evicted."""
        ended = self._incarnation
        sequence = self._sequence + 1
        self._incarnation = host.incarnation
        self._sequence = 0
        return usage_messages.ReportUsage(
            host.name, ended, sequence, self._recorder.take(), 0, True
        )


def _allowance(bundle: models.Bundle | None) -> int:
    """Returns the most that the rates allow until the lease is lost."""
    if bundle is None:
        return 0
    return sum(
        workspace.burst_tokens + workspace.rate_tokens_per_s * UNREPORTED_S
        for workspace in bundle.workspaces
    )
