"""Clock interface, with a system clock and a manual one for tests."""

import time
import typing


class Clock(typing.Protocol):
    """Monotonic time source that can also sleep."""

    def now_ms(self) -> int:
        """Returns the monotonic time in milliseconds."""

    def sleep_ms(self, duration_ms: int) -> None:
        """Blocks the calling thread for a duration."""


class MonotonicClock:
    """The monotonic clock of the operating system."""

    __slots__ = ()

    def now_ms(self) -> int:
        return time.monotonic_ns() // 1_000_000

    def sleep_ms(self, duration_ms: int) -> None:
        time.sleep(duration_ms / 1000)


class ManualClock:
    """A clock that advances only when a test calls it.

    ``sleep_ms`` advances it and returns at once.
    """

    __slots__ = ('_now_ms',)

    def __init__(self, start_ms: int = 0):
        self._now_ms = start_ms

    def now_ms(self) -> int:
        return self._now_ms

    def sleep_ms(self, duration_ms: int) -> None:
        self.advance_ms(duration_ms)

    def advance_ms(self, duration_ms: int) -> None:
        """Advances the clock by a duration."""
        self._now_ms += duration_ms
