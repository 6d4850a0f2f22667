"""Workspace usage of this host, reported with each renewal."""

import threading
import time


class UsageReport:
    """The cost of requests by workspace.

    :param number: identifies the report, 0 if it is empty
    """

    __slots__ = ('number', 'costs')

    def __init__(self, number: int, costs: dict[str, float]):
        self.number = number
        self.costs = costs


class Usage:
    """Costs since the last report, and workspaces over their rate limit.

    Costs are in tokens or requests, as the workspace's rate counts them.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._costs: dict[str, float] = {}
        self._last_number = 0
        self._unconfirmed = UsageReport(0, {})
        self._exhausted_until_s: dict[str, float] = {}

    def add(self, workspace: str, cost: float) -> None:
        """Adds the cost of a request that is allowed to run."""
        with self._lock:
            self._costs[workspace] = self._costs.get(workspace, 0.0) + cost

    def report(self) -> UsageReport:
        """Returns what the leader is not known to have charged.

        A report is repeated until it is confirmed; later costs wait for the
        next one.
        """
        with self._lock:
            if not self._unconfirmed.number and self._costs:
                self._last_number += 1
                self._unconfirmed = UsageReport(self._last_number, self._costs)
                self._costs = {}
            return self._unconfirmed

    def confirm(self, number: int) -> None:
        """Records that the leader charged a report."""
        with self._lock:
            if number == self._unconfirmed.number:
                self._unconfirmed = UsageReport(0, {})

    def set_exhausted(self, exhausted: dict[str, int]) -> None:
        """Replaces the workspaces that are over their rate limit.

        :param exhausted: time in ms until requests of each workspace are
            allowed again
        """
        now_s = time.monotonic()
        self._exhausted_until_s = {
            name: now_s + wait_ms / 1000 for name, wait_ms in exhausted.items()
        }

    def wait_ms(self, workspace: str) -> int:
        """Returns how long a workspace stays over its rate limit, 0 if not."""
        until_s = self._exhausted_until_s.get(workspace, 0.0)
        return max(0, int((until_s - time.monotonic()) * 1000))
