"""Charges of one workspace on one host, in order of arrival."""

import collections
from concurrent import futures

from returns import result

from masticquay_scheduling import grants
from masticquay_scheduling import messages
from masticquay_scheduling import rate_messages

# Shortest delay of the next grant request after a failed or refused one.
RETRY_DELAY_MS = 25
DEFAULT_RETRY_AFTER_MS = 1_000
# How much longer a charge waits that its limiter has not been able to judge.
ANSWER_MARGIN_MS = 1_000


class Charge:
    """A charge of tokens, with a future for its outcome.

    :param deadline_ms: time at which it is refused if not yet paid
    :ivar queued_ms: when it began to wait
    :ivar reason: why it is refused if it is
    :ivar retry_after_ms: delay before a retry, sent with a refusal
    """

    __slots__ = (
        'tokens',
        'deadline_ms',
        'future',
        'queued_ms',
        'reason',
        'retry_after_ms',
    )

    def __init__(self, tokens: int, deadline_ms: int):
        self.tokens = tokens
        self.deadline_ms = deadline_ms
        self.future: futures.Future = futures.Future()
        self.queued_ms = 0
        self.reason = messages.REASON_OVER_RATE
        self.retry_after_ms = DEFAULT_RETRY_AFTER_MS

    def accept(self) -> None:
        """Completes the future with success."""
        self.future.set_result(result.Success(self.tokens))

    def refuse(self) -> None:
        """Completes the future with a refusal and its retry delay."""
        refused = messages.Refused(self.reason, self.retry_after_ms)
        self.future.set_result(result.Failure(refused))


class ChargeQueue:
    """Pays charges from a grant, and makes requests for more.

    A charge is over the rate only if the limiter has answered a request that
    was sent while the charge waited. Any other waits ``ANSWER_MARGIN_MS``
    longer, since nobody has found it to be over the rate.

    Not thread-safe. The caller passes the time in. Paid and expired charges
    are returned, so that the caller can complete their futures without
    holding a lock.
    """

    __slots__ = (
        'holder',
        '_waiting',
        '_requested_charge',
        '_next_request_ms',
        '_requested_ms',
        '_answered_request_ms',
    )

    def __init__(self, holder: grants.GrantHolder):
        self.holder = holder
        self._waiting: collections.deque[Charge] = collections.deque()
        self._requested_charge: Charge | None = None
        self._next_request_ms = 0
        self._requested_ms = 0
        # When the last request that has an answer was sent.
        self._answered_request_ms: int | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, charge: Charge, now_ms: int) -> bool:
        """Pays a charge or queues it; returns whether it was paid."""
        if not self._waiting and self.holder.spend(charge.tokens, now_ms):
            return True
        charge.queued_ms = now_ms
        self._waiting.append(charge)
        return False

    def switch_owner(
        self,
        owner: grants.HostKey | None,
        live_hosts: set[grants.HostKey],
    ) -> None:
        """Switches to the owner of a new view, None without an owner."""
        self.holder.switch_owner(owner, live_hosts)
        self._next_request_ms = 0

    def next_request(
        self, view_number: int, now_ms: int
    ) -> rate_messages.RequestGrant | None:
        """Returns the grant request to send now, None if none is due."""
        needed = self._waiting[0].tokens if self._waiting else 0
        if now_ms < self._next_request_ms or not self.holder.is_due(
            needed, now_ms
        ):
            return None
        self._requested_charge = self._waiting[0] if self._waiting else None
        self._requested_ms = now_ms
        wanted = sum(charge.tokens for charge in self._waiting)
        return self.holder.make_request(needed, wanted, view_number, now_ms)

    def handle_answer(
        self,
        sequence: int,
        grant: rate_messages.Grant | None,
        owner: grants.HostKey | None,
        now_ms: int,
    ) -> None:
        """Applies the answer to a request.

        :param sequence: sequence number of the request
        :param grant: the answer, None when the request failed
        :param owner: the owner that answered
        """
        if grant is None:
            self.holder.give_up(sequence)
            self._next_request_ms = now_ms + RETRY_DELAY_MS
            return
        if self.holder.apply(grant, owner, now_ms):
            self._answered_request_ms = self._requested_ms
            self._schedule_next(grant, now_ms)

    def serve(self, now_ms: int) -> tuple[list[Charge], list[Charge]]:
        """Returns the charges paid now, and those that expired."""
        paid = []
        late = []
        while self._waiting:
            first = self._waiting[0]
            if self.holder.spend(first.tokens, now_ms):
                paid.append(self._waiting.popleft())
            elif self._is_late(first, now_ms):
                late.append(self._waiting.popleft())
            else:
                break
        expired = [c for c in self._waiting if self._is_late(c, now_ms)]
        for charge in expired:
            self._waiting.remove(charge)
        for charge in late + expired:
            if not self._is_judged(charge):
                charge.reason = messages.REASON_NO_LIMITER
        if late or expired:
            self._next_request_ms = min(self._next_request_ms, now_ms)
        return paid, late + expired

    def _is_late(self, charge: Charge, now_ms: int) -> bool:
        limit_ms = charge.deadline_ms
        if not self._is_judged(charge):
            limit_ms += ANSWER_MARGIN_MS
        return limit_ms <= now_ms

    def _is_judged(self, charge: Charge) -> bool:
        """Whether the limiter has said what it has while the charge waited."""
        answered_ms = self._answered_request_ms
        return answered_ms is not None and answered_ms >= charge.queued_ms

    def drain(self) -> list[Charge]:
        """Removes and returns all waiting charges."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

    def _schedule_next(self, grant: rate_messages.Grant, now_ms: int) -> None:
        first = self._waiting[0] if self._waiting else None
        # The answer to a request that was sent before this charge became the
        # first one says nothing about it.
        if first is None or first is not self._requested_charge:
            self._next_request_ms = now_ms
            return
        if grant.granted_tokens:
            self._next_request_ms = now_ms
            return
        first.retry_after_ms = grant.retry_after_ms
        self._next_request_ms = now_ms + max(
            RETRY_DELAY_MS, grant.retry_after_ms
        )
        # A charge that cannot be paid before its deadline expires now, so that
        # a smaller one behind it may be paid.
        if (
            first.deadline_ms < self._next_request_ms
            or not grant.retry_after_ms
        ):
            first.deadline_ms = now_ms
            self._next_request_ms = now_ms
