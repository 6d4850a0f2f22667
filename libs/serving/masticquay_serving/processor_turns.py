"""Bounds the processor time of bodies that cost more than their size does.

All connections of a process share one interpreter lock, so callers whose
bodies are costly to read would slow down all others.
"""

import threading
import time
import typing

# What frames the chunks of a body costs nothing up to this size.
FREE_FRAMING_BYTES = 64 * 1024
# The processor time that a byte of a body justifies. Chunks of 4 KB take a
# fifth of it.
JUSTIFIED_S_PER_BYTE = 10e-9
# A body pays once it has cost so much more.
STEP_S = 0.001
# For each second beyond what is justified there is a pause of so many seconds,
# so all such bodies together take a fifth of a core.
PAUSE_RATIO = 4
# So many bodies wait for their turn at once, as each keeps its memory and its
# thread, also if the caller has left meanwhile.
MAX_WAITING = 16
# The longest pause at a time.
MAX_PAUSE_S = 0.1


class TurnTimeoutError(Exception):
    """A body had no turn until its deadline."""


class ProcessorTurns:
    """Lets costly bodies pause one after another.

    A body waits until those before it have paused, so the pauses grow with the
    number of such bodies.
    """

    __slots__ = ('_places', '_lock')

    def __init__(self) -> None:
        self._places = threading.BoundedSemaphore(MAX_WAITING)
        self._lock = threading.Lock()

    def pay(self, cost_s: float, due_s: float) -> None:
        """Pauses for processor time that was used.

        :param due_s: monotonic time until which it may wait for its turn
        :raises TurnTimeoutError: if others take all turns until then, or too
            many wait for one
        """
        if not self._places.acquire(blocking=False):
            raise TurnTimeoutError
        try:
            self._pause(cost_s, due_s)
        finally:
            self._places.release()

    def _pause(self, cost_s: float, due_s: float) -> None:
        left_s = due_s - time.monotonic()
        timeout_s = min(max(0.0, left_s), threading.TIMEOUT_MAX)
        if not self._lock.acquire(timeout=timeout_s):
            raise TurnTimeoutError
        try:
            time.sleep(min(cost_s * PAUSE_RATIO, MAX_PAUSE_S))
        finally:
            self._lock.release()


# Of the whole process.
TURNS = ProcessorTurns()


class BodyWork:
    """Measures the processor time of reading one body in chunks.

    The thread that reads the body must do nothing else meanwhile.

    :param read_due_s: returns the monotonic time at which the body must be
        complete
    """

    __slots__ = (
        '_read_due_s',
        '_framing_bytes',
        '_justified_s',
        '_started_s',
    )

    def __init__(self, read_due_s: typing.Callable[[], float]):
        self._read_due_s = read_due_s
        self._framing_bytes = 0
        self._justified_s = 0.0
        self._started_s = 0.0

    def add(self, framing_bytes: int, data_bytes: int) -> None:
        """Adds what was read, and pauses if it was costly.

        :param framing_bytes: of the chunks, besides their data
        :raises TurnTimeoutError: if others take all turns until it is due
        """
        self._framing_bytes += framing_bytes
        if self._framing_bytes < FREE_FRAMING_BYTES:
            return
        now_s = time.thread_time()
        if not self._started_s:
            self._started_s = now_s
            return
        self._justified_s += data_bytes * JUSTIFIED_S_PER_BYTE
        cost_s = now_s - self._started_s - self._justified_s
        if cost_s < STEP_S:
            return
        self._started_s = now_s
        self._justified_s = 0.0
        TURNS.pay(cost_s, self._read_due_s())
