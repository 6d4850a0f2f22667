"""Retry budgets: limit retries to a share of recent successes."""

import threading

from masticquay_wire import clocks

# Time in which an empty reserve is refilled.
WINDOW_MS = 10_000


class RetryBudget:
    """Allows retries in proportion to successes.

    :param percent: retries allowed for each hundred successes
    :param reserve: retries allowed in ``WINDOW_MS`` without any success
    """

    def __init__(self, clock: clocks.Clock, percent: int, reserve: int):
        self._clock = clock
        self._percent = percent
        self._reserve = reserve
        self._balance = float(reserve)
        self._refilled_ms = clock.now_ms()
        self._lock = threading.Lock()
        self.refused_count = 0

    def record_success(self) -> None:
        """Adds ``percent`` hundredths of a retry to the budget."""
        with self._lock:
            self._refill()
            limit = self._reserve + self._percent
            self._balance = min(limit, self._balance + self._percent / 100)

    def take(self) -> bool:
        """Takes one retry from the budget; returns whether it is allowed."""
        with self._lock:
            self._refill()
            if self._balance < 1:
                self.refused_count += 1
                return False
            self._balance -= 1
            return True

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        if self._balance < self._reserve:
            gain = self._reserve * elapsed_ms / WINDOW_MS
            self._balance = min(self._reserve, self._balance + gain)
