"""Slots of scarce plain services, which the leader shares out."""

from concurrent import futures
import contextlib
import logging
import random
import threading
import time
import types
import typing

from masticquay_endpoints import errors as endpoint_errors
from masticquay_gateway import errors
from masticquay_gateway import jobs
from masticquay_gateway import links
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_routing import server_loads
from masticquay_routing import slot_messages
from masticquay_routing import slot_pools
from masticquay_serving import counters
from masticquay_wire import errors as wire_errors

LOG = logging.getLogger(__name__)

# For an answer, beyond the wait that the leader has told.
ANSWER_TIMEOUT_MS = 150
# Without an answer, the leader is not asked again for this long.
UNANSWERED_PAUSE_MS = 300
# Slots are asked for until this time after the last sign of scarcity.
SCARCE_MS = 3_000
# Missing answers are logged once in this time.
LOG_INTERVAL_MS = 10_000
# The leader is told which requests have not ended until this time after the
# last one asked for a slot.
REPORT_MS = 10_000
NUMBER_BITS = 48


class SlotSource(typing.Protocol):
    """The source of slots."""

    @property
    def is_reachable(self) -> bool:
        """Whether it can be asked now."""

    def ask(
        self, ask: slot_messages.AskSlot, timeout_ms: int
    ) -> futures.Future:
        """Asks for a slot; returns a future of the ``SlotAnswer``."""

    def end(self, ended: slot_messages.SlotEnded) -> None:
        """Tells that a request that asked for a slot has ended."""


class LeaderSlots:
    """Asks and tells the leader."""

    def __init__(self, link: links.ControlLink):
        self._link = link

    @property
    def is_reachable(self) -> bool:
        """Whether there is a leader."""
        return self._link.is_leader_reachable

    def ask(
        self, ask: slot_messages.AskSlot, timeout_ms: int
    ) -> futures.Future:
        """Asks for a slot; returns a future of the ``SlotAnswer``."""
        return self._link.submit(ask, timeout_ms)

    def end(self, ended: slot_messages.SlotEnded) -> None:
        """Tells that a request that asked for a slot has ended."""
        self._link.notify(ended)


class Slot:
    """A granted slot; to be used in ``with``, after which it is free.

    ``duration_ms``, ``is_rejected``, ``load``, ``has_failed`` and ``pause_ms``
    are to be set as in ``SlotEnded``. A request that is interrupted in the
    block may run on.
    """

    __slots__ = (
        'number',
        'service',
        'endpoint_id',
        'duration_ms',
        'is_rejected',
        'load',
        'has_failed',
        'may_run',
        'pause_ms',
        '_slots',
    )

    def __init__(self, slots: 'Slots', number: int, service: str):
        self.number = number
        self.service = service
        self.endpoint_id = ''
        self.duration_ms = 0.0
        self.is_rejected = False
        self.load: server_loads.ServerLoad | None = None
        self.has_failed = False
        self.may_run = False
        self.pause_ms = 0
        self._slots = slots

    def record_refusal(self, refusal: ports.Refusal) -> None:
        """Records an attempt without an endpoint's response."""
        self.has_failed = not refusal.by_endpoint
        self.may_run = refusal.reason is ports.Reason.TIMED_OUT

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if isinstance(error, endpoint_errors.InterruptedCallError):
            self.may_run = bool(self.endpoint_id)
        self._slots.end(self)


class _Held:
    """A request that has asked for a slot and has not ended."""

    __slots__ = ('service', 'endpoint_id', 'deadline_by_ms')

    def __init__(self, service: str, deadline_by_ms: int):
        self.service = service
        self.endpoint_id = ''
        self.deadline_by_ms = deadline_by_ms


class Slots:
    """Asks for slots while a service is scarce.

    :param place: the data centre of this host
    """

    def __init__(
        self,
        host: str,
        place: str,
        source: SlotSource,
        registry: counters.Registry,
    ):
        self._host = host
        self._place = place
        self._source = source
        self._registry = registry
        self._lock = threading.Lock()
        self._scarce_until_ms: dict[str, int] = {}
        self._paused_until_ms = 0
        # When this host may ask again for a service of which the leader left
        # the choice to it.
        self._own_choice_until_ms: dict[str, int] = {}
        self._logged_ms = -LOG_INTERVAL_MS
        self._newest_number = random.getrandbits(NUMBER_BITS)
        self._held: dict[int, _Held] = {}
        self._asked_ms = -REPORT_MS

    def is_needed(self, service: str) -> bool:
        """Whether a request of a service is to ask for a slot."""
        now_ms = _now_ms()
        if self._scarce_until_ms.get(service, 0) <= now_ms:
            return False
        if self._own_choice_until_ms.get(service, 0) > now_ms:
            return False
        return now_ms >= self._paused_until_ms and self._source.is_reachable

    def is_awaited(self, service: str) -> bool:
        """Whether a request of a service waits for a slot."""
        with self._lock:
            return any(
                held.service == service and not held.endpoint_id
                for held in self._held.values()
            )

    def apply_scarce(self, services: list[str]) -> None:
        """Records that the leader says which services are scarce."""
        for service in services:
            self._set_scarce(service)

    def record_load(
        self, endpoint: fleets.Endpoint, load: server_loads.ServerLoad | None
    ) -> None:
        """Records the load that an endpoint reported."""
        if load and slot_pools.is_busy_load(load, endpoint.slots):
            self._record_sign(endpoint)

    def record_full(self, endpoint: fleets.Endpoint) -> None:
        """Records that an endpoint refused a request as full."""
        self._record_sign(endpoint)

    def ask(self, job: jobs.Job, excluded_ids: set[str]) -> Slot | None:
        """Asks for a slot and waits for it.

        :param excluded_ids: the endpoints that must not get the request
        :returns: None if this host is to choose by itself
        :raises NoSlotError: if the request cannot be served in time
        :raises InterruptedCallError: if the caller disconnected meanwhile
        """
        remaining_ms = job.remaining_ms
        number = self._begin(job.service, remaining_ms)
        slot = Slot(self, number, job.service)
        ask = slot_messages.AskSlot(
            self._host,
            number,
            job.service,
            job.priority,
            int(job.route.target_ms - job.elapsed_ms),
            remaining_ms,
            sorted(excluded_ids),
            int(job.elapsed_ms),
            self._place,
        )
        with contextlib.ExitStack() as stack:
            # The leader may still grant one while nobody waits for it.
            stack.enter_context(slot)
            answer = self._wait(job, ask)
            if answer is None:
                return None
            stack.pop_all()
        if answer.endpoint_id:
            self._count('granted', job.service)
            slot.endpoint_id = answer.endpoint_id
            self._hold(slot)
            return slot
        self._drop(slot)
        if answer.return_ms:
            self._count('refused', job.service)
            raise errors.NoSlotError(answer.return_ms)
        self._count('none', job.service)
        own_until_ms = _now_ms() + UNANSWERED_PAUSE_MS
        self._own_choice_until_ms[job.service] = own_until_ms
        return None

    def end(self, slot: Slot) -> None:
        """Tells the leader that a request has ended."""
        self._drop(slot)
        self._source.end(
            slot_messages.SlotEnded(
                self._host,
                slot.number,
                slot.service,
                slot.duration_ms,
                slot.is_rejected,
                slot.load,
                slot.has_failed,
                slot.may_run,
                slot.pause_ms,
            )
        )

    def report(
        self, pauses: list[slot_messages.Pause]
    ) -> slot_messages.HeldSlots | None:
        """Returns the requests that have not ended, for a renewal.

        :param pauses: what endpoints have asked of this host
        """
        now_ms = _now_ms()
        with self._lock:
            if not self._held and now_ms - self._asked_ms > REPORT_MS:
                return None
            held = [
                slot_messages.HeldSlot(
                    number,
                    held.service,
                    held.endpoint_id,
                    max(0, held.deadline_by_ms - now_ms),
                )
                for number, held in self._held.items()
            ]
            return slot_messages.HeldSlots(self._newest_number, held, pauses)

    def _begin(self, service: str, remaining_ms: int) -> int:
        now_ms = _now_ms()
        with self._lock:
            self._asked_ms = now_ms
            self._newest_number += 1
            held = _Held(service, now_ms + remaining_ms)
            self._held[self._newest_number] = held
            return self._newest_number

    def _drop(self, slot: Slot) -> None:
        with self._lock:
            self._held.pop(slot.number, None)

    def _hold(self, slot: Slot) -> None:
        with self._lock:
            self._held[slot.number].endpoint_id = slot.endpoint_id

    def _wait(
        self, job: jobs.Job, ask: slot_messages.AskSlot
    ) -> slot_messages.SlotAnswer | None:
        """Returns the final answer, None without one."""
        begun_ms = _now_ms()
        timeout_ms = ANSWER_TIMEOUT_MS
        try:
            while True:
                future = self._source.ask(ask, timeout_ms)
                answer = job.interrupt.wait(future, timeout_ms)
                if answer.endpoint_id or not answer.wait_ms:
                    waited_ms = _now_ms() - begun_ms
                    self._registry.observe('slot_wait_ms', waited_ms)
                    return answer
                timeout_ms = answer.wait_ms + ANSWER_TIMEOUT_MS
                timeout_ms = max(1, min(timeout_ms, job.remaining_ms))
        except (
            wire_errors.WireError,
            endpoint_errors.StalledError,
        ) as cause:
            self._pause(job, cause)
            return None

    def _pause(self, job: jobs.Job, cause: Exception) -> None:
        """Does not ask for a while, and logs the cause now and then."""
        now_ms = _now_ms()
        self._count('unanswered', job.service)
        self._paused_until_ms = now_ms + UNANSWERED_PAUSE_MS
        if now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        LOG.warning(
            'no slot from the leader',
            extra={
                'call': job.call.call_id,
                'service': job.service,
                'cause': f'{type(cause).__name__}: {cause}',
            },
        )

    def _record_sign(self, endpoint: fleets.Endpoint) -> None:
        # Model engines have pools of their own.
        if endpoint.role == fleets.ROLE_NONE:
            self._set_scarce(endpoint.service)

    def _set_scarce(self, service: str) -> None:
        now_ms = _now_ms()
        earlier_ms = self._scarce_until_ms.get(service, 0)
        self._scarce_until_ms[service] = now_ms + SCARCE_MS
        if earlier_ms <= now_ms:
            self._registry.count('scarce_periods', 'service', service)

    def _count(self, outcome: str, service: str) -> None:
        self._registry.count(
            'slots_asked', 'outcome', outcome, 'service', service
        )


def is_usable(endpoint: fleets.Endpoint) -> bool:
    """Whether an endpoint may get new requests of any host."""
    return not endpoint.leaving


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
