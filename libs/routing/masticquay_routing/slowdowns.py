"""How many times longer an engine takes than usual, as learnt from its work.

What was learnt of an engine decays towards the usual of its pool: an engine
that gets no work because it was slow would never be found sound again.
"""

import typing

from masticquay_routing import speeds

HALF_LIFE_MS = 5_000
# An engine that learnt nothing for this long has no part in the usual.
MAX_AGE_MS = 60_000
# The usual is computed anew after this time.
USUAL_INTERVAL_MS = 1_000
# Weight of a new sample in the moving average.
SMOOTHING = 0.3
# A step that takes up to this many times the usual is within the differences
# between prompts and links, and counts as usual.
STEP_TOLERANCE = 1.5
# Caps the slowdown, so that a single fault has little effect.
MAX_SLOWDOWN = 12.0
# Weight of a new step. Single slow steps are left out already.
STEP_SMOOTHING = 0.5


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


class PrefillSlowdown:
    """How many times longer prefills take on one engine than on others.

    It decays towards 1. A lost packet or a lost answer makes a single step
    look slow, so a step counts as no slower than the one before it.
    """

    __slots__ = (
        '_learnt',
        '_learnt_ms',
        '_settled',
        '_previous',
        '_last',
        '_tokens',
        '_duration_ms',
    )

    def __init__(self) -> None:
        self._learnt = 1.0
        self._learnt_ms = 0
        self._settled = 1.0
        self._previous = 1.0
        self._last = 1.0
        self._tokens = 0
        self._duration_ms = 0.0

    def value(self, now_ms: int) -> float:
        """Returns the present estimate, 1 at least."""
        half_lives = max(0, now_ms - self._learnt_ms) / HALF_LIFE_MS
        return 1.0 + (self._learnt - 1.0) * 0.5**half_lives

    def add_sample(
        self, tokens: int, duration_ms: float, usual_ms: float, now_ms: int
    ) -> None:
        """Takes a completed prefill into the estimate.

        :param usual_ms: how long it takes on the usual engine
        """
        is_same_step = duration_ms < speeds.SAME_STEP_MS
        if is_same_step:
            self._tokens += tokens
            self._duration_ms += duration_ms
        elif tokens >= speeds.MIN_SAMPLE_TOKENS:
            self._settled = self.value(now_ms)
            self._previous = self._last
            self._tokens = tokens
            self._duration_ms = duration_ms
        else:
            return
        if not self._tokens:
            return
        usual_ms_per_token = usual_ms / tokens
        self._last = self._duration_ms / self._tokens / usual_ms_per_token
        sample = min(self._previous, self._last, MAX_SLOWDOWN)
        if sample < STEP_TOLERANCE:
            sample = 1.0
        self._learnt = self._settled + STEP_SMOOTHING * (
            sample - self._settled
        )
        self._learnt_ms = now_ms
