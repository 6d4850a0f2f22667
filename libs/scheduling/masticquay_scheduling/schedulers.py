"""The pool scheduler: it alone reserves on the endpoints of its pool."""

import threading

from masticquay_bundles import models
from masticquay_scheduling import admissions
from masticquay_scheduling import binders
from masticquay_scheduling import choosers
from masticquay_scheduling import messages
from masticquay_scheduling import placements
from masticquay_scheduling import plans
from masticquay_scheduling import protocols
from masticquay_scheduling import queues
from masticquay_scheduling import refusals
from masticquay_scheduling import reservations
from masticquay_scheduling import settings as scheduling_settings
from masticquay_scheduling import waitings
from masticquay_wire import clocks

Reply = waitings.Reply


class PoolScheduler:
    """Queues requests of one pool and reserves endpoints for them.

    It does no input or output: load, cache events and acknowledged cancels
    are handed in, replies go out through callbacks without the lock held.

    :param unannounced: names and incarnations of the hosts that must
        announce their placements before anything is reserved
    """

    admission_class = admissions.Admission
    binder_class = binders.Binder

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
        if queue is None:
            queue = queues.FairQueue(settings.lead_ms, settings.credit_ms)
        if chooser is None:
            chooser = choosers.EarliestChooser(settings, self.table.estimates)
        self._outbox: waitings.Outbox = []
        self.admission = self.admission_class(
            self.table, queue, settings, self.counters, self._outbox
        )
        self.binder = self.binder_class(self.table, queue, chooser, settings)
        self._awaiting: list[waitings.Awaiting] = []
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
            self._admit(admit, reply, self._clock.now_ms())
        self._send_replies()

    def withdraw(self, request: messages.RequestId) -> None:
        """Takes a request out of the queue."""
        with self._lock:
            self.admission.withdraw(request)
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
            self.table.update(plan, self._clock.now_ms())
            self.admission.update(plan, bundle)
            self.binder.update(plan, bundle)
            self._dispatch()
        self._send_replies()

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
            self.admission.keep_hosts(live_hosts)
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
            self.admission.expire(now_ms)
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
            times: list[float] = [a.expires_ms for a in self._awaiting]
            next_ms = self.admission.next_expiry_ms()
            if next_ms is not None:
                times.append(next_ms)
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

    def retire(self) -> None:
        """Answers all that waits with ``not-owner``, and all that comes."""
        with self._lock:
            self._retired = True
            refused = messages.Refused(messages.REASON_NOT_OWNER)
            self.admission.retire()
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
        return len(self.admission)

    # Steps, all under the lock.

    def _admit(self, admit: messages.Admit, reply: Reply, now_ms: int) -> None:
        if self._retired:
            refused = messages.Refused(messages.REASON_NOT_OWNER)
            self._outbox.append((reply, refused))
            return
        key = placements.attempt_key(admit.request, admit.attempt)
        known = self.table.running.get(key)
        if known is not None:
            self._outbox.append((reply, known.placement))
            return
        waiting = self.admission.add(admit, reply, now_ms)
        self._dispatch()
        if waiting is not None and not waiting.done and self.opened:
            self.admission.refuse_hopeless(waiting, now_ms)

    def _dispatch(self) -> None:
        now_ms = self._clock.now_ms()
        self._serve_awaiting(now_ms)
        if self._retired or not self.opened:
            return
        while self.admission and self._place_first(now_ms):
            pass

    def _place_first(self, now_ms: int) -> bool:
        """Places the best request that fits; returns whether one did."""
        room = self.binder.measure_room(now_ms)
        if room.soon < 1 or not self.binder.prefill_has_room(now_ms):
            return False
        for waiting in self.admission.queue.candidates():
            headroom = self.binder.headroom_for(waiting, now_ms)
            if room.soon - headroom < 1:
                continue
            if waiting.latest_ms <= now_ms:
                self.admission.drop(waiting, messages.REASON_DEADLINE)
                return True
            placement = self.binder.place(waiting, room, now_ms)
            if placement is not None:
                self.admission.remove(waiting)
                self._outbox.append((waiting.reply, placement))
                return True
        return False

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
        class_name = reservation.placement.class_name
        awaiting = waitings.Awaiting(
            reservation,
            reply,
            self.admission.is_prompt(class_name),
            expires_ms - margin_ms,
        )
        self._awaiting.append(awaiting)
        self._awaiting.sort(key=lambda a: (not a.prompt, a.expires_ms))

    def _serve_awaiting(self, now_ms: int) -> None:
        if not self._awaiting or not self.binder.any_slot_free(now_ms):
            return
        left = []
        for awaiting in self._awaiting:
            reservation = awaiting.reservation
            if self.binder.bind_decode(reservation, now_ms):
                entry = (awaiting.reply, reservation.placement)
                self._outbox.append(entry)
            else:
                left.append(awaiting)
        self._awaiting = left

    def _expire_awaiting(self, now_ms: int) -> None:
        expired = [a for a in self._awaiting if a.expires_ms <= now_ms]
        if not expired:
            return
        self._awaiting = [a for a in self._awaiting if a.expires_ms > now_ms]
        for awaiting in expired:
            self.counters.refused[messages.REASON_NO_SLOT] += 1
            self.table.estimates.learn_missed_slot()
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
        self.binder.settle(reservation, finished, now_ms)

    def _send_replies(self) -> None:
        with self._lock:
            if not self._outbox:
                return
            outbox = list(self._outbox)
            self._outbox.clear()
        for reply, outcome in outbox:
            reply(outcome)
