"""The order of requests that wait for a slot of a plain service."""

from masticquay_routing import slot_messages

RequestKey = tuple[str, int]

# A late request that has waited for this part of its remaining time is
# overdue.
OVERDUE_SHARE = 0.25
# One in so many grants goes to an overdue request, if there is one.
OVERDUE_TURN = 8


class SlotRequest:
    """A request that waits for a slot.

    :param arrived_ms: when its caller sent it
    :param asked_ms: when it began to wait
    :param target_by_ms: when it becomes late
    :param deadline_by_ms: when its answer is of no use any more
    :param tried_ids: the endpoints that must not get it
    """

    __slots__ = (
        'key',
        'priority',
        'arrived_ms',
        'asked_ms',
        'target_by_ms',
        'deadline_by_ms',
        'tried_ids',
        'place',
    )

    def __init__(
        self,
        key: RequestKey,
        priority: int,
        arrived_ms: int,
        asked_ms: int,
        target_by_ms: int,
        deadline_by_ms: int,
        tried_ids: frozenset[str] = frozenset(),
        place: str = '',
    ):
        self.key = key
        self.priority = priority
        self.arrived_ms = arrived_ms
        self.asked_ms = asked_ms
        self.target_by_ms = target_by_ms
        self.deadline_by_ms = deadline_by_ms
        self.tried_ids = tried_ids
        self.place = place

    def is_overdue(self, now_ms: int) -> bool:
        """Whether it has waited long, compared with the time it has left."""
        remaining_ms = self.deadline_by_ms - now_ms
        return now_ms - self.asked_ms >= OVERDUE_SHARE * remaining_ms


def make_request(ask: slot_messages.AskSlot, now_ms: int) -> SlotRequest:
    """Returns the request that a host asks for."""
    return SlotRequest(
        (ask.host, ask.number),
        ask.priority,
        now_ms - max(0, ask.age_ms),
        now_ms,
        now_ms + ask.target_ms,
        now_ms + ask.deadline_ms,
        frozenset(ask.tried_ids),
        ask.place,
    )


class SlotQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        self._requests: dict[RequestKey, SlotRequest] = {}
        self._grants_since_overdue = 0

    def __len__(self) -> int:
        return len(self._requests)

    def get(self, key: RequestKey) -> SlotRequest | None:
        """Returns a waiting request, None if it does not wait."""
        return self._requests.get(key)

    def add(self, request: SlotRequest) -> None:
        """Adds a request."""
        self._requests[request.key] = request

    def remove(self, key: RequestKey) -> SlotRequest | None:
        """Removes and returns a request, None if it does not wait."""
        return self._requests.pop(key, None)

    def grant(self, request: SlotRequest, work_ms: float, now_ms: int) -> None:
        """Removes a request that gets a slot, and counts its turn."""
        del self._requests[request.key]
        is_overdue_turn = _is_late(request, work_ms, now_ms)
        is_overdue_turn = is_overdue_turn and request.is_overdue(now_ms)
        if is_overdue_turn:
            self._grants_since_overdue = 0
        else:
            self._grants_since_overdue += 1

    def order(self, work_ms: float, now_ms: int) -> list[SlotRequest]:
        """Returns the requests, the next one first.

        Those that can still be on time come first, by priority and arrival;
        late ones by the time they have left.

        :param work_ms: a time within which the work likely ends
        """
        ordered = sorted(
            self._requests.values(), key=lambda r: _rank(r, work_ms, now_ms)
        )
        if self._grants_since_overdue + 1 < OVERDUE_TURN:
            return ordered
        overdue = [
            r
            for r in ordered
            if _is_late(r, work_ms, now_ms) and r.is_overdue(now_ms)
        ]
        if not overdue:
            return ordered
        first = min(overdue, key=lambda r: r.asked_ms)
        return [first, *(r for r in ordered if r is not first)]

    def count_before(
        self, request: SlotRequest, work_ms: float, now_ms: int
    ) -> int:
        """Returns how many waiting requests come before a request."""
        rank = _rank(request, work_ms, now_ms)
        return sum(
            _rank(other, work_ms, now_ms) <= rank
            for other in self._requests.values()
            if other is not request
        )


def _is_late(request: SlotRequest, work_ms: float, now_ms: int) -> bool:
    return now_ms + work_ms > request.target_by_ms


def _rank(
    request: SlotRequest, work_ms: float, now_ms: int
) -> tuple[bool, int, int]:
    if _is_late(request, work_ms, now_ms):
        return True, request.deadline_by_ms, request.arrived_ms
    return False, request.priority, request.arrived_ms
