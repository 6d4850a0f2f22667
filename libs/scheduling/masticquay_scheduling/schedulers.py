"""The pool scheduler: it alone reserves on the endpoints of its pool."""

import heapq
import logging
import threading
import typing

from masticquay_bundles import models
from masticquay_scheduling import choosers
from masticquay_scheduling import messages
from masticquay_scheduling import placements
from masticquay_scheduling import plans
from masticquay_scheduling import prefixes
from masticquay_scheduling import protocols
from masticquay_scheduling import queues
from masticquay_scheduling import refusals
from masticquay_scheduling import reservations
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

Reply = typing.Callable[['Outcome'], None]
Outcome = messages.Placement | messages.Refused


class Waiting:
    """A request in the queue.

    :param due_ms: when its first token is due; the order inside a workspace
    :param latest_ms: when it must have been placed, else it is refused
    :ivar patient_until_ms: until when it leaves more slots free for others
    """

    __slots__ = (
        'admit',
        'reply',
        'workspace',
        'prompt',
        'due_ms',
        'latest_ms',
        'patient_until_ms',
        'done',
    )

    def __init__(
        self,
        admit: messages.Admit,
        reply: Reply,
        prompt: bool,
        due_ms: int,
        latest_ms: float,
    ):
        self.admit = admit
        self.reply = reply
        self.workspace = admit.workspace
        self.prompt = prompt
        self.due_ms = due_ms
        self.latest_ms = latest_ms
        self.patient_until_ms = 0.0
        self.done = False

    @property
    def key(self) -> placements.AttemptKey:
        """The identity of the attempt."""
        return placements.attempt_key(self.admit.request, self.admit.attempt)


class Awaiting:
    """An attempt whose prefill is done and that waits for a decode slot."""

    __slots__ = ('reservation', 'reply', 'prompt', 'expires_ms')

    def __init__(
        self,
        reservation: reservations.Reservation,
        reply: Reply,
        prompt: bool,
        expires_ms: int,
    ):
        self.reservation = reservation
        self.reply = reply
        self.prompt = prompt
        self.expires_ms = expires_ms

    @property
    def host(self) -> tuple[str, int]:
        """The host that waits, and its incarnation."""
        request = self.reservation.placement.request
        return (request.host, request.incarnation)


class Room:
    """Decode slots that nobody was promised: free now, and soon."""

    __slots__ = ('now', 'soon')

    def __init__(self, now: int, soon: float):
        self.now = now
        self.soon = soon


class PoolScheduler:
    """Queues requests of one pool and reserves endpoints for them.

    It does no input or output: load, cache events and acknowledged cancels
    are handed in, replies go out through callbacks without the lock held.

    :param unannounced: names and incarnations of the hosts that must
        announce their placements before anything is reserved
    """

    def __init__(
        self,
        plan: plans.PoolPlan,
        bundle: models.Bundle,
        clock: clocks.Clock,
        settings: scheduling_settings.SchedulingSettings,
        unannounced: placements.HostKeys | None = None,
        chooser: choosers.Chooser | None = None,
        queue: queues.FairQueue | None = None,
    ):
        self._clock = clock
        self._settings = settings
        self.counters = refusals.PoolCounters()
        self.table = placements.PlacementTable(settings, self.counters)
        self._chooser = chooser or choosers.EarliestChooser(
            settings, self.table.estimates
        )
        if queue is None:
            queue = queues.FairQueue(settings.lead_ms, settings.credit_ms)
        self._queue = queue
        self._waiting: dict[placements.AttemptKey, Waiting] = {}
        self._awaiting: list[Awaiting] = []
        self._latest: list[tuple[float, int, Waiting]] = []
        self._sequence = 0
        self._outbox: list[tuple[Reply, Outcome]] = []
        self._lock = threading.RLock()
        self._retired = False
        self._unannounced = set(unannounced or ())
        self._opening = bool(unannounced)
        self._opens_ms = clock.now_ms() + settings.recovery_limit_ms
        self.update(plan, bundle)

    # What hosts ask for.

    def admit(self, admit: messages.Admit, reply: Reply) -> None:
        """Places a request now or later, or refuses it."""
        with self._lock:
            for finished in admit.finished:
                self._finish(finished)
            waiting = self._admit(admit, reply)
            self._dispatch()
            if waiting is not None and not waiting.done:
                self._refuse_hopeless(waiting)
        self._send_replies()

    def withdraw(self, request: messages.RequestId) -> None:
        """Takes a request out of the queue."""
        key = reservations.key_of(request)
        with self._lock:
            for attempt in [k for k in self._waiting if k[0] == key]:
                self._drop(self._waiting[attempt], messages.REASON_WITHDRAWN)
        self._send_replies()

    def prefill_done(self, request: messages.RequestId, attempt: int) -> None:
        """Frees the prefill place of an attempt."""
        with self._lock:
            key = placements.attempt_key(request, attempt)
            reservation = self.table.running.get(key)
            if reservation is not None:
                self.table.end_prefill(reservation, self._clock.now_ms())
                self._dispatch()
        self._send_replies()

    def await_decode(
        self,
        request: messages.RequestId,
        attempt: int,
        expires_ms: int,
        reply: Reply,
    ) -> None:
        """Completes a placement with a decode endpoint, now or later."""
        now_ms = self._clock.now_ms()
        with self._lock:
            key = placements.attempt_key(request, attempt)
            reservation = self.table.running.get(key)
            if reservation is None:
                refused = messages.Refused(messages.REASON_NO_SLOT)
                self._outbox.append((reply, refused))
            else:
                self.table.end_prefill(reservation, now_ms)
                self._await(reservation, now_ms + expires_ms, reply)
            self._dispatch()
        self._send_replies()

    def finish(self, finished: messages.Finished) -> None:
        """Frees all that an attempt holds."""
        with self._lock:
            self._finish(finished)
            self._dispatch()
        self._send_replies()

    def announce(self, announced: messages.AnnouncePlacements) -> None:
        """Takes over the placements that a host is running."""
        now_ms = self._clock.now_ms()
        expires_ms = now_ms + self._settings.adopted_limit_ms
        with self._lock:
            for placement in announced.placements:
                self.table.adopt(placement, now_ms, expires_ms)
            self._unannounced.discard((announced.host, announced.incarnation))
            self._dispatch()
        self._send_replies()

    # What the owner's host hands in.

    def update(self, plan: plans.PoolPlan, bundle: models.Bundle) -> None:
        """Takes the endpoints, classes and weights of a newer bundle."""
        with self._lock:
            self._plan = plan
            self._kinds = {c.name: c.kind for c in bundle.classes}
            self._targets_ms = {
                c.name: c.first_token_target_ms for c in bundle.classes
            }
            weights = {w.name: w.weight for w in bundle.workspaces}
            self._queue.set_weights(weights)
            self.table.update(plan, self._clock.now_ms())
            self._keep_headroom(bundle)
            self._dispatch()
        self._send_replies()

    def _keep_headroom(self, bundle: models.Bundle) -> None:
        """Sets aside slots and prefill time for prompt classes."""
        targets = [
            declared.first_token_target_ms
            for declared in bundle.classes
            if declared.kind == models.CLASS_PROMPT
        ]
        self._headroom = 0
        percent = self._settings.deferred_headroom_percent
        self._deferred_headroom = -(-self.table.decode_slots * percent // 100)
        self._chooser.long_prefill_ms = float('inf')
        if not targets or self._plan.is_service:
            return
        percent = self._settings.headroom_percent
        self._headroom = -(-self.table.decode_slots * percent // 100)
        part = self._settings.prompt_wait_percent / 100
        self._chooser.long_prefill_ms = part * min(targets)

    def apply_load(
        self, endpoint: str, load: protocols.EndpointLoad | None
    ) -> None:
        """Takes a load report, or None when the endpoint did not answer."""
        with self._lock:
            self.table.apply_load(endpoint, load, self._clock.now_ms())
            self._dispatch()
        self._send_replies()

    def apply_cache_events(
        self, endpoint: str, events: list[protocols.CacheEvent]
    ) -> None:
        """Takes cache events of an engine."""
        with self._lock:
            state = self.table.states.get(endpoint)
            if state is not None:
                state.index.apply(events)

    def set_leaving(self, endpoint: str, leaving: bool) -> None:
        """Marks an endpoint that must get nothing new."""
        with self._lock:
            state = self.table.states.get(endpoint)
            if state is not None:
                state.leaving = leaving

    def keep_hosts(self, live_hosts: placements.HostKeys) -> None:
        """Turns what hosts outside a set hold into orphans to cancel."""
        with self._lock:
            self._unannounced &= live_hosts
            self.table.orphan_absent(live_hosts)
            for key in list(self._waiting):
                if key[0][:2] not in live_hosts:
                    self._remove(self._waiting[key])
            self._awaiting = [
                a for a in self._awaiting if a.host in live_hosts
            ]
            self._dispatch()
        self._send_replies()

    def pending_cancels(self) -> list[tuple[str, messages.RequestId]]:
        """Returns the endpoints and requests that are to be cancelled."""
        with self._lock:
            return self.table.pending_cancels()

    def acknowledge_cancel(
        self, endpoint: str, request: messages.RequestId
    ) -> None:
        """Frees what an endpoint has confirmed as cancelled."""
        with self._lock:
            now_ms = self._clock.now_ms()
            self.table.acknowledge_cancel(endpoint, request, now_ms)
            self._dispatch()
        self._send_replies()

    def tick(self) -> None:
        """Refuses what has waited too long, and places what became free."""
        now_ms = self._clock.now_ms()
        with self._lock:
            self._expire_waiting(now_ms)
            self._expire_awaiting(now_ms)
            self._dispatch()
        self._send_replies()

    def sweep(self) -> None:
        """Gives up on placements far beyond their deadline."""
        with self._lock:
            self.table.orphan_expired(self._clock.now_ms())

    def next_tick_ms(self) -> float | None:
        """Returns when ``tick`` is next needed, None while nothing waits."""
        with self._lock:
            while self._latest and self._latest[0][2].done:
                heapq.heappop(self._latest)
            times: list[float] = [a.expires_ms for a in self._awaiting]
            if self._latest:
                times.append(self._latest[0][0])
            return min(times, default=None)

    def needs_tick(self, now_ms: int) -> bool:
        """Whether ``tick`` has anything to do now."""
        if self._opening:
            return True
        next_ms = self.next_tick_ms()
        return next_ms is not None and next_ms <= now_ms

    def endpoint_sequences(self) -> dict[str, int | None]:
        """Returns the last cache event of each engine, None for services."""
        with self._lock:
            return {
                name: None if self._plan.is_service else state.index.sequence
                for name, state in self.table.states.items()
            }

    def replace_chooser(self, chooser: choosers.Chooser) -> None:
        """Sets another choice of endpoints."""
        chooser.long_prefill_ms = self._chooser.long_prefill_ms
        self._chooser = chooser

    def retire(self) -> None:
        """Answers all that waits with ``not-owner``, and all that comes."""
        with self._lock:
            self._retired = True
            refused = messages.Refused(messages.REASON_NOT_OWNER)
            for waiting in list(self._waiting.values()):
                self._remove(waiting)
                self._outbox.append((waiting.reply, refused))
            for awaiting in self._awaiting:
                self._outbox.append((awaiting.reply, refused))
            self._awaiting.clear()
        self._send_replies()

    @property
    def opened(self) -> bool:
        """Whether all hosts have announced, so that it may reserve."""
        if self._opening:
            late = self._clock.now_ms() >= self._opens_ms
            self._opening = bool(self._unannounced) and not late
        return not self._opening

    @property
    def waiting_count(self) -> int:
        """How many requests wait in the queue."""
        return len(self._waiting)

    # Admission and refusal.

    def _admit(self, admit: messages.Admit, reply: Reply) -> Waiting | None:
        key = placements.attempt_key(admit.request, admit.attempt)
        known = self.table.running.get(key)
        if known is not None:
            self._outbox.append((reply, known.placement))
            return None
        if key in self._waiting:
            self._waiting[key].reply = reply
            return None
        refused = self._refuse_impossible(admit)
        if refused is not None:
            self.counters.refused[refused.reason] += 1
            self._outbox.append((reply, refused))
            return None
        waiting = self._make_waiting(admit, reply)
        self._waiting[key] = waiting
        self._queue.push(waiting)
        self._sequence += 1
        entry = (waiting.latest_ms, self._sequence, waiting)
        heapq.heappush(self._latest, entry)
        return waiting

    def _make_waiting(self, admit: messages.Admit, reply: Reply) -> Waiting:
        now_ms = self._clock.now_ms()
        kind = self._kinds.get(admit.class_name, models.CLASS_STANDARD)
        lead = self._lead_times(admit)
        latest_ms = refusals.latest_start_ms(admit, now_ms, lead)
        waiting = Waiting(
            admit,
            reply,
            kind == models.CLASS_PROMPT,
            now_ms + admit.first_token_ms,
            latest_ms,
        )
        if kind == models.CLASS_DEFERRED:
            part = self._settings.deferred_patience_percent / 100
            waiting.patient_until_ms = now_ms + part * (latest_ms - now_ms)
        return waiting

    def _lead_times(self, admit: messages.Admit) -> refusals.LeadTimes:
        estimates = self.table.estimates
        if self._plan.is_service:
            return refusals.LeadTimes(0.0, estimates.service_ms)
        uncached = admit.prompt_tokens - self._cached_tokens(admit)
        first_ms = estimates.prefill_ms(uncached)
        first_ms += self.table.transfer_ms(admit.prompt_tokens)
        output = estimates.output_tokens(
            admit.workspace, admit.class_name, admit.max_output_tokens
        )
        idle_ms = self._with_margin(first_ms)
        prompt = self._kinds.get(admit.class_name) == models.CLASS_PROMPT
        if admit.late_decode and not prompt:
            first_ms += estimates.await_ms()
        first_ms = self._with_margin(first_ms)
        last_ms = first_ms + estimates.decode_ms(output)
        target_ms = self._targets_ms.get(admit.class_name, idle_ms)
        return refusals.LeadTimes(first_ms, last_ms, idle_ms > target_ms)

    def _with_margin(self, expected_ms: float) -> float:
        """Returns a high estimate for a time until the first byte."""
        expected_ms += self._settings.start_margin_ms
        return expected_ms * (1 + self._settings.start_margin_percent / 100)

    def _cached_tokens(self, admit: messages.Admit) -> int:
        """Returns the most that any endpoint has cached of a prompt."""
        if not admit.prefix_hashes:
            return 0
        blocks = [
            state.index.count_cached(admit.prefix_hashes)
            for state in self.table.states.values()
            if state.prefills
        ]
        return max(blocks, default=0) * prefixes.BLOCK_TOKENS

    def _refuse_impossible(
        self, admit: messages.Admit
    ) -> messages.Refused | None:
        if self._retired:
            return messages.Refused(messages.REASON_NOT_OWNER)
        limit = self._settings.max_queued_per_workspace
        if self._queue.count_of(admit.workspace) >= limit:
            retry_ms = self._bound_retry(self._wait_ms(admit, limit))
            return messages.Refused(messages.REASON_QUEUE_FULL, retry_ms)
        usable = [
            state
            for state in self.table.states.values()
            if state.takes_work() and state.name not in admit.excluded
        ]
        decoding = [state for state in usable if state.decodes]
        prefilling = self._plan.is_service or any(s.prefills for s in usable)
        if not decoding or not prefilling:
            retry_ms = self._settings.eject_ms
            return messages.Refused(messages.REASON_NO_ENDPOINT, retry_ms)
        tokens = admit.prompt_tokens + admit.max_output_tokens
        fits = self._plan.is_service or any(
            s.pieces_for(tokens) <= s.endpoint.pieces for s in decoding
        )
        if not fits:
            detail = f'{tokens} tokens fit no endpoint of {self._plan.name}'
            return messages.Refused(messages.REASON_TOO_LARGE, 0, detail)
        return None

    def _refuse_hopeless(self, waiting: Waiting) -> None:
        """Refuses a new request at once when its wait would be too long."""
        if not self.opened:
            return
        slack_ms = waiting.latest_ms - self._clock.now_ms()
        ahead = self._queue.count_ahead(waiting)
        wait_ms = self._wait_ms(waiting.admit, ahead)
        percent = self._settings.refuse_margin_percent
        if wait_ms > slack_ms * percent / 100:
            late_ms = wait_ms - slack_ms
            self._drop(waiting, messages.REASON_DEADLINE, late_ms)

    def _wait_ms(self, admit: messages.Admit, ahead: int) -> float:
        """Estimates the wait behind some requests of the same workspace."""
        share = self._queue.share_of(admit.workspace)
        slots = max(1, self.table.decode_slots)
        per_slot_ms = self.table.estimates.mean_busy_ms() / slots
        return ahead * per_slot_ms / share

    def _bound_retry(self, wait_ms: float) -> int:
        low = self._settings.min_retry_after_ms
        high = self._settings.max_retry_after_ms
        return int(min(high, max(low, wait_ms)))

    def _drop(
        self, waiting: Waiting, reason: str, retry_after_ms: float = 0
    ) -> None:
        self._remove(waiting)
        retry_ms = 0
        if reason != messages.REASON_WITHDRAWN:
            retry_ms = self._bound_retry(retry_after_ms)
        self.counters.refused[reason] += 1
        refused = messages.Refused(reason, retry_ms)
        self._outbox.append((waiting.reply, refused))

    def _remove(self, waiting: Waiting) -> None:
        del self._waiting[waiting.key]
        self._queue.remove(waiting)
        waiting.done = True

    def _expire_waiting(self, now_ms: int) -> None:
        while self._latest and self._latest[0][0] <= now_ms:
            waiting = heapq.heappop(self._latest)[2]
            if not waiting.done:
                ahead = self._queue.count_of(waiting.workspace)
                wait_ms = self._wait_ms(waiting.admit, ahead)
                self._drop(waiting, messages.REASON_DEADLINE, wait_ms)

    # Placement.

    def _dispatch(self) -> None:
        now_ms = self._clock.now_ms()
        self._serve_awaiting(now_ms)
        if self._retired or not self.opened:
            return
        while self._waiting and self._place_first(now_ms):
            pass

    def _place_first(self, now_ms: int) -> bool:
        """Places the best request that fits; returns whether one did."""
        room = self._measure_room(now_ms)
        if room.soon < 1:
            return False
        for waiting in self._queue.candidates():
            if room.soon - self._headroom_for(waiting, now_ms) < 1:
                continue
            if waiting.latest_ms <= now_ms:
                self._drop(waiting, messages.REASON_DEADLINE)
                return True
            if self._place(waiting, room, now_ms):
                return True
        return False

    def _headroom_for(self, waiting: Waiting, now_ms: int) -> int:
        """Returns the slots that a request must leave free."""
        if waiting.prompt:
            return 0
        if now_ms < waiting.patient_until_ms:
            return self._deferred_headroom
        return self._headroom

    def _measure_room(self, now_ms: int) -> Room:
        """Counts the slots free now and soon that nobody was promised."""
        free = 0
        busy = 0
        for state in self.table.states.values():
            if state.decodes:
                free += max(0, state.free_slots(now_ms))
                busy += state.decode_count
        free -= self.table.promised
        return Room(free, free + self._expected_frees(busy))

    def _expected_frees(self, busy: int) -> float:
        """Returns how many slots will come free before results expire."""
        if self._plan.is_service or not busy:
            return 0.0
        horizon_ms = self._settings.overlap_horizon_ms
        expected = busy * horizon_ms / self.table.estimates.mean_busy_ms()
        margin = self._settings.overlap_sigmas * expected**0.5
        return max(0.0, expected - margin)

    def _place(self, waiting: Waiting, room: Room, now_ms: int) -> bool:
        if self._plan.is_service:
            return self._place_service(waiting, now_ms)
        admit = waiting.admit
        states = self.table.states.values()
        chosen = self._chooser.choose_prefill(
            states, admit, waiting.prompt, now_ms
        )
        if chosen is None:
            return False
        decode = None
        if not admit.late_decode:
            if room.now <= self._headroom_for(waiting, now_ms):
                return False
            decode = self._chooser.choose_decode(
                states,
                chosen.state,
                admit.prompt_tokens + admit.max_output_tokens,
                self.table.kv_bytes(admit.prompt_tokens),
                chosen.end_ms,
                admit.excluded,
                now_ms,
            )
            if decode is None:
                return False
        self._reserve(waiting, chosen, decode, now_ms)
        return True

    def _reserve(
        self,
        waiting: Waiting,
        chosen: choosers.PrefillChoice,
        decode: reservations.EndpointState | None,
        now_ms: int,
    ) -> None:
        admit = waiting.admit
        reservation = self._start(waiting, now_ms)
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
            self.table.promised += 1
        else:
            self.table.bind_decode(reservation, decode, chosen.end_ms)
        output = self.table.estimates.output_tokens(
            admit.workspace, admit.class_name, admit.max_output_tokens
        )
        reservation.prefill_cost_ms = chosen.work_ms
        self._charge(reservation, self._cost_ms(reservation, output))
        self._outbox.append((waiting.reply, placement))

    def _place_service(self, waiting: Waiting, now_ms: int) -> bool:
        state = self._chooser.choose_service(
            self.table.states.values(), waiting.admit.excluded, now_ms
        )
        if state is None:
            return False
        reservation = self._start(waiting, now_ms)
        reservation.stage = reservations.STAGE_DECODE
        reservation.decode_started_ms = now_ms
        self.table.bind_decode(reservation, state, now_ms)
        self._charge(reservation, self.table.estimates.service_ms)
        self._outbox.append((waiting.reply, reservation.placement))
        return True

    def _start(
        self, waiting: Waiting, now_ms: int
    ) -> reservations.Reservation:
        self._remove(waiting)
        admit = waiting.admit
        transfer_ms = self.table.transfer_ms(admit.prompt_tokens)
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
        self.table.start(reservation)
        return reservation

    # The decode stage and the end.

    def _await(
        self,
        reservation: reservations.Reservation,
        expires_ms: int,
        reply: Reply,
    ) -> None:
        if reservation.decode is not None:
            self._outbox.append((reply, reservation.placement))
            return
        margin_ms = self.table.transfer_ms(reservation.prompt_tokens)
        margin_ms += self._settings.transfer_margin_ms
        kind = self._kinds.get(reservation.placement.class_name)
        awaiting = Awaiting(
            reservation,
            reply,
            kind == models.CLASS_PROMPT,
            expires_ms - margin_ms,
        )
        self._awaiting.append(awaiting)
        self._awaiting.sort(key=lambda a: (not a.prompt, a.expires_ms))

    def _serve_awaiting(self, now_ms: int) -> None:
        if not self._awaiting:
            return
        left = []
        for awaiting in self._awaiting:
            reservation = awaiting.reservation
            decode = self._choose_decode(reservation, now_ms)
            if decode is None:
                left.append(awaiting)
                continue
            elapsed_ms = now_ms - reservation.decode_started_ms
            self.table.estimates.learn_await(elapsed_ms)
            reservation.promised = False
            self.table.promised -= 1
            self.table.bind_decode(reservation, decode, now_ms)
            self._outbox.append((awaiting.reply, reservation.placement))
        self._awaiting = left

    def _choose_decode(
        self, reservation: reservations.Reservation, now_ms: int
    ) -> reservations.EndpointState | None:
        if reservation.prefill is None:
            return None
        return self._chooser.choose_decode(
            self.table.states.values(),
            reservation.prefill,
            reservation.placement.reserved_tokens,
            self.table.kv_bytes(reservation.prompt_tokens),
            now_ms,
            reservation.excluded,
            now_ms,
        )

    def _expire_awaiting(self, now_ms: int) -> None:
        expired = [a for a in self._awaiting if a.expires_ms <= now_ms]
        if not expired:
            return
        self._awaiting = [a for a in self._awaiting if a.expires_ms > now_ms]
        for awaiting in expired:
            self.counters.refused[messages.REASON_NO_SLOT] += 1
            retry_ms = self._settings.min_retry_after_ms
            refused = messages.Refused(messages.REASON_NO_SLOT, retry_ms)
            self._outbox.append((awaiting.reply, refused))

    def _finish(self, finished: messages.Finished) -> None:
        now_ms = self._clock.now_ms()
        reservation = self.table.end(finished, now_ms)
        if reservation is None:
            return
        if self._awaiting:
            self._awaiting = [
                a for a in self._awaiting if a.reservation is not reservation
            ]
        if reservation.placement.prefill_endpoint:
            actual_ms = self._cost_ms(reservation, finished.output_tokens)
        else:
            actual_ms = now_ms - reservation.decode_started_ms
        self._charge(reservation, actual_ms - reservation.cost_ms)

    def _charge(
        self, reservation: reservations.Reservation, cost_ms: float
    ) -> None:
        reservation.cost_ms += cost_ms
        self._queue.charge(reservation.placement.workspace, cost_ms)

    def _cost_ms(
        self, reservation: reservations.Reservation, output_tokens: int
    ) -> float:
        """Returns the engine time of a request; slots share an engine."""
        decode_ms = self.table.estimates.decode_ms(output_tokens)
        decode_ms /= self.table.slots_per_endpoint
        return reservation.prefill_cost_ms + decode_ms

    def _send_replies(self) -> None:
        with self._lock:
            outbox = self._outbox
            if not outbox:
                return
            self._outbox = []
        for reply, outcome in outbox:
            reply(outcome)
