"""Running estimates of how long engines take."""

from masticquay_scheduling import settings as scheduling_settings

GAIN = 0.05
PREFILL_OVERHEAD_MS = 2.0
MIN_LEARNING_TOKENS = 64
AWAIT_DEVIATIONS = 2
# Balanced where three prefills in a thousand find no slot in time.
OVERLAP_CUT = 0.1
OVERLAP_GAIN = 0.0003


class Estimates:
    """Learns the speed of a pool's engines and the length of its answers.

    :ivar overlap: how far to trust in slots that come free during a prefill
    """

    def __init__(self, settings: scheduling_settings.SchedulingSettings):
        self._prefill_us_per_token = float(settings.prefill_us_per_token)
        self._decode_ms_per_token = float(settings.decode_ms_per_token)
        self._default_ratio = settings.output_percent / 100
        self._ratios: dict[tuple[str, str], float] = {}
        self.service_ms = float(settings.service_call_ms)
        self.overlap = 1.0
        self._await_ms = 0.0
        self._await_deviation_ms = 0.0
        self._default_busy_ms = float(settings.slot_busy_ms)
        self._busy_ms: float | None = None

    def prefill_ms(self, tokens: int) -> float:
        """Returns the time to prefill tokens that are not cached."""
        return PREFILL_OVERHEAD_MS + tokens * self._prefill_us_per_token / 1000

    def output_tokens(self, workspace: str, class_name: str, most: int) -> int:
        """Returns how many tokens an answer is likely to have."""
        ratio = self._ratios.get((workspace, class_name), self._default_ratio)
        return max(1, int(ratio * most))

    def decode_ms(self, tokens: int) -> float:
        """Returns the time to decode some tokens."""
        return tokens * self._decode_ms_per_token

    def mean_busy_ms(self) -> float:
        """Returns how long a slot stays taken on average."""
        if self._busy_ms is None:
            return self._default_busy_ms
        return max(1.0, self._busy_ms)

    def await_ms(self) -> float:
        """Returns a high estimate of the wait for a slot after a prefill."""
        return self._await_ms + AWAIT_DEVIATIONS * self._await_deviation_ms

    def learn_await(self, elapsed_ms: float) -> None:
        """Takes the time from a prefill's end to its decode slot."""
        self.overlap = min(1.0, self.overlap + OVERLAP_GAIN)
        error_ms = elapsed_ms - self._await_ms
        self._await_ms += GAIN * error_ms
        self._await_deviation_ms += GAIN * (
            abs(error_ms) - self._await_deviation_ms
        )

    def learn_missed_slot(self) -> None:
        """Notes that a prefill found no decode slot in time."""
        self.overlap *= 1 - OVERLAP_CUT

    def learn_prefill(self, tokens: int, elapsed_ms: float) -> None:
        """Takes a measured prefill."""
        if tokens < MIN_LEARNING_TOKENS:
            return
        elapsed_ms = max(0.0, elapsed_ms - PREFILL_OVERHEAD_MS)
        measured = 1000 * elapsed_ms / tokens
        # One stalled prefill must not distort the estimate.
        measured = min(measured, 4 * self._prefill_us_per_token)
        self._prefill_us_per_token += GAIN * (
            measured - self._prefill_us_per_token
        )

    def learn_decode(
        self,
        workspace: str,
        class_name: str,
        most: int,
        tokens: int,
        elapsed_ms: float,
    ) -> None:
        """Takes a finished answer."""
        self._learn_busy(elapsed_ms)
        if not tokens or not most:
            return
        key = (workspace, class_name)
        ratio = self._ratios.get(key, self._default_ratio)
        ratio += GAIN * (min(1.0, tokens / most) - ratio)
        self._ratios[key] = ratio
        self._decode_ms_per_token += GAIN * (
            elapsed_ms / tokens - self._decode_ms_per_token
        )

    def learn_service(self, elapsed_ms: float) -> None:
        """Takes the time that a call of a plain service took."""
        self._learn_busy(elapsed_ms)
        self.service_ms += GAIN * (elapsed_ms - self.service_ms)

    def _learn_busy(self, elapsed_ms: float) -> None:
        if self._busy_ms is None:
            self._busy_ms = float(elapsed_ms)
        self._busy_ms += GAIN * (elapsed_ms - self._busy_ms)
