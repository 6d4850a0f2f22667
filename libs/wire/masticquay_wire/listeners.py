"""The listener's end of links: accepts links and runs each call once."""

from concurrent import futures
import contextlib
import logging
import os
import socket
import threading
import typing

from websockets import exceptions
from websockets.sync import server

from masticquay_wire import errors
from masticquay_wire import handshakes
from masticquay_wire import message_costs
from masticquay_wire import messages
from masticquay_wire import outboxes
from masticquay_wire import peers
from masticquay_wire import sessions
from masticquay_wire import sockets
from masticquay_wire import websocket_openers

LOG = logging.getLogger(__name__)

# A link without frames for this long is closed. A live dialer sends a ping or
# closes its link long before.
LINK_IDLE_TIMEOUT_S = 30
INSTANCE_ID_BYTES = 8

CODE_BAD_MESSAGE = 'bad-message'
CODE_UNHANDLED = 'unhandled'
CODE_INTERNAL = 'internal'
CODE_TOO_LARGE = 'too-large'
CODE_ANSWER_LOST = 'answer-lost'


class _Link:
    """One accepted link.

    :param name: the name that the dialer authenticated with
    """

    def __init__(self, websocket: server.ServerConnection, name: str):
        self._websocket = websocket
        self._outbox = outboxes.Outbox(websocket)
        self._name = name
        self._hooks: list[typing.Callable[[], None]] = []
        self._lock = threading.Lock()
        self._lost = False

    @property
    def peer_name(self) -> str:
        """The name that the peer authenticated with."""
        return self._name

    def notify(self, message: messages.Message) -> None:
        """Sends a notice, a message that has no answer.

        :raises PeerUnavailableError: when the link is lost
        """
        self.notify_encoded(messages.EncodedNotice(message))

    def notify_encoded(self, notice: messages.EncodedNotice) -> None:
        """Sends a notice that was encoded for several links.

        :raises PeerUnavailableError: when the link is lost
        """
        if not self.send(notice.frame):
            raise errors.PeerUnavailableError(
                f'{self._name}: the link is lost'
            )

    def on_close(self, hook: typing.Callable[[], None]) -> None:
        """Registers a hook to call once the link is lost."""
        with self._lock:
            if not self._lost:
                self._hooks.append(hook)
                return
        hook()

    def send(self, frame: bytes) -> bool:
        """Sends an encoded frame; returns False when the link is lost."""
        return self._outbox.send(frame)

    def drop(self) -> None:
        """Shuts the connection down without a closing handshake."""
        sockets.shut_down(self._websocket.socket)

    def receive(self) -> bytes | str:
        """Waits for the next frame and returns it.

        :raises TimeoutError: when none arrives in ``LINK_IDLE_TIMEOUT_S``
        """
        return self._websocket.recv(timeout=LINK_IDLE_TIMEOUT_S)

    def run_close_hooks(self) -> None:
        """Marks the link as lost and calls the registered hooks."""
        with self._lock:
            self._lost = True
            hooks = list(self._hooks)
            self._hooks.clear()
        for hook in hooks:
            hook()


class Listener:
    """Accepts links and passes each message to the handler of its type.

    A handler runs in the receiving thread of its link and must not block. It
    returns the answer, or a future of the answer; None means ``Done``. If it
    raises an exception, the answer is a ``Failure``, with the code and detail
    of a ``RemoteError``, or else with ``CODE_INTERNAL``.

    ``refused_count`` counts failed handshakes, ``unreadable_count`` frames
    that could not be decoded, and ``repeated_count`` calls that were received
    again. ``costs`` has the processor time by type of message.

    :param name: the name of this process
    :param secret: the fleet secret
    :param compression: None, or ``deflate``
    """

    def __init__(
        self,
        address: peers.Address,
        name: str,
        secret: bytes,
        compression: str | None = None,
    ):
        self.address = address
        self._name = name
        self._secret = secret
        self._handlers: dict[type, peers.Handler] = {}
        self._sessions = sessions.Sessions(_encode_lost_answer)
        self._compression = compression
        self._instance_id = os.urandom(INSTANCE_ID_BYTES)
        self._lock = threading.Lock()
        self._stack = contextlib.ExitStack()
        self._websockets: set[server.ServerConnection] = set()
        self.refused_count = 0
        self.unreadable_count = 0
        self.repeated_count = 0
        self.costs = message_costs.MessageCosts()

    def handle(
        self, message_type: type[messages.Message], handler: peers.Handler
    ) -> None:
        """Sets the handler of one message type, replacing an earlier one."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Binds the address and starts a thread that accepts links.

        With port 0, ``address`` then has the port that the system chose.

        :raises OSError: when the address cannot be bound
        """
        self.address = websocket_openers.serve_websockets(
            self._stack, self.address, self._serve_link, self._compression
        )

    def close(self) -> None:
        """Stops accepting links and drops the open ones."""
        self._stack.close()
        with self._lock:
            websockets = list(self._websockets)
        for websocket in websockets:
            with contextlib.suppress(OSError):
                websocket.socket.shutdown(socket.SHUT_RDWR)

    def _serve_link(self, websocket: server.ServerConnection) -> None:
        try:
            sockets.set_options(websocket.socket)
            hello = handshakes.listen(
                websocket,
                self._secret,
                self._instance_id,
                lift_size_limit=lambda: sockets.allow_large_messages(
                    websocket
                ),
            )
        except (
            errors.WireError,
            exceptions.WebSocketException,
            OSError,
        ):
            self.refused_count += 1
            return
        link = _Link(websocket, hello.name)
        session = self._sessions.get_or_create(hello.session)
        session.connect(link)
        with self._lock:
            self._websockets.add(websocket)
        try:
            while True:
                self._handle_frame(link.receive(), link, session)
        except (exceptions.WebSocketException, OSError):
            return
        finally:
            with self._lock:
                self._websockets.discard(websocket)
            session.disconnect(link)
            link.run_close_hooks()

    def _handle_frame(
        self, data: bytes | str, link: _Link, session: sessions.Session
    ) -> None:
        number = 0
        begun_ns = self.costs.begin()
        try:
            if isinstance(data, str):
                raise errors.MessageError('frame is text, not binary')
            raw_frame = messages.decode_raw_frame(data)
            number = raw_frame.call_number
            if raw_frame.kind == messages.KIND_PING:
                link.send(_PONG_FRAME)
                return
            if raw_frame.kind == messages.KIND_CALL:
                registration = session.register_call(
                    number, raw_frame.lowest_pending
                )
                if not registration.is_new:
                    self._repeat_answer(registration, link)
                    return
            frame = raw_frame.decode()
        except errors.MessageError as cause:
            self.unreadable_count += 1
            failure = messages.Failure(CODE_BAD_MESSAGE, str(cause))
            session.send_answer(number, _encode_error(number, failure))
            return
        if frame.kind == messages.KIND_CALL:
            self._answer_call(frame, link, session)
        elif frame.kind == messages.KIND_NOTICE:
            self._run_handler(frame.message, link)
        self.costs.end(raw_frame.message_name, begun_ns)

    def _repeat_answer(
        self, registration: sessions.CallRegistration, link: _Link
    ) -> None:
        self.repeated_count += 1
        if registration.answer is not None:
            link.send(registration.answer)

    def _answer_call(
        self, frame: messages.Frame, link: _Link, session: sessions.Session
    ) -> None:
        number = frame.call_number
        answer = self._run_handler(frame.message, link)
        if isinstance(answer, futures.Future):
            answer.add_done_callback(
                lambda future: session.send_answer(
                    number, _encode_result(number, future)
                )
            )
            return
        session.send_answer(number, _encode_answer(number, answer))

    def _run_handler(
        self, message: messages.Message, link: _Link
    ) -> peers.Answer:
        handler = self._handlers.get(type(message))
        if handler is None:
            return messages.Failure(
                CODE_UNHANDLED, f'no handler for {type(message).__name__}'
            )
        try:
            return handler(message, link) or messages.Done()
        except errors.RemoteError as cause:
            return messages.Failure(cause.code, cause.detail)
        except Exception as cause:
            LOG.exception(
                'handler for %s raised an exception', type(message).__name__
            )
            return messages.Failure(CODE_INTERNAL, type(cause).__name__)


def _encode_result(number: int, future: futures.Future) -> bytes:
    error = future.exception()
    if error is None:
        return _encode_answer(number, future.result())
    if isinstance(error, errors.RemoteError):
        failure = messages.Failure(error.code, error.detail)
    else:
        failure = messages.Failure(CODE_INTERNAL, type(error).__name__)
    return _encode_error(number, failure)


def _encode_answer(number: int, answer: messages.Message) -> bytes:
    if isinstance(answer, messages.Failure):
        return _encode_error(number, answer)
    frame = messages.encode_frame(
        messages.Frame(messages.KIND_ANSWER, number, answer)
    )
    if len(frame) > messages.MAX_FRAME_BYTES:
        failure = messages.Failure(CODE_TOO_LARGE, type(answer).__name__)
        return _encode_error(number, failure)
    return frame


def _encode_error(number: int, failure: messages.Failure) -> bytes:
    frame = messages.Frame(messages.KIND_ERROR, number, failure)
    return messages.encode_frame(frame)


def _encode_lost_answer(number: int) -> bytes:
    failure = messages.Failure(
        CODE_ANSWER_LOST, 'the call ran, but its answer is no longer cached'
    )
    return _encode_error(number, failure)


_PONG_FRAME = messages.encode_frame(messages.Frame(messages.KIND_PONG, 0))
