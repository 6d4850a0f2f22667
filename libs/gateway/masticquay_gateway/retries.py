"""Retry budgets of this host, one for each service."""

import threading
import time

from masticquay_gateway import fleet_states
from masticquay_routing import budgets


class RetryBudgetLimits:
    """Limits on the retries that all hosts send to a service in a window.

    The limit is ``ratio`` times the requests in the window plus ``slack``.

    :param slack: number of retries allowed regardless of traffic
    """

    __slots__ = ('ratio', 'slack', 'window_ms')

    def __init__(self, ratio: float, slack: float, window_ms: int):
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms


class RetryBudgets:
    """Retry budgets by service; see ``budgets.RetryBudget``."""

    def __init__(
        self, limits: RetryBudgetLimits, state: fleet_states.FleetState
    ):
        self._limits = limits
        self._state = state
        self._lock = threading.Lock()
        self._budgets: dict[str, budgets.RetryBudget] = {}
        self._started_ms = _now_ms()

    def record_request(self, service: str) -> None:
        """Counts a caller's request, which raises the budget."""
        with self._lock:
            self._budget_of(service).record_request(_now_ms())

    def record_retry(self, service: str) -> None:
        """Counts a retry that is sent whether the budget allows it or not."""
        with self._lock:
            self._budget_of(service).record_retry(_now_ms())

    def acquire(self, service: str) -> bool:
        """Takes one retry from the budget.

        :returns: whether the budget allows the retry
        """
        with self._lock:
            return self._budget_of(service).acquire(
                _now_ms(), self._state.host_count
            )

    def _budget_of(self, service: str) -> budgets.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            limits = self._limits
            budget = budgets.RetryBudget(
                limits.ratio,
                limits.slack,
                limits.window_ms,
                started_ms=self._started_ms,
            )
            self._budgets[service] = budget
        return budget


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
