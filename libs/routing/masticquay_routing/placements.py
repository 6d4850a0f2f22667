"""Placement of model requests on the prefill and decode engines of a pool.

The pool reserves decode memory for the whole answer before the prefill, so
that no prefill is wasted for lack of decode memory. It uses neither the
network nor a clock: callers pass the time in milliseconds.

A local prefill is one that a decode engine runs itself; see
``engine_states``. A late request can no longer meet its latency target.
"""

import random

from masticquay_routing import ejections
from masticquay_routing import engine_states
from masticquay_routing import failed_placements
from masticquay_routing import fleets
from masticquay_routing import queued_requests
from masticquay_routing import refused_prompts
from masticquay_routing import request_limits
from masticquay_routing import reservations
from masticquay_routing import speeds
from masticquay_routing import usable_engines

# A local prefill may stall streams for up to this fraction of the pause that
# still meets the latency target.
MAX_STALL_SHARE = 0.85
MAX_PREFILL_BACKLOG_MS = 350
# Above this backlog of the prefill engine, a local prefill finishes sooner.
PREFILL_SPILLOVER_MS = 150
# Time to transfer the KV cache to the decode engine.
KV_TRANSFER_ALLOWANCE_MS = 60
# Cost of a decode engine in another data centre. On this scale, an engine with
# a full memory costs 100.
OTHER_PLACE_COST = 25
# Cost of a decode engine that fails every request, on the scale of
# OTHER_PLACE_COST.
FAILURE_COST = 100
# A broken stream resumes on its former engine only below this failure rate.
PREFER_MAX_FAILURE_RATE = 0.4
# Late requests use only this fraction of the memory and wait for a shorter
# backlog, to leave capacity for requests that can still be on time.
LATE_MEMORY_SHARE = 0.8
LATE_MAX_PREFILL_BACKLOG_MS = 120
RETRY_AFTER_MIN_MS = 400
# The retries of refused requests are spread over this time.
RETRY_AFTER_SPREAD_MS = 1_500
RETRY_AFTER_MAX_MS = 4_000


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
        self._local_prefill_share = local_prefill_share
        self.engines: dict[str, engine_states.EngineState] = {}
        self._reservations: dict[
            queued_requests.RequestKey, reservations.Reservation
        ] = {}
        self._queue: list[queued_requests.QueuedRequest] = []
        self._prefill_speed = speeds.PrefillSpeed()
        self._refused_prompts = refused_prompts.RefusedPrompts()

    @property
    def queue_length(self) -> int:
        """The number of requests that wait to be placed."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """The number of requests that are placed."""
        return len(self._reservations)

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
                self._restore_reservations(state)
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
        reservation = self._reservations.get(key)
        if succeeded and reservation is not None:
            self._record_success(reservation.decode_id)
        self.release(key)

    def adopt(
        self,
        key: queued_requests.RequestKey,
        decode_id: str,
        memory_tokens: int,
        prompt_tokens: int,
    ) -> None:
        """Adds the reservation of a request that an earlier leader placed."""
        if key not in self._reservations:
            self._reserve(
                key,
                reservations.Reservation(
                    decode_id, memory_tokens, '', prompt_tokens
                ),
            )

    def begin_decode(
        self, key: queued_requests.RequestKey, now_ms: int
    ) -> None:
        """Records that the first token of a request arrived."""
        reservation = self._reservations.get(key)
        if reservation is None:
            return
        self._record_success(reservation.decode_id, now_ms)
        state = self.engines.get(reservation.decode_id)
        if (
            state is not None
            and reservation.local_prefill_started_ms is not None
        ):
            state.record_local_prefill(
                reservation.prompt_tokens,
                now_ms - reservation.local_prefill_started_ms,
                self._prefill_speed.tokens_per_ms,
            )

    def finish_prefill(
        self, key: queued_requests.RequestKey, now_ms: int
    ) -> None:
        """Records a completed prefill and updates the estimated speed."""
        reservation = self._reservations.get(key)
        if reservation is None or not reservation.prefill_id:
            return
        self._record_success(reservation.prefill_id, now_ms)
        duration_ms = self._end_prefill(reservation, now_ms)
        if duration_ms is not None:
            self._prefill_speed.add_sample(
                reservation.prompt_tokens, duration_ms
            )

    def release(self, key: queued_requests.RequestKey) -> None:
        """Frees the reservation of a request that ended."""
        reservation = self._reservations.pop(key, None)
        if reservation is None:
            return
        if reservation.prefill_id:
            prefill = self.engines.get(reservation.prefill_id)
            if prefill is not None:
                prefill.cancel_prefill(reservation.prompt_tokens)
        state = self.engines.get(reservation.decode_id)
        if state is not None:
            state.running_count -= 1
            state.reserved_tokens -= reservation.memory_tokens

    def release_host(self, host: str) -> None:
        """Drops all requests of a host that restarted or lost its session."""
        self._queue = [r for r in self._queue if r.key[0] != host]
        for key in [k for k in self._reservations if k[0] == host]:
            self.release(key)

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
            if not failures.imply_failure_of(request, now_ms):
                if engines is None:
                    engines = self._list_usable(now_ms)
                placement = self._place(request, engines, failures, now_ms)
            if placement is not None:
                self._charge_limits(placement, now_ms)
                outcomes.append((request, placement))
                engines = None
                failures = failed_placements.FailedPlacements()
            elif self._lost_version(request):
                outcomes.append((request, _refuse_lost_version(request)))
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
            'running': len(self._reservations),
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
                round(e.local_prefill_slowdown, 1) for e in decodes
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

    def _lost_version(self, request: queued_requests.QueuedRequest) -> bool:
        """Whether no engine is left at which a stream may go on."""
        if not request.software_version:
            return False
        return not any(
            request.fits(e.endpoint)
            for e in self.engines.values()
            if e.endpoint.role == fleets.ROLE_DECODE and not e.endpoint.leaving
        )

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

    def _place(
        self,
        request: queued_requests.QueuedRequest,
        engines: usable_engines.UsableEngines,
        failures: failed_placements.FailedPlacements,
        now_ms: int,
    ) -> queued_requests.Placement | None:
        """Places a request, or records why it could not be placed.

        :param engines: the engines that may get requests now
        :param failures: the requests that could not be placed on them
        """
        late = request.is_late(now_ms)
        memory_share = LATE_MEMORY_SHARE if late else 1.0
        candidates = [
            e
            for e in engines.decodes
            if e.has_capacity(request.memory_tokens, memory_share)
            and request.fits(e.endpoint)
        ]
        if not candidates:
            failures.record_full_memory(request, late)
            return None
        preferred = self.engines.get(request.preferred_id)
        if (
            preferred in candidates
            and preferred.failure_rate < PREFER_MAX_FAILURE_RATE
        ):
            return self._place_decode_only(request, preferred)
        if request.prefilled:
            decode = min(candidates, key=lambda e: _decode_cost(e, ''))
            return self._place_decode_only(request, decode)
        prefills = [
            e
            for e in engines.prefills
            if e.endpoint.endpoint_id not in request.avoided_ids
        ]
        prefill = min(
            prefills,
            key=lambda e: self._prefill_cost_ms(e, now_ms),
            default=None,
        )
        if prefill is not None:
            backlog_ms = prefill.prefill_backlog_ms(
                self._prefill_speed.tokens_per_ms, now_ms
            )
            if late:
                if backlog_ms > LATE_MAX_PREFILL_BACKLOG_MS:
                    failures.record_long_backlog_for_late(request)
                    return None
                return self._place_disaggregated(
                    request, prefill, candidates, now_ms
                )
            if backlog_ms > PREFILL_SPILLOVER_MS or self._spills_at_random():
                placement = self._place_local_prefill(
                    request, candidates, now_ms, False
                )
                if placement is not None:
                    return placement
            if backlog_ms > MAX_PREFILL_BACKLOG_MS:
                if not self._with_short_stall(request, candidates, now_ms):
                    failures.record_long_backlog(request)
                return None
            first_token_ms = (
                now_ms + backlog_ms + self._time_to_first_token_ms(request)
            )
            if (
                first_token_ms > request.target_deadline_ms
                and not request.resumes_stream
            ):
                return None
            return self._place_disaggregated(
                request, prefill, candidates, now_ms
            )
        return self._place_local_prefill(
            request, candidates, now_ms, prefill is None
        )

    def _place_disaggregated(
        self,
        request: queued_requests.QueuedRequest,
        prefill: engine_states.EngineState,
        candidates: list[engine_states.EngineState],
        now_ms: int,
    ) -> queued_requests.Placement:
        prefill.begin_prefill(request.prompt_tokens, now_ms)
        prefill.begin_probe(now_ms)
        place = prefill.endpoint.place
        decode = min(candidates, key=lambda e: _decode_cost(e, place))
        self._reserve(
            request.key,
            reservations.Reservation(
                decode.endpoint.endpoint_id,
                request.memory_tokens,
                prefill.endpoint.endpoint_id,
                request.prompt_tokens,
            ),
        )
        decode.begin_probe(now_ms)
        prefill_ms = prefill.prefill_backlog_ms(
            self._prefill_speed.tokens_per_ms, now_ms
        )
        return queued_requests.Placement(
            prefill.endpoint, decode.endpoint, int(prefill_ms)
        )

    def _place_local_prefill(
        self,
        request: queued_requests.QueuedRequest,
        candidates: list[engine_states.EngineState],
        now_ms: int,
        no_prefill_engine: bool,
    ) -> queued_requests.Placement | None:
        """Places a local prefill unless it stalls streams for too long.

        :param no_prefill_engine: whether no prefill engine is usable; if so,
            a longer stall is accepted
        """
        with_short_stall = self._with_short_stall(request, candidates, now_ms)
        if with_short_stall:
            decode = min(
                with_short_stall,
                key=lambda e: (e.takes_long_prompts(now_ms), e.running_count),
            )
        elif no_prefill_engine and (
            rested := _without_recent_prefill(candidates, now_ms)
        ):
            # Keep long prompts on one engine, so that the streams of the
            # others are not stalled.
            decode = max(
                rested,
                key=lambda e: (e.last_long_prompt_ms, -e.running_count),
            )
            decode.last_long_prompt_ms = now_ms
        else:
            return None
        first_token_ms = now_ms + self._expected_stall_ms(decode, request)
        if (
            first_token_ms > request.target_deadline_ms
            and not no_prefill_engine
        ):
            return None
        decode.last_local_prefill_ms = now_ms
        decode.begin_probe(now_ms)
        return self._place_decode_only(request, decode, now_ms)

    def _spills_at_random(self) -> bool:
        if self._randomness is None:
            return False
        return self._randomness.random() < self._local_prefill_share

    def _with_short_stall(
        self,
        request: queued_requests.QueuedRequest,
        candidates: list[engine_states.EngineState],
        now_ms: int,
    ) -> list[engine_states.EngineState]:
        """Returns the engines that can prefill a prompt between streams."""
        max_stall_ms = request.pause_ms * MAX_STALL_SHARE
        return [
            e
            for e in _without_recent_prefill(candidates, now_ms)
            if self._expected_stall_ms(e, request) <= max_stall_ms
        ]

    def _expected_stall_ms(
        self,
        state: engine_states.EngineState,
        request: queued_requests.QueuedRequest,
    ) -> float:
        tokens_per_ms = self._prefill_speed.tokens_per_ms
        return state.stall_ms(request.prompt_tokens, tokens_per_ms)

    def _time_to_first_token_ms(
        self, request: queued_requests.QueuedRequest
    ) -> float:
        """Returns the time from the prefill's start to the first token."""
        duration_ms = request.prompt_tokens / self._prefill_speed.tokens_per_ms
        return duration_ms + KV_TRANSFER_ALLOWANCE_MS

    def _place_decode_only(
        self,
        request: queued_requests.QueuedRequest,
        decode: engine_states.EngineState,
        local_prefill_started_ms: int | None = None,
    ) -> queued_requests.Placement:
        self._reserve(
            request.key,
            reservations.Reservation(
                decode.endpoint.endpoint_id,
                request.memory_tokens,
                '',
                request.prompt_tokens,
                local_prefill_started_ms,
            ),
        )
        return queued_requests.Placement(None, decode.endpoint)

    def _prefill_cost_ms(
        self, state: engine_states.EngineState, now_ms: int
    ) -> float:
        backlog_ms = state.prefill_backlog_ms(
            self._prefill_speed.tokens_per_ms, now_ms
        )
        return backlog_ms + state.failure_rate * MAX_PREFILL_BACKLOG_MS

    def _end_prefill(
        self, reservation: reservations.Reservation, now_ms: int
    ) -> float | None:
        prefill = self.engines.get(reservation.prefill_id)
        reservation.prefill_id = ''
        if prefill is None:
            return None
        return prefill.end_prefill(reservation.prompt_tokens, now_ms)

    def _reserve(
        self,
        key: queued_requests.RequestKey,
        reservation: reservations.Reservation,
    ) -> None:
        self._reservations[key] = reservation
        state = self.engines.get(reservation.decode_id)
        if state is not None:
            state.running_count += 1
            state.reserved_tokens += reservation.memory_tokens

    def _restore_reservations(self, state: engine_states.EngineState) -> None:
        for reservation in self._reservations.values():
            if reservation.decode_id == state.endpoint.endpoint_id:
                state.running_count += 1
                state.reserved_tokens += reservation.memory_tokens

    def _refuse(
        self, request: queued_requests.QueuedRequest, now_ms: int
    ) -> queued_requests.Refusal:
        """Returns a refusal with a retry time.

        The time grows with the length of the queue and differs between
        requests, so that refused callers do not all retry at once.
        """
        self._refused_prompts.add(request.prompt_key, now_ms)
        _prefills, decodes = self.usable_by_role(now_ms)
        spread_ms = request.key[1] * 97 % RETRY_AFTER_SPREAD_MS
        if not decodes:
            return queued_requests.Refusal(
                'no engine', RETRY_AFTER_MAX_MS // 2 + spread_ms
            )
        queue_per_engine = len(self._queue) / max(1, len(decodes))
        wait_ms = (
            RETRY_AFTER_MIN_MS
            + int(queue_per_engine * RETRY_AFTER_MIN_MS)
            + spread_ms
        )
        return queued_requests.Refusal(
            'engines full', min(RETRY_AFTER_MAX_MS, wait_ms)
        )


def _without_recent_prefill(
    candidates: list[engine_states.EngineState], now_ms: int
) -> list[engine_states.EngineState]:
    """Returns the engines whose streams were not stalled a moment ago."""
    return [
        e
        for e in candidates
        if now_ms - e.last_local_prefill_ms
        >= engine_states.LOCAL_PREFILL_INTERVAL_MS
    ]


def _refuse_lost_version(
    request: queued_requests.QueuedRequest,
) -> queued_requests.Refusal:
    return queued_requests.Refusal(
        f'no engine of software version {request.software_version}',
        RETRY_AFTER_MAX_MS // 2,
    )


def _queue_order(request: queued_requests.QueuedRequest, now_ms: int) -> tuple:
    """Orders streams that go on first, as they fit on few engines.

    Then come requests that can be on time, by priority and age.
    """
    late = now_ms >= request.target_deadline_ms
    is_new = not request.software_version
    return (is_new, late, request.priority, request.arrived_ms)


def _decode_cost(state: engine_states.EngineState, place: str) -> float:
    memory_use = state.reserved_tokens / max(1, state.memory_tokens)
    cost = memory_use * 100
    cost += state.failure_rate * FAILURE_COST
    if state.endpoint.place != place:
        cost += OTHER_PLACE_COST
    return cost
