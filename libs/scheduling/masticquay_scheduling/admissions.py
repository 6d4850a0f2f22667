"""The queue of a pool, and the refusal of what comes too late."""

import heapq

from masticquay_bundles import models
from masticquay_scheduling import messages
from masticquay_scheduling import placements
from masticquay_scheduling import plans
from masticquay_scheduling import prefixes
from masticquay_scheduling import queues
from masticquay_scheduling import refusals
from masticquay_scheduling import reservations
from masticquay_scheduling import settings as scheduling_settings
from masticquay_scheduling import waitings


class Admission:
    """Requests that wait for a placement.

    Not thread-safe. Replies are put into an outbox, which the scheduler
    empties when it holds no lock.
    """

    def __init__(
        self,
        table: placements.PlacementTable,
        queue: queues.FairQueue,
        settings: scheduling_settings.SchedulingSettings,
        counters: refusals.PoolCounters,
        outbox: waitings.Outbox,
    ):
        self._table = table
        self.queue = queue
        self._settings = settings
        self._counters = counters
        self._outbox = outbox
        self._waiting: dict[placements.AttemptKey, waitings.Waiting] = {}
        self._latest: list[tuple[float, int, waitings.Waiting]] = []
        self._sequence = 0
        self._kinds: dict[str, str] = {}
        self._targets_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def update(self, plan: plans.PoolPlan, bundle: models.Bundle) -> None:
        """Takes the classes and weights of a newer bundle."""
        self._plan = plan
        self._kinds = {c.name: c.kind for c in bundle.classes}
        self._targets_ms = {
            c.name: c.first_token_target_ms for c in bundle.classes
        }
        weights = {w.name: w.weight for w in bundle.workspaces}
        self.queue.set_weights(weights)

    def is_prompt(self, class_name: str) -> bool:
        """Whether a class is one of the prompt ones."""
        return self._kinds.get(class_name) == models.CLASS_PROMPT

    def add(
        self, admit: messages.Admit, reply: waitings.Reply, now_ms: int
    ) -> waitings.Waiting | None:
        """Lets a request wait; None when it has its answer already."""
        key = placements.attempt_key(admit.request, admit.attempt)
        if key in self._waiting:
            self._waiting[key].reply = reply
            return None
        refused = self._refuse_impossible(admit)
        if refused is not None:
            self._counters.refused[refused.reason] += 1
            self._outbox.append((reply, refused))
            return None
        waiting = self._make_waiting(admit, reply, now_ms)
        self._waiting[key] = waiting
        self.queue.push(waiting)
        self._sequence += 1
        entry = (waiting.latest_ms, self._sequence, waiting)
        heapq.heappush(self._latest, entry)
        return waiting

    def refuse_hopeless(self, waiting: waitings.Waiting, now_ms: int) -> None:
        """Refuses a new request at once when its wait would be too long."""
        slack_ms = waiting.latest_ms - now_ms
        ahead = self.queue.count_ahead(waiting)
        wait_ms = self._wait_ms(waiting.admit, ahead)
        percent = self._settings.refuse_margin_percent
        if wait_ms > slack_ms * percent / 100:
            late_ms = wait_ms - slack_ms
            self.drop(waiting, messages.REASON_DEADLINE, late_ms)

    def withdraw(self, request: messages.RequestId) -> None:
        """Takes a request out, and answers it so."""
        key = reservations.key_of(request)
        for attempt in [k for k in self._waiting if k[0] == key]:
            self.drop(self._waiting[attempt], messages.REASON_WITHDRAWN)

    def keep_hosts(self, live_hosts: placements.HostKeys) -> None:
        """Forgets the requests of all other hosts."""
        for key in list(self._waiting):
            if key[0][:2] not in live_hosts:
                self.remove(self._waiting[key])

    def retire(self) -> None:
        """Answers all requests with ``not-owner``."""
        refused = messages.Refused(messages.REASON_NOT_OWNER)
        for waiting in list(self._waiting.values()):
            self.remove(waiting)
            self._outbox.append((waiting.reply, refused))

    def remove(self, waiting: waitings.Waiting) -> None:
        """Takes a request out without an answer."""
        del self._waiting[waiting.key]
        self.queue.remove(waiting)
        waiting.done = True

    def drop(
        self,
        waiting: waitings.Waiting,
        reason: str,
        retry_after_ms: float = 0,
    ) -> None:
        """Refuses a request that waits."""
        self.remove(waiting)
        retry_ms = 0
        if reason != messages.REASON_WITHDRAWN:
            retry_ms = self._bound_retry(retry_after_ms)
        self._counters.refused[reason] += 1
        refused = messages.Refused(reason, retry_ms)
        self._outbox.append((waiting.reply, refused))

    def expire(self, now_ms: int) -> None:
        """Refuses what can no longer be placed in time."""
        while self._latest and self._latest[0][0] <= now_ms:
            waiting = heapq.heappop(self._latest)[2]
            if not waiting.done:
                ahead = self.queue.count_of(waiting.workspace)
                wait_ms = self._wait_ms(waiting.admit, ahead)
                self.drop(waiting, messages.REASON_DEADLINE, wait_ms)

    def next_expiry_ms(self) -> float | None:
        """Returns when ``expire`` is next needed."""
        while self._latest and self._latest[0][2].done:
            heapq.heappop(self._latest)
        return self._latest[0][0] if self._latest else None

    def _make_waiting(
        self, admit: messages.Admit, reply: waitings.Reply, now_ms: int
    ) -> waitings.Waiting:
        lead = self._lead_times(admit)
        latest_ms = refusals.latest_start_ms(admit, now_ms, lead)
        waiting = waitings.Waiting(
            admit,
            reply,
            self.is_prompt(admit.class_name),
            now_ms + admit.first_token_ms,
            latest_ms,
        )
        if self._kinds.get(admit.class_name) == models.CLASS_DEFERRED:
            part = self._settings.deferred_patience_percent / 100
            waiting.patient_until_ms = now_ms + part * (latest_ms - now_ms)
        return waiting

    def _lead_times(self, admit: messages.Admit) -> refusals.LeadTimes:
        estimates = self._table.estimates
        if self._plan.is_service:
            return refusals.LeadTimes(0.0, estimates.service_ms)
        uncached = admit.prompt_tokens - self._cached_tokens(admit)
        first_ms = estimates.prefill_ms(uncached)
        first_ms += self._table.transfer_ms(admit.prompt_tokens)
        # Prompt classes are the first to get a slot after their prefill.
        idle_ms = self._with_margin(first_ms)
        if admit.late_decode and not self.is_prompt(admit.class_name):
            first_ms += estimates.await_ms()
        first_ms = self._with_margin(first_ms)
        output = estimates.output_tokens(
            admit.workspace, admit.class_name, admit.max_output_tokens
        )
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
            for state in self._table.states.values()
            if state.prefills
        ]
        return max(blocks, default=0) * prefixes.BLOCK_TOKENS

    def _refuse_impossible(
        self, admit: messages.Admit
    ) -> messages.Refused | None:
        limit = self._settings.max_queued_per_workspace
        if self.queue.count_of(admit.workspace) >= limit:
            retry_ms = self._bound_retry(self._wait_ms(admit, limit))
            return messages.Refused(messages.REASON_QUEUE_FULL, retry_ms)
        usable = [
            state
            for state in self._table.states.values()
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

    def _wait_ms(self, admit: messages.Admit, ahead: int) -> float:
        """Estimates the wait behind some requests of the same workspace."""
        share = self.queue.share_of(admit.workspace)
        slots = max(1, self._table.decode_slots)
        per_slot_ms = self._table.estimates.mean_busy_ms() / slots
        return ahead * per_slot_ms / share

    def _bound_retry(self, wait_ms: float) -> int:
        low = self._settings.min_retry_after_ms
        high = self._settings.max_retry_after_ms
        return int(min(high, max(low, wait_ms)))
