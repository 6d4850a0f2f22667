"""Chooses the endpoint of which a request gets a slot."""

import random

from masticquay_routing import service_levels
from masticquay_routing import slot_queues
from masticquay_routing import slot_servers
from masticquay_routing import work_times

# Endpoints whose work times differ by less than this factor count as equal, so
# that the less loaded one is chosen.
NEAR_FACTOR = 1.25
OTHER_PLACE_COST_MS = 3.0
# A nearly full endpoint is slower than an idle one by this.
LOAD_COST_MS = 10.0
# A request that is granted a slot when only the quickest endpoint could still
# answer it on time comes late at the others, and so do those behind it.
LIKELY_WORK_FACTOR = 1.4
# Added to the cost of an endpoint, multiplied by its failure rate.
FAILURE_COST_MS = 2_000.0
# An endpoint whose failure rate exceeds the lowest one by this gets requests
# only if there is no other. Its slots are free sooner than those of others.
FAILING_RATE = 0.4
# The least part of its equal share of an endpoint of usual speed.
MIN_SHARE = 0.25

Servers = list[slot_servers.SlotServer]


class SlotChooser:
    """Chooses by the work times of the endpoints."""

    def __init__(
        self, works: work_times.ServiceWorkTimes, randomness: random.Random
    ):
        self._works = works
        self._random = randomness

    def least_work_ms(self, servers: Servers, now_ms: int) -> float:
        """Returns how long work takes at the quickest endpoint."""
        return min(self._work_ms(server, now_ms) for server in servers)

    def mean_work_ms(self, servers: Servers, now_ms: int) -> float:
        """Returns the mean work time of the slots that get free."""
        slots = sum(s.slots for s in servers)
        return slots / self.rate_per_ms(servers, now_ms)

    def likely_work_ms(self, servers: Servers, now_ms: int) -> float:
        """Returns a time within which work at any free slot likely ends."""
        return LIKELY_WORK_FACTOR * self.mean_work_ms(servers, now_ms)

    def rate_per_ms(self, servers: Servers, now_ms: int) -> float:
        """Returns how many slots get free in a millisecond."""
        return sum(s.slots / self._work_ms(s, now_ms) for s in servers)

    def choose(
        self,
        request: slot_queues.SlotRequest,
        usable: Servers,
        excluded_ids: frozenset[str],
        now_ms: int,
    ) -> slot_servers.SlotServer | None:
        """Returns the free endpoint that will probably finish first.

        :param usable: the endpoints that may get requests
        :param excluded_ids: those that must not get this one
        :returns: None if none is free
        """
        rates = {
            s.endpoint.endpoint_id: self._works.failure_rate(
                s.endpoint.endpoint_id, now_ms
            )
            for s in usable
        }
        least_rate = min(rates.values())
        free = [
            server
            for server in usable
            if rates[server.endpoint.endpoint_id] < least_rate + FAILING_RATE
            and server.endpoint.endpoint_id not in excluded_ids
            and server.free(now_ms)
        ]
        if not free:
            return None
        least_ms = self.least_work_ms(free, now_ms)

        def cost_ms(server: slot_servers.SlotServer) -> tuple[float, float]:
            work_ms = self._work_ms(server, now_ms)
            if work_ms < NEAR_FACTOR * least_ms:
                work_ms = least_ms
            if server.endpoint.place != request.place:
                work_ms += OTHER_PLACE_COST_MS
            excess = rates[server.endpoint.endpoint_id] - least_rate
            work_ms += FAILURE_COST_MS * max(
                0.0, excess - service_levels.NEAR_FAILURE_RATE
            )
            share = server.occupied(now_ms) / server.slots
            return work_ms + LOAD_COST_MS * share, self._random.random()

        neglected = [
            server
            for server in self._find_neglected(free, usable, now_ms)
            if rates[server.endpoint.endpoint_id]
            < least_rate + service_levels.NEAR_FAILURE_RATE
        ]
        return min(neglected or free, key=cost_ms)

    def _find_neglected(
        self, free: Servers, usable: Servers, now_ms: int
    ) -> Servers:
        """Returns endpoints of usual speed with too small a share."""
        total = sum(s.recent_grants(now_ms) for s in usable)
        least_share = MIN_SHARE * total / len(usable)
        usual_ms = service_levels.NEAR_FACTOR * self.least_work_ms(
            usable, now_ms
        )
        return [
            s
            for s in free
            if s.recent_grants(now_ms) < least_share
            and self._work_ms(s, now_ms) < usual_ms
        ]

    def _work_ms(self, server: slot_servers.SlotServer, now_ms: int) -> float:
        return self._works.expected_ms(server.endpoint.endpoint_id, now_ms)
