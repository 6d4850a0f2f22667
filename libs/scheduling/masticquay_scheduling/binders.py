"""Binding of requests to endpoints that have slots free now or soon."""

from masticquay_bundles import models
from masticquay_scheduling import choosers
from masticquay_scheduling import deadlines
from masticquay_scheduling import messages
from masticquay_scheduling import placements
from masticquay_scheduling import plans
from masticquay_scheduling import queued_requests
from masticquay_scheduling import queues
from masticquay_scheduling import reservations
from masticquay_scheduling import settings as scheduling_settings


class AvailableSlots:
    """Decode slots beyond those that running attempts still need.

    :param free: slots free now
    :param projected: slots free now plus those expected soon
    """

    __slots__ = ('free', 'projected')

    def __init__(self, free: int, projected: float):
        self.free = free
        self.projected = projected


class Binder:
    """Chooses and reserves endpoints, and charges the workspace.

    While many slots are free, the decode endpoint is bound at once even for
    hosts that could ask for it later: that saves a message, and holding an
    idle slot costs nothing.
    """

    def __init__(
        self,
        table: placements.PlacementTable,
        queue: queues.FairQueue,
        chooser: choosers.Chooser,
        settings: scheduling_settings.SchedulingSettings,
    ):
        self._table = table
        self._queue = queue
        self._chooser = chooser
        self._settings = settings

    def update(self, plan: plans.PoolPlan, bundle: models.Bundle) -> None:
        """Applies a newer bundle.

        Computes the slots and the prefill time kept for urgent classes.
        """
        self._plan = plan
        targets = [
            declared.first_token_target_ms
            for declared in bundle.classes
            if declared.kind == models.CLASS_URGENT
        ]
        self._headroom = 0
        self._deferred_headroom = self._share_of_slots(
            self._settings.deferred_headroom_percent
        )
        self._ample_slots = self._share_of_slots(
            self._settings.ample_slots_percent
        )
        self._chooser.max_blocking_ms = float('inf')
        if targets and not plan.is_service:
            percent = self._settings.headroom_percent
            self._headroom = self._share_of_slots(percent)
            share = self._settings.prefill_blocking_percent / 100
            self._chooser.max_blocking_ms = share * min(targets)

    def replace_chooser(self, chooser: choosers.Chooser) -> None:
        """Replaces the policy that chooses endpoints."""
        chooser.max_blocking_ms = self._chooser.max_blocking_ms
        self._chooser = chooser

    def count_available_slots(self, now_ms: int) -> AvailableSlots:
        """Counts decode slots beyond those that running attempts need."""
        free = 0
        busy = 0
        for state in self._table.states.values():
            if state.can_decode:
                free += max(0, state.free_slots(now_ms))
                busy += state.decode_count
        free -= self._table.pending_decodes
        return AvailableSlots(
            free, free + self.expected_free_slots(busy, now_ms)
        )

    def expected_free_slots(self, busy: int, now_ms: int) -> float:
        """Returns how many busy slots should come free in time.

        That is before the result of a prefill that starts now expires. The
        number is taken as Poisson distributed, and reduced by
        ``overlap_sigmas`` standard deviations.
        """
        if self._plan.is_service or not busy:
            return 0.0
        horizon_ms = self._settings.overlap_horizon_ms
        horizon_ms *= self._table.estimates.overlap_factor
        expected = (
            busy * horizon_ms / self._table.estimates.mean_slot_busy_ms()
        )
        margin = self._settings.overlap_sigmas * expected**0.5
        return max(0.0, expected - margin)

    def can_start_prefill(self, now_ms: int) -> bool:
        """Returns whether any endpoint could start another prefill now."""
        if self._plan.is_service:
            return True
        limit_ms = now_ms + self._settings.prefill_backlog_ms
        return any(
            state.can_prefill and state.busy_until_ms <= limit_ms
            for state in self._table.states.values()
        )

    def headroom_for(
        self, queued: queued_requests.QueuedRequest, now_ms: int
    ) -> int:
        """Returns how many slots a request must leave free for others."""
        if queued.is_urgent:
            return 0
        if now_ms < queued.yields_until_ms:
            return self._deferred_headroom
        return self._headroom

    def place(
        self,
        queued: queued_requests.QueuedRequest,
        available: AvailableSlots,
        now_ms: int,
    ) -> messages.Placement | None:
        """Reserves endpoints for a request; returns None without capacity."""
        if self._plan.is_service:
            return self._place_service(queued, now_ms)
        admit = queued.admit
        chosen = self._chooser.choose_prefill(
            self._table.states.values(), admit, queued.is_urgent, now_ms
        )
        if chosen is None:
            return None
        decode = None
        if not admit.late_decode or available.free > self._ample_slots:
            if available.free <= self.headroom_for(queued, now_ms):
                return None
            decode = self._choose_decode_ahead(admit, chosen, now_ms)
            if decode is None:
                return None
        return self._reserve(admit, chosen, decode, now_ms)

    def bind_decode(
        self, reservation: reservations.Reservation, now_ms: int
    ) -> bool:
        """Reserves a decode slot after the prefill; returns whether it did."""
        decode = self._chooser.choose_decode(
            self._table.states.values(),
            reservation.prefill,
            reservation.placement.reserved_tokens,
            self._table.kv_bytes(reservation.prompt_tokens),
            now_ms,
            reservation.excluded,
            now_ms,
        )
        if decode is None:
            return False
        elapsed_ms = now_ms - reservation.decode_started_ms
        self._table.estimates.observe_slot_wait(elapsed_ms)
        reservation.decode_pending = False
        self._table.pending_decodes -= 1
        self._table.bind_decode(reservation, decode, now_ms)
        return True

    def has_free_decode_slot(self, now_ms: int) -> bool:
        """Returns whether any decode slot is free."""
        return any(
            state.can_decode and state.free_slots(now_ms) > 0
            for state in self._table.states.values()
        )

    def correct_charge(
        self,
        reservation: reservations.Reservation,
        finished: messages.Finished,
        now_ms: int,
    ) -> None:
        """Replaces the estimated charge of an ended attempt by the cost."""
        if reservation.placement.prefill_endpoint:
            actual_ms = self._cost_ms(reservation, finished.output_tokens)
        else:
            actual_ms = now_ms - reservation.decode_started_ms
        self._charge(reservation, actual_ms - reservation.cost_ms)

    def _share_of_slots(self, percent: int) -> int:
        return -(-self._table.decode_slots * percent // 100)

    def _choose_decode_ahead(
        self,
        admit: messages.Admit,
        chosen: choosers.PrefillChoice,
        now_ms: int,
    ) -> reservations.EndpointState | None:
        return self._chooser.choose_decode(
            self._table.states.values(),
            chosen.state,
            admit.prompt_tokens + admit.max_output_tokens,
            self._table.kv_bytes(admit.prompt_tokens),
            chosen.end_ms,
            admit.excluded,
            now_ms,
        )

    def _reserve(
        self,
        admit: messages.Admit,
        chosen: choosers.PrefillChoice,
        decode: reservations.EndpointState | None,
        now_ms: int,
    ) -> messages.Placement:
        reservation = self._start_reservation(admit, now_ms)
        placement = reservation.placement
        placement.prefill_endpoint = chosen.state.name
        placement.cached_tokens = chosen.cached_tokens
        placement.prefill_timeout_ms = deadlines.stage_timeout_ms(
            chosen.end_ms - now_ms
        )
        reservation.reserve_prefill(chosen.state, chosen.prefill_ms, now_ms)
        reservation.uncached_tokens = (
            admit.prompt_tokens - chosen.cached_tokens
        )
        chosen.state.prefix_index.add_expected(admit.prefix_hashes)
        if decode is None:
            reservation.decode_pending = True
            self._table.pending_decodes += 1
        else:
            self._table.bind_decode(reservation, decode, chosen.end_ms)
        output = self._table.estimates.output_tokens(
            admit.workspace, admit.class_name, admit.max_output_tokens
        )
        reservation.prefill_cost_ms = chosen.prefill_ms
        self._charge(reservation, self._cost_ms(reservation, output))
        return placement

    def _place_service(
        self, queued: queued_requests.QueuedRequest, now_ms: int
    ) -> messages.Placement | None:
        admit = queued.admit
        state = self._chooser.choose_service(
            self._table.states.values(), admit.excluded, now_ms
        )
        if state is None:
            return None
        reservation = self._start_reservation(admit, now_ms)
        reservation.stage = reservations.STAGE_DECODE
        reservation.decode_started_ms = now_ms
        self._table.bind_decode(reservation, state, now_ms)
        self._charge(reservation, self._table.estimates.service_ms)
        return reservation.placement

    def _start_reservation(
        self, admit: messages.Admit, now_ms: int
    ) -> reservations.Reservation:
        transfer_ms = self._table.transfer_ms(admit.prompt_tokens)
        placement = messages.Placement(
            pool=self._plan.name,
            request=admit.request,
            attempt=admit.attempt,
            prefill_endpoint='',
            decode_endpoint='',
            cached_tokens=0,
            prefill_timeout_ms=0,
            transfer_timeout_ms=deadlines.stage_timeout_ms(transfer_ms),
            stall_timeout_ms=self._settings.stall_timeout_ms,
            reserved_tokens=admit.prompt_tokens + admit.max_output_tokens,
            workspace=admit.workspace,
            class_name=admit.class_name,
        )
        limit_ms = admit.deadline_ms + self._settings.placement_grace_ms
        reservation = reservations.Reservation(
            placement,
            admit.prompt_tokens,
            now_ms,
            now_ms + limit_ms,
            admit.excluded,
        )
        self._table.start(reservation)
        return reservation

    def _charge(
        self, reservation: reservations.Reservation, cost_ms: float
    ) -> None:
        reservation.cost_ms += cost_ms
        self._queue.charge(reservation.placement.workspace, cost_ms)

    def _cost_ms(
        self, reservation: reservations.Reservation, output_tokens: int
    ) -> float:
        """Returns the engine time to charge for a request.

        Decode time is divided by the slots, which share an engine.
        """
        decode_ms = self._table.estimates.decode_ms(output_tokens)
        decode_ms /= self._table.slots_per_endpoint
        return reservation.prefill_cost_ms + decode_ms
