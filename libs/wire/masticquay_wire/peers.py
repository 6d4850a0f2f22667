"""Addresses, and the two views of a link between processes."""

from concurrent import futures
import logging
import typing

from masticquay_wire import messages

DIAL_TIMEOUT_MS = 1_000
# A host that is just coming up drops the first packets without an answer.
CONNECT_TIMEOUT_MS = 250
CLOSE_TIMEOUT_MS = 200
HEARTBEAT_MS = 500
SILENCE_LIMIT_MS = 1_500
IDLE_HEARTBEAT_MS = 2_000
IDLE_SILENCE_LIMIT_MS = 6_000
IDLE_CLOSE_MS = 10_000
SEND_BUFFER_BYTES = 208 * 1024
# Data that the other side's kernel does not acknowledge.
UNACKED_LIMIT_MS = 5_000

WEBSOCKET_LOG = logging.getLogger('masticquay_wire.websockets')
WEBSOCKET_LOG.addHandler(logging.NullHandler())
WEBSOCKET_LOG.propagate = False


class Address:
    """An IP number and a port."""

    __slots__ = ('host', 'port')

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text: str) -> typing.Self:
        """Reads ``ip:port``.

        :raises ValueError: when the text has another form
        """
        host, separator, port = text.rpartition(':')
        if not separator or not port.isdigit():
            raise ValueError(f'no address of the form ip:port: {text!r}')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Connection(typing.Protocol):
    """The receiving side's view of a link."""

    @property
    def peer_name(self) -> str:
        """The name under which the peer proved the fleet secret."""

    def notify(self, message: messages.Message) -> None:
        """Sends a message that wants no answer.

        :raises WireError: when the link is lost
        """

    def on_close(self, hook: typing.Callable[[], None]) -> None:
        """Calls the hook once the link is lost."""


Answer = messages.Message | futures.Future
Handler = typing.Callable[[messages.Message, Connection], Answer | None]
NoticeHandler = typing.Callable[[messages.Message], None]


class Peer(typing.Protocol):
    """The sending side of a link: one per remote process."""

    @property
    def connected(self) -> bool:
        """Whether a link stands now."""

    def submit(
        self, message: messages.Message, timeout_ms: int
    ) -> 'futures.Future[messages.Message]':
        """Sends a call; the future ends with the answer or a WireError.

        A call may be sent again over a new link: the receiver sees the same
        call number and answers it once.
        """

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call and waits for the answer.

        :raises WireError: when no answer arrived or the peer refused
        """

    def notify(self, message: messages.Message) -> None:
        """Sends a message that wants no answer.

        :raises WireError: when the link is lost
        """

    def close(self) -> None:
        """Closes the link; outstanding calls fail."""
