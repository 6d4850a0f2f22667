"""Shares out the slots of one scarce plain service.

Uses neither the network nor a clock.
"""

import random

from masticquay_routing import fleets
from masticquay_routing import host_pauses
from masticquay_routing import server_loads
from masticquay_routing import slot_choosers
from masticquay_routing import slot_messages
from masticquay_routing import slot_queues
from masticquay_routing import slot_returns
from masticquay_routing import slot_servers
from masticquay_routing import work_times

# A host gets an answer after this time, as it takes a leader that does not
# answer for lost a little later.
HOLD_MS = 100
# A waiting request whose host does not ask on in this time has been given up.
ASK_ON_MS = 300
MIN_WAIT_MS = 20
# From this part of its endpoints on, busy ones make a service scarce. In large
# services some always are, and the others have room.
SCARCE_ENDPOINTS_SHARE = 0.25
# A service is scarce until this time after the last sign of it.
SCARCE_TTL_MS = 1_000
# How long the end of a request is remembered, as an account of the requests
# of its host may arrive after it.
ENDED_TTL_MS = 3_000

RequestKey = slot_queues.RequestKey
Outcome = tuple[RequestKey, slot_messages.SlotAnswer]
_Servers = list[slot_servers.SlotServer]


class Totals:
    """Counts of one pool since it began."""

    __slots__ = ('granted', 'refused', 'waited', 'rejected')

    def __init__(self) -> None:
        self.granted = 0
        self.refused = 0
        self.waited = 0
        self.rejected = 0


class SlotPool:
    """The slots of a service, and the requests that wait for one.

    Only a request whose host waits for the answer can be granted a slot.
    """

    def __init__(self, randomness: random.Random | None = None):
        self._servers: dict[str, slot_servers.SlotServer] = {}
        self._queue = slot_queues.SlotQueue()
        self._works = work_times.ServiceWorkTimes()
        self._chooser = slot_choosers.SlotChooser(
            self._works, randomness or random.Random()
        )
        # When the host of a waiting request gets an answer at the latest.
        self._answer_by_ms: dict[RequestKey, int] = {}
        # When one that got such an answer is given up.
        self._ask_on_by_ms: dict[RequestKey, int] = {}
        self._server_by_key: dict[RequestKey, slot_servers.SlotServer] = {}
        self._ended_ms: dict[RequestKey, int] = {}
        self._asking_hosts: dict[str, int] = {}
        self._pauses = host_pauses.HostPauses()
        self._returns = slot_returns.ReturnTimes()
        self._scarce_until_ms = 0
        self.totals = Totals()

    @property
    def queue_length(self) -> int:
        """The number of waiting requests."""
        return len(self._queue)

    @property
    def granted_count(self) -> int:
        """The number of requests that have a slot."""
        return len(self._server_by_key)

    def is_scarce(self, now_ms: int) -> bool:
        """Whether hosts should ask for slots."""
        self._look_for_scarcity(now_ms)
        return self._scarce_until_ms > now_ms

    def set_endpoints(self, endpoints: list[fleets.Endpoint]) -> None:
        """Replaces the list of endpoints of the service."""
        listed = {e.endpoint_id: e for e in endpoints}
        for endpoint_id in list(self._servers):
            if endpoint_id not in listed:
                for key in self._servers.pop(endpoint_id).granted:
                    self._server_by_key.pop(key, None)
        for endpoint_id, endpoint in listed.items():
            server = self._servers.get(endpoint_id)
            if server is None:
                self._servers[endpoint_id] = slot_servers.SlotServer(endpoint)
            else:
                server.endpoint = endpoint
        self._works.drop_unlisted(set(listed))

    def set_ejected(self, endpoint_id: str, until_ms: int) -> None:
        """Records until when an endpoint gets no requests."""
        server = self._servers.get(endpoint_id)
        if server is not None:
            server.ejected_until_ms = until_ms

    def ask(
        self, ask: slot_messages.AskSlot, now_ms: int
    ) -> slot_messages.SlotAnswer | None:
        """Queues a request.

        :returns: the answer if there is one at once; else ``plan`` has it
        """
        key = (ask.host, ask.number)
        self._asking_hosts[ask.host] = now_ms
        held = self._server_by_key.get(key)
        if held is not None:
            return slot_messages.SlotAnswer(held.endpoint.endpoint_id)
        if key in self._ended_ms:
            return slot_messages.SlotAnswer()
        request = self._queue.get(key)
        if request is not None:
            wait_ms = self._wait_ms(request, now_ms)
            self._await_answer(key, now_ms + max(HOLD_MS, int(wait_ms)))
            return None
        request = slot_queues.make_request(ask, now_ms)
        servers = self._usable_servers(request, now_ms)
        if not servers:
            return slot_messages.SlotAnswer()
        end_ms = now_ms + self._wait_ms(request, now_ms)
        end_ms += self._chooser.mean_work_ms(servers, now_ms)
        if end_ms > request.deadline_by_ms:
            return self._refuse(servers, now_ms)
        self._queue.add(request)
        self._await_answer(key, now_ms + HOLD_MS)
        return None

    def end(self, ended: slot_messages.SlotEnded, now_ms: int) -> None:
        """Frees the slot of a request, or takes it out of the queue."""
        key = (ended.host, ended.number)
        self._ended_ms[key] = now_ms
        self._drop_waiting(key)
        server = self._server_by_key.pop(key, None)
        if server is None:
            return
        until_ms = server.granted.pop(key, 0)
        if ended.pause_ms:
            self.record_pause(
                ended.host,
                server.endpoint.endpoint_id,
                ended.pause_ms,
                now_ms,
            )
        if ended.may_run:
            # It probably ends within the work time.
            work_ms = int(self._chooser.least_work_ms([server], now_ms))
            server.granted[key] = min(until_ms, now_ms + work_ms)
        if ended.is_rejected:
            server.record_rejection(now_ms)
            self._scarce_until_ms = now_ms + SCARCE_TTL_MS
            self.totals.rejected += 1
        elif ended.duration_ms:
            server.record_success()
        self._learn(server, ended, now_ms)

    def record_pause(
        self, host: str, endpoint_id: str, pause_ms: int, now_ms: int
    ) -> None:
        """Records that an endpoint wants no requests of a host.

        Those that wait are passed over there, and keep their place.
        """
        self._pauses.add(host, endpoint_id, now_ms + pause_ms)

    def plan(self, now_ms: int) -> list[Outcome]:
        """Grants free slots, and answers hosts that wait too long."""
        outcomes: list[Outcome] = []
        if not len(self._queue):
            return outcomes
        self._refuse_hopeless(outcomes, now_ms)
        while self._grant_next(outcomes, now_ms):
            pass
        if len(self._queue):
            self._scarce_until_ms = now_ms + SCARCE_TTL_MS
        for key, answer_by_ms in list(self._answer_by_ms.items()):
            if answer_by_ms <= now_ms:
                request = self._queue.get(key)
                wait_ms = max(MIN_WAIT_MS, self._wait_ms(request, now_ms))
                answer = slot_messages.SlotAnswer(wait_ms=int(wait_ms))
                outcomes.append((key, answer))
                del self._answer_by_ms[key]
                self._ask_on_by_ms[key] = now_ms + ASK_ON_MS
        return outcomes

    def expire(self, now_ms: int) -> None:
        """Frees slots whose requests must have ended; forgets old ends."""
        for server in self._servers.values():
            for key in server.expire(now_ms):
                self._server_by_key.pop(key, None)
                self._ended_ms[key] = now_ms
        for key, until_ms in list(self._ask_on_by_ms.items()):
            if until_ms <= now_ms:
                self._drop_waiting(key)
        self._pauses.expire(now_ms)
        for times_ms in (self._ended_ms, self._asking_hosts):
            for name, at_ms in list(times_ms.items()):
                if at_ms <= now_ms - ENDED_TTL_MS:
                    del times_ms[name]

    def release_host(self, host: str) -> list[RequestKey]:
        """Drops all requests of a host that restarted or was lost.

        :returns: the keys of those that waited
        """
        self._pauses.drop_host(host)
        for server in self._servers.values():
            server.drop_host(host)
        for key in [k for k in self._server_by_key if k[0] == host]:
            del self._server_by_key[key]
        waiting = [k for k in self._answer_by_ms if k[0] == host]
        for key in [
            *waiting,
            *(k for k in self._ask_on_by_ms if k[0] == host),
        ]:
            self._drop_waiting(key)
        return waiting

    def reconcile(
        self,
        host: str,
        newest: int,
        held: dict[int, slot_messages.HeldSlot],
        now_ms: int,
    ) -> list[RequestKey]:
        """Frees the slots of requests whose end was not told.

        Takes over those that an earlier leader granted.

        :param newest: the highest number that the host has given
        :param held: the requests of this service that have not ended
        :returns: the keys of those that were freed
        """
        lost = [
            key
            for key in self._server_by_key
            if key[0] == host and key[1] <= newest and key[1] not in held
        ]
        for key in lost:
            self._server_by_key.pop(key).granted.pop(key, None)
        for number, slot in held.items():
            key = (host, number)
            server = self._servers.get(slot.endpoint_id)
            if server is None or key in self._ended_ms:
                continue
            if key not in self._server_by_key:
                self._drop_waiting(key)
                server.granted[key] = now_ms + max(0, slot.deadline_ms)
                self._server_by_key[key] = server
        return lost

    def record_others(
        self, host: str, endpoint_id: str, count: int, now_ms: int
    ) -> None:
        """Records what a host has in flight without a slot."""
        server = self._servers.get(endpoint_id)
        if server is not None:
            is_asking = host in self._asking_hosts
            server.record_others(host, count, is_asking, now_ms)

    def record_latency(
        self, host: str, endpoint_id: str, latency_ms: float, now_ms: int
    ) -> None:
        """Learns from the requests of a host that asks for no slots."""
        if endpoint_id in self._servers and host not in self._asking_hosts:
            self._works.learn(endpoint_id, latency_ms, 0, now_ms)

    def _look_for_scarcity(self, now_ms: int) -> None:
        usable = [s for s in self._servers.values() if s.is_usable(now_ms)]
        scarce = sum(s.is_scarce(now_ms) for s in usable)
        if scarce and scarce >= SCARCE_ENDPOINTS_SHARE * len(usable):
            self._scarce_until_ms = now_ms + SCARCE_TTL_MS

    def _await_answer(self, key: RequestKey, by_ms: int) -> None:
        self._answer_by_ms[key] = by_ms
        self._ask_on_by_ms.pop(key, None)

    def _drop_waiting(self, key: RequestKey) -> None:
        self._queue.remove(key)
        self._answer_by_ms.pop(key, None)
        self._ask_on_by_ms.pop(key, None)

    def _learn(
        self,
        server: slot_servers.SlotServer,
        ended: slot_messages.SlotEnded,
        now_ms: int,
    ) -> None:
        pace = 0
        if ended.load is not None:
            server.record_load(ended.load, now_ms)
            pace = ended.load.believed_pace
        endpoint_id = server.endpoint.endpoint_id
        self._works.learn(endpoint_id, ended.duration_ms, pace, now_ms)
        if ended.has_failed or ended.duration_ms > 0:
            self._works.learn_outcome(endpoint_id, ended.has_failed, now_ms)

    def _usable_servers(
        self, request: slot_queues.SlotRequest, now_ms: int
    ) -> list[slot_servers.SlotServer]:
        excluded_ids = self._excluded_ids(request, now_ms)
        return [
            server
            for endpoint_id, server in self._servers.items()
            if endpoint_id not in excluded_ids and server.is_usable(now_ms)
        ]

    def _excluded_ids(
        self, request: slot_queues.SlotRequest, now_ms: int
    ) -> frozenset[str]:
        host, _number = request.key
        return request.tried_ids | self._pauses.ids(host, now_ms)

    def _first_pause(
        self, request: slot_queues.SlotRequest, now_ms: int
    ) -> tuple[slot_servers.SlotServer, int] | None:
        """Returns the endpoint that may get a request after its pause first.

        :returns: with the end of the pause; None if there is no such endpoint
        """
        host, _number = request.key
        usable_ids = {
            endpoint_id
            for endpoint_id, server in self._servers.items()
            if server.is_usable(now_ms)
        }
        first = self._pauses.first_to_end(
            host, usable_ids - request.tried_ids, now_ms
        )
        if first is None:
            return None
        endpoint_id, until_ms = first
        return self._servers[endpoint_id], until_ms

    def _wait_ms(self, request: slot_queues.SlotRequest, now_ms: int) -> float:
        """Returns how long a request probably waits for a slot."""
        servers = self._usable_servers(request, now_ms)
        if not servers:
            first = self._first_pause(request, now_ms)
            return first[1] - now_ms if first else 0.0
        if not len(self._queue) and any(s.free(now_ms) for s in servers):
            return 0.0
        work_ms = self._chooser.likely_work_ms(servers, now_ms)
        ahead = self._queue.count_before(request, work_ms, now_ms)
        free = sum(server.free(now_ms) for server in servers)
        return max(0, ahead + 1 - free) / self._chooser.rate_per_ms(
            servers, now_ms
        )

    def _refuse(
        self, servers: list[slot_servers.SlotServer], now_ms: int
    ) -> slot_messages.SlotAnswer:
        """Refuses a request; the callers return one after the other."""
        self.totals.refused += 1
        self._scarce_until_ms = now_ms + SCARCE_TTL_MS
        rate_per_ms = self._chooser.rate_per_ms(servers, now_ms)
        return_ms = self._returns.plan_ms(rate_per_ms, now_ms)
        return slot_messages.SlotAnswer(return_ms=return_ms)

    def _refuse_hopeless(self, outcomes: list[Outcome], now_ms: int) -> None:
        """Refuses the waiting requests that cannot be served in time."""
        # Most requests may go to the same endpoints; hundreds may wait.
        usable: dict[frozenset[str], tuple[_Servers, float]] = {}
        for key in list(self._answer_by_ms):
            request = self._queue.get(key)
            excluded_ids = self._excluded_ids(request, now_ms)
            if excluded_ids not in usable:
                servers = self._usable_servers(request, now_ms)
                work_ms = (
                    self._chooser.mean_work_ms(servers, now_ms)
                    if servers
                    else 0.0
                )
                usable[excluded_ids] = servers, work_ms
            servers, work_ms = usable[excluded_ids]
            answer = None
            if not servers:
                answer = self._answer_without_servers(request, now_ms)
            elif now_ms + work_ms > request.deadline_by_ms:
                answer = self._refuse(servers, now_ms)
            if answer is not None:
                self._drop_waiting(key)
                outcomes.append((key, answer))

    def _answer_without_servers(
        self, request: slot_queues.SlotRequest, now_ms: int
    ) -> slot_messages.SlotAnswer | None:
        """Answers a request that no endpoint may get now.

        :returns: None if it waits for the end of a pause
        """
        first = self._first_pause(request, now_ms)
        if first is None:
            return slot_messages.SlotAnswer()
        server, until_ms = first
        work_ms = self._chooser.least_work_ms([server], now_ms)
        if until_ms + work_ms <= request.deadline_by_ms:
            return None
        self.totals.refused += 1
        return slot_messages.SlotAnswer(return_ms=until_ms - now_ms)

    def _grant_next(self, outcomes: list[Outcome], now_ms: int) -> bool:
        """Grants one slot; returns whether there was one to grant."""
        usable = [s for s in self._servers.values() if s.is_usable(now_ms)]
        if not self._answer_by_ms or not any(s.free(now_ms) for s in usable):
            return False
        work_ms = self._chooser.likely_work_ms(usable, now_ms)
        for request in self._queue.order(work_ms, now_ms):
            if request.key not in self._answer_by_ms:
                continue
            excluded_ids = self._excluded_ids(request, now_ms)
            server = self._chooser.choose(
                request, usable, excluded_ids, now_ms
            )
            if server is None:
                continue
            if now_ms > request.asked_ms:
                self.totals.waited += 1
            self._queue.grant(request, work_ms, now_ms)
            self._drop_waiting(request.key)
            server.grant(request.key, request.deadline_by_ms, now_ms)
            self._server_by_key[request.key] = server
            self.totals.granted += 1
            answer = slot_messages.SlotAnswer(server.endpoint.endpoint_id)
            outcomes.append((request.key, answer))
            return True
        return False


def is_busy_load(load: server_loads.ServerLoad, slots: int) -> bool:
    """Whether a reported load makes an endpoint scarce."""
    return load.in_flight >= slot_servers.SCARCE_SHARE * max(1, slots)
