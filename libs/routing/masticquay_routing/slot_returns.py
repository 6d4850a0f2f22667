"""When callers return whose requests got no slot of a plain service."""

# Refused callers return at this part of the rate at which slots get free, as
# other requests arrive meanwhile.
RETURN_RATE_SHARE = 0.5
RETURN_MIN_MS = 300
RETURN_MAX_MS = 4_000


class ReturnTimes:
    """Has refused callers return one after the other."""

    __slots__ = ('_next_ms',)

    def __init__(self) -> None:
        self._next_ms = 0.0

    def plan_ms(self, rate_per_ms: float, now_ms: int) -> int:
        """Returns after which time the next caller may return.

        :param rate_per_ms: at which slots get free
        """
        first_ms = now_ms + RETURN_MIN_MS
        at_ms = max(first_ms, self._next_ms)
        if at_ms > now_ms + RETURN_MAX_MS:
            at_ms = first_ms
        self._next_ms = at_ms + 1 / (RETURN_RATE_SHARE * rate_per_ms)
        return int(at_ms - now_ms)
