"""A decision bench for scarce plain services: callers, hosts and endpoints.

Time is simulated; neither network nor threads are used.
"""

import heapq
import itertools
import random

from masticquay_routing import choosers
from masticquay_routing import fleet_views
from masticquay_routing import fleets
from masticquay_routing import server_loads
from masticquay_routing import slot_messages
from masticquay_routing import slot_pools

SLOTS = 6
WORKS_MS = (63.0, 63.0, 153.0)
WORK_SPREAD = 0.5
LINK_MS = 1.0
RENEW_INTERVAL_MS = 400
TARGET_MS = 300
DEADLINE_MS = 2_000
ATTEMPTS = 3
RETRY_AFTER_MS = 300
TICK_MS = 100


class Server:
    """An endpoint that refuses what it has no slot for."""

    def __init__(self, number, work_ms, rng):
        self.endpoint = fleets.Endpoint(
            f'e{number}', 'svc', f'127.0.0.1:{number}', 'p', SLOTS
        )
        self.work_ms = work_ms
        self.rng = rng
        # How many times as long its work takes.
        self.slowness = 1.0
        self.running = 0
        self.arrivals = 0
        self.rejections = 0

    def begin(self):
        """Returns how long a request takes, None if it is rejected."""
        self.arrivals += 1
        if self.running >= SLOTS:
            self.rejections += 1
            return None
        self.running += 1
        spread = self.rng.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        return self.work_ms * self.slowness * spread


class Request:
    def __init__(self, host, now_ms):
        self.host = host
        self.sent_ms = now_ms
        self.arrived_ms = now_ms
        self.tried_ids = set()

    def remaining_ms(self, limit_ms, now_ms):
        return int(self.sent_ms + limit_ms - now_ms)


class Bench:
    """Hosts in front of a service; each chooses by itself without a pool."""

    def __init__(self, seed, has_pool, hosts=76, per_s=61.6, works=WORKS_MS):
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.numbers = itertools.count(1)
        self.events = []
        self.now_ms = 10_000.0
        self.servers = {
            f'e{n}': Server(n, work_ms, self.rng)
            for n, work_ms in enumerate(works)
        }
        self.endpoints = [s.endpoint for s in self.servers.values()]
        self.view = fleet_views.FleetView(random.Random(seed))
        self.view.set_endpoints(self.endpoints)
        self.choosers = [
            choosers.Chooser('p', random.Random(seed * 1000 + n))
            for n in range(hosts)
        ]
        self.pool = None
        if has_pool:
            self.pool = slot_pools.SlotPool(random.Random(seed))
            self.pool.set_endpoints(self.endpoints)
            self.after(TICK_MS, self.tick)
        self.asking = {}
        # Overrides what the answers say of the load.
        self.reported_load = None
        self.finished = []
        self.lost = 0
        self.refusals = 0
        for number in range(hosts):
            delay_ms = self.rng.uniform(0, RENEW_INTERVAL_MS)
            self.after(delay_ms, lambda n=number: self.renew(n))
        self.after(0, self.arrive)

    @property
    def now(self):
        return int(self.now_ms)

    @property
    def rejected_share(self):
        arrivals = sum(s.arrivals for s in self.servers.values())
        rejections = sum(s.rejections for s in self.servers.values())
        return rejections / arrivals

    @property
    def late_share(self):
        late = sum(ms > TARGET_MS for ms in self.finished) + self.lost
        return late / (len(self.finished) + self.lost)

    def after(self, delay_ms, action):
        event = (self.now_ms + delay_ms, next(self.numbers), action)
        heapq.heappush(self.events, event)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        self.now_ms = end_ms

    def reset_counts(self):
        self.finished = []
        self.lost = self.refusals = 0
        for server in self.servers.values():
            server.arrivals = server.rejections = 0

    def arrive(self):
        self.after(self.rng.expovariate(self.per_s / 1000), self.arrive)
        host = self.rng.randrange(len(self.choosers))
        self.start(Request(host, self.now_ms))

    def start(self, request):
        """Takes a request of a caller, which may have returned."""
        request.arrived_ms = self.now_ms
        request.tried_ids = set()
        self.attempt(request)

    def attempt(self, request):
        if request.remaining_ms(DEADLINE_MS, self.now_ms) <= 0:
            self.lost += 1
        elif len(request.tried_ids) >= ATTEMPTS:
            self.refuse(request, RETRY_AFTER_MS)
        elif self.pool is not None:
            self.after(LINK_MS, lambda: self.ask(request, next(self.numbers)))
        else:
            endpoint = self.choosers[request.host].choose(
                self.endpoints, request.tried_ids, self.now
            )
            self.send(request, endpoint, None)

    def refuse(self, request, return_ms):
        self.refusals += 1
        if request.remaining_ms(DEADLINE_MS, self.now_ms) <= return_ms:
            self.lost += 1
        else:
            self.after(return_ms, lambda: self.start(request))

    def ask(self, request, number):
        host = f'h{request.host}'
        ask = slot_messages.AskSlot(
            host,
            number,
            'svc',
            1,
            request.remaining_ms(TARGET_MS, self.now_ms),
            request.remaining_ms(DEADLINE_MS, self.now_ms),
            sorted(request.tried_ids),
            int(self.now_ms - request.arrived_ms),
            'p',
        )
        self.asking[host, number] = request
        answer = self.pool.ask(ask, self.now)
        if answer is not None:
            self.answer((host, number), answer)
        self.plan()

    def plan(self):
        for key, answer in self.pool.plan(self.now):
            self.answer(key, answer)

    def answer(self, key, answer):
        request = self.asking.pop(key)
        if answer.endpoint_id:
            endpoint = self.servers[answer.endpoint_id].endpoint
            self.after(LINK_MS, lambda: self.send(request, endpoint, key))
        elif answer.wait_ms:
            self.after(2 * LINK_MS, lambda: self.ask(request, key[1]))
        else:
            self.after(LINK_MS, lambda: self.refuse(request, answer.return_ms))

    def send(self, request, endpoint, key):
        request.tried_ids.add(endpoint.endpoint_id)
        server = self.servers[endpoint.endpoint_id]
        statistics = self.choosers[request.host].statistics(
            endpoint.endpoint_id
        )
        statistics.begin()
        work_ms = server.begin()
        self.after(
            work_ms or LINK_MS,
            lambda: self.end(request, server, statistics, key, work_ms),
        )

    def end(self, request, server, statistics, key, work_ms):
        statistics.end()
        load = self.reported_load or server_loads.ServerLoad(server.running, 0)
        statistics.record_load(load.in_flight, self.now)
        if work_ms is None:
            statistics.record_refusal(self.now)
            self.attempt(request)
        else:
            server.running -= 1
            statistics.record_success(work_ms, self.now)
            self.finished.append(self.now_ms - request.sent_ms)
        if key is not None:
            ended = slot_messages.SlotEnded(
                *key, 'svc', work_ms or 0.0, work_ms is None, load
            )
            self.after(LINK_MS, lambda: self.release(ended))

    def release(self, ended):
        self.pool.end(ended, self.now)
        self.plan()

    def tick(self):
        self.after(TICK_MS, self.tick)
        self.pool.expire(self.now)
        self.plan()

    def renew(self, number):
        self.after(RENEW_INTERVAL_MS, lambda: self.renew(number))
        chooser = self.choosers[number]
        reports = chooser.collect_reports()
        self.view.record(f'h{number}', reports, self.now)
        chooser.apply_views(self.view.views(self.now), self.now)
