"""Budgets that bound how often requests are sent once more."""

import collections

BUCKET_MS = 500
SAFETY = 0.65
STARTING_SHARE = 0.4


class WindowCount:
    """A count over a sliding window."""

    __slots__ = ('_window_ms', '_buckets', '_total')

    def __init__(self, window_ms: int):
        self._window_ms = window_ms
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def add(self, now_ms: int, amount: int = 1) -> None:
        """Counts something now."""
        start_ms = now_ms - now_ms % BUCKET_MS
        if not self._buckets or self._buckets[-1][0] != start_ms:
            self._buckets.append([start_ms, 0])
        self._buckets[-1][1] += amount
        self._total += amount

    def total(self, now_ms: int) -> int:
        """Returns the count of the window that ends now."""
        while (
            self._buckets
            and self._buckets[0][0] <= now_ms - self._window_ms - BUCKET_MS
        ):
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryBudget:
    """One host's part of a service's budget for repeated sends.

    The fleet may send ``ratio`` times the requests plus ``slack`` once more
    in each window. Each host keeps to the ratio of its own requests and to
    its share of the slack, so the sum keeps the bound without messages.

    A process that starts does not know what the one before it spent, so it
    has a smaller share at first.

    :param safety: the part of the bound that is used
    :param started_ms: when the process started
    """

    __slots__ = (
        '_ratio',
        '_slack',
        '_safety',
        '_whole_from_ms',
        '_requests',
        '_repeats',
    )

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: int,
        safety: float = SAFETY,
        started_ms: int | None = None,
    ):
        self._whole_from_ms = (
            0 if started_ms is None else started_ms + window_ms
        )
        self._ratio = ratio
        self._slack = slack
        self._safety = safety
        self._requests = WindowCount(window_ms)
        self._repeats = WindowCount(window_ms)

    def note_request(self, now_ms: int) -> None:
        """Counts a request of a caller."""
        self._requests.add(now_ms)

    def take(self, now_ms: int, host_count: int) -> bool:
        """Takes one repeat if the budget has one.

        :param host_count: hosts that share the slack
        """
        requests = self._requests.total(now_ms)
        share = self._slack / max(1, host_count)
        if now_ms < self._whole_from_ms:
            share *= STARTING_SHARE
        allowed = self._safety * (self._ratio * requests + share)
        if self._repeats.total(now_ms) + 1 > allowed:
            return False
        self.note_repeat(now_ms)
        return True

    def note_repeat(self, now_ms: int) -> None:
        """Counts a repeat that was sent already."""
        self._repeats.add(now_ms)
