"""The retry budget: retries as a share of recent successes."""

import threading

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0
INITIAL_RETRIES = 10.0


class RetryBudget:
    """Allows retries only while enough requests succeed.

    Each success adds a share of one retry, up to a limit, so that retries
    cannot multiply the load of a fleet that fails.
    """

    def __init__(self) -> None:
        self._saved = INITIAL_RETRIES
        self._lock = threading.Lock()
        self.refused_count = 0

    def note_success(self) -> None:
        """Earns a share of a retry."""
        with self._lock:
            self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_SHARE)

    def take(self) -> bool:
        """Takes one retry; returns whether there was one."""
        with self._lock:
            if self._saved < 1:
                self.refused_count += 1
                return False
            self._saved -= 1
            return True
