"""Load pattern: an endpoint of a plain service goes dark in a large fleet.

With 190 hosts, each host sends one request in three seconds. If each learned
by its own callers' failures, most requests to the dark endpoint would fail
for as long as it is dark.
"""

import random
import unittest

from masticquay_routing import choosers
from masticquay_routing import fleet_views
from masticquay_routing import fleets

HOST_COUNT = 190
ENDPOINT_COUNT = 5
REQUEST_INTERVAL_MS = 3_000
RENEW_INTERVAL_MS = 400
STEP_MS = 10
LATENCY_MS = 90.0
DARK_MS = 4_000


class Fleet:
    """Hosts that choose endpoints and renew, in simulated time.

    :param shares_views: whether the hosts get the view of the fleet
    """

    def __init__(self, seed, shares_views):
        self.rng = random.Random(seed)
        self.shares_views = shares_views
        self.endpoints = [
            fleets.Endpoint(f'e{n}', 'svc', f'127.0.0.1:{n}', f'p{n}', 6)
            for n in range(ENDPOINT_COUNT)
        ]
        self.fleet_view = fleet_views.FleetView()
        self.fleet_view.set_endpoints(self.endpoints)
        self.choosers = [
            choosers.Chooser(f'p{n % ENDPOINT_COUNT}', random.Random(n))
            for n in range(HOST_COUNT)
        ]
        self.renewal_offsets_ms = [
            self.rng.randrange(0, RENEW_INTERVAL_MS, STEP_MS)
            for _ in self.choosers
        ]
        self.now_ms = 10_000
        self.sent_by_endpoint = dict.fromkeys(
            (e.endpoint_id for e in self.endpoints), 0
        )

    def run(self, duration_ms, dark_ids=()):
        """Runs for a time; returns how many requests failed."""
        failed = 0
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            for number, chooser in enumerate(self.choosers):
                if self.rng.random() < STEP_MS / REQUEST_INTERVAL_MS:
                    failed += self.send(chooser, dark_ids)
                offset_ms = self.renewal_offsets_ms[number]
                if self.now_ms % RENEW_INTERVAL_MS == offset_ms:
                    self.renew(number, chooser)
            self.now_ms += STEP_MS
        return failed

    def send(self, chooser, dark_ids):
        endpoint = chooser.choose(self.endpoints, set(), self.now_ms)
        self.sent_by_endpoint[endpoint.endpoint_id] += 1
        statistics = chooser.statistics(endpoint.endpoint_id)
        if endpoint.endpoint_id in dark_ids:
            statistics.record_failure(self.now_ms, unreachable=True)
            return 1
        statistics.record_success(LATENCY_MS, self.now_ms)
        return 0

    def renew(self, number, chooser):
        if not self.shares_views:
            return
        reports = chooser.collect_reports()
        self.fleet_view.record(f'h{number}', reports, self.now_ms)
        chooser.apply_views(self.fleet_view.views(self.now_ms), self.now_ms)


class DarkEndpointLoadTest(unittest.TestCase):
    def count_failures(self, shares_views):
        fleet = Fleet(1, shares_views)
        fleet.run(2_000)
        return fleet.run(DARK_MS, dark_ids=('e0',))

    def test_dark_endpoint_is_known_to_all_hosts_within_a_second(self):
        for seed in range(5):
            fleet = Fleet(seed, shares_views=True)
            fleet.run(2_000)
            fleet.run(1_000, dark_ids=('e0',))
            self.assertEqual(0, fleet.run(300, dark_ids=('e0',)))

    def test_fleet_view_saves_half_of_the_failures(self):
        self.assertLess(
            self.count_failures(shares_views=True),
            0.5 * self.count_failures(shares_views=False),
        )

    def test_endpoint_that_is_back_is_used_again(self):
        fleet = Fleet(2, shares_views=True)
        fleet.run(2_000)
        fleet.run(DARK_MS, dark_ids=('e0',))
        fleet.run(fleet_views.EJECT_MAX_MS)
        before = fleet.sent_by_endpoint['e0']
        fleet.run(3_000)
        self.assertGreater(fleet.sent_by_endpoint['e0'] - before, 20)

    def test_chance_failures_do_not_move_all_hosts_to_one_endpoint(self):
        """All endpoints fail one request in ten, as some requests do."""
        fleet = Fleet(3, shares_views=True)

        def send(chooser, dark_ids):
            endpoint = chooser.choose(fleet.endpoints, set(), fleet.now_ms)
            fleet.sent_by_endpoint[endpoint.endpoint_id] += 1
            statistics = chooser.statistics(endpoint.endpoint_id)
            if fleet.rng.random() < 0.1:
                statistics.record_error(fleet.now_ms)
            else:
                statistics.record_success(LATENCY_MS, fleet.now_ms)
            return 0

        fleet.send = send
        fleet.run(10_000)
        counts = fleet.sent_by_endpoint.values()
        self.assertLess(max(counts), 1.5 * sum(counts) / ENDPOINT_COUNT)
