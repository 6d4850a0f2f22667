"""Admission to a pool: queues requests and refuses late ones."""

import heapq

from masticquay_bundles import models
from masticquay_scheduling import deadlines
from masticquay_scheduling import messages
from masticquay_scheduling import placements
from masticquay_scheduling import plans
from masticquay_scheduling import prefixes
from masticquay_scheduling import queued_requests
from masticquay_scheduling import queues
from masticquay_scheduling import reservations
from masticquay_scheduling import settings as scheduling_settings


class Admission:
    """The requests of a pool that wait for a placement.

    Not thread-safe. Replies go into an outbox, which the scheduler sends
    without holding its lock.
    """

    def __init__(
        self,
        table: placements.PlacementTable,
        queue: queues.FairQueue,
        settings: scheduling_settings.SchedulingSettings,
        counters: deadlines.PoolCounters,
        outbox: queued_requests.Outbox,
    ):
        self._table = table
        self.queue = queue
        self._settings = settings
        self._counters = counters
        self._outbox = outbox
        self._queued: dict[
            placements.AttemptKey, queued_requests.QueuedRequest
        ] = {}
        self._by_latest_start: list[
            tuple[float, int, queued_requests.QueuedRequest]
        ] = []
        self._sequence = 0
        self._kinds: dict[str, str] = {}
        self._targets_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def update(self, plan: plans.PoolPlan, bundle: models.Bundle) -> None:
        """Applies the classes and weights of a newer bundle."""
        self._plan = plan
        self._kinds = {c.name: c.kind for c in bundle.classes}
        self._targets_ms = {
            c.name: c.first_token_target_ms for c in bundle.classes
        }
        weights = {w.name: w.weight for w in bundle.workspaces}
        self.queue.set_weights(weights)

    def is_urgent(self, class_name: str) -> bool:
        """Returns whether a service class is of the kind ``prompt``."""
        return self._kinds.get(class_name) == models.CLASS_URGENT

    def add(
        self, admit: messages.Admit, reply: queued_requests.Reply, now_ms: int
    ) -> queued_requests.QueuedRequest | None:
        """Queues a request, unless it is refused.

        It is refused when the queue of its workspace is full or no endpoint
        can run it. When the attempt is queued already, the reply goes to the
        new callback only.

        :returns: the queued request, None when it was refused or is queued
            already
        """
        key = placements.attempt_key(admit.request, admit.attempt)
        if key in self._queued:
            self._queued[key].reply = reply
            return None
        refused = self._find_refusal(admit)
        if refused is not None:
            self._counters.refused[refused.reason] += 1
            self._outbox.append((reply, refused))
            return None
        queued = self._make_queued_request(admit, reply, now_ms)
        self._queued[key] = queued
        self.queue.push(queued)
        self._sequence += 1
        entry = (queued.latest_start_ms, self._sequence, queued)
        heapq.heappush(self._by_latest_start, entry)
        return queued

    def refuse_if_wait_too_long(
        self, queued: queued_requests.QueuedRequest, now_ms: int
    ) -> None:
        """Refuses a new request whose estimated wait is much too long.

        The limit is ``refuse_margin_percent`` of the time left to place it.
        """
        slack_ms = queued.latest_start_ms - now_ms
        ahead = self.queue.count_ahead(queued)
        wait_ms = self._wait_ms(queued.admit, ahead)
        percent = self._settings.refuse_margin_percent
        if wait_ms > slack_ms * percent / 100:
            late_ms = wait_ms - slack_ms
            self.refuse(queued, messages.REASON_DEADLINE, late_ms)

    def withdraw(self, request: messages.RequestId) -> None:
        """Refuses all queued attempts of a request with ``key-withdrawn``."""
        key = reservations.request_key(request)
        for attempt in [k for k in self._queued if k[0] == key]:
            self.refuse(self._queued[attempt], messages.REASON_WITHDRAWN)

    def remove_absent_hosts(self, live_hosts: placements.HostKeys) -> None:
        """Removes requests of hosts that are not in a set, unanswered."""
        for key in list(self._queued):
            if key[0][:2] not in live_hosts:
                self.remove(self._queued[key])

    def retire(self) -> None:
        """Refuses all requests with ``not-owner``."""
        refused = messages.Refused(messages.REASON_NOT_OWNER)
        for queued in list(self._queued.values()):
            self.remove(queued)
            self._outbox.append((queued.reply, refused))

    def remove(self, queued: queued_requests.QueuedRequest) -> None:
        """Removes a request without an answer."""
        del self._queued[queued.key]
        self.queue.remove(queued)
        queued.removed = True

    def refuse(
        self,
        queued: queued_requests.QueuedRequest,
        reason: str,
        retry_after_ms: float = 0,
    ) -> None:
        """Removes a queued request and refuses it.

        :param retry_after_ms: estimated delay before a retry. The refusal
            has it within the limits of the settings, or 0 if withdrawn.
        """
        self.remove(queued)
        retry_ms = 0
        if reason != messages.REASON_WITHDRAWN:
            retry_ms = self._clamp_retry_ms(retry_after_ms)
        self._counters.refused[reason] += 1
        refused = messages.Refused(reason, retry_ms)
        self._outbox.append((queued.reply, refused))

    def expire(self, now_ms: int) -> None:
        """Refuses requests that can no longer be placed in time."""
        while self._by_latest_start and self._by_latest_start[0][0] <= now_ms:
            queued = heapq.heappop(self._by_latest_start)[2]
            if not queued.removed:
                ahead = self.queue.count_of(queued.workspace)
                wait_ms = self._wait_ms(queued.admit, ahead)
                self.refuse(queued, messages.REASON_DEADLINE, wait_ms)

    def next_expiry_ms(self) -> float | None:
        """Returns when ``expire`` is next needed, None for never."""
        while self._by_latest_start and self._by_latest_start[0][2].removed:
            heapq.heappop(self._by_latest_start)
        return self._by_latest_start[0][0] if self._by_latest_start else None

    def _make_queued_request(
        self, admit: messages.Admit, reply: queued_requests.Reply, now_ms: int
    ) -> queued_requests.QueuedRequest:
        expected = self._estimate_response(admit)
        latest_start_ms = deadlines.latest_start_ms(admit, now_ms, expected)
        queued = queued_requests.QueuedRequest(
            admit,
            reply,
            self.is_urgent(admit.class_name),
            now_ms + admit.first_token_ms,
            latest_start_ms,
        )
        if self._kinds.get(admit.class_name) == models.CLASS_DEFERRED:
            share = self._settings.deferred_yield_percent / 100
            queued.yields_until_ms = now_ms + share * (
                latest_start_ms - now_ms
            )
        return queued

    def _estimate_response(
        self, admit: messages.Admit
    ) -> deadlines.ResponseEstimate:
        estimates = self._table.estimates
        if self._plan.is_service:
            return deadlines.ResponseEstimate(0.0, estimates.service_ms)
        uncached = admit.prompt_tokens - self._cached_tokens(admit)
        first_byte_ms = estimates.prefill_ms(uncached)
        first_byte_ms += self._table.transfer_ms(admit.prompt_tokens)
        # Urgent classes get decode slots first, so no slot wait is added.
        idle_first_byte_ms = self._with_margin(first_byte_ms)
        if admit.late_decode and not self.is_urgent(admit.class_name):
            first_byte_ms += estimates.slot_wait_ms()
        first_byte_ms = self._with_margin(first_byte_ms)
        output = estimates.output_tokens(
            admit.workspace, admit.class_name, admit.max_output_tokens
        )
        last_byte_ms = first_byte_ms + estimates.decode_ms(output)
        target_ms = self._targets_ms.get(admit.class_name, idle_first_byte_ms)
        return deadlines.ResponseEstimate(
            first_byte_ms, last_byte_ms, idle_first_byte_ms > target_ms
        )

    def _with_margin(self, expected_ms: float) -> float:
        """Adds a safety margin to an estimated time to the first byte."""
        expected_ms += self._settings.first_byte_margin_ms
        return expected_ms * (
            1 + self._settings.first_byte_margin_percent / 100
        )

    def _cached_tokens(self, admit: messages.Admit) -> int:
        """Returns the most tokens of a prompt cached on any endpoint."""
        if not admit.prefix_hashes:
            return 0
        blocks = [
            state.prefix_index.count_cached(admit.prefix_hashes)
            for state in self._table.states.values()
            if state.can_prefill
        ]
        return max(blocks, default=0) * prefixes.BLOCK_TOKENS

    def _find_refusal(self, admit: messages.Admit) -> messages.Refused | None:
        """Returns the refusal of a request that may not be queued."""
        limit = self._settings.max_queued_per_workspace
        if self.queue.count_of(admit.workspace) >= limit:
            retry_ms = self._clamp_retry_ms(self._wait_ms(admit, limit))
            return messages.Refused(messages.REASON_QUEUE_FULL, retry_ms)
        usable = [
            state
            for state in self._table.states.values()
            if state.accepts_work() and state.name not in admit.excluded
        ]
        decoding = [state for state in usable if state.can_decode]
        prefilling = self._plan.is_service or any(
            s.can_prefill for s in usable
        )
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
        """Estimates the wait behind ``ahead`` requests of a workspace."""
        share = self.queue.share_of(admit.workspace)
        slots = max(1, self._table.decode_slots)
        per_slot_ms = self._table.estimates.mean_slot_busy_ms() / slots
        return ahead * per_slot_ms / share

    def _clamp_retry_ms(self, wait_ms: float) -> int:
        low = self._settings.min_retry_after_ms
        high = self._settings.max_retry_after_ms
        return int(min(high, max(low, wait_ms)))
