"""Processor time that a listener spends on each type of message."""

import threading
import time
import typing

# The processor time of one message in this many is measured, since reading a
# thread's clock is a system call.
SAMPLE_INTERVAL = 8


class MessageCost:
    """The messages of one type since the process started.

    :param cpu_ns: the processor time of those that were measured
    """

    __slots__ = ('count', 'measured_count', 'cpu_ns')

    def __init__(self) -> None:
        self.count = 0
        self.measured_count = 0
        self.cpu_ns = 0

    @property
    def estimated_cpu_ms(self) -> float:
        """Processor time of all messages, as far as those measured tell."""
        if not self.measured_count:
            return 0.0
        return self.cpu_ns / self.measured_count * self.count / 1_000_000


class MessageCosts:
    """Counts messages by type and measures a sample of them.

    Decoding, the handler and the answer count; reading from the socket does
    not, as another thread does it.

    :param read_clock_ns: returns the processor time of the calling thread
    """

    def __init__(
        self,
        read_clock_ns: typing.Callable[[], int] = time.thread_time_ns,
    ):
        self._read_clock_ns = read_clock_ns
        self._lock = threading.Lock()
        self._number = 0
        self._costs: dict[str, MessageCost] = {}

    def begin(self) -> int | None:
        """Begins a message.

        :returns: when it began, None if it is not measured
        """
        self._number += 1
        if self._number % SAMPLE_INTERVAL:
            return None
        return self._read_clock_ns()

    def end(self, name: str, begun_ns: int | None) -> None:
        """Adds a message.

        :param name: the type of the message
        :param begun_ns: what ``begin`` returned
        """
        with self._lock:
            cost = self._costs.setdefault(name, MessageCost())
            cost.count += 1
            if begun_ns is not None:
                cost.measured_count += 1
                cost.cpu_ns += self._read_clock_ns() - begun_ns

    def gauges(self) -> dict[str, float]:
        """Returns counts and processor time in ms, by type of message."""
        gauges: dict[str, float] = {}
        with self._lock:
            for name, cost in sorted(self._costs.items()):
                gauges[f'messages{{type="{name}"}}'] = cost.count
                gauges[f'message_cpu_ms{{type="{name}"}}'] = round(
                    cost.estimated_cpu_ms, 1
                )
        return gauges
