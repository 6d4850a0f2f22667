"""The host's budgets for repeated sends, one for each service."""

import threading
import time

from masticquay_gateway import fleet_states
from masticquay_routing import budgets


class BudgetBounds:
    """What the fleet may send once more to a service in each window.

    :param ratio: of the requests in that window
    :param slack: that are added to it
    """

    __slots__ = ('ratio', 'slack', 'window_ms')

    def __init__(self, ratio: float, slack: float, window_ms: int):
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms


class Budgets:
    """Budgets by service; see ``budgets.RetryBudget``."""

    def __init__(self, bounds: BudgetBounds, state: fleet_states.FleetState):
        self._bounds = bounds
        self._state = state
        self._lock = threading.Lock()
        self._budgets: dict[str, budgets.RetryBudget] = {}
        self._started_ms = _now_ms()

    def note_request(self, service: str) -> None:
        """Counts a request of a caller."""
        with self._lock:
            self._find(service).note_request(_now_ms())

    def note_repeat(self, service: str) -> None:
        """Counts a repeat that was sent already."""
        with self._lock:
            self._find(service).note_repeat(_now_ms())

    def take(self, service: str) -> bool:
        """Takes one repeat if the budget has one."""
        with self._lock:
            return self._find(service).take(_now_ms(), self._state.host_count)

    def _find(self, service: str) -> budgets.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            bounds = self._bounds
            found = budgets.RetryBudget(
                bounds.ratio,
                bounds.slack,
                bounds.window_ms,
                started_ms=self._started_ms,
            )
            self._budgets[service] = found
        return found


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
