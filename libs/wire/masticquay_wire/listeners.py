"""The listening side of links: authentication, calls and deduplication."""

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
from masticquay_wire import messages
from masticquay_wire import outboxes
from masticquay_wire import peers
from masticquay_wire import sessions
from masticquay_wire import sockets

LOG = logging.getLogger(__name__)

# A dialler pings at least this often while it expects anything.
LINK_IDLE_TIMEOUT_S = 30
INSTANCE_BYTES = 8

CODE_BAD_MESSAGE = 'bad-message'
CODE_UNHANDLED = 'unhandled'
CODE_INTERNAL = 'internal'
CODE_TOO_LARGE = 'too-large'
CODE_ANSWER_LOST = 'answer-lost'


class _Link:
    """One accepted connection."""

    def __init__(self, websocket: server.ServerConnection, name: str):
        self._websocket = websocket
        self._outbox = outboxes.Outbox(websocket)
        self._name = name
        self._hooks: list[typing.Callable[[], None]] = []
        self._lock = threading.Lock()
        self._lost = False

    @property
    def peer_name(self) -> str:
        """The name under which the peer proved the fleet secret."""
        return self._name

    def notify(self, message: messages.Message) -> None:
        """Sends a message that wants no answer.

        :raises PeerUnavailableError: when the link is lost
        """
        frame = messages.encode_frame(
            messages.Frame(messages.KIND_NOTICE, 0, message)
        )
        if len(frame) > messages.MAX_FRAME_BYTES:
            raise errors.MessageError('the notice is too large')
        if not self.send(frame):
            raise errors.PeerUnavailableError(f'{self._name}: link lost')

    def on_close(self, hook: typing.Callable[[], None]) -> None:
        """Calls the hook once the link is lost."""
        with self._lock:
            if not self._lost:
                self._hooks.append(hook)
                return
        hook()

    def send(self, frame: bytes) -> bool:
        """Sends an encoded frame; returns whether the link took it."""
        return self._outbox.send(frame)

    def drop(self) -> None:
        """Drops the link."""
        sockets.drop(self._websocket.socket)

    def receive(self) -> bytes | str:
        """Waits for the next frame."""
        return self._websocket.recv(timeout=LINK_IDLE_TIMEOUT_S)

    def run_close_hooks(self) -> None:
        """Marks the link lost and calls the hooks."""
        with self._lock:
            self._lost = True
            hooks = list(self._hooks)
            self._hooks.clear()
        for hook in hooks:
            hook()


class Listener:
    """Accepts links and hands each message to the handler of its type.

    A handler runs in the thread of its connection and must not wait: it
    returns an answer, or a future that ends with one. An exception becomes a
    ``Failure``; a ``RemoteError`` keeps its code.

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
        self._sessions = sessions.Sessions(_lost_answer_frame)
        self._compression = compression
        self._instance = os.urandom(INSTANCE_BYTES)
        self._lock = threading.Lock()
        self._stack = contextlib.ExitStack()
        self._websockets: set[server.ServerConnection] = set()
        self.refused_count = 0
        self.unreadable_count = 0
        self.repeated_count = 0

    def handle(
        self, message_type: type[messages.Message], handler: peers.Handler
    ) -> None:
        """Sets the handler of one message type."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Binds the address and accepts links in a thread of its own.

        :raises OSError: when the address cannot be bound
        """
        sock = socket.create_server(
            (self.address.host, self.address.port), backlog=512
        )
        self.address = peers.Address(*sock.getsockname()[:2])
        accepting = self._stack.enter_context(
            server.serve(
                self._serve_link,
                sock=sock,
                compression=self._compression,
                ping_interval=None,
                open_timeout=handshakes.HANDSHAKE_TIMEOUT_S,
                close_timeout=peers.CLOSE_TIMEOUT_MS / 1000,
                max_size=messages.MAX_FRAME_BYTES,
                logger=peers.WEBSOCKET_LOG,
                server_header=None,
            )
        )
        thread = threading.Thread(
            target=accepting.serve_forever,
            name=f'listen-{self.address}',
            daemon=True,
        )
        thread.start()

    def close(self) -> None:
        """Stops accepting and drops every link."""
        self._stack.close()
        with self._lock:
            websockets = list(self._websockets)
        for websocket in websockets:
            with contextlib.suppress(OSError):
                websocket.socket.shutdown(socket.SHUT_RDWR)

    def _serve_link(self, websocket: server.ServerConnection) -> None:
        try:
            sockets.tune(websocket.socket)
            hello = handshakes.listen(websocket, self._secret, self._instance)
        except (
            errors.WireError,
            exceptions.WebSocketException,
            OSError,
        ):
            self.refused_count += 1
            return
        link = _Link(websocket, hello.name)
        session = self._sessions.find(hello.session)
        session.connect(link)
        with self._lock:
            self._websockets.add(websocket)
        try:
            while True:
                self._take_frame(link.receive(), link, session)
        except (exceptions.WebSocketException, OSError):
            return
        finally:
            with self._lock:
                self._websockets.discard(websocket)
            session.disconnect(link)
            link.run_close_hooks()

    def _take_frame(
        self, data: bytes | str, link: _Link, session: sessions.Session
    ) -> None:
        number = 0
        try:
            if isinstance(data, str):
                raise errors.MessageError('a text frame')
            raw = messages.open_frame(data)
            number = raw.call_number
            if raw.kind == messages.KIND_PING:
                link.send(_PONG_FRAME)
                return
            if raw.kind == messages.KIND_CALL:
                admission = session.admit(number, raw.floor)
                if not admission.is_new:
                    self._answer_again(admission, link)
                    return
            frame = raw.read()
        except errors.MessageError as cause:
            self.unreadable_count += 1
            failure = messages.Failure(CODE_BAD_MESSAGE, str(cause))
            session.answer(number, _error_frame(number, failure))
            return
        if frame.kind == messages.KIND_CALL:
            self._answer_call(frame, link, session)
        elif frame.kind == messages.KIND_NOTICE:
            self._run_handler(frame.message, link)

    def _answer_again(
        self, admission: sessions.Admission, link: _Link
    ) -> None:
        self.repeated_count += 1
        if admission.answer is not None:
            link.send(admission.answer)

    def _answer_call(
        self, frame: messages.Frame, link: _Link, session: sessions.Session
    ) -> None:
        number = frame.call_number
        answer = self._run_handler(frame.message, link)
        if isinstance(answer, futures.Future):
            answer.add_done_callback(
                lambda done: session.answer(number, _frame_of(number, done))
            )
            return
        session.answer(number, _answer_frame(number, answer))

    def _run_handler(
        self, message: messages.Message, link: _Link
    ) -> peers.Answer:
        handler = self._handlers.get(type(message))
        if handler is None:
            return messages.Failure(
                CODE_UNHANDLED, f'{type(message).__name__} is not served here'
            )
        try:
            return handler(message, link) or messages.Done()
        except errors.RemoteError as cause:
            return messages.Failure(cause.code, cause.detail)
        except Exception as cause:
            LOG.exception('handler of %s failed', type(message).__name__)
            return messages.Failure(CODE_INTERNAL, type(cause).__name__)


def _frame_of(number: int, done: futures.Future) -> bytes:
    error = done.exception()
    if error is None:
        return _answer_frame(number, done.result())
    if isinstance(error, errors.RemoteError):
        failure = messages.Failure(error.code, error.detail)
    else:
        failure = messages.Failure(CODE_INTERNAL, type(error).__name__)
    return _error_frame(number, failure)


def _answer_frame(number: int, answer: messages.Message) -> bytes:
    if isinstance(answer, messages.Failure):
        return _error_frame(number, answer)
    frame = messages.encode_frame(
        messages.Frame(messages.KIND_ANSWER, number, answer)
    )
    if len(frame) > messages.MAX_FRAME_BYTES:
        failure = messages.Failure(CODE_TOO_LARGE, type(answer).__name__)
        return _error_frame(number, failure)
    return frame


def _error_frame(number: int, failure: messages.Failure) -> bytes:
    frame = messages.Frame(messages.KIND_ERROR, number, failure)
    return messages.encode_frame(frame)


def _lost_answer_frame(number: int) -> bytes:
    failure = messages.Failure(CODE_ANSWER_LOST, 'the call ran')
    return _error_frame(number, failure)


_PONG_FRAME = messages.encode_frame(messages.Frame(messages.KIND_PONG, 0))
