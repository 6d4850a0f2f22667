"""Retry budgets that bound the number of retries across all hosts."""

import collections

# Sliding windows are counted in buckets of this width.
BUCKET_WIDTH_MS = 500
# Keeps hosts below their budget, so that the sum stays within the bound.
SAFETY_FACTOR = 0.65
# Fraction of its slack that a host may use in the first window after its
# start.
STARTUP_SLACK_SHARE = 0.4


class SlidingWindowCounter:
    """Counts events over a sliding window."""

    __slots__ = ('_window_ms', '_buckets', '_total')

    def __init__(self, window_ms: int):
        self._window_ms = window_ms
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def add(self, now_ms: int, amount: int = 1) -> None:
        """Counts events that happen now."""
        start_ms = now_ms - now_ms % BUCKET_WIDTH_MS
        if not self._buckets or self._buckets[-1][0] != start_ms:
            self._buckets.append([start_ms, 0])
        self._buckets[-1][1] += amount
        self._total += amount

    def total(self, now_ms: int) -> int:
        """Returns the count of the window that ends now."""
        while (
            self._buckets
            and self._buckets[0][0]
            <= now_ms - self._window_ms - BUCKET_WIDTH_MS
        ):
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryBudget:
    """One host's share of the retry budget of a service.

    In each window, the retries of all hosts together are bounded by ``ratio``
    times the requests, plus ``slack``. Each host applies the ratio to its own
    requests and uses an equal share of the slack, so the sum stays within the
    bound without coordination.

    A restarted process does not know how many retries its predecessor sent,
    so it gets a smaller share of the slack in its first window.

    :param safety: the fraction of the budget that may be used
    :param started_ms: when the process started
    """

    __slots__ = (
        '_ratio',
        '_slack',
        '_safety',
        '_full_slack_from_ms',
        '_requests',
        '_retries',
    )

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: int,
        safety: float = SAFETY_FACTOR,
        started_ms: int | None = None,
    ):
        self._full_slack_from_ms = (
            0 if started_ms is None else started_ms + window_ms
        )
        self._ratio = ratio
        self._slack = slack
        self._safety = safety
        self._requests = SlidingWindowCounter(window_ms)
        self._retries = SlidingWindowCounter(window_ms)

    def record_request(self, now_ms: int) -> None:
        """Counts a request from a caller."""
        self._requests.add(now_ms)

    def acquire(self, now_ms: int, host_count: int) -> bool:
        """Returns whether a retry is within the budget, and counts it if so.

        :param host_count: the number of hosts that share the slack
        """
        requests = self._requests.total(now_ms)
        slack_share = self._slack / max(1, host_count)
        if now_ms < self._full_slack_from_ms:
            slack_share *= STARTUP_SLACK_SHARE
        allowed = self._safety * (self._ratio * requests + slack_share)
        if self._retries.total(now_ms) + 1 > allowed:
            return False
        self.record_retry(now_ms)
        return True

    def record_retry(self, now_ms: int) -> None:
        """Counts a retry that was sent without asking the budget."""
        self._retries.add(now_ms)
