"""Endpoint health: ejection after failures, probing and slow start."""

from masticquay_scheduling import settings as scheduling_settings


class Health:
    """Limits how many slots of an endpoint may be used.

    Consecutive failures eject an endpoint. After the ejection it gets one
    request at a time as a probe; a success restores it with a slow start.
    Each further ejection lasts twice as long, up to a maximum.

    :param slow_start_began_ms: None for an endpoint without a slow start
    :ivar ejected_count: number of all ejections so far; a success does not
        reset it
    """

    __slots__ = (
        '_settings',
        '_failures',
        '_successive_ejections',
        '_ejected_until_ms',
        '_probing',
        '_slow_start_began_ms',
        '_unrestricted',
        'ejected_count',
    )

    def __init__(
        self,
        settings: scheduling_settings.SchedulingSettings,
        slow_start_began_ms: int | None = None,
    ):
        self._settings = settings
        self._failures = 0
        self._successive_ejections = 0
        self._ejected_until_ms: int | None = None
        self._probing = False
        self._slow_start_began_ms = slow_start_began_ms
        self._unrestricted = slow_start_began_ms is None
        self.ejected_count = 0

    def record_success(self, now_ms: int) -> None:
        """Records a successful request."""
        self._failures = 0
        if self._probing:
            self._probing = False
            self._slow_start_began_ms = now_ms
        elif self._successive_ejections and not self._in_slow_start(now_ms):
            self._successive_ejections = 0

    def record_failure(self, now_ms: int, may_eject: bool = True) -> None:
        """Records a failure caused by the endpoint; ejects it if allowed."""
        self._failures += 1
        limit = 1 if self._probing else self._settings.eject_failures
        if self._failures >= limit and may_eject:
            self.eject(now_ms)

    def eject(self, now_ms: int) -> None:
        """Ejects the endpoint, for longer with each successive ejection."""
        duration_ms = self._settings.eject_ms << min(
            self._successive_ejections, 10
        )
        duration_ms = min(duration_ms, self._settings.max_eject_ms)
        self._ejected_until_ms = now_ms + duration_ms
        self._successive_ejections += 1
        self._failures = 0
        self._probing = False
        self._unrestricted = False
        self.ejected_count += 1

    def begin_slow_start(self, now_ms: int) -> None:
        """Begins a slow start after the endpoint restarted."""
        self._slow_start_began_ms = now_ms
        self._unrestricted = False

    def is_ejected(self, now_ms: int) -> bool:
        """Returns whether it is ejected.

        The first call after the end of an ejection starts probing.
        """
        until_ms = self._ejected_until_ms
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        self._ejected_until_ms = None
        self._probing = True
        return False

    def usable_slots(self, slots: int, now_ms: int) -> int:
        """Returns how many of the endpoint's slots may be used now."""
        if self._unrestricted:
            return slots
        if self.is_ejected(now_ms):
            return 0
        if self._probing:
            return 1
        if not self._in_slow_start(now_ms):
            self._unrestricted = True
            return slots
        first = self._settings.slow_start_percent / 100
        elapsed_ms = now_ms - self._slow_start_began_ms
        share = first + (1 - first) * elapsed_ms / self._settings.slow_start_ms
        return max(1, int(slots * share))

    def _in_slow_start(self, now_ms: int) -> bool:
        if self._slow_start_began_ms is None:
            return False
        if now_ms - self._slow_start_began_ms < self._settings.slow_start_ms:
            return True
        self._slow_start_began_ms = None
        return False
