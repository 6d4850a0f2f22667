"""Links that carry one exchange of messages at a time.

The two ends authenticate as on any link, but a lost link is not replaced, and
nothing is sent again: who opened it learns that it is lost. A slow reader
holds the writer up by the window of the connection.
"""

import contextlib
import logging
import os
import threading
import time
import typing

from websockets import exceptions
from websockets import protocol
from websockets.sync import connection
from websockets.sync import server

from masticquay_wire import errors
from masticquay_wire import handshakes
from masticquay_wire import messages
from masticquay_wire import peers
from masticquay_wire import sockets
from masticquay_wire import websocket_openers

LOG = logging.getLogger(__name__)

SESSION_ID_BYTES = 8
# A host may have many links, whose ends read no faster than they can use.
MAX_QUEUED_FRAMES = 1

_LINK_ERRORS = (OSError, exceptions.WebSocketException)


class ExchangeLink:
    """One end of an authenticated link.

    :param stack: closes the websocket
    :ivar peer_name: the name that the other end authenticated with, empty at
        the end that opened it
    :ivar last_used_s: monotonic time at which the link was last used
    """

    __slots__ = ('_websocket', '_stack', 'peer_name', 'last_used_s')

    def __init__(
        self,
        websocket: connection.Connection,
        stack: contextlib.ExitStack,
        peer_name: str = '',
    ):
        self._websocket = websocket
        self._stack = stack
        self.peer_name = peer_name
        self.last_used_s = time.monotonic()

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed it, as far as is known here."""
        return self._websocket.protocol.state is protocol.State.OPEN

    def send(self, message: messages.Message, number: int = 0) -> None:
        """Sends a message.

        :param number: of the exchange that it belongs to, 0 for none
        :raises MessageError: when it is too large; nothing was sent
        :raises PeerUnavailableError: when the link is lost
        """
        notice = messages.EncodedNotice(message, number)
        self.last_used_s = time.monotonic()
        try:
            self._websocket.send(notice.frame)
        except _LINK_ERRORS as cause:
            raise errors.PeerUnavailableError(
                f'link lost: {type(cause).__name__}'
            ) from cause

    def receive(self, timeout_ms: float | None = None) -> messages.Message:
        """Waits for the next message; see ``receive_frame``."""
        return self.receive_frame(timeout_ms).message

    def receive_frame(self, timeout_ms: float | None = None) -> messages.Frame:
        """Waits for the next message; returns it with its number.

        :param timeout_ms: None for no limit
        :raises CallTimeoutError: when none arrives in that time
        :raises MessageError: when it cannot be decoded
        :raises PeerUnavailableError: when the link is lost
        """
        timeout_s = None if timeout_ms is None else max(0.0, timeout_ms / 1000)
        try:
            data = self._websocket.recv(timeout=timeout_s)
        except TimeoutError as cause:
            raise errors.CallTimeoutError('no message in time') from cause
        except _LINK_ERRORS as cause:
            raise errors.PeerUnavailableError(
                f'link lost: {type(cause).__name__}'
            ) from cause
        self.last_used_s = time.monotonic()
        if isinstance(data, str):
            raise errors.MessageError('frame is text, not binary')
        frame = messages.decode_frame(data)
        if frame.message is None:
            raise errors.MessageError('frame without a message')
        return frame

    def abort(self) -> None:
        """Ends the link at once, which wakes the threads that wait on it."""
        sockets.shut_down(self._websocket.socket)

    def close(self) -> None:
        """Ends the link and frees its socket."""
        self.abort()
        self._stack.close()
        # The websocket keeps the errors of its close. They would keep the
        # error that is handled meanwhile, with all that its frames hold.
        for error in (
            self._websocket.connection_exc,
            self._websocket.protocol.parser_exc,
        ):
            if error is not None:
                error.__context__ = None
                error.__traceback__ = None


def dial(address: peers.Address, name: str, secret: bytes) -> ExchangeLink:
    """Opens a link.

    :param name: the name of this process, which the other end gets to know
    :param secret: the fleet secret
    :raises WireError: when the other end cannot be reached, refuses, or
        failed to authenticate
    """
    with contextlib.ExitStack() as stack:
        try:
            websocket = websocket_openers.open_websocket(
                stack, address, max_queued_frames=MAX_QUEUED_FRAMES
            )
            handshakes.dial(
                websocket,
                secret,
                name,
                os.urandom(SESSION_ID_BYTES),
                lift_size_limit=lambda: sockets.allow_large_messages(
                    websocket
                ),
            )
        except _LINK_ERRORS as cause:
            raise errors.PeerUnavailableError(
                f'{address}: {type(cause).__name__}'
            ) from cause
        return ExchangeLink(websocket, stack.pop_all())


class ExchangeListener:
    """Accepts links and serves each in a thread of its own.

    :param secret: the fleet secret
    :param serve: serves a link until it returns or raises a ``WireError``
    """

    def __init__(
        self,
        address: peers.Address,
        secret: bytes,
        serve: typing.Callable[[ExchangeLink], None],
    ):
        self.address = address
        self._secret = secret
        self._serve = serve
        self._stack = contextlib.ExitStack()
        self._lock = threading.Lock()
        self._links: set[ExchangeLink] = set()

    def start(self) -> None:
        """Binds the address and accepts links from now on.

        :raises OSError: when the address cannot be bound
        """
        self.address = websocket_openers.serve_websockets(
            self._stack,
            self.address,
            self._serve_websocket,
            max_queued_frames=MAX_QUEUED_FRAMES,
        )

    def close(self) -> None:
        """Stops accepting links and ends the open ones."""
        self._stack.close()
        with self._lock:
            links = list(self._links)
        for link in links:
            link.abort()

    def _serve_websocket(self, websocket: server.ServerConnection) -> None:
        try:
            sockets.set_options(websocket.socket)
            hello = handshakes.listen(
                websocket,
                self._secret,
                lift_size_limit=lambda: sockets.allow_large_messages(
                    websocket
                ),
            )
        except (errors.WireError, *_LINK_ERRORS) as cause:
            LOG.info('link refused', extra={'cause': type(cause).__name__})
            return
        with contextlib.ExitStack() as stack:
            link = ExchangeLink(websocket, stack, hello.name)
            with self._lock:
                self._links.add(link)
            try:
                self._serve(link)
            except errors.WireError:
                # Whoever opened the link has closed or lost it.
                return
            finally:
                with self._lock:
                    self._links.discard(link)
                link.abort()
