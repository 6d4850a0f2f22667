"""Requests that wait: for a placement, or for a decode slot."""

import typing

from masticquay_scheduling import messages
from masticquay_scheduling import placements
from masticquay_scheduling import reservations

Outcome = messages.Placement | messages.Refused
Reply = typing.Callable[['Outcome'], None]
Outbox = list[tuple[Reply, Outcome]]


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
