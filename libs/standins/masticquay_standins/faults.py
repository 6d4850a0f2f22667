"""Faults that tests and benchmarks inject into a stand-in."""

import threading
import time

from masticquay_standins import journals

STALL_POLL_S = 0.02
COUNTED_FAULTS = ('refuse', 'garble', 'silent', 'crossed', 'repeat', 'cut')


class Faults:
    """The active faults of one stand-in.

    Each of ``COUNTED_FAULTS`` has a count, the number of requests that it
    still affects:

    ``refuse``
        responds with status 503
    ``garble``
        sends bytes that are not a valid HTTP response
    ``silent``
        stops sending but keeps the connection open
    ``crossed``
        sends a response that belongs to another request: after the right
        one, or in place of a decode stream
    ``repeat``
        sends some tokens of a decode stream twice
    ``cut``
        sends a part of the response and closes the connection

    The other faults apply to all requests: ``late_ms`` delays each response,
    ``slow`` multiplies the computing time, ``stall_ms`` pauses the stand-in
    once for that time.
    """

    __slots__ = (
        '_counts',
        '_lock',
        '_stalled_until_ms',
        'response_delay_ms',
        'slowdown_factor',
    )

    def __init__(self) -> None:
        self._counts = dict.fromkeys(COUNTED_FAULTS, 0)
        self._lock = threading.Lock()
        self._stalled_until_ms = 0.0
        self.response_delay_ms = 0
        self.slowdown_factor = 1.0

    def set(self, changes: dict) -> None:
        """Sets faults; ``clear`` removes all earlier ones first.

        :param changes: the count or value of each fault to set, by name
        :raises ValueError: if a fault is unknown
        """
        unknown = set(changes) - {*COUNTED_FAULTS, 'clear', 'late_ms', 'slow'}
        unknown -= {'stall_ms'}
        if unknown:
            raise ValueError(f'no fault {sorted(unknown)[0]}')
        with self._lock:
            if changes.get('clear'):
                self._counts = dict.fromkeys(COUNTED_FAULTS, 0)
                self._stalled_until_ms = 0.0
                self.response_delay_ms = 0
                self.slowdown_factor = 1.0
            for name in COUNTED_FAULTS:
                if name in changes:
                    self._counts[name] = int(changes[name])
            self.response_delay_ms = int(
                changes.get('late_ms', self.response_delay_ms)
            )
            self.slowdown_factor = float(
                changes.get('slow', self.slowdown_factor)
            )
            if 'stall_ms' in changes:
                stall_ms = float(changes['stall_ms'])
                self._stalled_until_ms = journals.now_ms() + stall_ms

    def consume(self, name: str) -> bool:
        """Decrements the count of a fault; returns False if it was 0."""
        with self._lock:
            if self._counts[name] <= 0:
                return False
            self._counts[name] -= 1
            return True

    def wait_while_stalled(self) -> None:
        """Blocks until the current stall, if any, is over."""
        while journals.now_ms() < self._stalled_until_ms:
            time.sleep(STALL_POLL_S)
