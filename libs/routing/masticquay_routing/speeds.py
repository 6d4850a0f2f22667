"""How fast engines read prompts, as learnt from their completions."""

START_TOKENS_PER_MS = 30.0
GAIN = 0.1
# The weight of the first guess against what is learnt.
START_READ_TOKENS = 20_000.0
MIN_TOKENS_PER_MS = 15.0
MAX_TOKENS_PER_MS = 120.0
# Shorter prompts say more of the way than of the engine.
LEARN_MIN_TOKENS = 500


class PrefillSpeed:
    """The tokens that a prefill engine reads in a millisecond.

    Prompts read in one batch end together, so tokens and times are added up
    over some prompts rather than divided for each.
    """

    __slots__ = ('tokens_per_ms', '_tokens', '_duration_ms')

    def __init__(self) -> None:
        self.tokens_per_ms = START_TOKENS_PER_MS
        self._tokens = START_READ_TOKENS
        self._duration_ms = START_READ_TOKENS / START_TOKENS_PER_MS

    def learn(self, tokens: int, duration_ms: float) -> None:
        """Takes up a prompt and the time that the engine spent on it."""
        if tokens < LEARN_MIN_TOKENS:
            return
        kept = 1 - GAIN
        self._tokens = kept * self._tokens + tokens
        self._duration_ms = kept * self._duration_ms + duration_ms
        rate = min(MAX_TOKENS_PER_MS, self._tokens / self._duration_ms)
        self.tokens_per_ms = max(MIN_TOKENS_PER_MS, rate)
