"""The load and health of one model engine, as the router sees them.

A local prefill is one that a decode engine runs itself, in place of a prefill
engine.
"""

from masticquay_routing import fleets
from masticquay_routing import slowdowns

EJECT_MIN_MS = 1_500
# A failing engine gets one request per interval until one succeeds.
PROBE_INTERVAL_MS = 600
# Local prefills closer together than this stall the engine's streams for too
# long.
LOCAL_PREFILL_INTERVAL_MS = 450
# How many times longer a prompt takes on a decode engine than on a prefill
# engine. This is the initial estimate; the estimate of each engine is updated
# after its local prefills.
LOCAL_PREFILL_INITIAL_SLOWDOWN = 2.5
# For this long, further long prompts go to the engine that took the last one.
LONG_PROMPT_AFFINITY_MS = 3_000
# Shorter prompts give no reliable sample of the slowdown.
LOCAL_PREFILL_MIN_SAMPLE_TOKENS = 500
# An engine that served a request within this time was alive while another one
# waited for it in vain.
SERVED_RECENTLY_MS = 500
# Hosts give a prefill up after this many times its expected time, for which
# they assume at least the minimum.
PREFILL_TIMEOUT_FACTOR = 2.2
MIN_EXPECTED_PREFILL_MS = 250
# Caps a sample, so that a single outlier has little effect.
LOCAL_PREFILL_MAX_SLOWDOWN = 12.0


class EngineState:
    """The load and health of one engine.

    :param memory_tokens: the size of the engine's KV cache memory
    :param slots: the requests that it runs at once
    :ivar prefill_step_tokens: the prompts that were queued when the engine
        began its present step
    :ivar prefill_slowdown: how many times longer a prompt takes here than on
        the usual prefill engine
    :ivar local_prefill_slowdown: how many times longer a prompt takes here
        than on a prefill engine
    """

    __slots__ = (
        'endpoint',
        'memory_tokens',
        'slots',
        'reserved_tokens',
        'running_count',
        'pending_prefill_tokens',
        'prefill_step_tokens',
        'prefill_started_ms',
        'prefill_timing_invalid',
        'prefill_slowdown',
        'last_local_prefill_ms',
        'local_prefill_slowdown',
        'last_long_prompt_ms',
        'failure_rate',
        'failing_since_ms',
        'ejected_until_ms',
        'ejection_ms',
        'role_switch_until_ms',
        'paused_until_ms',
        'last_served_ms',
    )

    def __init__(
        self, endpoint: fleets.Endpoint, memory_tokens: int, slots: int
    ):
        self.endpoint = endpoint
        self.memory_tokens = memory_tokens
        self.slots = slots
        self.reserved_tokens = 0
        self.running_count = 0
        self.pending_prefill_tokens = 0
        self.prefill_step_tokens = 0
        self.prefill_started_ms = 0
        self.prefill_timing_invalid = False
        self.prefill_slowdown = slowdowns.PrefillSlowdown()
        self.last_local_prefill_ms = -LOCAL_PREFILL_INTERVAL_MS
        self.local_prefill_slowdown = slowdowns.Slowdown()
        self.last_long_prompt_ms = -LONG_PROMPT_AFFINITY_MS
        self.failure_rate = 0.0
        self.failing_since_ms: int | None = None
        self.ejected_until_ms = 0
        self.ejection_ms = EJECT_MIN_MS
        self.role_switch_until_ms = 0
        self.paused_until_ms = 0
        self.last_served_ms: int | None = None

    def prefill_backlog_ms(self, tokens_per_ms: float, now_ms: int) -> float:
        """Returns the time until all queued prompts are prefilled.

        An engine whose step is overdue is slower than is known yet: the step
        is expected to take as long again as it is overdue. No host waits for
        one that is overdue for much longer.

        :param tokens_per_ms: the speed of prefill engines
        """
        if not self.pending_prefill_tokens:
            return 0.0
        elapsed_ms = now_ms - self.prefill_started_ms
        step_ms = self.prefill_ms(
            self.prefill_step_tokens, tokens_per_ms, now_ms
        )
        all_ms = self.prefill_ms(
            self.pending_prefill_tokens, tokens_per_ms, now_ms
        )
        given_up_ms = max(
            slowdowns.MAX_SLOWDOWN * step_ms,
            PREFILL_TIMEOUT_FACTOR * MIN_EXPECTED_PREFILL_MS,
        )
        if slowdowns.STEP_TOLERANCE * step_ms < elapsed_ms < given_up_ms:
            return all_ms - step_ms + elapsed_ms - step_ms
        return max(0.0, all_ms - elapsed_ms)

    def prefill_ms(
        self, tokens: int, tokens_per_ms: float, now_ms: int
    ) -> float:
        """Returns the time of a prefill without the time in the queue.

        :param tokens_per_ms: the speed of prefill engines
        """
        return tokens / tokens_per_ms * self.prefill_slowdown.value(now_ms)

    def stall_ms(
        self,
        tokens: int,
        tokens_per_ms: float,
        usual_slowdown: float,
        now_ms: int,
    ) -> float:
        """Returns for how long a local prefill stalls the engine's streams.

        :param tokens_per_ms: the speed of prefill engines
        :param usual_slowdown: that of local prefills in the pool
        """
        slowdown = self.local_prefill_slowdown.value(usual_slowdown, now_ms)
        return tokens * slowdown / tokens_per_ms

    def takes_long_prompts(self, now_ms: int) -> bool:
        """Whether the engine took a long prompt recently."""
        return now_ms - self.last_long_prompt_ms < LONG_PROMPT_AFFINITY_MS

    def record_local_prefill(
        self,
        tokens: int,
        duration_ms: float,
        tokens_per_ms: float,
        usual_slowdown: float,
        now_ms: int,
    ) -> None:
        """Updates the slowdown after a local prefill.

        :param tokens_per_ms: the speed of prefill engines
        :param usual_slowdown: that of local prefills in the pool
        """
        if tokens < LOCAL_PREFILL_MIN_SAMPLE_TOKENS:
            return
        slowdown = duration_ms * tokens_per_ms / tokens
        slowdown = max(1.0, min(LOCAL_PREFILL_MAX_SLOWDOWN, slowdown))
        self.local_prefill_slowdown.add_sample(
            slowdown, usual_slowdown, now_ms
        )

    def begin_prefill(self, tokens: int, now_ms: int) -> None:
        """Adds a prompt to the prefill queue."""
        if not self.pending_prefill_tokens:
            self.prefill_started_ms = now_ms
            self.prefill_step_tokens = tokens
        self.pending_prefill_tokens += tokens

    def end_prefill(self, tokens: int, now_ms: int) -> float | None:
        """Removes a prefilled prompt from the queue.

        :returns: the time spent on this prompt; None when another prompt was
            cancelled meanwhile, as part of the time was spent on that one
        """
        duration_ms = None
        if not self.prefill_timing_invalid:
            duration_ms = now_ms - self.prefill_started_ms
        self.pending_prefill_tokens = max(
            0, self.pending_prefill_tokens - tokens
        )
        self.prefill_step_tokens = self.pending_prefill_tokens
        self.prefill_started_ms = now_ms
        self.prefill_timing_invalid = False
        return duration_ms

    def cancel_prefill(self, tokens: int) -> None:
        """Removes a prompt that was not prefilled from the queue."""
        self.pending_prefill_tokens = max(
            0, self.pending_prefill_tokens - tokens
        )
        self.prefill_step_tokens = min(
            self.prefill_step_tokens, self.pending_prefill_tokens
        )
        self.prefill_timing_invalid = self.pending_prefill_tokens > 0

    def is_usable(self, now_ms: int) -> bool:
        """Whether the engine may get new requests."""
        return (
            not self.endpoint.leaving
            and self.ejected_until_ms <= now_ms
            and self.role_switch_until_ms <= now_ms
            and self.paused_until_ms <= now_ms
        )

    def served_recently(self, now_ms: int) -> bool:
        """Whether the engine has finished a prefill or begun a decode."""
        if self.last_served_ms is None:
            return False
        return now_ms - self.last_served_ms < SERVED_RECENTLY_MS

    def begin_probe(self, now_ms: int) -> None:
        """Holds back further requests to a failing engine.

        The request that is being placed is the probe: its success ends the
        ejection.
        """
        if self.failing_since_ms is not None:
            self.ejected_until_ms = now_ms + PROBE_INTERVAL_MS

    def has_capacity(self, tokens: int, memory_share: float = 1.0) -> bool:
        """Whether enough memory and a slot are free.

        :param memory_share: the fraction of the memory that may be used
        """
        limit_tokens = int(self.memory_tokens * memory_share)
        free_tokens = limit_tokens - self.reserved_tokens
        return free_tokens >= tokens and self.running_count < self.slots
