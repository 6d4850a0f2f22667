"""The speed of prefill engines, estimated from completed prefills."""

import collections

INITIAL_TOKENS_PER_MS = 30.0
# Weight of the initial estimate, as the tokens of one prefill step.
INITIAL_SAMPLE_TOKENS = 20_000
MIN_TOKENS_PER_MS = 15.0
MAX_TOKENS_PER_MS = 120.0
# The time of a shorter prompt depends more on the network than on the engine.
MIN_SAMPLE_TOKENS = 500
# Prompts that complete this close together ran in one step of the engine.
SAME_STEP_MS = 20
KEPT_STEPS = 16
# The slowest steps are discarded: a lost packet or a lost answer makes a step
# look slower than it was, while nothing makes one look faster.
DISCARDED_SHARE = 0.25


class _Step:
    """The prompts that an engine prefilled in one step, and the duration."""

    __slots__ = ('tokens', 'duration_ms')

    def __init__(self, tokens: int, duration_ms: float):
        self.tokens = tokens
        self.duration_ms = duration_ms

    @property
    def ms_per_token(self) -> float:
        """The average time per token of this step."""
        return self.duration_ms / self.tokens


class PrefillSpeed:
    """The tokens that a prefill engine processes per millisecond.

    Averaged over the most recent steps, without the slowest ones.
    """

    __slots__ = ('tokens_per_ms', '_steps')

    def __init__(self) -> None:
        self.tokens_per_ms = INITIAL_TOKENS_PER_MS
        initial_ms = INITIAL_SAMPLE_TOKENS / INITIAL_TOKENS_PER_MS
        self._steps = collections.deque(
            [_Step(INITIAL_SAMPLE_TOKENS, initial_ms)], maxlen=KEPT_STEPS
        )

    def add_sample(self, tokens: int, duration_ms: float) -> None:
        """Adds a completed prefill and the time that it took."""
        if duration_ms < SAME_STEP_MS:
            self._steps[-1].tokens += tokens
            self._steps[-1].duration_ms += duration_ms
        elif tokens >= MIN_SAMPLE_TOKENS:
            self._steps.append(_Step(tokens, duration_ms))
        self._update()

    def _update(self) -> None:
        fastest_first = sorted(self._steps, key=lambda step: step.ms_per_token)
        kept = fastest_first[
            : len(fastest_first) - int(len(fastest_first) * DISCARDED_SHARE)
        ]
        tokens = sum(step.tokens for step in kept)
        tokens_per_ms = tokens / sum(step.duration_ms for step in kept)
        tokens_per_ms = min(MAX_TOKENS_PER_MS, tokens_per_ms)
        self.tokens_per_ms = max(MIN_TOKENS_PER_MS, tokens_per_ms)
