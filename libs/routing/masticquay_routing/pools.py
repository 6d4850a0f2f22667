"""Pool of the prefill and decode engines of a service.

It uses neither the network nor a clock: callers pass the time in milliseconds.
"""

import random

from masticquay_routing import ejections
from masticquay_routing import engine_states
from masticquay_routing import failed_placements
from masticquay_routing import fleets
from masticquay_routing import placements
from masticquay_routing import queued_requests
from masticquay_routing import refusals
from masticquay_routing import refused_prompts
from masticquay_routing import request_limits
from masticquay_routing import reservations
from masticquay_routing import slowdowns
from masticquay_routing import speeds
from masticquay_routing import unmeetable_deadlines
from masticquay_routing import usable_engines

# A request that left the queue, and where it was placed or why not.
Outcome = tuple[
    queued_requests.QueuedRequest,
    queued_requests.Placement | queued_requests.Refusal,
]


class Pool:
    """The engines of one service, its queue and its reservations.

    :param randomness: chooses among equally good engines, None for the first
        one. Needed where several pools place on the same engines without
        knowing of each other.
    :param local_prefill_share: the part of the prompts that decode engines
        prefill themselves, chosen by ``randomness``
    :param limits: the limits that engines name, None if they name none
    """

    def __init__(
        self,
        randomness: random.Random | None = None,
        local_prefill_share: float = 0.0,
        limits: request_limits.RequestLimits | None = None,
    ) -> None:
        self._limits = request_limits.NoLimits() if limits is None else limits
        self._randomness = randomness
        self.engines: dict[str, engine_states.EngineState] = {}
        self._reserved = reservations.Reservations(self.engines)
        self._queue: list[queued_requests.QueuedRequest] = []
        self._prefill_speed = speeds.PrefillSpeed()
        self._usual_slowdown = slowdowns.UsualSlowdown(
            engine_states.LOCAL_PREFILL_INITIAL_SLOWDOWN,
            lambda: [e.local_prefill_slowdown for e in self.engines.values()],
        )
        self._placer = placements.Placer(
            self._reserved,
            self._prefill_speed,
            self._usual_slowdown,
            randomness,
            local_prefill_share,
        )
        self._refused_prompts = refused_prompts.RefusedPrompts()

    @property
    def queue_length(self) -> int:
        """The number of requests that wait to be placed."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """The number of requests that are placed."""
        return len(self._reserved)

    @property
    def prefill_tokens_per_ms(self) -> float:
        """The estimated speed of a prefill engine."""
        return self._prefill_speed.tokens_per_ms

    def set_engines(
        self,
        endpoints: list[fleets.Endpoint],
        memory_tokens: int,
        slots: int,
    ) -> None:
        """Replaces the list of engines, keeping the state of known ones."""
        listed = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        for endpoint_id in list(self.engines):
            if endpoint_id not in listed:
                del self.engines[endpoint_id]
        for endpoint_id, endpoint in listed.items():
            state = self.engines.get(endpoint_id)
            if state is None:
                state = engine_states.EngineState(
                    endpoint, memory_tokens, slots
                )
                self.engines[endpoint_id] = state
                self._reserved.restore(state)
            if state.endpoint.role != endpoint.role:
                state.role_switch_until_ms = 0
            state.endpoint = endpoint
            state.memory_tokens = memory_tokens
            state.slots = slots

    def admit(self, request: queued_requests.QueuedRequest) -> None:
        """Queues a request; ``place_waiting`` places it.

        The retry of a refused request is late from the start.
        """
        if request.prompt_key in self._refused_prompts:
            request.target_deadline_ms = request.arrived_ms
            request.placement_deadline_ms = max(
                request.placement_deadline_ms,
                request.late_placement_deadline_ms,
            )
        self._queue.append(request)

    def remove(
        self, key: queued_requests.RequestKey, succeeded: bool = False
    ) -> None:
        """Removes a request from the queue, or frees its reservation.

        :param succeeded: whether the decode engine worked correctly
        """
        self._queue = [r for r in self._queue if r.key != key]
        reservation = self._reserved.find(key)
        if succeeded and reservation is not None:
            self._record_success(reservation.decode_id)
        self._reserved.release(key)

    def adopt(
        self,
        key: queued_requests.RequestKey,
        decode_id: str,
        memory_tokens: int,
        prompt_tokens: int,
    ) -> None:
        """Adds the reservation of a request that an earlier leader placed."""
        if key not in self._reserved:
            self._reserved.add(
                key,
                reservations.Reservation(
                    decode_id, memory_tokens, '', prompt_tokens
                ),
            )

    def begin_decode(
        self, key: queued_requests.RequestKey, now_ms: int
    ) -> None:
        """Records that the first token of a request arrived."""
        reservation = self._reserved.find(key)
        if reservation is None:
            return
        self._record_success(reservation.decode_id, now_ms)
        self._reserved.cancel_prefill(reservation)
        state = self.engines.get(reservation.decode_id)
        if (
            state is not None
            and reservation.local_prefill_started_ms is not None
        ):
            state.record_local_prefill(
                reservation.prompt_tokens,
                now_ms - reservation.local_prefill_started_ms,
                self._prefill_speed.tokens_per_ms,
                self._usual_slowdown.value(now_ms),
                now_ms,
            )

    def finish_prefill(
        self, key: queued_requests.RequestKey, now_ms: int
    ) -> None:
        """Records a completed prefill and updates the estimated speed."""
        reservation = self._reserved.find(key)
        if reservation is None or not reservation.prefill_id:
            return
        self._record_success(reservation.prefill_id, now_ms)
        state = self.engines.get(reservation.prefill_id)
        duration_ms = self._reserved.end_prefill(reservation, now_ms)
        tokens = reservation.prompt_tokens
        if state is None or duration_ms is None or not tokens:
            return
        usual_ms = tokens / self._prefill_speed.tokens_per_ms
        state.prefill_slowdown.add_sample(
            tokens, duration_ms, usual_ms, now_ms
        )
        self._prefill_speed.add_sample(tokens, duration_ms)

    def release(self, key: queued_requests.RequestKey) -> None:
        """Frees the reservation of a request that ended."""
        self._reserved.release(key)

    def release_host(self, host: str) -> None:
        """Drops all requests of a host that restarted or lost its session."""
        self._queue = [r for r in self._queue if r.key[0] != host]
        self._reserved.release_host(host)

    def record_failure(
        self,
        endpoint_id: str,
        now_ms: int,
        reached: bool = True,
        stalled: bool = False,
    ) -> None:
        """Records a failure, and ejects an engine that fails repeatedly.

        :param reached: whether the host could connect to the engine
        :param stalled: whether the engine sent nothing within the timeout; no
            failure if it has served others meanwhile, as its queue is long
        """
        state = self.engines.get(endpoint_id)
        if stalled and state is not None and state.served_recently(now_ms):
            return
        ejections.record_failure(self.engines, endpoint_id, now_ms, reached)

    def record_refusal(
        self, endpoint_id: str, now_ms: int, pause_ms: int
    ) -> None:
        """Pauses placement on an engine that refused a request.

        The engine works, but its free memory or its role differs from what
        the pool assumes.
        """
        state = self.engines.get(endpoint_id)
        if state is not None:
            state.paused_until_ms = now_ms + pause_ms

    def _record_success(
        self, endpoint_id: str, now_ms: int | None = None
    ) -> None:
        state = self.engines.get(endpoint_id)
        if state is None:
            return
        ejections.record_success(state)
        if now_ms is not None:
            state.last_served_ms = now_ms

    def place_waiting(self, now_ms: int) -> list[Outcome]:
        """Places waiting requests and refuses those that waited too long."""
        outcomes: list[Outcome] = []
        waiting = []
        engines: usable_engines.UsableEngines | None = None
        failures = failed_placements.FailedPlacements()
        for request in sorted(
            self._queue, key=lambda r: _queue_order(r, now_ms)
        ):
            placement = None
            if unmeetable_deadlines.may_be_unmeetable(
                request, self.prefill_tokens_per_ms, now_ms
            ):
                engines = engines or self._list_usable(now_ms)
                if self._is_unmeetable(request, engines, now_ms):
                    outcomes.append(
                        (request, refusals.refuse_unmeetable(request))
                    )
                    continue
            if not failures.imply_failure_of(request, now_ms):
                engines = engines or self._list_usable(now_ms)
                placement = self._placer.place(
                    request, engines, failures, now_ms
                )
            if placement is not None:
                self._charge_limits(placement, now_ms)
                outcomes.append((request, placement))
                engines = None
                failures = failed_placements.FailedPlacements()
            elif self._lost_version(request):
                outcomes.append(
                    (request, refusals.refuse_lost_version(request))
                )
            elif self._is_evacuated():
                outcomes.append((request, refusals.refuse_evacuated(request)))
            elif now_ms >= request.placement_deadline_ms:
                outcomes.append((request, self._refuse(request, now_ms)))
            else:
                waiting.append(request)
        self._queue = waiting
        return outcomes

    def describe(self, now_ms: int) -> dict[str, object]:
        """Returns the state of the pool as fields of a log line."""
        prefills, decodes = self.usable_by_role(now_ms)
        return {
            'waiting': len(self._queue),
            'running': len(self._reserved),
            'prefill_backlog_ms': [
                round(
                    e.prefill_backlog_ms(
                        self._prefill_speed.tokens_per_ms, now_ms
                    )
                )
                for e in prefills
            ],
            'decode_reserved_tokens': [e.reserved_tokens for e in decodes],
            'decode_running': [e.running_count for e in decodes],
            'decode_slowdown': [
                round(
                    e.local_prefill_slowdown.value(
                        self._usual_slowdown.value(now_ms), now_ms
                    ),
                    1,
                )
                for e in decodes
            ],
            'unusable': len(self.engines) - len(prefills) - len(decodes),
            'prefill_tokens_per_ms': round(
                self._prefill_speed.tokens_per_ms, 1
            ),
        }

    def usable_by_role(self, now_ms: int) -> tuple[list, list]:
        """Returns the usable prefill and decode engines."""
        usable = usable_engines.UsableEngines(self.engines, now_ms)
        return usable.prefills, usable.decodes

    def _is_unmeetable(
        self,
        request: queued_requests.QueuedRequest,
        engines: usable_engines.UsableEngines,
        now_ms: int,
    ) -> bool:
        return unmeetable_deadlines.is_unmeetable(
            request,
            engines,
            self.prefill_tokens_per_ms,
            self._usual_slowdown.value(now_ms),
            now_ms,
        )

    def _lost_version(self, request: queued_requests.QueuedRequest) -> bool:
        """Whether no engine is left at which a stream may go on."""
        if not request.software_version:
            return False
        return not any(
            request.fits(e.endpoint)
            for e in self.engines.values()
            if e.endpoint.role == fleets.ROLE_DECODE and not e.endpoint.leaving
        )

    def _is_evacuated(self) -> bool:
        """Whether evacuations have left no engine that may get requests."""
        endpoints = [e.endpoint for e in self.engines.values()]
        if not all(endpoint.leaving for endpoint in endpoints):
            return False
        return any(endpoint.evacuated for endpoint in endpoints)

    def _list_usable(self, now_ms: int) -> usable_engines.UsableEngines:
        engines = {
            endpoint_id: state
            for endpoint_id, state in self.engines.items()
            if self._limits.has_room(endpoint_id, now_ms)
        }
        return usable_engines.UsableEngines(engines, now_ms, self._randomness)

    def _charge_limits(
        self, placement: queued_requests.Placement, now_ms: int
    ) -> None:
        """Counts the requests that a placement sends to engines."""
        for endpoint in (placement.prefill, placement.decode):
            if endpoint is not None:
                self._limits.charge(endpoint.endpoint_id, now_ms)

    def _refuse(
        self, request: queued_requests.QueuedRequest, now_ms: int
    ) -> queued_requests.Refusal:
        """Refuses a request that waited too long; its retry is late."""
        self._refused_prompts.add(request.prompt_key, now_ms)
        _prefills, decodes = self.usable_by_role(now_ms)
        return refusals.refuse_unplaced(
            request, len(self._queue), len(decodes)
        )


def _queue_order(request: queued_requests.QueuedRequest, now_ms: int) -> tuple:
    """Orders streams that go on first, as they fit on few engines.

    Then come requests that can be on time, by priority and age.
    """
    late = now_ms >= request.target_deadline_ms
    is_new = not request.software_version
    return (is_new, late, request.priority, request.arrived_ms)
