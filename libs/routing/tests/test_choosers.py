"""Tests of the choice among endpoints of a plain service."""

import random
import unittest

from masticquay_routing import choosers
from masticquay_routing import fleets


def make_endpoints(count, **more):
    """Returns endpoints of one place."""
    return [
        fleets.Endpoint(f'e{n}', 'svc', f'127.0.0.1:{n}', 'p1', 4, **more)
        for n in range(count)
    ]


class ChooserTest(unittest.TestCase):
    def setUp(self):
        self.chooser = choosers.Chooser('p1', random.Random(1))
        self.endpoints = make_endpoints(3)

    def choose(self, now_ms=0, tried=()):
        return self.chooser.choose(self.endpoints, set(tried), now_ms)

    def test_least_loaded(self):
        """Burst: what is in flight here counts at once."""
        for name in ('e0', 'e2'):
            self.chooser.record(name).in_flight = 6
        self.assertEqual('e1', self.choose().endpoint_id)

    def test_reported_load_counts_and_fades(self):
        """Other hosts' requests show in the reports only."""
        for name in ('e0', 'e1'):
            self.chooser.record(name).note_load(20, 0)
        self.assertEqual('e2', self.choose(10).endpoint_id)
        later = {self.choose(5_000).endpoint_id for _ in range(50)}
        self.assertEqual({'e0', 'e1', 'e2'}, later)

    def test_grey_endpoint_is_left_aside(self):
        """Grey endpoint: part of its requests fail, its health is good."""
        record = self.chooser.record('e0')
        for now_ms in range(0, 500, 100):
            record.note_failure(now_ms, hard=False)
        chosen = {self.choose(500).endpoint_id for _ in range(50)}
        self.assertEqual({'e1', 'e2'}, chosen)

    def test_mute_endpoint_is_ejected_and_tried_again(self):
        record = self.chooser.record('e0')
        record.note_failure(0, hard=True)
        record.note_failure(0, hard=True)
        chosen = {self.choose(1).endpoint_id for _ in range(50)}
        self.assertNotIn('e0', chosen)
        record.failure_share = 0.0
        later_ms = choosers.EJECT_MIN_MS + 1
        chosen = {self.choose(later_ms).endpoint_id for _ in range(50)}
        self.assertIn('e0', chosen)

    def test_all_ejected_are_used_all_the_same(self):
        for endpoint in self.endpoints:
            record = self.chooser.record(endpoint.endpoint_id)
            record.note_failure(0, hard=True)
            record.note_failure(0, hard=True)
        self.assertIsNotNone(self.choose(1))

    def test_slow_endpoint_costs_more(self):
        for _ in range(10):
            self.chooser.record('e0').note_success(400, 0)
            self.chooser.record('e1').note_success(60, 0)
            self.chooser.record('e2').note_success(60, 0)
        chosen = {self.choose().endpoint_id for _ in range(50)}
        self.assertEqual({'e1', 'e2'}, chosen)

    def test_leaving_and_tried_are_left_out(self):
        self.endpoints[0].leaving = True
        self.assertEqual('e2', self.choose(tried=['e1']).endpoint_id)
        self.assertIsNone(self.choose(tried=['e1', 'e2']))

    def test_own_place_is_preferred(self):
        self.endpoints = make_endpoints(2)
        self.endpoints[0].place = 'p2'
        chosen = {self.choose().endpoint_id for _ in range(20)}
        self.assertEqual({'e1'}, chosen)

    def test_records_of_gone_endpoints_are_dropped(self):
        self.chooser.record('gone').note_failure(0, hard=True)
        self.chooser.forget_others(self.endpoints)
        self.assertEqual(0, self.chooser.record('gone').failures_in_row)
