"""Choice of the prefill and decode engines of a model request.

The decode memory for the whole answer is reserved before the prefill, so that
no prefill is wasted for lack of decode memory.

A local prefill is one that a decode engine runs itself; see
``engine_states``. A late request can no longer meet its latency target.
"""

import random

from masticquay_routing import engine_states
from masticquay_routing import failed_placements
from masticquay_routing import queued_requests
from masticquay_routing import reservations
from masticquay_routing import slowdowns
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


class Placer:
    """Places single requests on the engines of a pool.

    :param reserved: takes the reservation of each placed request
    :param prefill_speed: the speed of the pool's prefill engines
    :param usual_slowdown: that of local prefills in the pool
    :param randomness: chooses the prompts of ``local_prefill_share``, None
        for none
    :param local_prefill_share: the part of the prompts that decode engines
        prefill themselves
    """

    def __init__(
        self,
        reserved: reservations.Reservations,
        prefill_speed: speeds.PrefillSpeed,
        usual_slowdown: slowdowns.UsualSlowdown,
        randomness: random.Random | None,
        local_prefill_share: float,
    ):
        self._reserved = reserved
        self._prefill_speed = prefill_speed
        self._usual_slowdown = usual_slowdown
        self._randomness = randomness
        self._local_prefill_share = local_prefill_share

    def place(
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
        preferred = _find_preferred(request, candidates)
        if preferred is not None:
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
            key=lambda e: self._prefill_cost_ms(e, request, now_ms),
            default=None,
        )
        if prefill is None:
            return self._place_local_prefill(request, candidates, now_ms, True)
        if not late:
            return self._place_on_time(
                request, prefill, candidates, failures, now_ms
            )
        backlog_ms = prefill.prefill_backlog_ms(
            self._prefill_speed.tokens_per_ms, now_ms
        )
        if backlog_ms > LATE_MAX_PREFILL_BACKLOG_MS:
            failures.record_long_backlog_for_late(request)
            return None
        return self._place_disaggregated(request, prefill, candidates, now_ms)

    def _place_on_time(
        self,
        request: queued_requests.QueuedRequest,
        prefill: engine_states.EngineState,
        candidates: list[engine_states.EngineState],
        failures: failed_placements.FailedPlacements,
        now_ms: int,
    ) -> queued_requests.Placement | None:
        """Places a request that can still meet its latency target."""
        backlog_ms = prefill.prefill_backlog_ms(
            self._prefill_speed.tokens_per_ms, now_ms
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
            now_ms
            + backlog_ms
            + self._time_to_first_token_ms(prefill, request, now_ms)
        )
        if (
            first_token_ms > request.target_deadline_ms
            and not request.resumes_stream
        ):
            return None
        return self._place_disaggregated(request, prefill, candidates, now_ms)

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
        self._reserved.add(
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
        first_token_ms = now_ms + self._expected_stall_ms(
            decode, request, now_ms
        )
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
            if self._expected_stall_ms(e, request, now_ms) <= max_stall_ms
        ]

    def _expected_stall_ms(
        self,
        state: engine_states.EngineState,
        request: queued_requests.QueuedRequest,
        now_ms: int,
    ) -> float:
        return state.stall_ms(
            request.prompt_tokens,
            self._prefill_speed.tokens_per_ms,
            self._usual_slowdown.value(now_ms),
            now_ms,
        )

    def _time_to_first_token_ms(
        self,
        prefill: engine_states.EngineState,
        request: queued_requests.QueuedRequest,
        now_ms: int,
    ) -> float:
        """Returns the time from the prefill's start to the first token."""
        duration_ms = prefill.prefill_ms(
            request.prompt_tokens, self._prefill_speed.tokens_per_ms, now_ms
        )
        return duration_ms + KV_TRANSFER_ALLOWANCE_MS

    def _place_decode_only(
        self,
        request: queued_requests.QueuedRequest,
        decode: engine_states.EngineState,
        local_prefill_started_ms: int | None = None,
    ) -> queued_requests.Placement:
        self._reserved.add(
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
        self,
        state: engine_states.EngineState,
        request: queued_requests.QueuedRequest,
        now_ms: int,
    ) -> float:
        tokens_per_ms = self._prefill_speed.tokens_per_ms
        return (
            state.prefill_backlog_ms(tokens_per_ms, now_ms)
            + state.prefill_ms(request.prompt_tokens, tokens_per_ms, now_ms)
            + state.failure_rate * MAX_PREFILL_BACKLOG_MS
        )


def _find_preferred(
    request: queued_requests.QueuedRequest,
    candidates: list[engine_states.EngineState],
) -> engine_states.EngineState | None:
    """Returns the engine on which a broken stream resumes, None if none."""
    if not request.preferred_id:
        return None
    for engine in candidates:
        if engine.endpoint.endpoint_id == request.preferred_id:
            works = engine.failure_rate < PREFER_MAX_FAILURE_RATE
            return engine if works else None
    return None


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


def _decode_cost(state: engine_states.EngineState, place: str) -> float:
    memory_use = state.reserved_tokens / max(1, state.memory_tokens)
    cost = memory_use * 100
    cost += state.failure_rate * FAILURE_COST
    if state.endpoint.place != place:
        cost += OTHER_PLACE_COST
    return cost
