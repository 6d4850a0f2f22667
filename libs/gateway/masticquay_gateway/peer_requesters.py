"""The end of a link to a peer that sends requests, one exchange at a time."""

import enum
import logging

from masticquay_gateway import peer_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import exchange_links
from masticquay_wire import messages as wire_messages

LOG = logging.getLogger(__name__)


class State(enum.Enum):
    """How far the exchange on a link has come."""

    # All that was asked has been answered to the end.
    IDLE = 'idle'
    # The body of a request was announced.
    ANNOUNCED = 'announced'
    # The peer takes the body; the request follows behind it.
    GRANTED = 'granted'
    # The request was sent.
    ASKED = 'asked'
    # The head of the answer came.
    STREAMING = 'streaming'
    # What follows on the link can't be told any more.
    BROKEN = 'broken'


# The state after a message was sent; no others may be sent.
_SENT = {
    (State.IDLE, peer_messages.PeerBody): State.ANNOUNCED,
    (State.IDLE, peer_messages.PeerRequest): State.ASKED,
    (State.GRANTED, peer_messages.PeerData): State.GRANTED,
    (State.GRANTED, peer_messages.PeerRequest): State.ASKED,
}
# The state after a message has come; no others belong to the exchange.
_RECEIVED = {
    (State.ANNOUNCED, peer_messages.PeerBodyGranted): State.GRANTED,
    (State.ANNOUNCED, peer_messages.PeerFailure): State.IDLE,
    (State.ASKED, peer_messages.PeerHead): State.STREAMING,
    (State.ASKED, peer_messages.PeerFailure): State.IDLE,
    (State.STREAMING, peer_messages.PeerData): State.STREAMING,
    (State.STREAMING, peer_messages.PeerFailure): State.IDLE,
}


class Requester:
    """Sends requests over a link and receives what answers them.

    The answer of an exchange that was given up may still come, and must not
    be taken for that of a later one. So the link is idle only when its last
    exchange was answered to the end, and each message names its exchange.

    :param peer_name: for the log
    """

    __slots__ = (
        '_link',
        '_peer_name',
        '_state',
        '_number',
        '_names_exchanges',
        '_is_aborted',
    )

    def __init__(self, link: exchange_links.ExchangeLink, peer_name: str):
        self._link = link
        self._peer_name = peer_name
        self._state = State.IDLE
        self._number = 0
        # Peers of an earlier release don't.
        self._names_exchanges = False
        self._is_aborted = False

    @property
    def is_idle(self) -> bool:
        """Whether another exchange may begin on the link."""
        is_open = self._link.is_open and not self._is_aborted
        return is_open and self._state is State.IDLE

    @property
    def last_used_s(self) -> float:
        """Monotonic time at which the link was last used."""
        return self._link.last_used_s

    def send(self, message: wire_messages.Message) -> None:
        """Sends a message; the first one begins an exchange.

        :raises MessageError: when it does not follow on the last one
        :raises PeerUnavailableError: when the link is lost
        """
        state = _SENT.get((self._state, type(message)))
        if state is None:
            raise self._break(message, 'out of turn')
        if self._state is State.IDLE:
            self._number += 1
        # Before it is sent, as the peer may answer even a part of it.
        self._state = state
        self._link.send(message, self._number)

    def receive(self, timeout_ms: float) -> wire_messages.Message:
        """Waits for the next message of the exchange.

        :raises CallTimeoutError: when none arrives in that time
        :raises MessageError: when one arrives that does not belong to the
            exchange, which ends the link
        :raises PeerUnavailableError: when the link is lost
        """
        frame = self._link.receive_frame(timeout_ms)
        message = frame.message
        if not self._is_named_rightly(frame.call_number):
            raise self._break(message, 'of another exchange')
        state = _RECEIVED.get((self._state, type(message)))
        if state is None:
            raise self._break(message, 'out of turn')
        if isinstance(message, peer_messages.PeerData) and message.is_last:
            state = State.IDLE
        self._state = state
        return message

    def abort(self) -> None:
        """Ends the link at once, which wakes the threads that wait on it."""
        self._is_aborted = True
        self._link.abort()

    def close(self) -> None:
        """Ends the link and frees its socket."""
        self._link.close()

    def _is_named_rightly(self, number: int) -> bool:
        if number:
            self._names_exchanges = True
            return number == self._number
        return not self._names_exchanges

    def _break(
        self, message: wire_messages.Message, detail: str
    ) -> wire_errors.MessageError:
        """Ends the link; returns the error to raise."""
        LOG.warning(
            'link to a peer ended',
            extra={
                'peer': self._peer_name,
                'message_type': type(message).__name__,
                'detail': detail,
                'state': self._state.value,
                'exchange': self._number,
            },
        )
        error = wire_errors.MessageError(
            f'{type(message).__name__} {detail}, while {self._state.value}'
        )
        self._state = State.BROKEN
        self.abort()
        return error
