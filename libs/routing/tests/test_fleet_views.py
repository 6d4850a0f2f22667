"""Tests of what all hosts together know of the endpoints."""

import unittest

from masticquay_routing import fleet_views
from masticquay_routing import fleets
from masticquay_routing import messages


def make_report(endpoint_id, **fields):
    """Returns a report of a host that has sent no requests."""
    values = {
        'in_flight': 0,
        'succeeded': 0,
        'errors': 0,
        'failed': 0,
        'unreachable': 0,
        'latency_ms': 0.0,
    }
    values.update(fields)
    return messages.EndpointReport(endpoint_id, **values)


class FleetViewTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 10_000
        self.fleet_view = fleet_views.FleetView()
        self.fleet_view.set_endpoints(
            [
                fleets.Endpoint(f'e{n}', 'svc', f'127.0.0.1:{n}', 'p1', 6)
                for n in range(4)
            ]
        )

    def record(self, host, endpoint_id, **fields):
        report = make_report(endpoint_id, **fields)
        return self.fleet_view.record(host, [report], self.now_ms)

    def view(self, endpoint_id):
        """Returns the view of an endpoint, None if there is none."""
        self.now_ms += fleet_views.VIEWS_INTERVAL_MS
        views = self.fleet_view.views(self.now_ms)
        return {v.endpoint_id: v for v in views}.get(endpoint_id)

    def test_in_flight_requests_of_all_hosts_are_added(self):
        self.record('h1', 'e0', in_flight=2)
        self.record('h2', 'e0', in_flight=3)
        self.record('h2', 'e0', in_flight=1)
        self.assertEqual(3, self.view('e0').in_flight)

    def test_in_flight_requests_of_a_lost_host_are_forgotten(self):
        self.record('h1', 'e0', in_flight=2)
        self.record('h2', 'e0', in_flight=3)
        self.fleet_view.drop_host('h1')
        self.assertEqual(3, self.view('e0').in_flight)

    def test_in_flight_requests_of_a_silent_host_expire(self):
        self.record('h1', 'e0', in_flight=2)
        self.now_ms += fleet_views.IN_FLIGHT_TTL_MS
        self.assertEqual(0, self.view('e0').in_flight)

    def test_endpoint_that_fails_two_hosts_is_ejected(self):
        self.record('h1', 'e0', failed=2, unreachable=2)
        self.assertEqual(
            ['e0'], self.record('h2', 'e0', failed=1, unreachable=1)
        )
        self.assertGreater(self.view('e0').ejected_ms, 0)

    def test_endpoint_that_loses_responses_is_not_ejected(self):
        """It still runs part of the requests."""
        for host in ('h1', 'h2', 'h3'):
            self.assertEqual([], self.record(host, 'e0', failed=5))

    def test_endpoint_that_fails_one_host_is_not_ejected(self):
        """That host may be cut off from the endpoint."""
        self.assertEqual(
            [], self.record('h1', 'e0', failed=20, unreachable=20)
        )
        self.assertEqual(0, self.view('e0').ejected_ms)

    def test_endpoint_that_fails_a_cut_off_data_centre_is_not_ejected(self):
        for host in ('h1', 'h2', 'h3', 'h4'):
            self.record(host, 'e0', succeeded=2)
        for host in ('h5', 'h6'):
            self.assertEqual(
                [], self.record(host, 'e0', failed=2, unreachable=2)
            )

    def test_ejected_endpoints_are_at_most_half_of_a_service(self):
        for number in range(4):
            self.record('h1', f'e{number}', failed=5, unreachable=5)
            self.record('h2', f'e{number}', failed=5, unreachable=5)
        self.now_ms += fleet_views.VIEWS_INTERVAL_MS
        views = self.fleet_view.views(self.now_ms)
        self.assertEqual(2, sum(v.ejected_ms > 0 for v in views))

    def test_endpoint_that_fails_again_is_ejected_for_longer(self):
        self.record('h1', 'e0', failed=5, unreachable=5)
        self.record('h2', 'e0', failed=5, unreachable=5)
        self.now_ms += fleet_views.EJECT_MIN_MS
        self.record('h1', 'e0', failed=5, unreachable=5)
        self.record('h2', 'e0', failed=5, unreachable=5)
        self.assertGreater(
            self.view('e0').ejected_ms, fleet_views.EJECT_MIN_MS
        )

    def test_failures_that_may_be_chance_do_not_count(self):
        """All hosts would avoid the endpoint at once."""
        for number in range(4):
            self.record('h1', f'e{number}', succeeded=20, errors=number % 2)
        self.assertEqual(0.0, self.view('e1').failure_rate)

    def test_endpoint_that_fails_much_more_often_than_others_is_known(self):
        for number in range(4):
            self.record('h1', f'e{number}', succeeded=20, errors=1)
        self.record('h2', 'e1', succeeded=5, errors=20)
        self.assertGreater(self.view('e1').failure_rate, 0.2)
        self.assertEqual(0.0, self.view('e0').failure_rate)

    def test_latency_of_all_endpoints_is_equal_unless_one_is_slow(self):
        for number, latency_ms in enumerate((90.0, 100.0, 110.0, 400.0)):
            self.record(
                'h1', f'e{number}', succeeded=10, latency_ms=latency_ms
            )
        self.assertEqual(400.0, self.view('e3').latency_ms)
        latencies_ms = {self.view(f'e{n}').latency_ms for n in range(3)}
        self.assertLess(max(latencies_ms), 200.0)

    def test_reports_on_unlisted_endpoints_are_ignored(self):
        self.record('h1', 'gone', failed=5, unreachable=5)
        self.assertIsNone(self.view('gone'))

    def test_endpoint_that_leaves_the_list_is_forgotten(self):
        self.record('h1', 'e0', succeeded=5)
        self.fleet_view.set_endpoints([])
        self.assertIsNone(self.view('e0'))

    # Guards against issue 38: hosts thought all endpoints idle that were not
    # among the first of the list.
    def test_all_endpoints_are_told_in_turn_if_one_answer_has_no_room(self):
        ids = [f'n{n}' for n in range(2 * fleet_views.MAX_VIEWS)]
        self.fleet_view.set_endpoints(
            [fleets.Endpoint(i, 'svc', '127.0.0.1:1', 'p1', 6) for i in ids]
        )
        told_ids = set()
        for _ in range(30):
            for endpoint_id in ids:
                self.record('h1', endpoint_id, in_flight=1)
            self.now_ms += fleet_views.VIEWS_INTERVAL_MS
            views = self.fleet_view.views(self.now_ms)
            told_ids.update(view.endpoint_id for view in views)
        self.assertEqual(set(ids), told_ids)
