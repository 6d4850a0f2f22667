"""Table of a pool's endpoints and the placements that run on them."""

from masticquay_bundles import models
from masticquay_scheduling import deadlines
from masticquay_scheduling import estimates
from masticquay_scheduling import links
from masticquay_scheduling import messages
from masticquay_scheduling import outliers
from masticquay_scheduling import plans
from masticquay_scheduling import protocols
from masticquay_scheduling import reservations
from masticquay_scheduling import settings as scheduling_settings

AttemptKey = tuple[reservations.RequestKey, int]
HostKeys = set[tuple[str, int]]


def attempt_key(request: messages.RequestId, attempt: int) -> AttemptKey:
    """Returns the hashable identity of an attempt."""
    return (reservations.request_key(request), attempt)


class PlacementTable:
    """Reservations by attempt, and the endpoints they are on.

    Not thread-safe: the scheduler that owns the table holds a lock.

    :ivar orphans: placements whose host is gone or that are overdue; their
        reservations stay until the endpoints have confirmed the cancel
    :ivar pending_decodes: number of running attempts without a decode slot
    """

    def __init__(
        self,
        settings: scheduling_settings.SchedulingSettings,
        counters: deadlines.PoolCounters,
    ):
        self._settings = settings
        self._counters = counters
        self.estimates = estimates.Estimates(settings)
        self.states: dict[str, reservations.EndpointState] = {}
        self.running: dict[AttemptKey, reservations.Reservation] = {}
        self.orphans: dict[AttemptKey, reservations.Reservation] = {}
        self.pending_decodes = 0
        self._kv_bytes_per_token = 0
        self.link_rate_bytes_per_s = 0
        self.slots_per_endpoint = 1
        self.decode_slots = 0

    # Endpoints.

    def update(self, plan: plans.PoolPlan, now_ms: int) -> None:
        """Applies the endpoints of a newer bundle.

        Removed endpoints stay, without new work, while they have reservations.
        """
        self._kv_bytes_per_token = plan.kv_bytes_per_token
        # Endpoints added later begin with a slow start.
        is_first_update = not self.states
        declared = {endpoint.name: endpoint for endpoint in plan.endpoints}
        for name, endpoint in declared.items():
            state = self.states.get(name)
            if state is None:
                self.states[name] = reservations.EndpointState(
                    endpoint, self._settings, now_ms, not is_first_update
                )
            else:
                state.update_endpoint(endpoint)
        for name, state in list(self.states.items()):
            state.undeclared = name not in declared
            if state.undeclared and not state.in_use():
                del self.states[name]
        self._update_capacity()

    def _update_capacity(self) -> None:
        endpoints = [s.endpoint for s in self.states.values()]
        self.link_rate_bytes_per_s = min(
            (e.link_bytes_per_s for e in endpoints), default=0
        )
        decoding = [s.endpoint for s in self.states.values() if s.can_decode]
        self.decode_slots = sum(e.slots for e in decoding)
        if decoding:
            self.slots_per_endpoint = max(
                1, self.decode_slots // len(decoding)
            )

    def transfer_ms(self, prompt_tokens: int) -> float:
        """Returns the time to transfer a prompt's KV cache on an idle link."""
        if not self.link_rate_bytes_per_s:
            return 0.0
        size_bytes = self.kv_bytes(prompt_tokens)
        return size_bytes * 1000 / self.link_rate_bytes_per_s

    def kv_bytes(self, prompt_tokens: int) -> int:
        """Returns the size of a prompt's KV cache."""
        return prompt_tokens * self._kv_bytes_per_token

    def apply_load(
        self, name: str, load: protocols.EndpointLoad | None, now_ms: int
    ) -> None:
        """Applies a load report, None when the endpoint did not answer.

        Ejects an endpoint that sent none for ``load_timeout_ms``, and frees
        the reservations on one that restarted.
        """
        state = self.states.get(name)
        if state is None:
            return
        if load is None:
            silent_ms = now_ms - state.load_read_ms
            if silent_ms >= self._settings.load_timeout_ms:
                state.load_read_ms = now_ms
                self._eject(state, now_ms)
        elif state.apply_load(load, now_ms):
            self._release_restarted(name, now_ms)

    def record_failure(self, name: str, now_ms: int) -> None:
        """Records a failure of an endpoint, which may eject it."""
        state = self.states.get(name)
        if state is not None:
            state.health.record_failure(now_ms, self._may_eject(now_ms))

    def _eject(self, state: reservations.EndpointState, now_ms: int) -> None:
        if not state.health.is_ejected(now_ms):
            state.health.eject(now_ms)

    def _may_eject(self, now_ms: int) -> bool:
        ejected = sum(
            s.health.is_ejected(now_ms) for s in self.states.values()
        )
        allowed = len(self.states) * self._settings.max_ejected_percent // 100
        return ejected < max(1, allowed)

    def _release_restarted(self, name: str, now_ms: int) -> None:
        """Releases the reservations on an endpoint that restarted."""
        for reservation in self.running.values():
            reservation.release_endpoint(name, now_ms)
        for key in list(self.orphans):
            self._acknowledge(key, name, now_ms)

    # Stages of a placement.

    def start(self, reservation: reservations.Reservation) -> None:
        """Adds a new placement."""
        placement = reservation.placement
        key = attempt_key(placement.request, placement.attempt)
        self.running[key] = reservation
        self._counters.placed += 1

    def bind_decode(
        self,
        reservation: reservations.Reservation,
        decode: reservations.EndpointState,
        ready_ms: float,
    ) -> None:
        """Reserves a decode slot, its memory and the transfer's link time."""
        placement = reservation.placement
        transfer_ms = 0.0
        source = reservation.prefill
        if source is not None and source is not decode:
            size_bytes = self.kv_bytes(reservation.prompt_tokens)
            transfer_ms = links.reserve_transfer(
                source.link, decode.link, size_bytes, ready_ms
            )
        pieces = decode.pieces_for(placement.reserved_tokens)
        reservation.reserve_decode(decode, pieces, transfer_ms)
        placement.decode_endpoint = decode.name

    def end_prefill(
        self, reservation: reservations.Reservation, now_ms: int
    ) -> None:
        """Frees the prefill slot and records how long the prefill took."""
        if reservation.stage != reservations.STAGE_PREFILL:
            return
        reservation.stage = reservations.STAGE_DECODE
        if reservation.prefill is not None:
            elapsed_ms = now_ms - reservation.prefill_begins_ms
            self.estimates.observe_prefill(
                reservation.uncached_tokens, elapsed_ms
            )
            reservation.prefill.health.record_success(now_ms)
        reservation.end_prefill(now_ms)
        reservation.decode_started_ms = now_ms

    def end(
        self, finished: messages.Finished, now_ms: int
    ) -> reservations.Reservation | None:
        """Ends an attempt and frees its reservations.

        :returns: the reservation, None when the attempt is unknown
        """
        key = attempt_key(finished.request, finished.attempt)
        reservation = self.running.pop(key, None)
        if reservation is None:
            reservation = self.orphans.pop(key, None)
        if reservation is None:
            return None
        self._counters.finished[finished.outcome] += 1
        self._record_outcome(reservation, finished, now_ms)
        self._update_estimates(reservation, finished, now_ms)
        self.release(reservation, now_ms)
        return reservation

    def release(
        self, reservation: reservations.Reservation, now_ms: int
    ) -> None:
        """Frees what a placement holds on its endpoints."""
        if reservation.decode_pending:
            reservation.decode_pending = False
            self.pending_decodes -= 1
        reservation.release_prefill(now_ms)
        reservation.release_decode()

    def _record_outcome(
        self,
        reservation: reservations.Reservation,
        finished: messages.Finished,
        now_ms: int,
    ) -> None:
        if finished.outcome == messages.FINISHED_DONE:
            if reservation.decode is not None:
                reservation.decode.health.record_success(now_ms)
            return
        if reservation.stage != reservations.STAGE_PREFILL:
            began = finished.output_tokens > 0
            self._counters.wasted_prefills += not began
        # An endpoint that answered with a retry time is busy, not faulty.
        if finished.endpoint and not finished.retry_after_ms:
            self.record_failure(finished.endpoint, now_ms)

    def _update_estimates(
        self,
        reservation: reservations.Reservation,
        finished: messages.Finished,
        now_ms: int,
    ) -> None:
        if finished.outcome != messages.FINISHED_DONE:
            return
        # The message about the end of the prefill may have been lost; then
        # the duration of the decode is unknown.
        if reservation.decode is None or not reservation.decode_started_ms:
            return
        elapsed_ms = now_ms - reservation.decode_started_ms
        placement = reservation.placement
        if not placement.prefill_endpoint:
            self.estimates.observe_service(elapsed_ms)
            self._update_mean_duration(reservation.decode, elapsed_ms, now_ms)
            return
        if finished.output_tokens:
            token_ms = elapsed_ms / finished.output_tokens
            self._update_mean_duration(reservation.decode, token_ms, now_ms)
        self.estimates.observe_decode(
            placement.workspace,
            placement.class_name,
            placement.reserved_tokens - reservation.prompt_tokens,
            finished.output_tokens,
            elapsed_ms,
        )

    def _update_mean_duration(
        self,
        state: reservations.EndpointState,
        elapsed_ms: float,
        now_ms: int,
    ) -> None:
        """Records a duration; ejects the endpoint if it is an outlier."""
        state.mean_duration.add(elapsed_ms)
        peers = [s.mean_duration for s in self.states.values() if s.can_decode]
        if not outliers.is_outlier(state.mean_duration, peers, self._settings):
            return
        if self._may_eject(now_ms):
            self._eject(state, now_ms)
            state.mean_duration.reset()

    # Lost hosts and new owners.

    def adopt(
        self, placement: messages.Placement, now_ms: int, expires_ms: int
    ) -> None:
        """Adds a running placement that a previous owner made.

        An empty prefill endpoint means that the prefill has ended. The
        length of the prompt is unknown; all reserved tokens are counted.
        """
        key = attempt_key(placement.request, placement.attempt)
        if key in self.running:
            return
        reservation = reservations.Reservation(
            placement, placement.reserved_tokens, now_ms, expires_ms
        )
        reservation.decode_started_ms = now_ms
        prefill = self.states.get(placement.prefill_endpoint)
        if prefill is not None:
            prefill_ms = self.estimates.prefill_ms(placement.reserved_tokens)
            reservation.reserve_prefill(prefill, prefill_ms, now_ms)
        else:
            reservation.stage = reservations.STAGE_DECODE
        decode = self.states.get(placement.decode_endpoint)
        if decode is not None:
            pieces = decode.pieces_for(placement.reserved_tokens)
            reservation.reserve_decode(decode, pieces, 0.0)
        else:
            reservation.decode_pending = True
            self.pending_decodes += 1
        self.running[key] = reservation
        self._counters.adopted += 1

    def orphan_absent(self, live_hosts: HostKeys) -> None:
        """Turns placements of hosts that are not in a set into orphans."""
        for key in list(self.running):
            if key[0][:2] not in live_hosts:
                self._orphan(key)

    def orphan_expired(self, now_ms: int) -> None:
        """Turns placements that are past their expiry into orphans."""
        expired = [
            key
            for key, reservation in self.running.items()
            if reservation.expires_ms <= now_ms
        ]
        for key in expired:
            self._orphan(key)

    def pending_cancels(self) -> list[tuple[str, messages.RequestId]]:
        """Returns the requests to cancel, with the endpoint of each."""
        return [
            (endpoint, orphan.placement.request)
            for orphan in self.orphans.values()
            for endpoint in sorted(orphan.unacknowledged)
        ]

    def acknowledge_cancel(
        self, endpoint: str, request: messages.RequestId, now_ms: int
    ) -> None:
        """Frees a request's reservations on an endpoint that cancelled it."""
        key = reservations.request_key(request)
        for orphan_key in [k for k in self.orphans if k[0] == key]:
            self._acknowledge(orphan_key, endpoint, now_ms)

    def _orphan(self, key: AttemptKey) -> None:
        """Turns a placement into an orphan, to be cancelled on engines.

        Without an engine that could cancel it, its slot is freed at once.
        """
        reservation = self.running.pop(key)
        reservation.unacknowledged = {
            name
            for name in (
                reservation.placement.prefill_endpoint,
                reservation.placement.decode_endpoint,
            )
            if name in self.states
            and self.states[name].endpoint.kind == models.KIND_ENGINE
        }
        self._counters.orphaned += 1
        if reservation.decode_pending:
            reservation.decode_pending = False
            self.pending_decodes -= 1
        if reservation.unacknowledged:
            self.orphans[key] = reservation
        else:
            reservation.release_decode()

    def _acknowledge(self, key: AttemptKey, name: str, now_ms: int) -> None:
        orphan = self.orphans[key]
        orphan.release_endpoint(name, now_ms)
        orphan.unacknowledged.discard(name)
        if not orphan.unacknowledged:
            del self.orphans[key]
            self.release(orphan, now_ms)
