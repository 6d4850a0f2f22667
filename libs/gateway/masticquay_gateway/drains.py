"""Which requests a host that stops still begins."""

import collections
import threading
import time

from masticquay_gateway import jobs
from masticquay_gateway import ports

# How long a draining host still accepts connections, which callers open until
# their host lists expire.
ACCEPT_MS = 2_500
# What is left of the grace period when a host cuts what still runs, for its
# own end. A short grace period is used up to CUT_SHARE.
STOP_RESERVE_MS = 500
CUT_SHARE = 0.85
# Part of that time in which callers of what it cuts are told.
CUT_ANSWER_MS = 300
# What a request must have left when it is expected to end.
END_MARGIN_MS = 250
# Durations that are kept of each route.
KEPT_DURATIONS = 64
# While callers cannot know yet that the host stops, it begins a request that
# ends in time as likely as this; later only what its deadline or its route's
# timeout ends, as no earlier request tells how long one takes.
LIKELY_SHARE = 0.9
RETRY_AFTER_MS = 50


class RouteDurations:
    """How long the last requests of each route took."""

    __slots__ = ('_lock', '_durations_ms')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._durations_ms: dict[str, collections.deque[float]] = {}

    def add(self, route_name: str, duration_ms: float) -> None:
        """Adds the duration of a request."""
        with self._lock:
            durations = self._durations_ms.setdefault(
                route_name, collections.deque(maxlen=KEPT_DURATIONS)
            )
            durations.append(duration_ms)

    def within(self, route_name: str, share: float) -> float:
        """Returns the time within which a share of the requests ended.

        :returns: infinite if there were none
        """
        with self._lock:
            durations = sorted(self._durations_ms.get(route_name, ()))
        if not durations:
            return float('inf')
        return durations[min(int(share * len(durations)), len(durations) - 1)]


class Drain:
    """The stop of a host: when it ends, and what it still begins.

    :param grace_ms: time from the stop signal until the process must exit
    """

    __slots__ = ('_grace_ms', '_started_s', 'durations')

    def __init__(self, grace_ms: int):
        self._grace_ms = grace_ms
        self._started_s: float | None = None
        self.durations = RouteDurations()

    @property
    def has_begun(self) -> bool:
        """Whether the host stops."""
        return self._started_s is not None

    @property
    def accept_ms(self) -> int:
        """How long connections are accepted after the signal."""
        return min(ACCEPT_MS, self._grace_ms // 3)

    @property
    def remaining_ms(self) -> float:
        """Time until what still runs is cut, infinite before the signal."""
        if self._started_s is None:
            return float('inf')
        cut_ms = max(
            self._grace_ms - STOP_RESERVE_MS, self._grace_ms * CUT_SHARE
        )
        return cut_ms - self._elapsed_ms

    @property
    def _elapsed_ms(self) -> float:
        if self._started_s is None:
            return 0.0
        return (time.monotonic() - self._started_s) * 1000

    def begin(self) -> None:
        """Records that the stop signal has arrived."""
        if self._started_s is None:
            self._started_s = time.monotonic()

    def refuse_unfinishable(self, job: jobs.Job) -> ports.Refusal | None:
        """Returns the refusal of a request that would be cut, else None."""
        if self._started_s is None:
            return None
        needed_ms: float = job.remaining_ms
        if self._elapsed_ms < self.accept_ms:
            likely_ms = self.durations.within(job.route.name, LIKELY_SHARE)
            needed_ms = min(needed_ms, likely_ms)
        if needed_ms + END_MARGIN_MS <= self.remaining_ms:
            return None
        return ports.Refusal(
            ports.Reason.NOT_RUN, 'host stops', RETRY_AFTER_MS
        )
