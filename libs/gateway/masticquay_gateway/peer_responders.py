"""The end of a link to another host that answers its requests."""

import enum

from masticquay_endpoints import interrupts
from masticquay_gateway import peer_bodies
from masticquay_gateway import peer_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import exchange_links
from masticquay_wire import messages as wire_messages


class State(enum.Enum):
    """How far an exchange has come."""

    # The request, or its body, is still to come.
    RECEIVING = 'receiving'
    RUNNING = 'running'
    OVER = 'over'


class Responder:
    """Answers one exchange of a link; the next one needs a new responder.

    :param link: carries no other exchange before this one is over
    :param number: of the exchange, which each answer names; hosts of an
        earlier release send 0
    :ivar interrupt: fires when the link ends
    :ivar body: what came ahead of the request
    """

    __slots__ = ('_link', '_number', 'state', 'interrupt', 'body')

    def __init__(self, link: exchange_links.ExchangeLink, number: int):
        self._link = link
        self._number = number
        self.state = State.RECEIVING
        self.interrupt = interrupts.Interrupt()
        self.body = peer_bodies.ReceivedBody(link)

    @property
    def peer_name(self) -> str:
        """The host that asks."""
        return self._link.peer_name

    @property
    def is_running(self) -> bool:
        """Whether the request is being run and not answered wholly."""
        return self.state is State.RUNNING

    @property
    def is_over(self) -> bool:
        """Whether all of the answer was sent, or is being sent."""
        return self.state is State.OVER

    def check_turn(self, frame: wire_messages.Frame) -> None:
        """Checks that a message continues this exchange.

        :raises MessageError: when it begins another one amid it, so that the
            other host might take an answer for that of the wrong request
        """
        is_expected = (
            self.state is State.RECEIVING and frame.call_number == self._number
        )
        if isinstance(frame.message, peer_messages.PeerBody):
            is_expected = is_expected and not self.body.was_received
        if not is_expected:
            raise wire_errors.MessageError(
                f'{type(frame.message).__name__} while {self.state.value}'
            )

    def begin(self) -> None:
        """Records that the request is being run, which uses the body."""
        self.state = State.RUNNING

    def send(self, message: wire_messages.Message) -> None:
        """Sends a part of the answer.

        :raises WireError: when the link is lost
        """
        is_last = isinstance(message, peer_messages.PeerFailure) or (
            isinstance(message, peer_messages.PeerData) and message.is_last
        )
        if is_last:
            # Before it is sent, as the next request may follow at once.
            self.state = State.OVER
        self._link.send(message, self._number)

    def abort(self) -> None:
        """Ends the link at once, without an answer."""
        self._link.abort()

    def end(self) -> None:
        """Ends the exchange with its link."""
        if self.state is State.RECEIVING:
            self.body.give_back()
        self.interrupt.fire('peer left')
