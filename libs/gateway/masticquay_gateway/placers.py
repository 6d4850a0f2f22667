"""Gets places for model requests from the leader, or else locally."""

from concurrent import futures
import logging
import threading
import time

from masticquay_endpoints import interrupts
from masticquay_gateway import fleet_states
from masticquay_gateway import links
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import meters
from masticquay_routing import placements
from masticquay_routing import tables
from masticquay_routing import tickets
from masticquay_wire import errors as wire_errors

LOG = logging.getLogger(__name__)

POLL_MS = 100
ANSWER_SLACK_MS = 300
# Hosts rarely need the same engine at once, so the shares may overlap.
LOCAL_SHARE_FACTOR = 1.5
LOCAL_RATE_SHARE = 0.5


class Place:
    """A place that was given.

    :param prefill: None when the decode engine reads the prompt itself
    :param prefill_ms: how long the prefill should take
    :param local: whether this host gave it, without the leader
    """

    __slots__ = ('prefill', 'decode', 'request', 'local', 'prefill_ms')

    def __init__(
        self,
        prefill: fleets.Endpoint | None,
        decode: fleets.Endpoint,
        request: messages.Admit,
        local: bool,
        prefill_ms: int = 0,
    ):
        self.prefill_ms = prefill_ms
        self.prefill = prefill
        self.decode = decode
        self.request = request
        self.local = local


class LocalOwner:
    """Stands in for the leader while this host is out of touch.

    Each host keeps to its share of each engine's memory and of each rate.
    """

    def __init__(self, state: fleet_states.FleetState):
        self._state = state
        self._lock = threading.Lock()
        self._pools: dict[str, placements.Pool] = {}
        self._meters: meters.Meters | None = None

    def take_rate(self, workspace: str, cost: float) -> int:
        """Charges a request; see ``Meters.take``."""
        now_ms = _now_ms()
        with self._lock:
            if self._meters is None:
                share = LOCAL_RATE_SHARE / self._state.host_count
                self._meters = meters.Meters(share, start=1.0)
            table = self._state.table
            workspaces = table.workspaces if table else None
            self._meters.set_limits(meters.limits_of(workspaces), now_ms)
            return self._meters.take(workspace, cost, now_ms)

    def admit(
        self, request: messages.Admit
    ) -> tickets.Placement | tickets.Refusal:
        """Places a request now or refuses it."""
        now_ms = _now_ms()
        key = (request.host, request.number)
        ticket = tickets.Ticket(
            key=key,
            workspace=request.workspace,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            priority=request.priority,
            arrived_ms=now_ms,
            urgent_until_ms=now_ms,
            give_up_ms=now_ms,
            avoid=frozenset(request.avoid),
            prefer=request.prefer,
            prefilled=request.prefilled,
        )
        with self._lock:
            pool = self._pool(request.service)
            pool.admit(ticket)
            for placed, outcome in pool.pump(now_ms):
                if placed is ticket:
                    return outcome
        return tickets.Refusal('no engine', placements.RETURN_MIN_MS)

    def finish_prefill(self, request: messages.Admit) -> None:
        """Notes that the prompt was read."""
        with self._lock:
            pool = self._pools.get(request.service)
            if pool is not None:
                pool.finish_prefill((request.host, request.number), _now_ms())

    def release(self, request: messages.Admit) -> None:
        """Frees a place."""
        with self._lock:
            pool = self._pools.get(request.service)
            if pool is not None:
                pool.release((request.host, request.number))

    def note_trouble(
        self, service: str, endpoint_id: str, reached: bool
    ) -> None:
        """Leaves an engine aside that failed."""
        with self._lock:
            pool = self._pools.get(service)
            if pool is not None:
                pool.note_trouble(endpoint_id, _now_ms(), reached)

    def note_refusal(
        self, service: str, endpoint_id: str, pause_ms: int
    ) -> None:
        """Leaves an engine alone that refused."""
        with self._lock:
            pool = self._pools.get(service)
            if pool is not None:
                pool.note_refusal(endpoint_id, _now_ms(), pause_ms)

    def _pool(self, service: str) -> placements.Pool:
        pool = self._pools.setdefault(service, placements.Pool())
        table = self._state.table
        engine = table.services[service].engine if table else None
        if engine is None:
            return pool
        share = min(1.0, LOCAL_SHARE_FACTOR / self._state.host_count)
        pool.set_engines(
            self._state.endpoints(service),
            max(int(engine.memory_tokens * share), _one_request(engine)),
            max(1, int(engine.slots * share)),
        )
        return pool


class Placer:
    """Asks the leader for places while it answers."""

    def __init__(
        self,
        host: str,
        link: links.ControlLink,
        state: fleet_states.FleetState,
    ):
        self._host = host
        self._link = link
        self._state = state
        self._local = LocalOwner(state)
        self._lock = threading.Lock()
        self._placed: dict[int, Place] = {}

    def place(
        self, request: messages.Admit, interrupt: interrupts.Interrupt
    ) -> Place | messages.Refused:
        """Returns a place or a refusal.

        :raises InterruptedCallError: when the caller left meanwhile
        """
        answer = None
        if self._link.in_touch:
            answer = self._ask_leader(request, interrupt)
        if isinstance(answer, messages.Placed):
            place = self._find(request, answer)
            if place is not None:
                return self._keep(place)
            self._tell_finished(request, sound=True)
            return messages.Refused('endpoint unknown here', 500)
        if isinstance(answer, messages.Refused):
            return answer
        return self._place_locally(request)

    def finish_prefill(self, place: Place) -> None:
        """Notes that the prompt was read."""
        request = place.request
        if place.local:
            self._local.finish_prefill(request)
            return
        self._link.notify(
            messages.PrefillDone(self._host, request.service, request.number)
        )

    def begin_decode(self, place: Place) -> None:
        """Notes that the first token is there."""
        request = place.request
        if not place.local:
            self._link.notify(
                messages.Decoding(self._host, request.service, request.number)
            )

    def finish(self, place: Place, sound: bool) -> None:
        """Gives a place back."""
        with self._lock:
            self._placed.pop(place.request.number, None)
        if place.local:
            self._local.release(place.request)
        self._tell_finished(place.request, sound)

    def note_trouble(
        self,
        service: str,
        endpoint: fleets.Endpoint,
        reached: bool,
        reason: str,
    ) -> None:
        """Reports an engine that failed a request."""
        self._local.note_trouble(service, endpoint.endpoint_id, reached)
        self._link.notify(
            messages.EndpointTrouble(
                self._host, service, endpoint.endpoint_id, reached, reason
            )
        )

    def note_refusal(
        self, service: str, endpoint: fleets.Endpoint, pause_ms: int
    ) -> None:
        """Reports an engine that refused a request that it should take."""
        self._local.note_refusal(service, endpoint.endpoint_id, pause_ms)
        self._link.notify(
            messages.EndpointTrouble(
                self._host,
                service,
                endpoint.endpoint_id,
                True,
                'refused',
                pause_ms,
            )
        )

    def take_rate(self, workspace: tables.Workspace, cost: float) -> int:
        """Charges a plain request while out of touch; 0 if it may run."""
        if self._link.in_touch:
            return 0
        return self._local.take_rate(workspace.name, cost)

    def running(self) -> list[messages.Running]:
        """Returns the places in use here."""
        with self._lock:
            placed = list(self._placed.values())
        return [
            messages.Running(
                place.request.number,
                place.request.service,
                place.decode.endpoint_id,
                place.request.prompt_tokens + place.request.output_tokens,
                place.request.prompt_tokens,
            )
            for place in placed
        ]

    def _ask_leader(
        self, request: messages.Admit, interrupt: interrupts.Interrupt
    ) -> messages.Placed | messages.Refused | None:
        limit_ms = max(request.wait_ms, request.late_wait_ms)
        limit_ms += ANSWER_SLACK_MS
        future = self._link.submit(request, limit_ms)
        deadline_ms = _now_ms() + limit_ms
        try:
            while _now_ms() < deadline_ms:
                done = _wait(future, interrupt, POLL_MS)
                if done:
                    return future.result()
                if not self._link.in_touch:
                    break
        except wire_errors.WireError as cause:
            LOG.warning(
                'no place from the leader', extra={'cause': str(cause)}
            )
        except interrupts.errors.InterruptedCallError:
            self._tell_finished(request, sound=True)
            raise
        self._tell_finished(request, sound=True)
        return None

    def _place_locally(
        self, request: messages.Admit
    ) -> Place | messages.Refused:
        if not request.charged:
            wait_ms = self._local.take_rate(request.workspace, request.cost)
            if wait_ms:
                return messages.Refused('over local rate', wait_ms, True)
        outcome = self._local.admit(request)
        if isinstance(outcome, tickets.Refusal):
            return messages.Refused(outcome.reason, outcome.retry_after_ms)
        place = Place(
            outcome.prefill,
            outcome.decode,
            request,
            True,
            outcome.prefill_ms,
        )
        return self._keep(place)

    def _find(
        self, request: messages.Admit, placed: messages.Placed
    ) -> Place | None:
        decode = self._state.endpoint(placed.decode_id)
        prefill = None
        if placed.prefill_id:
            prefill = self._state.endpoint(placed.prefill_id)
        if decode is None or (placed.prefill_id and prefill is None):
            return None
        return Place(prefill, decode, request, False, placed.prefill_ms)

    def _keep(self, place: Place) -> Place:
        with self._lock:
            self._placed[place.request.number] = place
        return place

    def _tell_finished(self, request: messages.Admit, sound: bool) -> None:
        self._link.notify(
            messages.Finished(
                self._host, request.service, request.number, sound
            )
        )


def _wait(
    future: futures.Future, interrupt: interrupts.Interrupt, timeout_ms: int
) -> bool:
    try:
        interrupt.wait(future, timeout_ms)
    except interrupts.errors.StalledError:
        return False
    return True


def _one_request(engine: tables.Engine) -> int:
    """Memory for one long request, however many hosts share an engine."""
    return min(engine.memory_tokens, 8_000)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
