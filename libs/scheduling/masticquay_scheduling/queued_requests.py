"""Requests that wait for a placement or for a decode slot."""

import typing

from masticquay_scheduling import messages
from masticquay_scheduling import placements
from masticquay_scheduling import reservations

Outcome = messages.Placement | messages.Refused
Reply = typing.Callable[['Outcome'], None]
# Outcomes to send once the scheduler's lock is released.
Outbox = list[tuple[Reply, Outcome]]


class QueuedRequest:
    """A request in the queue.

    :param is_urgent: whether its service class is served before others
    :param due_ms: when its first token is due; orders its workspace's queue
    :param latest_start_ms: time at which it is refused if not yet placed
    :ivar yields_until_ms: time until which it leaves more slots to others
    :ivar removed: whether it has left the queue
    """

    __slots__ = (
        'admit',
        'reply',
        'workspace',
        'is_urgent',
        'due_ms',
        'latest_start_ms',
        'yields_until_ms',
        'removed',
    )

    def __init__(
        self,
        admit: messages.Admit,
        reply: Reply,
        is_urgent: bool,
        due_ms: int,
        latest_start_ms: float,
    ):
        self.admit = admit
        self.reply = reply
        self.workspace = admit.workspace
        self.is_urgent = is_urgent
        self.due_ms = due_ms
        self.latest_start_ms = latest_start_ms
        self.yields_until_ms = 0.0
        self.removed = False

    @property
    def key(self) -> placements.AttemptKey:
        """The identity of the attempt."""
        return placements.attempt_key(self.admit.request, self.admit.attempt)


class DecodeWaiter:
    """An attempt that waits for a decode slot after its prefill.

    :param expires_ms: time at which it is refused if it has no slot yet
    """

    __slots__ = ('reservation', 'reply', 'is_urgent', 'expires_ms')

    def __init__(
        self,
        reservation: reservations.Reservation,
        reply: Reply,
        is_urgent: bool,
        expires_ms: int,
    ):
        self.reservation = reservation
        self.reply = reply
        self.is_urgent = is_urgent
        self.expires_ms = expires_ms

    @property
    def host(self) -> tuple[str, int]:
        """The name and incarnation of the host that waits."""
        request = self.reservation.placement.request
        return (request.host, request.incarnation)
