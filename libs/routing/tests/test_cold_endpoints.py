"""Tests of endpoints that have just started."""

import random
import unittest

from masticquay_routing import choosers
from masticquay_routing import cold_endpoints
from masticquay_routing import fleets
from masticquay_routing import named_limits
from masticquay_routing import tables

RATE_PER_S = 2.0
START_MS = 40_000
SERVICES = {
    'svc': tables.Service('svc', '/', 10, None, RATE_PER_S, START_MS),
    'free': tables.Service('free', '/', 10, None),
}


def make_endpoint(number, service='svc', cold_ms=0, started_ms=0):
    return fleets.Endpoint(
        f'e{number}',
        service,
        f'10.0.0.{number}:80',
        'p1',
        started_ms=started_ms,
        cold_ms=cold_ms,
    )


class ColdStartsTest(unittest.TestCase):
    def setUp(self):
        self.starts = cold_endpoints.ColdStarts()

    def mark(self, now_ms, *endpoints):
        """Returns the endpoints that count as cold."""
        marked = self.starts.mark(list(endpoints), SERVICES, now_ms)
        return list(cold_endpoints.find_rates(marked, SERVICES))

    def test_list_says_which_endpoints_are_cold(self):
        cold = make_endpoint(1, cold_ms=5)
        free = make_endpoint(2, 'free', cold_ms=5)
        self.assertEqual(['e1'], self.mark(1, cold, free, make_endpoint(3)))
        self.assertEqual([], self.mark(2, make_endpoint(1)))

    # Guards against full load on a server whose list says 0 at first.
    def test_start_during_service_counts_as_cold_for_a_while(self):
        known, restarted = make_endpoint(1), make_endpoint(2, started_ms=7)
        self.assertEqual([], self.mark(1, known, restarted))
        restarted = make_endpoint(2, started_ms=8)
        seen = (known, restarted, make_endpoint(3))
        self.assertEqual(['e2', 'e3'], self.mark(10, *seen))
        self.assertEqual(['e2', 'e3'], self.mark(9 + START_MS, *seen))
        self.assertEqual([], self.mark(10 + START_MS, *seen))

    # Guards against lists that go to all hosts each second.
    def test_list_does_not_change_with_each_second(self):
        lists = {
            tuple(
                self.starts.mark([make_endpoint(1, cold_ms=ms)], SERVICES, 1)
            )
            for ms in range(29_000, 1_000, -1_000)
        }
        self.assertEqual(1, len(lists))

    def test_lower_of_the_cold_rate_and_a_named_limit_holds(self):
        known = named_limits.KnownLimits()
        known.cold_rates = {'e1': RATE_PER_S}
        for named_per_s, expected_per_s in (
            (1.0, 1.0),
            (9.0, 2.0),
            (None, 2.0),
        ):
            known.hear(make_endpoint(1), named_per_s, 0)
            self.assertEqual(expected_per_s, known.get('e1').rate_per_s)

    def test_others_come_before_a_cold_endpoint(self):
        chooser = choosers.Chooser('p1', random.Random(1))
        both = [make_endpoint(1, cold_ms=5), make_endpoint(2)]
        for _ in range(20):
            chosen = chooser.choose(both, set(), 0)
            self.assertEqual('e2', chosen.endpoint_id)
        self.assertEqual('e1', chooser.choose(both, {'e2'}, 0).endpoint_id)
