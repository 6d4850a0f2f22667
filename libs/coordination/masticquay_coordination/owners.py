"""Placement and rate limiting of all requests, on the leader."""

from concurrent import futures
import logging
import threading

from masticquay_coordination import charges
from masticquay_coordination import endpoint_limits
from masticquay_coordination import host_requests
from masticquay_coordination import origin_copies
from masticquay_coordination import pool_requests
from masticquay_coordination import prompt_watches
from masticquay_routing import balances
from masticquay_routing import fleets
from masticquay_routing import held_requests
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import pools
from masticquay_routing import queued_requests
from masticquay_routing import refusals
from masticquay_routing import software_versions
from masticquay_routing import stream_origins
from masticquay_routing import tables
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages

LOG = logging.getLogger(__name__)

# An engine gets an order and, before it, a question about its state.
ORDER_REQUESTS = 2


class Owner:
    """Places model requests and enforces rate limits during one term.

    :param first: whether no earlier leader can have allowed any request
    :param limits: the limits that engines name, None if nobody else uses them
    """

    def __init__(
        self,
        term: int,
        clock: clocks.Clock,
        first: bool,
        limits: endpoint_limits.EndpointLimits | None = None,
    ):
        self.term = term
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, pools.Pool] = {}
        self._balancers: dict[str, balances.RoleBalancer] = {}
        self._engines: dict[str, tables.Engine] = {}
        self._waiting: dict[queued_requests.RequestKey, futures.Future] = {}
        self._requests = host_requests.HostRequests()
        self._dropped_count = 0
        self._charges = charges.Charges(first)
        self._origins = origin_copies.CopiedOrigins()
        self._prompts = prompt_watches.PromptWatch()
        self._limits = limits or endpoint_limits.EndpointLimits(clock)
        self._stream_versions: software_versions.Versions | None = None

    def set_table(self, table: tables.Table) -> None:
        """Applies the engine sizes and rate limits of a table."""
        with self._lock:
            self._engines = {
                name: service.engine
                for name, service in table.services.items()
                if service.engine is not None
            }
            self._charges.set_table(table, self._clock.now_ms())

    def set_endpoints(
        self,
        endpoints: list[fleets.Endpoint],
        stream_versions: software_versions.Versions | None = None,
    ) -> None:
        """Applies the endpoint list.

        :param stream_versions: the software versions at which recent streams
            may have begun, None if they are not known
        """
        with self._lock:
            self._stream_versions = stream_versions
            self._origins.set_versions(stream_versions, self._clock.now_ms())
            for name, engine in self._engines.items():
                pool = self._pool(name)
                self._balancers.setdefault(name, balances.RoleBalancer())
                service_endpoints = [e for e in endpoints if e.service == name]
                pool.set_engines(
                    service_endpoints, engine.memory_tokens, engine.slots
                )
        self.place_waiting()

    def admit(
        self, request: placement_messages.Admit
    ) -> wire_messages.Message | futures.Future:
        """Queues a request, or refuses it if it is over the rate limit.

        :returns: the refusal, or a future of the answer
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            key = (request.host, request.number)
            if self._requests.has_ended(key):
                return placement_messages.Refused('request has ended', 0)
            wait_ms = self._prompts.wait_ms(request, now_ms)
            if wait_ms:
                return _refuse_harmful(wait_ms)
            software_version = self._origins.version_to_resume(
                request, self._stream_versions, now_ms
            )
            if software_version is None:
                return placement_messages.Refused(
                    'software version of the resumed stream is unknown',
                    refusals.RETRY_AFTER_MAX_MS,
                )
            wait_ms = self._charges.charge(key, request, now_ms)
            if wait_ms:
                return placement_messages.Refused('over rate', wait_ms, True)
            pool = self._pools.get(request.service)
            if pool is None:
                self._charges.refund(key, now_ms)
                return placement_messages.Refused(
                    'no engine', refusals.RETRY_AFTER_MIN_MS
                )
            self._balancers[request.service].record_prompt(
                request.prompt_tokens, now_ms
            )
            self._prompts.admit(key, request, now_ms)
            self._requests.add(key, request.service)
            pool.admit(
                pool_requests.make_queued_request(
                    key, request, software_version, now_ms
                )
            )
            future: futures.Future = futures.Future()
            future.set_running_or_notify_cancel()
            self._waiting[key] = future
        self.place_waiting()
        return future

    def charge_unplaced(
        self, request: placement_messages.Admit
    ) -> placement_messages.Refused | None:
        """Charges a request that its host is to place.

        :returns: None if it may run
        """
        key = (request.host, request.number)
        now_ms = self._clock.now_ms()
        with self._lock:
            wait_ms = self._prompts.wait_ms(request, now_ms)
            if wait_ms:
                return _refuse_harmful(wait_ms)
            wait_ms = self._charges.charge(key, request, now_ms)
            if wait_ms:
                return placement_messages.Refused('over rate', wait_ms, True)
            self._charges.settle(key)
            return None

    def finish_prefill(self, done: placement_messages.PrefillDone) -> None:
        """Records that the prefill of a request completed."""
        key = (done.host, done.number)
        now_ms = self._clock.now_ms()
        with self._lock:
            self._prompts.finish_prefill(key, now_ms)
            pool = self._pools.get(done.service)
            if pool is not None:
                pool.finish_prefill(key, now_ms)
        self.place_waiting()

    def begin_decode(self, begun: placement_messages.Decoding) -> None:
        """Records that the first token of a request arrived."""
        now_ms = self._clock.now_ms()
        origin = stream_origins.StreamOrigin(
            begun.first_call_id, begun.service, begun.software_version
        )
        with self._lock:
            self._origins.add(origin, begun.host, now_ms)
            self._prompts.begin_answer((begun.host, begun.number), now_ms)
            pool = self._pools.get(begun.service)
            if pool is not None:
                pool.begin_decode((begun.host, begun.number), now_ms)

    def exchange_origins(
        self, host: str, origins: list[stream_origins.StreamOrigin]
    ) -> list[stream_origins.StreamOrigin]:
        """Records where streams began that a host knows of.

        :returns: the origins that the host should keep for the next leader
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            for origin in origins:
                self._origins.add(origin, host, now_ms)
            return self._origins.take_for(host, now_ms)

    def finish(self, finished: placement_messages.Finished) -> None:
        """Frees the reservation of a request, or refuses it if it waits."""
        key = (finished.host, finished.number)
        with self._lock:
            self._requests.remove(key)
            self._prompts.finish(key, finished.completed)
            pool = self._pools.get(finished.service)
            if pool is not None:
                pool.remove(key, finished.sound)
            abandoned = self._waiting.pop(key, None)
            if abandoned is not None:
                self._charges.refund(key, self._clock.now_ms())
        if abandoned is not None:
            abandoned.set_result(placement_messages.Refused('caller left', 0))
        self.place_waiting()

    def record_failure(
        self, trouble: placement_messages.EndpointTrouble
    ) -> None:
        """Records that an engine failed or refused a host's request."""
        now_ms = self._clock.now_ms()
        with self._lock:
            is_harmful = self._prompts.record_trouble(trouble, now_ms)
            pool = self._pools.get(trouble.service)
            # The engine that ended a while ago may have started again.
            is_recent = not trouble.age_ms
            if pool is not None and is_recent and trouble.pause_ms:
                pool.record_refusal(
                    trouble.endpoint_id, now_ms, trouble.pause_ms
                )
            elif pool is not None and is_recent:
                pool.record_failure(
                    trouble.endpoint_id,
                    now_ms,
                    trouble.reached,
                    trouble.stalled,
                )
        if is_harmful:
            self._refuse_waiting_harmful(now_ms)

    def _refuse_waiting_harmful(self, now_ms: int) -> None:
        """Refuses the waiting requests whose prompts were quarantined."""
        refused = []
        with self._lock:
            for key in list(self._waiting):
                wait_ms = self._prompts.wait_ms_of(key, now_ms)
                if not wait_ms:
                    continue
                for pool in self._pools.values():
                    pool.remove(key)
                self._charges.refund(key, now_ms)
                self._prompts.finish(key)
                self._requests.remove(key)
                refused.append((self._waiting.pop(key), wait_ms))
        for future, wait_ms in refused:
            future.set_result(_refuse_harmful(wait_ms))

    def quarantined_prompts(self) -> dict[str, int]:
        """Returns the parts to refuse, with the remaining time in ms."""
        with self._lock:
            return self._prompts.quarantined(self._clock.now_ms())

    def adopt_quarantined(self, quarantined: dict[str, int]) -> None:
        """Takes over the parts that an earlier leader let hosts refuse."""
        with self._lock:
            self._prompts.adopt(quarantined, self._clock.now_ms())

    def adopt(self, host: str, running: list[messages.Running]) -> None:
        """Reserves capacity for the requests that an earlier leader placed."""
        with self._lock:
            for request in running:
                key = (host, request.number)
                if self._requests.has_ended(key):
                    continue
                self._requests.add(key, request.service)
                pool = self._pool(request.service)
                self._balancers.setdefault(
                    request.service, balances.RoleBalancer()
                )
                pool.adopt(
                    key,
                    request.decode_id,
                    request.memory_tokens,
                    request.prompt_tokens,
                )

    def drop_ended(self, host: str, held: held_requests.HeldRequests) -> None:
        """Frees what is reserved for requests whose end was not told.

        :param held: the requests of the host that have not ended
        """
        with self._lock:
            ended = self._requests.find_ended(host, held)
            self._dropped_count += len(ended)
        for service, number in ended:
            self.finish(
                placement_messages.Finished(host, service, number, False)
            )
        if ended:
            LOG.warning(
                'requests ended without a notice',
                extra={
                    'entry_host': host,
                    'count': len(ended),
                    'newest_number': held.newest,
                },
            )

    def charge(self, usage: dict[str, float]) -> dict[str, int]:
        """Charges the cost of a host's requests without placement.

        :param usage: the cost by workspace
        :returns: the workspaces over their rate limit, with the time in ms
            until each may send requests again
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            return self._charges.charge_usage(usage, now_ms)

    def release_host(self, host: str) -> None:
        """Drops all requests of a host that restarted or lost its session."""
        with self._lock:
            for pool in self._pools.values():
                pool.release_host(host)
            lost_keys = [key for key in self._waiting if key[0] == host]
            abandoned = [self._waiting.pop(key) for key in lost_keys]
            for key in lost_keys:
                self._charges.refund(key, self._clock.now_ms())
            self._prompts.release_host(host)
            self._requests.release_host(host)
        for future in abandoned:
            future.set_result(placement_messages.Refused('host lost', 0))
        self.place_waiting()

    def place_waiting(self) -> None:
        """Places or refuses waiting requests and answers the hosts."""
        now_ms = self._clock.now_ms()
        with self._lock:
            outcomes = [
                outcome
                for pool in self._pools.values()
                for outcome in pool.place_waiting(now_ms)
            ]
            answers = []
            for request, outcome in outcomes:
                if isinstance(outcome, queued_requests.Refusal):
                    self._charges.refund(request.key, now_ms)
                    self._prompts.finish(request.key)
                    self._requests.remove(request.key)
                self._charges.settle(request.key)
                answers.append(
                    (
                        self._waiting.pop(request.key, None),
                        pool_requests.make_answer(request, outcome),
                    )
                )
        for future, answer in answers:
            if future is not None:
                future.set_result(answer)

    def _pool(self, service: str) -> pools.Pool:
        """Returns the pool of a service; the caller holds the lock."""
        pool = self._pools.get(service)
        if pool is None:
            pool = pools.Pool(limits=self._limits)
            self._pools[service] = pool
        return pool

    def plan_orders(self) -> list[balances.RoleOrder]:
        """Returns the orders for the role changes that are due."""
        now_ms = self._clock.now_ms()
        planned = []
        with self._lock:
            for name, engine in self._engines.items():
                pool = self._pools.get(name)
                if pool is None:
                    continue
                planned.extend(
                    self._balancers[name].plan(
                        pool, now_ms, engine.role_switch_ms
                    )
                )
            for order in planned:
                endpoint_id = order.endpoint.endpoint_id
                self._limits.charge(endpoint_id, now_ms, ORDER_REQUESTS)
        return planned

    def cancel_order(self, order: balances.RoleOrder) -> None:
        """Keeps using an engine in its current role after an order failed."""
        with self._lock:
            for pool in self._pools.values():
                state = pool.engines.get(order.endpoint.endpoint_id)
                if state is not None:
                    state.role_switch_until_ms = 0

    def fail_all(self) -> None:
        """Fails all waiting requests at the end of the term.

        The hosts place their requests locally until they find the next
        leader.
        """
        with self._lock:
            waiting = list(self._waiting.values())
            self._waiting.clear()
        for future in waiting:
            future.set_exception(
                wire_errors.RemoteError(messages.CODE_NOT_LEADER, '')
            )

    def log_pools(self) -> None:
        """Logs each pool that is in use, and charges since the last call."""
        now_ms = self._clock.now_ms()
        with self._lock:
            charged = self._charges.take_counts()
            lines = [
                (name, pool.describe(now_ms))
                for name, pool in self._pools.items()
                if pool.running_count or pool.queue_length
            ]
        for name, fields in lines:
            LOG.info('pool state', extra={'service': name, **fields})
        if charged:
            LOG.info(
                'charged to rate limits',
                extra={
                    'term': self.term,
                    'placed': charged.placed,
                    'reported': charged.reported,
                    'refused': charged.refused,
                    'refunded': charged.refunded,
                },
            )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges for the metrics."""
        with self._lock:
            pools = list(self._pools.values())
            return {
                'placed_requests': sum(p.running_count for p in pools),
                'waiting_requests': sum(p.queue_length for p in pools),
                'dropped_requests': self._dropped_count,
                'quarantined_prompts': len(
                    self._prompts.quarantined(self._clock.now_ms())
                ),
            }


def _refuse_harmful(wait_ms: int) -> placement_messages.Refused:
    return placement_messages.Refused(messages.REASON_HARMFUL_PROMPT, wait_ms)
