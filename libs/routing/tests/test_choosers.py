"""Tests of the load balancing among endpoints."""

import random
import unittest

from masticquay_routing import choosers
from masticquay_routing import endpoint_statistics
from masticquay_routing import fleets
from masticquay_routing import messages


def make_endpoints(count, **fields):
    """Returns endpoints e0, e1, ... in one data centre."""
    return [
        fleets.Endpoint(f'e{n}', 'svc', f'127.0.0.1:{n}', 'p1', 4, **fields)
        for n in range(count)
    ]


class ChooserTest(unittest.TestCase):
    def setUp(self):
        self.chooser = choosers.Chooser('p1', random.Random(1))
        self.endpoints = make_endpoints(3)

    def choose(self, now_ms=0, tried=()):
        return self.chooser.choose(self.endpoints, set(tried), now_ms)

    def test_least_loaded_endpoint_is_chosen(self):
        """This host's own requests in flight count immediately."""
        for name in ('e0', 'e2'):
            self.chooser.statistics(name).in_flight = 6
        self.assertEqual('e1', self.choose().endpoint_id)

    def test_reported_load_counts_until_it_expires(self):
        """Requests of other hosts are known only from load reports."""
        for name in ('e0', 'e1'):
            self.chooser.statistics(name).record_load(20, 0)
        self.assertEqual('e2', self.choose(10).endpoint_id)
        later = {self.choose(5_000).endpoint_id for _ in range(50)}
        self.assertEqual({'e0', 'e1', 'e2'}, later)

    def record_paces(self, *paces):
        for endpoint, pace in zip(self.endpoints, paces, strict=True):
            statistics = self.chooser.statistics(endpoint.endpoint_id)
            statistics.record_success(90.0, 0)
            statistics.record_load(0, 0, pace)

    def test_endpoint_at_a_slow_pace_is_avoided_for_a_moment(self):
        """The pace changes many times a second."""
        self.record_paces(250, 100, 100)
        chosen = {self.choose(50).endpoint_id for _ in range(50)}
        self.assertEqual({'e1', 'e2'}, chosen)
        later = {self.choose(500).endpoint_id for _ in range(50)}
        self.assertEqual({'e0', 'e1', 'e2'}, later)

    # Guards against herds: all hosts that hear of it would go there at once.
    def test_quick_pace_attracts_no_requests(self):
        self.record_paces(20, 100, 100)
        chosen = {self.choose(10).endpoint_id for _ in range(50)}
        self.assertEqual({'e0', 'e1', 'e2'}, chosen)

    def test_partly_failing_endpoint_is_not_chosen(self):
        """Some requests fail although the health check passes."""
        statistics = self.chooser.statistics('e0')
        for now_ms in range(0, 500, 100):
            statistics.record_error(now_ms)
        chosen = {self.choose(500).endpoint_id for _ in range(50)}
        self.assertEqual({'e1', 'e2'}, chosen)

    def test_unresponsive_endpoint_is_ejected_and_retried(self):
        statistics = self.chooser.statistics('e0')
        statistics.record_failure(0)
        statistics.record_failure(0)
        chosen = {self.choose(1).endpoint_id for _ in range(50)}
        self.assertNotIn('e0', chosen)
        statistics.failure_rate = 0.0
        later_ms = endpoint_statistics.EJECT_MIN_MS + 1
        chosen = {self.choose(later_ms).endpoint_id for _ in range(50)}
        self.assertIn('e0', chosen)

    def test_skipped_endpoints_are_counted_by_cause(self):
        skips = []
        self.chooser = choosers.Chooser(
            'p1', random.Random(1), lambda *skip: skips.append(skip)
        )
        self.chooser.statistics('e0').record_refusal(0)
        for _ in range(2):
            self.chooser.statistics('e1').record_failure(0)
        self.assertEqual('e2', self.choose(1).endpoint_id)
        self.assertEqual(
            [(choosers.CAUSE_FULL, 'e0'), (choosers.CAUSE_EJECTED, 'e1')],
            skips,
        )

    def test_ejected_endpoints_are_used_if_all_are_ejected(self):
        for endpoint in self.endpoints:
            statistics = self.chooser.statistics(endpoint.endpoint_id)
            statistics.record_failure(0)
            statistics.record_failure(0)
        self.assertIsNotNone(self.choose(1))

    def test_slow_endpoint_is_not_chosen(self):
        for _ in range(10):
            self.chooser.statistics('e0').record_success(400, 0)
            self.chooser.statistics('e1').record_success(60, 0)
            self.chooser.statistics('e2').record_success(60, 0)
        chosen = {self.choose().endpoint_id for _ in range(50)}
        self.assertEqual({'e1', 'e2'}, chosen)

    def test_leaving_and_tried_endpoints_are_not_chosen(self):
        self.endpoints[0].leaving = True
        self.assertEqual('e2', self.choose(tried=['e1']).endpoint_id)
        self.assertIsNone(self.choose(tried=['e1', 'e2']))

    def test_own_place_is_preferred(self):
        self.endpoints = make_endpoints(2)
        self.endpoints[0].place = 'p2'
        chosen = {self.choose().endpoint_id for _ in range(20)}
        self.assertEqual({'e1'}, chosen)

    def test_statistics_of_unlisted_endpoints_are_dropped(self):
        self.chooser.statistics('gone').record_failure(0)
        self.chooser.drop_unlisted(self.endpoints)
        self.assertEqual(
            0, self.chooser.statistics('gone').consecutive_failures
        )

    def test_timeout_beside_other_responses_is_no_failure(self):
        """The request took too long, as its route allows little time."""
        statistics = self.chooser.statistics('e0')
        statistics.record_success(60, 500)
        for _ in range(3):
            statistics.record_timeout(started_ms=100, now_ms=1_100)
        self.assertFalse(statistics.is_ejected(1_100))

    def test_timeout_without_any_response_is_a_failure(self):
        statistics = self.chooser.statistics('e0')
        statistics.record_success(60, 50)
        for _ in range(2):
            statistics.record_timeout(started_ms=100, now_ms=1_100)
        self.assertTrue(statistics.is_ejected(1_100))

    def test_endpoint_that_loses_responses_is_better_than_full_ones(self):
        """Its losses have ejected it, but it runs part of the requests."""
        for _ in range(2):
            self.chooser.statistics('e0').record_failure(0)
        for name in ('e1', 'e2'):
            self.chooser.statistics(name).record_refusal(0)
        self.assertEqual('e0', self.choose(1).endpoint_id)

    def test_request_that_must_not_be_repeated_is_rather_refused(self):
        """Its caller could not know whether a lost one has run."""
        for _ in range(2):
            self.chooser.statistics('e0').record_failure(0)
        for name in ('e1', 'e2'):
            self.chooser.statistics(name).record_refusal(0)
        chosen = self.chooser.choose(self.endpoints, set(), 1, False)
        self.assertNotEqual('e0', chosen.endpoint_id)

    def test_unreachable_endpoint_is_worse_than_full_ones(self):
        for _ in range(2):
            self.chooser.statistics('e0').record_failure(0, unreachable=True)
        for name in ('e1', 'e2'):
            self.chooser.statistics(name).record_refusal(0)
        self.assertNotEqual('e0', self.choose(1).endpoint_id)

    def test_endpoint_ejected_by_the_fleet_is_not_chosen(self):
        view = messages.EndpointView('e0', 0, 60.0, 0.0, 1_500)
        self.chooser.apply_views([view], 0)
        chosen = {self.choose(100).endpoint_id for _ in range(50)}
        self.assertEqual({'e1', 'e2'}, chosen)

    def test_requests_of_other_hosts_count_until_the_view_is_old(self):
        view = messages.EndpointView('e0', 20, 60.0, 0.0, 0)
        self.chooser.apply_views([view], 0)
        chosen = {self.choose(100).endpoint_id for _ in range(50)}
        self.assertEqual({'e1', 'e2'}, chosen)
        later = {self.choose(5_000).endpoint_id for _ in range(50)}
        self.assertEqual({'e0', 'e1', 'e2'}, later)

    def test_report_counts_each_request_once(self):
        statistics = self.chooser.statistics('e0')
        statistics.begin()
        statistics.record_success(60, 0)
        statistics.record_success(80, 0)
        statistics.record_error(0)
        statistics.record_failure(0)
        expected = messages.EndpointReport('e0', 1, 2, 1, 1, 0, 70.0)
        self.assertEqual([expected], self.chooser.collect_reports())
        expected = messages.EndpointReport('e0', 1, 0, 0, 0, 0, 0.0)
        self.assertEqual([expected], self.chooser.collect_reports())

    def test_timeout_is_not_reported_as_unreachable(self):
        """Load pattern: a service of many hosts is overloaded.

        Each host sees few responses, so timeouts of slow but sound endpoints
        must not make all hosts avoid them.
        """
        statistics = self.chooser.statistics('e0')
        statistics.record_timeout(started_ms=100, now_ms=1_100)
        report = self.chooser.collect_reports()[0]
        self.assertEqual((1, 0), (report.failed, report.unreachable))

    def test_end_of_the_last_request_is_reported(self):
        statistics = self.chooser.statistics('e0')
        statistics.begin()
        self.chooser.collect_reports()
        statistics.end()
        self.assertEqual(0, self.chooser.collect_reports()[0].in_flight)
        self.assertEqual([], self.chooser.collect_reports())
