"""Binding of requests to endpoints, as far as slots are or will be free."""

from masticquay_bundles import models
from masticquay_scheduling import choosers
from masticquay_scheduling import messages
from masticquay_scheduling import placements
from masticquay_scheduling import plans
from masticquay_scheduling import queues
from masticquay_scheduling import refusals
from masticquay_scheduling import reservations
from masticquay_scheduling import settings as scheduling_settings
from masticquay_scheduling import waitings


class Room:
    """Decode slots that nobody was promised: free now, and soon."""

    __slots__ = ('now', 'soon')

    def __init__(self, now: int, soon: float):
        self.now = now
        self.soon = soon


class Binder:
    """Chooses endpoints, reserves them, and charges the workspace.

    While many slots are free, decode is bound at once also for hosts that
    could ask later: it saves a message, and an idle slot costs nothing.
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
        """Sets aside slots and prefill time for prompt classes."""
        self._plan = plan
        targets = [
            declared.first_token_target_ms
            for declared in bundle.classes
            if declared.kind == models.CLASS_PROMPT
        ]
        self._headroom = 0
        self._deferred_headroom = self._part_of_slots(
            self._settings.deferred_headroom_percent
        )
        self._ample_slots = self._part_of_slots(
            self._settings.ample_slots_percent
        )
        self._chooser.long_prefill_ms = float('inf')
        if targets and not plan.is_service:
            percent = self._settings.headroom_percent
            self._headroom = self._part_of_slots(percent)
            part = self._settings.prompt_wait_percent / 100
            self._chooser.long_prefill_ms = part * min(targets)

    def replace_chooser(self, chooser: choosers.Chooser) -> None:
        """Sets another choice of endpoints."""
        chooser.long_prefill_ms = self._chooser.long_prefill_ms
        self._chooser = chooser

    def measure_room(self, now_ms: int) -> Room:
        """Counts the slots free now and soon that nobody was promised."""
        free = 0
        busy = 0
        for state in self._table.states.values():
            if state.decodes:
                free += max(0, state.free_slots(now_ms))
                busy += state.decode_count
        free -= self._table.promised
        return Room(free, free + self.expected_frees(busy, now_ms))

    def expected_frees(self, busy: int, now_ms: int) -> float:
        """Returns how many slots will come free before results expire."""
        if self._plan.is_service or not busy:
            return 0.0
        horizon_ms = self._settings.overlap_horizon_ms
        horizon_ms *= self._table.estimates.overlap
        expected = busy * horizon_ms / self._table.estimates.mean_busy_ms()
        margin = self._settings.overlap_sigmas * expected**0.5
        return max(0.0, expected - margin)

    def prefill_has_room(self, now_ms: int) -> bool:
        """Whether any endpoint could begin a prefill now."""
        if self._plan.is_service:
            return True
        limit_ms = now_ms + self._settings.prefill_backlog_ms
        return any(
            state.prefills and state.busy_until_ms <= limit_ms
            for state in self._table.states.values()
        )

    def headroom_for(self, waiting: waitings.Waiting, now_ms: int) -> int:
        """Returns the slots that a request must leave free."""
        if waiting.prompt:
            return 0
        if now_ms < waiting.patient_until_ms:
            return self._deferred_headroom
        return self._headroom

    def place(
        self, waiting: waitings.Waiting, room: Room, now_ms: int
    ) -> messages.Placement | None:
        """Reserves endpoints for a request; None when none has room."""
        if self._plan.is_service:
            return self._place_service(waiting, now_ms)
        admit = waiting.admit
        chosen = self._chooser.choose_prefill(
            self._table.states.values(), admit, waiting.prompt, now_ms
        )
        if chosen is None:
            return None
        decode = None
        if not admit.late_decode or room.now > self._ample_slots:
            if room.now <= self.headroom_for(waiting, now_ms):
                return None
            decode = self._choose_early(admit, chosen, now_ms)
            if decode is None:
                return None
        return self._reserve(admit, chosen, decode, now_ms)

    def bind_decode(
        self, reservation: reservations.Reservation, now_ms: int
    ) -> bool:
        """Binds an attempt whose prefill is done, if a slot is free."""
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
        self._table.estimates.learn_await(elapsed_ms)
        reservation.promised = False
        self._table.promised -= 1
        self._table.bind_decode(reservation, decode, now_ms)
        return True

    def any_slot_free(self, now_ms: int) -> bool:
        """Whether any decode slot is free."""
        return any(
            state.decodes and state.free_slots(now_ms) > 0
            for state in self._table.states.values()
        )

    def settle(
        self,
        reservation: reservations.Reservation,
        finished: messages.Finished,
        now_ms: int,
    ) -> None:
        """Corrects what the workspace was charged for an ended attempt."""
        if reservation.placement.prefill_endpoint:
            actual_ms = self._cost_ms(reservation, finished.output_tokens)
        else:
            actual_ms = now_ms - reservation.decode_started_ms
        self._charge(reservation, actual_ms - reservation.cost_ms)

    def _part_of_slots(self, percent: int) -> int:
        return -(-self._table.decode_slots * percent // 100)

    def _choose_early(
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
        reservation = self._start(admit, now_ms)
        placement = reservation.placement
        placement.prefill_endpoint = chosen.state.name
        placement.cached_tokens = chosen.cached_tokens
        placement.prefill_timeout_ms = refusals.stage_timeout_ms(
            chosen.end_ms - now_ms
        )
        reservation.take_prefill(chosen.state, chosen.work_ms, now_ms)
        reservation.work_tokens = admit.prompt_tokens - chosen.cached_tokens
        chosen.state.index.expect(admit.prefix_hashes)
        if decode is None:
            reservation.promised = True
            self._table.promised += 1
        else:
            self._table.bind_decode(reservation, decode, chosen.end_ms)
        output = self._table.estimates.output_tokens(
            admit.workspace, admit.class_name, admit.max_output_tokens
        )
        reservation.prefill_cost_ms = chosen.work_ms
        self._charge(reservation, self._cost_ms(reservation, output))
        return placement

    def _place_service(
        self, waiting: waitings.Waiting, now_ms: int
    ) -> messages.Placement | None:
        admit = waiting.admit
        state = self._chooser.choose_service(
            self._table.states.values(), admit.excluded, now_ms
        )
        if state is None:
            return None
        reservation = self._start(admit, now_ms)
        reservation.stage = reservations.STAGE_DECODE
        reservation.decode_started_ms = now_ms
        self._table.bind_decode(reservation, state, now_ms)
        self._charge(reservation, self._table.estimates.service_ms)
        return reservation.placement

    def _start(
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
            transfer_timeout_ms=refusals.stage_timeout_ms(transfer_ms),
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
        """Returns the engine time of a request; slots share an engine."""
        decode_ms = self._table.estimates.decode_ms(output_tokens)
        decode_ms /= self._table.slots_per_endpoint
        return reservation.prefill_cost_ms + decode_ms
