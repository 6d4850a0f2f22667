"""The account of one model engine."""

from masticquay_routing import fleets

EJECT_MIN_MS = 1_500
# An engine that failed gets one request in this time until one succeeds.
PROBE_MS = 600
# Two prompts read on one decode engine need this much time between them, or
# its streams pause for too long.
SELF_PREFILL_SPACING_MS = 450
# A decode engine reads prompts at about this part of a prefill engine's
# speed; corrected by what is seen of each engine.
SELF_PREFILL_SLOWDOWN = 2.5
SELF_PREFILL_GAIN = 0.3
# An engine counts as the reader of long prompts for that long after one.
LONG_READ_MS = 3_000
# Shorter prompts say little about speed.
SELF_PREFILL_LEARN_TOKENS = 500
# No engine is taken for slower than that by one strange outcome.
SELF_PREFILL_MAX_SLOWDOWN = 12.0


class EngineState:
    """The account of one engine."""

    __slots__ = (
        'endpoint',
        'memory_tokens',
        'slots',
        'reserved_tokens',
        'running',
        'prefill_tokens',
        'prefill_since_ms',
        'prefill_failed',
        'self_prefill_ms',
        'self_slowdown',
        'long_read_ms',
        'failure_share',
        'failing_since_ms',
        'ejected_until_ms',
        'eject_ms',
        'switching_until_ms',
        'paused_until_ms',
    )

    def __init__(
        self, endpoint: fleets.Endpoint, memory_tokens: int, slots: int
    ):
        self.endpoint = endpoint
        self.memory_tokens = memory_tokens
        self.slots = slots
        self.reserved_tokens = 0
        self.running = 0
        self.prefill_tokens = 0
        self.prefill_since_ms = 0
        self.prefill_failed = False
        self.self_prefill_ms = -SELF_PREFILL_SPACING_MS
        self.self_slowdown = SELF_PREFILL_SLOWDOWN
        self.long_read_ms = -LONG_READ_MS
        self.failure_share = 0.0
        self.failing_since_ms: int | None = None
        self.ejected_until_ms = 0
        self.eject_ms = EJECT_MIN_MS
        self.switching_until_ms = 0
        self.paused_until_ms = 0

    def backlog_ms(self, tokens_per_ms: float, now_ms: int) -> float:
        """Returns the time until the prompts sent there are read."""
        if not self.prefill_tokens:
            return 0.0
        elapsed_ms = now_ms - self.prefill_since_ms
        return max(0.0, self.prefill_tokens / tokens_per_ms - elapsed_ms)

    def stall_ms(self, tokens: int, tokens_per_ms: float) -> float:
        """Returns for how long streams pause while it reads a prompt.

        :param tokens_per_ms: the speed of prefill engines
        """
        return tokens * self.self_slowdown / tokens_per_ms

    def reads_long(self, now_ms: int) -> bool:
        """Whether it is the engine that reads long prompts for now."""
        return now_ms - self.long_read_ms < LONG_READ_MS

    def learn_stall(
        self, tokens: int, duration_ms: float, tokens_per_ms: float
    ) -> None:
        """Learns from a prompt that it read itself."""
        if tokens < SELF_PREFILL_LEARN_TOKENS:
            return
        seen = duration_ms * tokens_per_ms / tokens
        seen = max(1.0, min(SELF_PREFILL_MAX_SLOWDOWN, seen))
        self.self_slowdown += SELF_PREFILL_GAIN * (seen - self.self_slowdown)

    def begin_prefill(self, tokens: int, now_ms: int) -> None:
        """Adds a prompt to those that the engine reads."""
        if not self.prefill_tokens:
            self.prefill_since_ms = now_ms
        self.prefill_tokens += tokens

    def end_prefill(self, tokens: int, now_ms: int) -> float | None:
        """Takes a prompt off that was read.

        :returns: the time that it took alone, None when another prompt
            failed meanwhile, on which time was spent too
        """
        duration_ms = None
        if not self.prefill_failed:
            duration_ms = now_ms - self.prefill_since_ms
        self.prefill_tokens = max(0, self.prefill_tokens - tokens)
        self.prefill_since_ms = now_ms
        self.prefill_failed = False
        return duration_ms

    def fail_prefill(self, tokens: int) -> None:
        """Takes a prompt off that was not read."""
        self.prefill_tokens = max(0, self.prefill_tokens - tokens)
        self.prefill_failed = self.prefill_tokens > 0

    def usable(self, now_ms: int) -> bool:
        """Whether new work may go there."""
        return (
            not self.endpoint.leaving
            and self.ejected_until_ms <= now_ms
            and self.switching_until_ms <= now_ms
            and self.paused_until_ms <= now_ms
        )

    def begin_probe(self, now_ms: int) -> None:
        """Sends an engine that failed no more until this request's outcome."""
        if self.failing_since_ms is not None:
            self.ejected_until_ms = now_ms + PROBE_MS

    def has_room(self, tokens: int, share: float = 1.0) -> bool:
        """Whether memory and a slot are free.

        :param share: the part of the memory that may be used
        """
        limit_tokens = int(self.memory_tokens * share)
        free_tokens = limit_tokens - self.reserved_tokens
        return free_tokens >= tokens and self.running < self.slots
