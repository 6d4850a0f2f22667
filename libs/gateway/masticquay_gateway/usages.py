"""What workspaces use here, reported to the leader with each renewal."""

import threading
import time


class Usage:
    """Costs since the last report, and who is over the rate."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._costs: dict[str, float] = {}
        self._exhausted_until_s: dict[str, float] = {}

    def add(self, workspace: str, cost: float) -> None:
        """Counts a request that may run."""
        with self._lock:
            self._costs[workspace] = self._costs.get(workspace, 0.0) + cost

    def take(self) -> dict[str, float]:
        """Returns the costs since the last call."""
        with self._lock:
            taken, self._costs = self._costs, {}
            return taken

    def note_exhausted(self, exhausted: dict[str, int]) -> None:
        """Takes up who is over the rate, with the time in ms until not."""
        now_s = time.monotonic()
        self._exhausted_until_s = {
            name: now_s + wait_ms / 1000 for name, wait_ms in exhausted.items()
        }

    def wait_ms(self, workspace: str) -> int:
        """Returns the time until a workspace is within its rate, or 0."""
        until_s = self._exhausted_until_s.get(workspace, 0.0)
        return max(0, int((until_s - time.monotonic()) * 1000))
