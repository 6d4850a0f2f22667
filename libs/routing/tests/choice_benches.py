"""A decision bench for plain services: hosts, endpoints and callers.

Time is simulated; neither network nor threads are used.
"""

import heapq
import itertools
import random

from masticquay_routing import choosers
from masticquay_routing import fleet_views
from masticquay_routing import fleets

RENEW_INTERVAL_MS = 400
# Work varies between half and one and a half times the mean.
WORK_SPREAD = 0.5
WARM_UP_MS = 4_000
SLOTS = 6


class Server:
    """An endpoint as it is; ``slots`` requests run at once, others wait.

    :ivar slowness: how many times as long its work takes
    :ivar fails: whether each request fails, None, 'error' or 'unreachable'
    """

    def __init__(self, endpoint, work_ms, rng):
        self.endpoint = endpoint
        self.work_ms = work_ms
        self.rng = rng
        self.slowness = 1.0
        self.fails = None
        self.free_ms = [0.0] * endpoint.slots

    def run(self, now_ms):
        """Returns when a request that arrives now is answered."""
        if self.fails:
            return now_ms + 1.0
        work_ms = self.work_ms * self.slowness
        work_ms *= self.rng.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        start_ms = max(now_ms, heapq.heappop(self.free_ms))
        heapq.heappush(self.free_ms, start_ms + work_ms)
        return start_ms + work_ms


class Bench:
    """A service and its hosts.

    :param per_s: requests of all callers together
    :param has_leader: whether hosts share what they know
    """

    def __init__(
        self,
        seed,
        hosts=1,
        endpoints=2,
        work_ms=30.0,
        per_s=None,
        has_leader=True,
        places=1,
    ):
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.work_ms = work_ms
        self.places = places
        self.now_ms = 100_000
        # A quarter of the slots is busy, and few requests are still many.
        capacity_per_s = endpoints * SLOTS * 1000 / work_ms
        self.per_s = per_s or min(30.0 * endpoints, 0.25 * capacity_per_s)
        self.servers = {}
        self.excluded_ids = set()
        self.fleet_view = fleet_views.FleetView(random.Random(seed))
        for _ in range(endpoints):
            self.add_server()
        self.choosers = [
            choosers.Chooser(f'p{n % places}', random.Random(seed * 1000 + n))
            for n in range(hosts)
        ]
        self.has_leader = has_leader
        self.events = []
        for number in range(hosts):
            self.add_event(self.rng.uniform(0, RENEW_INTERVAL_MS), number)
        self.add_event(0.0, None)
        self.arrivals = []

    def add_server(self):
        """Adds a server to the list of the service."""
        number = next(self.numbers)
        endpoint = fleets.Endpoint(
            f'e{number}',
            'svc',
            f'127.0.0.1:{number}',
            f'p{number % self.places}',
            SLOTS,
        )
        server = Server(endpoint, self.work_ms, self.rng)
        self.servers[endpoint.endpoint_id] = server
        self.fleet_view.set_endpoints(self.endpoints)
        return server

    def remove_server(self, endpoint_id):
        """Takes a server off the list."""
        del self.servers[endpoint_id]
        self.fleet_view.set_endpoints(self.endpoints)

    @property
    def endpoints(self):
        return [server.endpoint for server in self.servers.values()]

    def add_event(self, delay_ms, what):
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self.events, (at_ms, next(self.numbers), what))

    def run(self, duration_ms):
        """Runs for a time; returns the requests by endpoint id."""
        self.arrivals = []
        end_ms = self.now_ms + duration_ms
        while self.events[0][0] < end_ms:
            self.now_ms, _, what = heapq.heappop(self.events)
            if what is None:
                self.add_event(self.rng.expovariate(self.per_s / 1000), None)
                self.send(self.rng.choice(self.choosers))
            elif callable(what):
                what()
            else:
                self.add_event(RENEW_INTERVAL_MS, what)
                self.renew(what)
        self.now_ms = end_ms
        counts = dict.fromkeys(self.servers, 0)
        for endpoint_id in self.arrivals:
            counts[endpoint_id] = counts.get(endpoint_id, 0) + 1
        return counts

    def send(self, chooser):
        endpoint = chooser.choose(
            self.endpoints, self.excluded_ids, int(self.now_ms)
        )
        endpoint_id = endpoint.endpoint_id
        self.arrivals.append(endpoint_id)
        server = self.servers[endpoint_id]
        statistics = chooser.statistics(endpoint_id)
        statistics.begin()
        fails = server.fails
        started_ms = self.now_ms

        def end():
            now_ms = int(self.now_ms)
            statistics.end()
            if fails == 'unreachable':
                statistics.record_failure(now_ms, unreachable=True)
            elif fails == 'refused':
                statistics.record_refusal(now_ms)
            elif fails == 'error':
                statistics.record_error(now_ms)
            else:
                statistics.record_success(self.now_ms - started_ms, now_ms)

        self.add_event(server.run(self.now_ms) - self.now_ms, end)

    def renew(self, number):
        if not self.has_leader:
            return
        now_ms = int(self.now_ms)
        chooser = self.choosers[number]
        self.fleet_view.record(f'h{number}', chooser.collect_reports(), now_ms)
        chooser.apply_views(self.fleet_view.views(now_ms), now_ms)
