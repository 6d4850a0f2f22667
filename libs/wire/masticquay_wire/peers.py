"""Addresses, timeouts, and the interfaces of the two ends of a link.

A link is one authenticated websocket connection between two processes. The
process that opens it is the dialer, the other one the listener. The dialer
sends calls, which the listener answers; both may send notices, which have no
answer.
"""

from concurrent import futures
import logging
import typing

from masticquay_wire import messages

# Timeout of the websocket's opening handshake.
DIAL_TIMEOUT_MS = 1_000
# Timeout of the TCP connection. Short, since a host that is starting up may
# drop the first packets without a reply, and is then tried again soon.
CONNECT_TIMEOUT_MS = 250
# Timeout of the websocket's closing handshake.
CLOSE_TIMEOUT_MS = 200
# While calls are pending, the dialer sends a ping at this interval and drops
# the link if no frame arrives within the timeout.
HEARTBEAT_INTERVAL_MS = 500
SILENCE_TIMEOUT_MS = 1_500
# These two apply to a link that is kept open without pending calls.
IDLE_HEARTBEAT_INTERVAL_MS = 2_000
IDLE_SILENCE_TIMEOUT_MS = 6_000
# Any other link is closed after this time without calls.
IDLE_CLOSE_TIMEOUT_MS = 10_000
SEND_BUFFER_BYTES = 208 * 1024
# How long sent data may stay unacknowledged by the remote kernel before the
# connection is closed.
UNACKED_DATA_TIMEOUT_MS = 5_000

WEBSOCKET_LOG = logging.getLogger('masticquay_wire.websockets')
WEBSOCKET_LOG.addHandler(logging.NullHandler())
WEBSOCKET_LOG.propagate = False


class Address:
    """An IP address and a TCP port."""

    __slots__ = ('host', 'port')

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text: str) -> typing.Self:
        """Parses ``ip:port``.

        :raises ValueError: when the text does not have this form
        """
        host, separator, port = text.rpartition(':')
        if not separator or not port.isdigit():
            raise ValueError(f'address is not of the form ip:port: {text!r}')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Connection(typing.Protocol):
    """The listener's end of a link."""

    @property
    def peer_name(self) -> str:
        """The name that the peer authenticated with."""

    def notify(self, message: messages.Message) -> None:
        """Sends a notice, a message that has no answer.

        :raises WireError: when the link is lost
        """

    def notify_encoded(self, notice: messages.EncodedNotice) -> None:
        """Sends a notice that was encoded for several links.

        :raises WireError: when the link is lost
        """

    def on_close(self, hook: typing.Callable[[], None]) -> None:
        """Registers a hook to call once the link is lost.

        If the link is already lost, the hook is called at once.
        """


Answer = messages.Message | futures.Future
Handler = typing.Callable[[messages.Message, Connection], Answer | None]
NoticeHandler = typing.Callable[[messages.Message], None]


class Peer(typing.Protocol):
    """The dialer's end of a link; there is one per remote process."""

    @property
    def connected(self) -> bool:
        """Whether the link is up."""

    def submit(
        self, message: messages.Message, timeout_ms: int
    ) -> 'futures.Future[messages.Message]':
        """Sends a call without waiting for the answer.

        The call may be sent again over a new link. It keeps its number, by
        which the listener recognises it and runs it only once.

        :returns: a future, which completes with the answer or fails with a
            WireError
        """

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call and waits for the answer.

        :raises WireError: when no answer arrives or the peer refuses the call
        """

    def notify(self, message: messages.Message) -> None:
        """Sends a notice, a message that has no answer.

        :raises WireError: when the link is lost
        """

    def close(self) -> None:
        """Closes the link; pending calls fail."""
