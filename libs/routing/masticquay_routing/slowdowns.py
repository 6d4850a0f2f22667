"""How many times longer an engine takes than usual, as learnt from its work.

What was learnt of an engine decays towards the usual of its pool: an engine
that gets no work because it was slow would never be found sound again.
"""

import typing

HALF_LIFE_MS = 5_000
# An engine that learnt nothing for this long has no part in the usual.
MAX_AGE_MS = 60_000
# The usual is computed anew after this time.
USUAL_INTERVAL_MS = 1_000
# Weight of a new sample in the moving average.
SMOOTHING = 0.3


class Slowdown:
    """The slowdown of one engine."""

    __slots__ = ('learnt_ms', '_learnt')

    def __init__(self) -> None:
        self.learnt_ms: int | None = None
        self._learnt = 0.0

    def value(self, usual: float, now_ms: int) -> float:
        """Returns the present estimate.

        :param usual: the slowdown that is usual in the pool
        """
        if self.learnt_ms is None:
            return usual
        half_lives = max(0, now_ms - self.learnt_ms) / HALF_LIFE_MS
        return usual + (self._learnt - usual) * 0.5**half_lives

    def add_sample(self, sample: float, usual: float, now_ms: int) -> None:
        """Takes a measured slowdown into the estimate."""
        value = self.value(usual, now_ms)
        self._learnt = value + SMOOTHING * (sample - value)
        self.learnt_ms = now_ms

    def learnt_since(self, since_ms: int) -> float | None:
        """Returns what was learnt last, None if it is older."""
        if self.learnt_ms is None or self.learnt_ms < since_ms:
            return None
        return self._learnt


class UsualSlowdown:
    """The slowdown that is usual among the engines of a pool.

    It is the median of what was learnt of each, with the initial estimate as
    one more: slow engines that are fewer than the others don't change it, and
    an engine that is alone is not compared with itself.

    :param initial: the initial estimate
    :param list_slowdowns: returns those of the pool's engines
    """

    __slots__ = ('_initial', '_list', '_computed_ms', '_value')

    def __init__(
        self,
        initial: float,
        list_slowdowns: typing.Callable[[], list[Slowdown]],
    ):
        self._initial = initial
        self._list = list_slowdowns
        self._computed_ms: int | None = None
        self._value = initial

    def value(self, now_ms: int) -> float:
        """Returns the usual slowdown."""
        if (
            self._computed_ms is None
            or now_ms - self._computed_ms >= USUAL_INTERVAL_MS
        ):
            self._computed_ms = now_ms
            learnt = [
                s.learnt_since(now_ms - MAX_AGE_MS) for s in self._list()
            ]
            values = [v for v in learnt if v is not None]
            values = sorted([*values, self._initial])
            self._value = values[(len(values) - 1) // 2]
        return self._value
