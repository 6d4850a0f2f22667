"""How fast engines read prompts, as learnt from their completions."""

import collections

START_TOKENS_PER_MS = 30.0
# The weight of the first guess against what is learnt.
START_READ_TOKENS = 20_000
MIN_TOKENS_PER_MS = 15.0
MAX_TOKENS_PER_MS = 120.0
# Shorter prompts say more of the way than of the engine.
LEARN_MIN_TOKENS = 500
# Completions this close together come from one step of the engine.
SAME_STEP_MS = 20
KEPT_STEPS = 16
# The slowest steps are left out: a lost packet or a prompt of which only
# the answer was lost makes a step look slow, and nothing makes one fast.
LEFT_OUT_SHARE = 0.25


class _Step:
    """Prompts that an engine read in one step, and for how long."""

    __slots__ = ('tokens', 'duration_ms')

    def __init__(self, tokens: int, duration_ms: float):
        self.tokens = tokens
        self.duration_ms = duration_ms

    @property
    def ms_per_token(self) -> float:
        """How slow it was."""
        return self.duration_ms / self.tokens


class PrefillSpeed:
    """The tokens that a prefill engine reads in a millisecond."""

    __slots__ = ('tokens_per_ms', '_steps')

    def __init__(self) -> None:
        self.tokens_per_ms = START_TOKENS_PER_MS
        first_ms = START_READ_TOKENS / START_TOKENS_PER_MS
        self._steps = collections.deque(
            [_Step(START_READ_TOKENS, first_ms)], maxlen=KEPT_STEPS
        )

    def learn(self, tokens: int, duration_ms: float) -> None:
        """Takes up a prompt and the time that the engine spent on it."""
        if duration_ms < SAME_STEP_MS:
            self._steps[-1].tokens += tokens
            self._steps[-1].duration_ms += duration_ms
        elif tokens >= LEARN_MIN_TOKENS:
            self._steps.append(_Step(tokens, duration_ms))
        self._update()

    def _update(self) -> None:
        ranked = sorted(self._steps, key=lambda step: step.ms_per_token)
        kept = ranked[: len(ranked) - int(len(ranked) * LEFT_OUT_SHARE)]
        tokens = sum(step.tokens for step in kept)
        rate = tokens / sum(step.duration_ms for step in kept)
        rate = min(MAX_TOKENS_PER_MS, rate)
        self.tokens_per_ms = max(MIN_TOKENS_PER_MS, rate)
