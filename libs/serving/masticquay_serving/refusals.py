"""Counts and logs what callers are refused to protect the process."""

import logging
import threading
import time

from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# A reason is logged at most once in this time.
LOG_INTERVAL_S = 1.0


class Refusals:
    """Counts refusals by reason, and logs some of each.

    :ivar registry: where they are counted; replaced by that of the process
    """

    def __init__(self) -> None:
        self.registry = counters.Registry()
        self._lock = threading.Lock()
        self._logged_s: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def add(self, reason: str, caller: str) -> None:
        """Counts a refusal, and logs it unless one was logged just now.

        :param caller: address of whom was refused
        """
        self.registry.count('callers_refused', 'reason', reason)
        now_s = time.monotonic()
        with self._lock:
            since_s = now_s - self._logged_s.get(reason, -LOG_INTERVAL_S)
            if since_s < LOG_INTERVAL_S:
                self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
                return
            self._logged_s[reason] = now_s
            others = self._unlogged.pop(reason, 0)
        LOG.warning(
            'caller refused',
            extra={'reason': reason, 'caller': caller, 'others': others},
        )


# Of the whole process.
REFUSALS = Refusals()
