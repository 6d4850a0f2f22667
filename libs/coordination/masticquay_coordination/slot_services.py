"""Slots of scarce plain services, on the leader."""

from concurrent import futures
import logging
import threading

from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import slot_messages
from masticquay_routing import slot_pools
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors

LOG = logging.getLogger(__name__)

# A service that is not scarce for this long is logged as such. Hosts ask for
# slots for as long after the last sign.
SCARCE_END_MS = 3_000
# More requests in a second are left to their hosts, as each costs the leader
# about half a millisecond of processor time.
MAX_ASKED_PER_S = 300
# The signs are looked for at short intervals.
RECENT_SIGN_MS = 300

_Answers = list[tuple[futures.Future, slot_messages.SlotAnswer]]


class SlotServices:
    """The slot pools of all plain services during one term."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, slot_pools.SlotPool] = {}
        self._service_by_id: dict[str, str] = {}
        self._waiting: dict[slot_pools.RequestKey, futures.Future] = {}
        self._views: list[messages.EndpointView] = []
        # The services that are scarce, with the time of the last sign.
        self._scarce_ms: dict[str, int] = {}
        self._lost_count = 0
        self._declined_count = 0
        self._asked_since_ms = clock.now_ms()
        self._asked_count = 0

    def set_endpoints(self, endpoints: list[fleets.Endpoint]) -> None:
        """Applies the endpoint list."""
        by_service: dict[str, list[fleets.Endpoint]] = {}
        for endpoint in endpoints:
            if endpoint.role == fleets.ROLE_NONE:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        with self._lock:
            self._service_by_id = {
                e.endpoint_id: e.service
                for listed in by_service.values()
                for e in listed
            }
            for service, listed in by_service.items():
                pool = self._pools.setdefault(service, slot_pools.SlotPool())
                pool.set_endpoints(listed)
            for service, pool in self._pools.items():
                if service not in by_service:
                    pool.set_endpoints([])
            answers = self._plan()
        _send(answers)

    def set_views(self, views: list[messages.EndpointView]) -> None:
        """Applies which endpoints get no requests."""
        if views is self._views:
            return
        now_ms = self._clock.now_ms()
        with self._lock:
            self._views = views
            for view in views:
                pool = self._pool_of(view.endpoint_id)
                if pool is not None:
                    until_ms = now_ms + view.ejected_ms
                    pool.set_ejected(view.endpoint_id, until_ms)

    def ask(
        self, ask: slot_messages.AskSlot
    ) -> slot_messages.SlotAnswer | futures.Future:
        """Queues a request for a slot.

        :returns: the answer, or a future of it
        """
        key = (ask.host, ask.number)
        now_ms = self._clock.now_ms()
        with self._lock:
            pool = self._pools.get(ask.service)
            if pool is None or not self._has_time(now_ms):
                return slot_messages.SlotAnswer()
            answer = pool.ask(ask, now_ms)
            if answer is not None:
                return answer
            future: futures.Future = futures.Future()
            future.set_running_or_notify_cancel()
            self._waiting[key] = future
            answers = self._plan_pool(pool, now_ms)
        _send(answers)
        return future

    def end(self, ended: slot_messages.SlotEnded) -> None:
        """Frees the slot of a request, or takes it out of the queue."""
        now_ms = self._clock.now_ms()
        with self._lock:
            answers: _Answers = []
            abandoned = self._waiting.pop((ended.host, ended.number), None)
            if abandoned is not None:
                answers.append((abandoned, slot_messages.SlotAnswer()))
            pool = self._pools.get(ended.service)
            if pool is not None:
                pool.end(ended, now_ms)
                answers += self._plan_pool(pool, now_ms)
        _send(answers)

    def exchange(self, renewal: messages.Renew) -> list[str]:
        """Applies what a host has in flight.

        :returns: the services for which hosts ask for slots
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            lost = self._reconcile(renewal, now_ms)
            held_counts = _count_held(renewal.slots)
            for report in renewal.endpoint_reports:
                pool = self._pool_of(report.endpoint_id)
                if pool is None:
                    continue
                held = held_counts.get(report.endpoint_id, 0)
                pool.record_others(
                    renewal.host,
                    report.endpoint_id,
                    report.in_flight - held,
                    now_ms,
                )
                if report.succeeded:
                    pool.record_latency(
                        renewal.host,
                        report.endpoint_id,
                        report.latency_ms,
                        now_ms,
                    )
            answers = self._plan() if lost else []
            scarce = [
                service
                for service, sign_ms in self._scarce_ms.items()
                if now_ms - sign_ms <= RECENT_SIGN_MS
            ]
        _send(answers)
        if lost:
            LOG.warning(
                'slots freed without a notice',
                extra={'entry_host': renewal.host, 'count': lost},
            )
        return scarce

    def release_host(self, host: str) -> None:
        """Drops all requests of a host that restarted or lost its session."""
        with self._lock:
            answers: _Answers = []
            for pool in self._pools.values():
                for key in pool.release_host(host):
                    future = self._waiting.pop(key, None)
                    if future is not None:
                        answers.append((future, slot_messages.SlotAnswer()))
            answers += self._plan()
        _send(answers)

    def tick(self) -> None:
        """Frees slots that have expired and answers hosts that wait."""
        now_ms = self._clock.now_ms()
        with self._lock:
            for pool in self._pools.values():
                pool.expire(now_ms)
            answers = self._plan()
            changes = self._find_scarcity_changes(now_ms)
        _send(answers)
        for message, fields in changes:
            LOG.info(message, extra=fields)

    def answer_waiting(self) -> None:
        """Answers the hosts that wait and must hear by now."""
        if not self._waiting:
            return
        with self._lock:
            answers = self._plan()
        _send(answers)

    def fail_all(self) -> None:
        """Fails all waiting requests at the end of the term.

        Their hosts choose by themselves until they find the next leader.
        """
        with self._lock:
            waiting = list(self._waiting.values())
            self._waiting.clear()
            self._pools.clear()
        for future in waiting:
            future.set_exception(
                wire_errors.RemoteError(messages.CODE_NOT_LEADER, '')
            )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges for the metrics."""
        with self._lock:
            pools = list(self._pools.values())
            return {
                'scarce_services': len(self._scarce_ms),
                'slots_held': sum(p.granted_count for p in pools),
                'slots_awaited': sum(p.queue_length for p in pools),
                'slots_granted': sum(p.totals.granted for p in pools),
                'slots_refused': sum(p.totals.refused for p in pools),
                'slots_granted_after_wait': sum(
                    p.totals.waited for p in pools
                ),
                'slots_rejected': sum(p.totals.rejected for p in pools),
                'slots_lost': self._lost_count,
                'slots_declined': self._declined_count,
            }

    def _has_time(self, now_ms: int) -> bool:
        """Counts a request; returns whether this second has time for it."""
        if now_ms - self._asked_since_ms >= 1_000:
            self._asked_since_ms = now_ms
            self._asked_count = 0
        self._asked_count += 1
        if self._asked_count <= MAX_ASKED_PER_S:
            return True
        self._declined_count += 1
        return False

    def _pool_of(self, endpoint_id: str) -> slot_pools.SlotPool | None:
        service = self._service_by_id.get(endpoint_id)
        return self._pools.get(service) if service is not None else None

    def _reconcile(self, renewal: messages.Renew, now_ms: int) -> int:
        """Applies pauses, frees and takes over slots.

        :returns: how many were freed
        """
        if renewal.slots is None:
            return 0
        held: dict[str, dict[int, slot_messages.HeldSlot]] = {}
        for slot in renewal.slots.slots:
            held.setdefault(slot.service, {})[slot.number] = slot
        for pause in renewal.slots.pauses:
            pool = self._pool_of(pause.endpoint_id)
            if pool is not None:
                pool.record_pause(
                    renewal.host,
                    pause.endpoint_id,
                    pause.remaining_ms,
                    now_ms,
                )
        lost = 0
        for service, pool in self._pools.items():
            lost += len(
                pool.reconcile(
                    renewal.host,
                    renewal.slots.newest,
                    held.get(service, {}),
                    now_ms,
                )
            )
        self._lost_count += lost
        return lost

    def _plan(self) -> _Answers:
        now_ms = self._clock.now_ms()
        answers: _Answers = []
        for pool in self._pools.values():
            answers += self._plan_pool(pool, now_ms)
        return answers

    def _plan_pool(self, pool: slot_pools.SlotPool, now_ms: int) -> _Answers:
        answers: _Answers = []
        for key, answer in pool.plan(now_ms):
            future = self._waiting.pop(key, None)
            if future is not None:
                answers.append((future, answer))
        return answers

    def _find_scarcity_changes(self, now_ms: int) -> list[tuple[str, dict]]:
        """Returns the log lines on services that became scarce or ended it."""
        lines = []
        for service, pool in self._pools.items():
            if pool.is_scarce(now_ms):
                if service not in self._scarce_ms:
                    lines.append(('service is scarce', service))
                self._scarce_ms[service] = now_ms
            elif now_ms - self._scarce_ms.get(service, now_ms) > SCARCE_END_MS:
                del self._scarce_ms[service]
                lines.append(('service is no longer scarce', service))
        return [
            (message, _describe(service, self._pools[service]))
            for message, service in lines
        ]


def _describe(service: str, pool: slot_pools.SlotPool) -> dict:
    totals = pool.totals
    return {
        'service': service,
        'held': pool.granted_count,
        'waiting': pool.queue_length,
        'granted': totals.granted,
        'refused': totals.refused,
        'granted_after_wait': totals.waited,
        'rejected': totals.rejected,
    }


def _count_held(held: slot_messages.HeldSlots | None) -> dict[str, int]:
    """Returns how many requests have a slot, by endpoint."""
    counts: dict[str, int] = {}
    for slot in held.slots if held else []:
        if slot.endpoint_id:
            counts[slot.endpoint_id] = counts.get(slot.endpoint_id, 0) + 1
    return counts


def _send(answers: _Answers) -> None:
    for future, answer in answers:
        future.set_result(answer)
