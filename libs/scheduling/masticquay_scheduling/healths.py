"""Health of endpoints: ejection after failures, probes, slow start."""

from masticquay_scheduling import settings as scheduling_settings


class Health:
    """Decides how much new work an endpoint may get.

    Consecutive failures eject an endpoint. After the ejection it gets one
    request at a time as a probe; a success lets it back with a slow start.
    Each further ejection lasts twice as long.
    """

    __slots__ = (
        '_settings',
        '_failures',
        '_ejections',
        '_ejected_until_ms',
        '_probing',
        '_started_ms',
        '_settled',
        'ejected_count',
    )

    def __init__(
        self,
        settings: scheduling_settings.SchedulingSettings,
        started_ms: int | None = None,
    ):
        self._settings = settings
        self._failures = 0
        self._ejections = 0
        self._ejected_until_ms: int | None = None
        self._probing = False
        self._started_ms = started_ms
        self._settled = started_ms is None
        self.ejected_count = 0

    def record_success(self, now_ms: int) -> None:
        """Notes that a request succeeded."""
        self._failures = 0
        if self._probing:
            self._probing = False
            self._started_ms = now_ms
        elif self._ejections and not self._slow(now_ms):
            self._ejections = 0

    def record_failure(self, now_ms: int, may_eject: bool = True) -> None:
        """Notes that a request failed through the endpoint's fault."""
        self._failures += 1
        limit = 1 if self._probing else self._settings.eject_failures
        if self._failures >= limit and may_eject:
            self.eject(now_ms)

    def eject(self, now_ms: int) -> None:
        """Takes the endpoint out for a while."""
        duration_ms = self._settings.eject_ms << min(self._ejections, 10)
        duration_ms = min(duration_ms, self._settings.max_eject_ms)
        self._ejected_until_ms = now_ms + duration_ms
        self._ejections += 1
        self._failures = 0
        self._probing = False
        self._settled = False
        self.ejected_count += 1

    def restart(self, now_ms: int) -> None:
        """Begins a slow start, for an endpoint that started anew."""
        self._started_ms = now_ms
        self._settled = False

    def ejected(self, now_ms: int) -> bool:
        """Whether the endpoint is out."""
        until_ms = self._ejected_until_ms
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        self._ejected_until_ms = None
        self._probing = True
        return False

    def allowance(self, slots: int, now_ms: int) -> int:
        """Returns how many of its slots may be used now."""
        if self._settled:
            return slots
        if self.ejected(now_ms):
            return 0
        if self._probing:
            return 1
        if not self._slow(now_ms):
            self._settled = True
            return slots
        first = self._settings.slow_start_percent / 100
        elapsed_ms = now_ms - self._started_ms
        part = first + (1 - first) * elapsed_ms / self._settings.slow_start_ms
        return max(1, int(slots * part))

    def _slow(self, now_ms: int) -> bool:
        if self._started_ms is None:
            return False
        if now_ms - self._started_ms < self._settings.slow_start_ms:
            return True
        self._started_ms = None
        return False
