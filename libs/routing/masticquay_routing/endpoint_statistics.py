"""What a host knows of one endpoint of a service without model engines."""

import threading

from masticquay_routing import messages
from masticquay_routing import server_loads
from masticquay_routing import service_levels

# Weights of a new sample in the moving averages.
LATENCY_SMOOTHING = 0.2
FAILURE_SMOOTHING = 0.25
# An error response often says more about the request than about the endpoint.
ERROR_SMOOTHING = 0.1
# Half-life of what is known of the latency of an endpoint without responses.
LATENCY_HALF_LIFE_MS = 400
# Half-life of the failure rate of an endpoint that gets no requests.
FAILURE_HALF_LIFE_MS = 1_000
# Added to the cost of an endpoint, multiplied by its failure rate.
FAILURE_COST_MS = 2_000.0
# Requests go to other endpoints before all slots of one are taken, as a nearly
# full endpoint is slower and its load is known late.
SPILL_SHARE = 0.7
# A reported load counts less with age, and not at all after this time.
LOAD_REPORT_TTL_MS = 1_000
# Half-life of a pace above the usual. It changes many times a second.
PACE_HALF_LIFE_MS = 150
# What the fleet knows of an endpoint counts for this long.
VIEW_TTL_MS = 1_000
EJECT_AFTER_FAILURES = 2
EJECT_MIN_MS = 1_000
EJECT_MAX_MS = 8_000
# An endpoint that refused a request counts as full for this long.
FULL_PAUSE_MS = 200


class EndpointStatistics:
    """Statistics of one endpoint, from this host's own requests.

    While the leader can be reached, they are completed by the view that all
    hosts together have of the endpoint.
    """

    __slots__ = (
        'in_flight',
        'latency_ms',
        'latency_updated_ms',
        'failure_rate',
        'consecutive_failures',
        'ejected_until_ms',
        'ejection_ms',
        'failure_updated_ms',
        'last_response_ms',
        'full_until_ms',
        'unreachable',
        'other_load',
        'load_reported_ms',
        'pace',
        'pace_reported_ms',
        '_lock',
        '_view',
        '_view_ms',
        '_others_in_flight',
        '_succeeded',
        '_errors',
        '_failed',
        '_unreachable',
        '_latency_sum_ms',
        '_reported_in_flight',
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_ms: float | None = None
        self.latency_updated_ms = 0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until_ms = 0
        self.ejection_ms = EJECT_MIN_MS
        self.failure_updated_ms = 0
        self.last_response_ms: int | None = None
        self.full_until_ms = 0
        self.unreachable = False
        self.other_load = 0
        self.load_reported_ms = -LOAD_REPORT_TTL_MS
        self.pace = 0
        self.pace_reported_ms = 0
        self._lock = threading.Lock()
        self._view: messages.EndpointView | None = None
        self._view_ms = 0
        self._others_in_flight = 0
        self._reported_in_flight = 0
        self._reset_counts()

    def begin(self) -> None:
        """Records that a request is being sent to the endpoint."""
        with self._lock:
            self.in_flight += 1

    def end(self) -> None:
        """Records that a request to the endpoint has ended."""
        with self._lock:
            self.in_flight -= 1

    def record_success(self, latency_ms: float, now_ms: int) -> None:
        """Records a successful request."""
        with self._lock:
            self._succeeded += 1
            self._latency_sum_ms += latency_ms
            self._learn_latency(latency_ms, now_ms)
            self.failure_rate = self._decayed_failure_rate(now_ms) * (
                1 - FAILURE_SMOOTHING
            )
            self.failure_updated_ms = now_ms
            self.ejection_ms = EJECT_MIN_MS
            self._record_response(now_ms)

    def record_error(self, now_ms: int) -> None:
        """Records an error response of the endpoint."""
        with self._lock:
            self._errors += 1
            self._raise_failure_rate(ERROR_SMOOTHING, now_ms)
            self._record_response(now_ms)

    def record_refusal(self, now_ms: int) -> None:
        """Records that the endpoint refused a request without running it."""
        with self._lock:
            self._errors += 1
            self._raise_failure_rate(ERROR_SMOOTHING, now_ms)
            self.full_until_ms = now_ms + FULL_PAUSE_MS
            self.last_response_ms = now_ms

    def record_failure(self, now_ms: int, unreachable: bool = False) -> None:
        """Records a request without a valid response.

        :param unreachable: whether no connection could be established
        """
        with self._lock:
            self._unreachable += unreachable
            self._record_failure(now_ms, unreachable)

    def record_timeout(self, started_ms: int, now_ms: int) -> None:
        """Records that a request got no response in its time.

        It is a failure of the endpoint only if the endpoint has answered no
        other request of this host meanwhile; else the request itself took too
        long. It does not count as unreachable for other hosts, as a host with
        few requests cannot tell the two apart.
        """
        with self._lock:
            last_ms = self.last_response_ms
            if last_ms is None or last_ms < started_ms:
                self._record_failure(now_ms, unreachable=True)

    def record_load(self, load: int, now_ms: int, pace: int = 0) -> None:
        """Records the number of requests in flight at the endpoint.

        :param pace: see ``server_loads.ServerLoad``, 0 if it is not known
        """
        with self._lock:
            self.other_load = max(0, load - self.in_flight)
            self.load_reported_ms = now_ms
            self.pace = pace
            self.pace_reported_ms = now_ms

    def apply_view(self, view: messages.EndpointView, now_ms: int) -> None:
        """Applies what all hosts together know of the endpoint."""
        with self._lock:
            self._view = view
            self._view_ms = now_ms
            self._others_in_flight = max(
                0, view.in_flight - self._reported_in_flight
            )

    def collect(self, endpoint_id: str) -> messages.EndpointReport | None:
        """Returns the report on the time since the last one.

        :returns: None if there is nothing to report
        """
        with self._lock:
            results = self._succeeded + self._errors + self._failed
            in_flight = self.in_flight
            if not results and not in_flight and not self._reported_in_flight:
                return None
            report = messages.EndpointReport(
                endpoint_id,
                in_flight,
                self._succeeded,
                self._errors,
                self._failed,
                self._unreachable,
                self._latency_sum_ms / max(1, self._succeeded),
            )
            self._reported_in_flight = in_flight
            self._reset_counts()
            return report

    def is_ejected(self, now_ms: int) -> bool:
        """Whether this host has ejected the endpoint."""
        return self.ejected_until_ms > now_ms

    def is_ejected_by_fleet(self, now_ms: int) -> bool:
        """Whether the endpoint takes no connections of several hosts."""
        view = self._view
        return view is not None and now_ms < self._view_ms + view.ejected_ms

    def is_full(self, now_ms: int) -> bool:
        """Whether the endpoint has just refused a request."""
        return self.full_until_ms > now_ms

    def known_latency_ms(self, now_ms: int) -> float | None:
        """Returns the latency as last seen, None if it was never seen."""
        view = self._fresh_view(now_ms)
        if view is not None and view.latency_ms:
            return view.latency_ms
        return self.latency_ms

    def known_failure_rate(self, now_ms: int) -> float:
        """Returns the failure rate, less with its age."""
        view = self._fresh_view(now_ms)
        if view is not None:
            return view.failure_rate
        return self._decayed_failure_rate(now_ms)

    def cost_ms(
        self, slots: int, now_ms: int, usual: service_levels.Level
    ) -> float:
        """Returns the expected time of a request, plus a failure penalty.

        Of two endpoints with free slots, the one with less load costs less.

        :param usual: what is usual among the endpoints of the service
        """
        latency_ms = usual.round_latency_ms(
            max(
                self._expected_latency_ms(now_ms, usual.latency_ms),
                usual.latency_ms * self._pace_factor(now_ms),
            )
        )
        load = self.in_flight + self._other_load(now_ms)
        queueing_factor = max(1.0, (load + 1) / max(1, slots * SPILL_SHARE))
        failure_cost_ms = FAILURE_COST_MS * usual.excess_failure_rate(
            self.known_failure_rate(now_ms)
        )
        return latency_ms * queueing_factor + 0.1 * load + failure_cost_ms

    def _expected_latency_ms(self, now_ms: int, usual_ms: float) -> float:
        """Returns the latency, which is the more like the usual the older.

        While a request of this host is at the endpoint, its answer decides.
        """
        latency_ms = self.known_latency_ms(now_ms)
        if latency_ms is None:
            return usual_ms
        if self.in_flight or self._fresh_view(now_ms) is not None:
            return latency_ms
        weight = self._latency_weight(now_ms)
        return usual_ms + weight * (latency_ms - usual_ms)

    def _pace_factor(self, now_ms: int) -> float:
        """Returns how many times as long as usual work takes, at least 1.

        A pace below the usual attracts nothing: many hosts would hear of it
        at the same time, and it is over when their requests arrive.
        """
        excess = self.pace / server_loads.USUAL_PACE - 1
        if excess <= 0:
            return 1.0
        age_ms = max(0, now_ms - self.pace_reported_ms)
        return 1 + excess * 0.5 ** (age_ms / PACE_HALF_LIFE_MS)

    def _latency_weight(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self.latency_updated_ms)
        return 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)

    def _learn_latency(self, latency_ms: float, now_ms: int) -> None:
        """Adds a sample to the moving average.

        A lower one replaces what has aged; a single high one may be chance.
        """
        known_ms = self.latency_ms
        smoothing = LATENCY_SMOOTHING
        if known_ms is None:
            known_ms = latency_ms
        elif latency_ms < known_ms:
            aged = 1 - self._latency_weight(now_ms)
            smoothing = max(smoothing, aged)
        self.latency_ms = known_ms + smoothing * (latency_ms - known_ms)
        self.latency_updated_ms = now_ms

    def _fresh_view(self, now_ms: int) -> messages.EndpointView | None:
        if now_ms - self._view_ms >= VIEW_TTL_MS:
            return None
        return self._view

    def _other_load(self, now_ms: int) -> float:
        """Returns the requests of other hosts that are at the endpoint.

        The newer of the endpoint's own report and the view of the fleet
        counts, less with its age.
        """
        load, reported_ms = self.other_load, self.load_reported_ms
        if self._view is not None and self._view_ms > reported_ms:
            load, reported_ms = self._others_in_flight, self._view_ms
        freshness = 1 - (now_ms - reported_ms) / LOAD_REPORT_TTL_MS
        return load * max(0.0, freshness)

    def _record_failure(self, now_ms: int, unreachable: bool) -> None:
        self._failed += 1
        self._raise_failure_rate(FAILURE_SMOOTHING, now_ms)
        self.unreachable = unreachable
        self.consecutive_failures += 1
        if self.consecutive_failures >= EJECT_AFTER_FAILURES:
            self.ejected_until_ms = now_ms + self.ejection_ms
            self.ejection_ms = min(EJECT_MAX_MS, self.ejection_ms * 2)

    def _record_response(self, now_ms: int) -> None:
        self.consecutive_failures = 0
        self.unreachable = False
        self.last_response_ms = now_ms

    def _raise_failure_rate(self, smoothing: float, now_ms: int) -> None:
        rate = self._decayed_failure_rate(now_ms)
        self.failure_rate = rate + smoothing * (1 - rate)
        self.failure_updated_ms = now_ms

    def _decayed_failure_rate(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self.failure_updated_ms)
        return self.failure_rate * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def _reset_counts(self) -> None:
        self._succeeded = 0
        self._errors = 0
        self._failed = 0
        self._unreachable = 0
        self._latency_sum_ms = 0.0
