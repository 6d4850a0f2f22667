"""What all hosts together know of the endpoints of plain services.

With many hosts, each one sends few requests to an endpoint and learns slowly
that it fails, is slow or is loaded. The hosts report what they saw with their
renewals, and the leader answers with the view of the fleet.
"""

import collections
import random

from masticquay_routing import endpoint_totals
from masticquay_routing import fleets
from masticquay_routing import messages

# Results count in the view for this long.
WINDOW_MS = 2_000
# A host's requests in flight count for this long after its last report.
IN_FLIGHT_TTL_MS = 1_500
# An endpoint is ejected if it took no connection for at least this share of
# recent requests, or for all since its last success, and if these were this
# many and from this many hosts. One host alone may be cut off.
EJECT_UNREACHABLE_SHARE = 0.5
EJECT_MIN_HOSTS = 2
EJECT_MIN_FAILURES = 3
EJECT_MIN_MS = 1_500
EJECT_MAX_MS = 8_000
# No more than this share of a service's endpoints is ejected at a time.
MAX_EJECTED_SHARE = 0.5
# Hosts that renew within this time get the same views.
VIEWS_INTERVAL_MS = 100
# The views in one answer; the ejected and failing endpoints come first. The
# others take turns, so that hosts do not think those left out idle.
MAX_VIEWS = 32


class _Result:
    """The results of one host's requests since its previous report."""

    __slots__ = ('at_ms', 'host', 'report')

    def __init__(self, at_ms: int, host: str, report: messages.EndpointReport):
        self.at_ms = at_ms
        self.host = host
        self.report = report


class _EndpointState:
    """The reports on one endpoint."""

    __slots__ = (
        'results',
        'in_flight_by_host',
        'reported_ms_by_host',
        'ejected_until_ms',
        'ejection_ms',
    )

    def __init__(self) -> None:
        self.results: collections.deque[_Result] = collections.deque()
        self.in_flight_by_host: dict[str, int] = {}
        self.reported_ms_by_host: dict[str, int] = {}
        self.ejected_until_ms = 0
        self.ejection_ms = EJECT_MIN_MS

    def drop_old(self, now_ms: int) -> None:
        while self.results and self.results[0].at_ms <= now_ms - WINDOW_MS:
            self.results.popleft()
        for host, at_ms in list(self.reported_ms_by_host.items()):
            if at_ms <= now_ms - IN_FLIGHT_TTL_MS:
                self.drop_host(host)

    def drop_host(self, host: str) -> None:
        self.in_flight_by_host.pop(host, None)
        self.reported_ms_by_host.pop(host, None)

    def is_dark(self) -> bool:
        """Whether the results justify an ejection."""
        failures = [r for r in self.results if r.report.unreachable]
        succeeded = sum(r.report.succeeded for r in self.results)
        failed = sum(r.report.unreachable for r in failures)
        if failed >= EJECT_UNREACHABLE_SHARE * (failed + succeeded):
            return _are_enough(failures)
        last_success_ms = max(
            (r.at_ms for r in self.results if r.report.succeeded), default=0
        )
        return _are_enough([r for r in failures if r.at_ms > last_success_ms])

    def totals(self) -> endpoint_totals.Totals:
        """Returns the sums over the recent results."""
        totals = endpoint_totals.Totals()
        for result in self.results:
            totals.add(result.report)
        return totals


def _are_enough(failures: list[_Result]) -> bool:
    """Whether enough requests of enough hosts failed for an ejection."""
    hosts = {failure.host for failure in failures}
    failed = sum(failure.report.unreachable for failure in failures)
    return len(hosts) >= EJECT_MIN_HOSTS and failed >= EJECT_MIN_FAILURES


class FleetView:
    """Collects the hosts' reports; uses neither the network nor a clock."""

    def __init__(self, randomness: random.Random | None = None) -> None:
        self._random = randomness or random.Random()
        self._service_by_id: dict[str, str] = {}
        self._states: dict[str, _EndpointState] = {}
        self._views: list[messages.EndpointView] = []
        self._views_ms = -VIEWS_INTERVAL_MS

    def set_endpoints(self, endpoints: list[fleets.Endpoint]) -> None:
        """Replaces the list of endpoints; drops what is known of others."""
        self._service_by_id = {e.endpoint_id: e.service for e in endpoints}
        for endpoint_id in list(self._states):
            if endpoint_id not in self._service_by_id:
                del self._states[endpoint_id]

    def record(
        self, host: str, reports: list[messages.EndpointReport], now_ms: int
    ) -> list[str]:
        """Records a host's reports.

        :returns: the ids of the endpoints that are ejected by these reports
        """
        ejected = []
        for report in reports:
            if report.endpoint_id not in self._service_by_id:
                continue
            state = self._states.setdefault(
                report.endpoint_id, _EndpointState()
            )
            state.drop_old(now_ms)
            state.in_flight_by_host[host] = report.in_flight
            state.reported_ms_by_host[host] = now_ms
            state.results.append(_Result(now_ms, host, report))
            if self._update_ejection(report.endpoint_id, state, now_ms):
                ejected.append(report.endpoint_id)
        return ejected

    def drop_host(self, host: str) -> None:
        """Forgets the requests in flight of a host that is gone."""
        for state in self._states.values():
            state.drop_host(host)

    def views(self, now_ms: int) -> list[messages.EndpointView]:
        """Returns what hosts should know of the endpoints in use."""
        if now_ms - self._views_ms >= VIEWS_INTERVAL_MS:
            self._views = self._make_views(now_ms)
            self._views_ms = now_ms
        return self._views

    def _make_views(self, now_ms: int) -> list[messages.EndpointView]:
        active_ids = self._find_active(now_ms)
        totals_by_id = {i: self._states[i].totals() for i in active_ids}
        totals_by_service: dict[str, endpoint_totals.Totals] = {}
        for endpoint_id, totals in totals_by_id.items():
            service = self._service_by_id[endpoint_id]
            sums = totals_by_service.get(service, endpoint_totals.Totals())
            totals_by_service[service] = sums.plus(totals)
        views = []
        for endpoint_id, totals in totals_by_id.items():
            service = self._service_by_id[endpoint_id]
            others = totals_by_service[service].plus(totals, sign=-1)
            state = self._states[endpoint_id]
            views.append(
                messages.EndpointView(
                    endpoint_id,
                    in_flight=sum(state.in_flight_by_host.values()),
                    latency_ms=endpoint_totals.expected_latency_ms(
                        totals, others
                    ),
                    failure_rate=endpoint_totals.excess_failure_rate(
                        totals, others
                    ),
                    ejected_ms=max(0, state.ejected_until_ms - now_ms),
                )
            )
        self._random.shuffle(views)
        views.sort(key=lambda v: (-v.ejected_ms, -v.failure_rate))
        return views[:MAX_VIEWS]

    def _find_active(self, now_ms: int) -> list[str]:
        """Returns the ids of the endpoints with recent reports."""
        active_ids = []
        for endpoint_id, state in self._states.items():
            state.drop_old(now_ms)
            if (
                state.results
                or state.in_flight_by_host
                or state.ejected_until_ms > now_ms
            ):
                active_ids.append(endpoint_id)
        return active_ids

    def _update_ejection(
        self, endpoint_id: str, state: _EndpointState, now_ms: int
    ) -> bool:
        """Ejects an endpoint that is dark; returns whether it did so now."""
        if state.ejected_until_ms > now_ms:
            return False
        if not state.is_dark():
            if any(r.report.succeeded for r in state.results):
                state.ejection_ms = EJECT_MIN_MS
            return False
        if not self._may_eject(endpoint_id, now_ms):
            return False
        state.ejected_until_ms = now_ms + state.ejection_ms
        state.ejection_ms = min(EJECT_MAX_MS, state.ejection_ms * 2)
        state.results.clear()
        return True

    def _may_eject(self, endpoint_id: str, now_ms: int) -> bool:
        """Whether enough endpoints of the same service stay in use."""
        service = self._service_by_id[endpoint_id]
        listed = [i for i, s in self._service_by_id.items() if s == service]
        ejected = sum(
            self._states[i].ejected_until_ms > now_ms
            for i in listed
            if i in self._states
        )
        return ejected + 1 <= len(listed) * MAX_EJECTED_SHARE
