"""Moving averages of engine speeds, answer lengths and slot use."""

from masticquay_scheduling import settings as scheduling_settings

# Weight of a new measurement in a moving average.
SMOOTHING = 0.05
PREFILL_OVERHEAD_MS = 2.0
# Shorter prefills are mostly overhead and are not measured.
MIN_SAMPLE_TOKENS = 64
SLOT_WAIT_DEVIATIONS = 2
# With these steps the overlap factor settles where 3 of 1000 prefills find no
# decode slot in time.
OVERLAP_DECREASE = 0.1
OVERLAP_INCREASE = 0.0003


class Estimates:
    """Estimates of a pool, updated with each measured attempt.

    :ivar overlap_factor: scales, from 0 to 1, how many slots are expected to
        come free during a prefill
    :ivar service_ms: duration of a service call
    """

    def __init__(self, settings: scheduling_settings.SchedulingSettings):
        self._prefill_us_per_token = float(settings.prefill_us_per_token)
        self._decode_ms_per_token = float(settings.decode_ms_per_token)
        self._default_output_ratio = settings.output_percent / 100
        self._output_ratios: dict[tuple[str, str], float] = {}
        self.service_ms = float(settings.service_call_ms)
        self.overlap_factor = 1.0
        self._slot_wait_ms = 0.0
        self._slot_wait_deviation_ms = 0.0
        self._default_slot_busy_ms = float(settings.slot_busy_ms)
        self._slot_busy_ms: float | None = None

    def prefill_ms(self, tokens: int) -> float:
        """Returns the time to prefill uncached tokens."""
        return PREFILL_OVERHEAD_MS + tokens * self._prefill_us_per_token / 1000

    def output_tokens(
        self, workspace: str, class_name: str, max_output_tokens: int
    ) -> int:
        """Returns the expected number of tokens of an answer, at least 1."""
        ratio = self._output_ratios.get(
            (workspace, class_name), self._default_output_ratio
        )
        return max(1, int(ratio * max_output_tokens))

    def decode_ms(self, tokens: int) -> float:
        """Returns the time to decode a number of tokens."""
        return tokens * self._decode_ms_per_token

    def mean_slot_busy_ms(self) -> float:
        """Returns how long a slot stays in use on average."""
        if self._slot_busy_ms is None:
            return self._default_slot_busy_ms
        return max(1.0, self._slot_busy_ms)

    def slot_wait_ms(self) -> float:
        """Returns a high estimate of the wait for a decode slot."""
        return (
            self._slot_wait_ms
            + SLOT_WAIT_DEVIATIONS * self._slot_wait_deviation_ms
        )

    def observe_slot_wait(self, elapsed_ms: float) -> None:
        """Records the time from the end of a prefill to its decode slot."""
        self.overlap_factor = min(1.0, self.overlap_factor + OVERLAP_INCREASE)
        error_ms = elapsed_ms - self._slot_wait_ms
        self._slot_wait_ms += SMOOTHING * error_ms
        self._slot_wait_deviation_ms += SMOOTHING * (
            abs(error_ms) - self._slot_wait_deviation_ms
        )

    def observe_missed_slot(self) -> None:
        """Records that a prefill found no decode slot in time."""
        self.overlap_factor *= 1 - OVERLAP_DECREASE

    def observe_prefill(self, tokens: int, elapsed_ms: float) -> None:
        """Records the duration of a prefill."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        elapsed_ms = max(0.0, elapsed_ms - PREFILL_OVERHEAD_MS)
        us_per_token = 1000 * elapsed_ms / tokens
        # Capped at 4 times the estimate, so that one stall barely moves it.
        us_per_token = min(us_per_token, 4 * self._prefill_us_per_token)
        self._prefill_us_per_token += SMOOTHING * (
            us_per_token - self._prefill_us_per_token
        )

    def observe_decode(
        self,
        workspace: str,
        class_name: str,
        max_output_tokens: int,
        tokens: int,
        elapsed_ms: float,
    ) -> None:
        """Records a finished answer: its length and its decode time."""
        self._observe_slot_busy(elapsed_ms)
        if not tokens or not max_output_tokens:
            return
        key = (workspace, class_name)
        ratio = self._output_ratios.get(key, self._default_output_ratio)
        ratio += SMOOTHING * (min(1.0, tokens / max_output_tokens) - ratio)
        self._output_ratios[key] = ratio
        self._decode_ms_per_token += SMOOTHING * (
            elapsed_ms / tokens - self._decode_ms_per_token
        )

    def observe_service(self, elapsed_ms: float) -> None:
        """Records the duration of a service call."""
        self._observe_slot_busy(elapsed_ms)
        self.service_ms += SMOOTHING * (elapsed_ms - self.service_ms)

    def _observe_slot_busy(self, elapsed_ms: float) -> None:
        if self._slot_busy_ms is None:
            self._slot_busy_ms = float(elapsed_ms)
        self._slot_busy_ms += SMOOTHING * (elapsed_ms - self._slot_busy_ms)
