"""The listening side of links: authentication, calls and deduplication."""

import collections
from concurrent import futures
import contextlib
import logging
import socket
import threading
import typing

from websockets import exceptions
from websockets.sync import server

from masticquay_wire import errors
from masticquay_wire import handshakes
from masticquay_wire import messages
from masticquay_wire import peers
from masticquay_wire import sockets

LOG = logging.getLogger(__name__)

# A dialler pings at least this often while it expects anything.
LINK_IDLE_TIMEOUT_S = 30
MAX_SESSIONS = 2_048


class _Session:
    """Calls of one dialler, kept over its redials for deduplication."""

    __slots__ = ('answers', 'link', 'lock')

    def __init__(self) -> None:
        self.answers: collections.OrderedDict[int, bytes | None] = (
            collections.OrderedDict()
        )
        self.link: _Link | None = None
        self.lock = threading.Lock()

    def admit(self, call_number: int) -> bool:
        """Returns whether the call is new, and notes it if so."""
        with self.lock:
            if call_number in self.answers:
                return False
            self.answers[call_number] = None
            while len(self.answers) > peers.MAX_DEDUPLICATED_CALLS:
                self.answers.popitem(last=False)
            return True

    def find_answer(self, call_number: int) -> bytes | None:
        """Returns the frame that answered a call, if it was answered."""
        with self.lock:
            return self.answers.get(call_number)

    def answer(self, call_number: int, frame: bytes) -> None:
        """Stores an answer and sends it over the newest link."""
        with self.lock:
            if call_number in self.answers:
                self.answers[call_number] = frame
            link = self.link
        if link is not None:
            link.send(frame)


class _Link:
    """One accepted connection."""

    def __init__(self, websocket: server.ServerConnection, name: str):
        self._websocket = websocket
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
        frame = messages.Frame(messages.KIND_NOTICE, 0, message)
        if not self.send(messages.encode_frame(frame)):
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
        try:
            self._websocket.send(frame)
        except (OSError, exceptions.WebSocketException):
            return False
        return True

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
    """

    def __init__(self, address: peers.Address, name: str, secret: bytes):
        self.address = address
        self._name = name
        self._secret = secret
        self._handlers: dict[type, peers.Handler] = {}
        self._sessions: collections.OrderedDict[bytes, _Session] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()
        self._stack = contextlib.ExitStack()
        self._websockets: set[server.ServerConnection] = set()
        self.refused_count = 0

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
                compression=None,
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
            sockets.limit_sends(websocket.socket)
            hello = handshakes.listen(websocket, self._secret)
        except (
            errors.WireError,
            exceptions.WebSocketException,
            OSError,
        ):
            self.refused_count += 1
            return
        link = _Link(websocket, hello.name)
        session = self._find_session(hello.session)
        session.link = link
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
            if session.link is link:
                session.link = None
            link.run_close_hooks()

    def _find_session(self, key: bytes) -> _Session:
        with self._lock:
            session = self._sessions.get(key)
            if session is None:
                session = _Session()
                self._sessions[key] = session
            self._sessions.move_to_end(key)
            while len(self._sessions) > MAX_SESSIONS:
                self._sessions.popitem(last=False)
            return session

    def _take_frame(
        self, data: bytes | str, link: _Link, session: _Session
    ) -> None:
        number = 0
        try:
            if isinstance(data, str):
                raise errors.MessageError('a text frame')
            raw = messages.open_frame(data)
            number, kind = raw.call_number, raw.kind
            if kind == messages.KIND_PING:
                pong = messages.Frame(messages.KIND_PONG, 0)
                link.send(messages.encode_frame(pong))
                return
            if kind == messages.KIND_CALL and not session.admit(number):
                stored = session.find_answer(number)
                if stored is not None:
                    link.send(stored)
                return
            frame = raw.read()
        except errors.MessageError as cause:
            self.refused_count += 1
            failure = messages.Failure('bad-message', str(cause))
            session.answer(number, _error_frame(number, failure))
            return
        if frame.kind == messages.KIND_CALL:
            self._answer_call(frame, link, session)
        elif frame.kind == messages.KIND_NOTICE:
            self._run_handler(frame.message, link)

    def _answer_call(
        self, frame: messages.Frame, link: _Link, session: _Session
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
                'unhandled', f'{type(message).__name__} is not served here'
            )
        try:
            return handler(message, link) or messages.Done()
        except errors.RemoteError as cause:
            return messages.Failure(cause.code, cause.detail)
        except Exception as cause:
            LOG.exception('handler of %s failed', type(message).__name__)
            return messages.Failure('internal', type(cause).__name__)


def _frame_of(number: int, done: futures.Future) -> bytes:
    error = done.exception()
    if error is None:
        return _answer_frame(number, done.result())
    if isinstance(error, errors.RemoteError):
        failure = messages.Failure(error.code, error.detail)
    else:
        failure = messages.Failure('internal', type(error).__name__)
    return _error_frame(number, failure)


def _answer_frame(number: int, answer: messages.Message) -> bytes:
    if isinstance(answer, messages.Failure):
        return _error_frame(number, answer)
    frame = messages.Frame(messages.KIND_ANSWER, number, answer)
    return messages.encode_frame(frame)


def _error_frame(number: int, failure: messages.Failure) -> bytes:
    frame = messages.Frame(messages.KIND_ERROR, number, failure)
    return messages.encode_frame(frame)
