"""Charges of one workspace on one host, in the order in which they came."""

import collections
from concurrent import futures

from returns import result

from masticquay_scheduling import grants
from masticquay_scheduling import messages
from masticquay_scheduling import rate_messages

RETRY_MS = 25
UNKNOWN_RETRY_MS = 1_000


class Charge:
    """A charge, and the future that ends with its outcome.

    :param deadline_ms: when it is refused at the latest
    """

    __slots__ = ('tokens', 'deadline_ms', 'future', 'retry_after_ms')

    def __init__(self, tokens: int, deadline_ms: int):
        self.tokens = tokens
        self.deadline_ms = deadline_ms
        self.future: futures.Future = futures.Future()
        self.retry_after_ms = UNKNOWN_RETRY_MS

    def accept(self) -> None:
        """Ends with success."""
        self.future.set_result(result.Success(self.tokens))

    def refuse(self) -> None:
        """Ends as refused, with the time to come back."""
        refused = messages.Refused(
            messages.REASON_OVER_RATE, self.retry_after_ms
        )
        self.future.set_result(result.Failure(refused))


class ChargeQueue:
    """Spends a grant for charges, and says when to ask for more.

    Not thread-safe. Time is passed in; ended charges are returned, so that
    the caller can end their futures without holding a lock.
    """

    __slots__ = ('holder', '_waiting', '_asked_for', '_next_ms')

    def __init__(self, holder: grants.GrantHolder):
        self.holder = holder
        self._waiting: collections.deque[Charge] = collections.deque()
        self._asked_for: Charge | None = None
        self._next_ms = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, charge: Charge, now_ms: int) -> bool:
        """Pays a charge at once, or lets it wait; returns whether it paid."""
        if not self._waiting and self.holder.spend(charge.tokens, now_ms):
            return True
        self._waiting.append(charge)
        return False

    def turn_to(
        self,
        owner: grants.OwnerKey | None,
        live_hosts: set[grants.OwnerKey],
    ) -> None:
        """Follows a new view."""
        self.holder.turn_to(owner, live_hosts)
        self._next_ms = 0

    def next_request(
        self, view_number: int, now_ms: int
    ) -> rate_messages.RequestGrant | None:
        """Returns the request to send now, if one is due."""
        needed = self._waiting[0].tokens if self._waiting else 0
        if now_ms < self._next_ms or not self.holder.due(needed, now_ms):
            return None
        self._asked_for = self._waiting[0] if self._waiting else None
        wanted = sum(charge.tokens for charge in self._waiting)
        return self.holder.compose(needed, wanted, view_number, now_ms)

    def take_answer(
        self,
        sequence: int,
        grant: rate_messages.Grant | None,
        owner: grants.OwnerKey | None,
        now_ms: int,
    ) -> None:
        """Takes the answer to a request, None when there was none."""
        if grant is None:
            self.holder.give_up(sequence)
            self._next_ms = now_ms + RETRY_MS
            return
        if self.holder.apply(grant, owner, now_ms):
            self._plan_next(grant, now_ms)

    def serve(self, now_ms: int) -> tuple[list[Charge], list[Charge]]:
        """Returns the charges paid now, and those whose time is over."""
        paid = []
        late = []
        while self._waiting:
            first = self._waiting[0]
            if self.holder.spend(first.tokens, now_ms):
                paid.append(self._waiting.popleft())
            elif first.deadline_ms <= now_ms:
                late.append(self._waiting.popleft())
            else:
                break
        expired = [c for c in self._waiting if c.deadline_ms <= now_ms]
        for charge in expired:
            self._waiting.remove(charge)
        if late or expired:
            self._next_ms = min(self._next_ms, now_ms)
        return paid, late + expired

    def drain(self) -> list[Charge]:
        """Removes and returns all that waits."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

    def _plan_next(self, grant: rate_messages.Grant, now_ms: int) -> None:
        first = self._waiting[0] if self._waiting else None
        # An answer to a mere report says nothing about a newer charge.
        if first is None or first is not self._asked_for:
            self._next_ms = now_ms
            return
        if grant.granted_tokens:
            self._next_ms = now_ms
            return
        first.retry_after_ms = grant.retry_after_ms
        self._next_ms = now_ms + max(RETRY_MS, grant.retry_after_ms)
        # Tokens that come only after the longest wait help nobody waiting;
        # the next charge may be small enough for what is there.
        if first.deadline_ms < self._next_ms or not grant.retry_after_ms:
            first.deadline_ms = now_ms
            self._next_ms = now_ms
