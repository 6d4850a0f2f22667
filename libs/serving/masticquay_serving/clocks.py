"""A clock that counts the time for which the host was suspended."""

import time


class BootClock:
    """Time since the host booted, suspension included.

    Leases must be judged by it: a process that was suspended would otherwise
    take a lease for valid that others have seen expire.
    """

    __slots__ = ()

    def now_ms(self) -> int:
        """Returns the time in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def sleep_ms(self, duration_ms: int) -> None:
        """Blocks the calling thread for a duration."""
        time.sleep(duration_ms / 1000)
