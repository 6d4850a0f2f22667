"""How long requests take at the endpoints of a plain service, and fail."""

from masticquay_routing import server_loads

# What was learnt of an endpoint counts half after this time.
HALF_LIFE_MS = 500
# What is usual in a service changes slowly.
USUAL_HALF_LIFE_MS = 5_000
# Assumed before the first response.
DEFAULT_WORK_MS = 100.0
# The weight of the usual time against that of one response.
USUAL_WEIGHT = 0.5
MIN_WORK_MS = 0.5
FAILURE_HALF_LIFE_MS = 1_000
# The weight of no failure against that of one response.
SOUND_WEIGHT = 1.0


class AgingMean:
    """A mean in which samples count less with their age."""

    __slots__ = ('_half_life_ms', '_sum', '_weight', '_updated_ms')

    def __init__(self, half_life_ms: int):
        self._half_life_ms = half_life_ms
        self._sum = 0.0
        self._weight = 0.0
        self._updated_ms = 0

    def add(self, value: float, now_ms: int) -> None:
        """Adds a sample."""
        keep = self._keep(now_ms)
        self._sum = self._sum * keep + value
        self._weight = self._weight * keep + 1
        self._updated_ms = now_ms

    def value(self, now_ms: int, usual: float, usual_weight: float) -> float:
        """Returns the mean of the samples and of what is usual."""
        keep = self._keep(now_ms)
        total = self._sum * keep + usual * usual_weight
        return total / (self._weight * keep + usual_weight)

    def _keep(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self._updated_ms)
        return 0.5 ** (age_ms / self._half_life_ms)


class WorkTime:
    """The work time of one endpoint.

    Where the endpoint reports its pace, the durations are those of usual
    pace, and the last pace reported counts less with its age.
    """

    __slots__ = ('failures', '_durations', '_pace', '_pace_ms')

    def __init__(self) -> None:
        self.failures = AgingMean(FAILURE_HALF_LIFE_MS)
        self._durations = AgingMean(HALF_LIFE_MS)
        self._pace = 0
        self._pace_ms = 0

    def learn(self, duration_ms: float, now_ms: int) -> None:
        """Learns the duration of a request at usual pace."""
        self._durations.add(duration_ms, now_ms)

    def learn_pace(self, pace: int, now_ms: int) -> None:
        """Records the pace that the endpoint reported."""
        self._pace = pace
        self._pace_ms = now_ms

    def expected_ms(self, usual_ms: float, now_ms: int) -> float:
        """Returns how long a request that starts now will probably take."""
        duration_ms = self._durations.value(now_ms, usual_ms, USUAL_WEIGHT)
        return max(MIN_WORK_MS, duration_ms * self._pace_factor(now_ms))

    def _pace_factor(self, now_ms: int) -> float:
        if not self._pace:
            return 1.0
        weight = 0.5 ** (max(0, now_ms - self._pace_ms) / HALF_LIFE_MS)
        return 1 + (self._pace / server_loads.USUAL_PACE - 1) * weight


class ServiceWorkTimes:
    """The work times of a service's endpoints and what is usual there."""

    __slots__ = ('_usual', '_by_id', '_known', '_known_ms')

    def __init__(self) -> None:
        self._usual = AgingMean(USUAL_HALF_LIFE_MS)
        self._by_id: dict[str, WorkTime] = {}
        # The expected times at one moment, as they are used many times then.
        self._known: dict[str, float] = {}
        self._known_ms = 0

    def drop_unlisted(self, listed_ids: set[str]) -> None:
        """Drops what is known of endpoints that are no longer listed."""
        for endpoint_id in list(self._by_id):
            if endpoint_id not in listed_ids:
                del self._by_id[endpoint_id]

    def learn(
        self,
        endpoint_id: str,
        duration_ms: float,
        pace: int,
        now_ms: int,
    ) -> None:
        """Learns from a response.

        :param duration_ms: 0 if only the pace is known
        :param pace: 0 if it is not known
        """
        self._known.clear()
        work = self._by_id.setdefault(endpoint_id, WorkTime())
        if duration_ms > 0:
            if pace:
                duration_ms *= server_loads.USUAL_PACE / pace
            work.learn(duration_ms, now_ms)
            self._usual.add(duration_ms, now_ms)
        if pace:
            work.learn_pace(pace, now_ms)

    def learn_outcome(
        self, endpoint_id: str, has_failed: bool, now_ms: int
    ) -> None:
        """Records whether a request failed."""
        work = self._by_id.setdefault(endpoint_id, WorkTime())
        work.failures.add(float(has_failed), now_ms)

    def failure_rate(self, endpoint_id: str, now_ms: int) -> float:
        """Returns the share of recent requests that failed."""
        work = self._by_id.get(endpoint_id)
        if work is None:
            return 0.0
        return work.failures.value(now_ms, 0.0, SOUND_WEIGHT)

    def expected_ms(self, endpoint_id: str, now_ms: int) -> float:
        """Returns how long a request will probably take at an endpoint."""
        if now_ms != self._known_ms:
            self._known.clear()
            self._known_ms = now_ms
        known_ms = self._known.get(endpoint_id)
        if known_ms is None:
            known_ms = self._compute_ms(endpoint_id, now_ms)
            self._known[endpoint_id] = known_ms
        return known_ms

    def _compute_ms(self, endpoint_id: str, now_ms: int) -> float:
        usual_ms = self._usual.value(now_ms, DEFAULT_WORK_MS, 0.01)
        work = self._by_id.get(endpoint_id)
        return work.expected_ms(usual_ms, now_ms) if work else usual_ms
