"""Which endpoint of a plain service gets a request."""

import random

from masticquay_routing import fleets

START_LATENCY_MS = 20.0
LATENCY_GAIN = 0.2
FAILURE_GAIN = 0.25
# How fast a bad record is forgiven without new evidence.
FORGIVE_HALF_LIFE_MS = 4_000
FAILURE_COST_MS = 2_000.0
OTHER_PLACE_COST_MS = 3.0
REPORT_LIFE_MS = 1_000
EJECT_AFTER_FAILURES = 2
EJECT_MIN_MS = 1_000
EJECT_MAX_MS = 8_000


class Record:
    """What one host knows of one endpoint from its own requests."""

    __slots__ = (
        'in_flight',
        'latency_ms',
        'failure_share',
        'failures_in_row',
        'ejected_until_ms',
        'eject_ms',
        'updated_ms',
        'reported_load',
        'reported_ms',
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_ms = START_LATENCY_MS
        self.failure_share = 0.0
        self.failures_in_row = 0
        self.ejected_until_ms = 0
        self.eject_ms = EJECT_MIN_MS
        self.updated_ms = 0
        self.reported_load = 0
        self.reported_ms = -REPORT_LIFE_MS

    def note_success(self, latency_ms: float, now_ms: int) -> None:
        """Notes an answer."""
        self.latency_ms += LATENCY_GAIN * (latency_ms - self.latency_ms)
        self.failure_share = self._forgiven(now_ms) * (1 - FAILURE_GAIN)
        self.failures_in_row = 0
        self.eject_ms = EJECT_MIN_MS
        self.updated_ms = now_ms

    def note_failure(self, now_ms: int, hard: bool) -> None:
        """Notes a failure.

        :param hard: whether the endpoint gave no answer at all
        """
        share = self._forgiven(now_ms)
        self.failure_share = share + FAILURE_GAIN * (1 - share)
        self.updated_ms = now_ms
        if not hard:
            return
        self.failures_in_row += 1
        if self.failures_in_row >= EJECT_AFTER_FAILURES:
            self.ejected_until_ms = now_ms + self.eject_ms
            self.eject_ms = min(EJECT_MAX_MS, self.eject_ms * 2)

    def note_load(self, load: int, now_ms: int) -> None:
        """Notes the load that the endpoint reported, in requests."""
        self.reported_load = max(0, load - self.in_flight)
        self.reported_ms = now_ms

    def cost_ms(self, slots: int, now_ms: int) -> float:
        """Returns the time that a request would take, failures included."""
        age_ms = now_ms - self.reported_ms
        fresh = max(0.0, 1 - age_ms / REPORT_LIFE_MS)
        load = self.in_flight + self.reported_load * fresh
        queue = max(1.0, (load + 1) / max(1, slots))
        failing = self._forgiven(now_ms) * FAILURE_COST_MS
        return self.latency_ms * queue + 0.1 * load + failing

    def _forgiven(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self.updated_ms)
        return self.failure_share * 0.5 ** (age_ms / FORGIVE_HALF_LIFE_MS)


class Chooser:
    """Chooses endpoints by what they would cost; keeps their records.

    :param place: the data centre of this host
    """

    def __init__(self, place: str, randomness: random.Random):
        self._place = place
        self._random = randomness
        self._records: dict[str, Record] = {}

    def record(self, endpoint_id: str) -> Record:
        """Returns the record of an endpoint."""
        found = self._records.get(endpoint_id)
        if found is None:
            found = self._records[endpoint_id] = Record()
        return found

    def forget_others(self, endpoints: list[fleets.Endpoint]) -> None:
        """Drops the records of endpoints that are gone."""
        known = {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint_id in list(self._records):
            record = self._records[endpoint_id]
            if endpoint_id not in known and not record.in_flight:
                del self._records[endpoint_id]

    def choose(
        self,
        endpoints: list[fleets.Endpoint],
        tried: set[str],
        now_ms: int,
    ) -> fleets.Endpoint | None:
        """Returns the cheapest endpoint that was not tried yet.

        Ejected endpoints are used only when there is no other.
        """
        usable = [
            endpoint
            for endpoint in endpoints
            if not endpoint.leaving and endpoint.endpoint_id not in tried
        ]
        sound = [
            endpoint
            for endpoint in usable
            if self.record(endpoint.endpoint_id).ejected_until_ms <= now_ms
        ]
        candidates = sound or usable
        if not candidates:
            return None
        self._random.shuffle(candidates)
        return min(candidates, key=lambda e: self._cost(e, now_ms))

    def _cost(self, endpoint: fleets.Endpoint, now_ms: int) -> float:
        record = self.record(endpoint.endpoint_id)
        cost = record.cost_ms(endpoint.slots, now_ms)
        if endpoint.place != self._place:
            cost += OTHER_PLACE_COST_MS
        return cost
