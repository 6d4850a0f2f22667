"""Clock that keeps counting while the host is suspended."""

import time


class BootClock:
    """Time since the host booted, including time spent suspended.

    Lease expiry must use this clock: with a clock that stops during
    suspension, a resumed process would still treat as valid a lease that
    other processes have seen expire.
    """

    __slots__ = ()

    def now_ms(self) -> int:
        """Returns the time since boot in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def sleep_ms(self, duration_ms: int) -> None:
        """Blocks the calling thread for the given duration."""
        time.sleep(duration_ms / 1000)
