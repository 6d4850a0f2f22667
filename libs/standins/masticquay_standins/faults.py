"""Faults that a stand-in shows on command."""

import threading
import time

from masticquay_standins import journals

POLL_S = 0.02
COUNTED = ('refuse', 'garble', 'silent', 'crossed', 'repeat', 'cut')


class Faults:
    """The faults in force.

    Each of ``COUNTED`` applies to that many of the next requests: ``refuse``
    answers 503, ``garble`` sends unreadable bytes, ``silent`` stops sending
    on the connection but keeps it open, ``crossed`` sends another answer
    after the right one, ``repeat`` sends tokens twice, ``cut`` closes the
    connection in mid-answer. ``late_ms`` delays every answer, ``slow``
    multiplies computing time, ``stall_ms`` stops everything once.
    """

    __slots__ = ('_counts', '_lock', '_stalled_until_ms', 'late_ms', 'slow')

    def __init__(self) -> None:
        self._counts = dict.fromkeys(COUNTED, 0)
        self._lock = threading.Lock()
        self._stalled_until_ms = 0.0
        self.late_ms = 0
        self.slow = 1.0

    def set(self, changes: dict) -> None:
        """Sets faults; ``clear`` ends all of them first.

        :raises ValueError: when a fault is unknown
        """
        unknown = set(changes) - {*COUNTED, 'clear', 'late_ms', 'slow'}
        unknown -= {'stall_ms'}
        if unknown:
            raise ValueError(f'no fault {sorted(unknown)[0]}')
        with self._lock:
            if changes.get('clear'):
                self._counts = dict.fromkeys(COUNTED, 0)
                self._stalled_until_ms = 0.0
                self.late_ms = 0
                self.slow = 1.0
            for name in COUNTED:
                if name in changes:
                    self._counts[name] = int(changes[name])
            self.late_ms = int(changes.get('late_ms', self.late_ms))
            self.slow = float(changes.get('slow', self.slow))
            if 'stall_ms' in changes:
                stall_ms = float(changes['stall_ms'])
                self._stalled_until_ms = journals.now_ms() + stall_ms

    def take(self, name: str) -> bool:
        """Uses up one of a counted fault; False when none is left."""
        with self._lock:
            if self._counts[name] <= 0:
                return False
            self._counts[name] -= 1
            return True

    def wait_stalled(self) -> None:
        """Blocks while a stall lasts."""
        while journals.now_ms() < self._stalled_until_ms:
            time.sleep(POLL_S)
