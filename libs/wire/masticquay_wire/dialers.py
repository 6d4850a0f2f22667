"""The dialling side of links: calls, redial, resend and heartbeat."""

from concurrent import futures
import contextlib
import itertools
import os
import socket
import threading
import time
import typing

from websockets import exceptions
from websockets.sync import client
from websockets.sync import connection

from masticquay_wire import errors
from masticquay_wire import handshakes
from masticquay_wire import messages
from masticquay_wire import peers
from masticquay_wire import sockets

REDIAL_MIN_MS = 50
REDIAL_MAX_MS = 500
POLL_S = 0.1
SESSION_BYTES = 8


class PendingCall:
    """A call whose answer has not arrived."""

    __slots__ = ('frame', 'future', 'deadline_s')

    def __init__(
        self, frame: bytes, future: futures.Future, deadline_s: float
    ):
        self.frame = frame
        self.future = future
        self.deadline_s = deadline_s


class WebsocketPeer:
    """A link to one remote process; dials when first used.

    One thread per peer dials, receives, and sends heartbeats while a call is
    outstanding. A link without a frame for ``SILENCE_LIMIT_MS`` during that
    time is dropped, and the calls are sent again over a new one.

    :param keep_open: stay connected without calls, to receive notices
    :param on_connect: called in the peer's thread after each new link; the
        callee may call ``notify`` or ``submit`` but must not wait
    """

    def __init__(
        self,
        address: peers.Address,
        name: str,
        secret: bytes,
        on_notice: peers.NoticeHandler | None = None,
        on_connect: typing.Callable[[], None] | None = None,
        keep_open: bool = False,
    ):
        self.address = address
        self._name = name
        self._secret = secret
        self._on_notice = on_notice
        self._on_connect = on_connect
        self._keep_open = keep_open
        self._session = os.urandom(SESSION_BYTES)
        self._numbers = itertools.count(1)
        self._pending: dict[int, PendingCall] = {}
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._closed = False
        self._link: connection.Connection | None = None
        self._thread: threading.Thread | None = None
        self.redial_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        if keep_open:
            self._start()

    def submit(
        self, message: messages.Message, timeout_ms: int
    ) -> futures.Future:
        """Sends a call; see ``peers.Peer``."""
        number = next(self._numbers)
        frame = messages.encode_frame(
            messages.Frame(messages.KIND_CALL, number, message)
        )
        future: futures.Future = futures.Future()
        deadline_s = time.monotonic() + timeout_ms / 1000
        with self._lock:
            if self._closed:
                future.set_exception(
                    errors.PeerUnavailableError('the peer is closed')
                )
                return future
            self._pending[number] = PendingCall(frame, future, deadline_s)
            link = self._link
        self._start()
        if link is not None:
            self._send(link, frame)
        else:
            self._wake.set()
        return future

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call and waits; see ``peers.Peer``."""
        future = self.submit(message, timeout_ms)
        try:
            return future.result(timeout_ms / 1000 + 2 * POLL_S)
        except futures.TimeoutError as cause:
            raise errors.CallTimeoutError(
                f'{self.address}: no answer in {timeout_ms} ms'
            ) from cause

    def notify(self, message: messages.Message) -> None:
        """Sends a message that wants no answer.

        :raises PeerUnavailableError: when there is no link
        """
        with self._lock:
            link = self._link
        if link is None:
            self._start()
            self._wake.set()
            raise errors.PeerUnavailableError(f'{self.address}: no link')
        frame = messages.encode_frame(
            messages.Frame(messages.KIND_NOTICE, 0, message)
        )
        if not self._send(link, frame):
            raise errors.PeerUnavailableError(f'{self.address}: link lost')

    def close(self) -> None:
        """Closes the link; outstanding calls fail."""
        with self._lock:
            self._closed = True
            link = self._link
            thread = self._thread
        self._wake.set()
        if link is not None:
            _drop(link)
        if thread is not None and thread is not threading.current_thread():
            thread.join(timeout=2)
        self._fail_pending(errors.PeerUnavailableError('the peer is closed'))

    @property
    def connected(self) -> bool:
        """Whether a link stands now."""
        return self._link is not None

    def _start(self) -> None:
        with self._lock:
            if self._thread is not None or self._closed:
                return
            self._thread = threading.Thread(
                target=self._run, name=f'peer-{self.address}', daemon=True
            )
            self._thread.start()

    def _run(self) -> None:
        delay_ms = REDIAL_MIN_MS
        while not self._closed:
            if not self._keep_open and not self._pending:
                self._wake.wait()
                self._wake.clear()
                continue
            try:
                with contextlib.ExitStack() as stack:
                    link = self._dial(stack)
                    delay_ms = REDIAL_MIN_MS
                    self._receive_until_lost(link)
            except (OSError, errors.WireError, exceptions.WebSocketException):
                self.redial_count += 1
                self._wake.wait(delay_ms / 1000)
                self._wake.clear()
                delay_ms = min(REDIAL_MAX_MS, delay_ms * 2)
            finally:
                with self._lock:
                    self._link = None
                self._expire_pending()

    def _dial(self, stack: contextlib.ExitStack) -> connection.Connection:
        timeout_s = peers.DIAL_TIMEOUT_MS / 1000
        sock = socket.create_connection(
            (self.address.host, self.address.port), timeout=timeout_s
        )
        stack.callback(sock.close)
        sock.settimeout(None)
        sockets.limit_sends(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = stack.enter_context(
            client.connect(
                f'ws://{self.address}/',
                sock=sock,
                compression=None,
                proxy=None,
                open_timeout=timeout_s,
                ping_interval=None,
                close_timeout=peers.CLOSE_TIMEOUT_MS / 1000,
                max_size=messages.MAX_FRAME_BYTES,
                logger=peers.WEBSOCKET_LOG,
                user_agent_header=None,
            )
        )
        handshakes.dial(link, self._secret, self._name, self._session)
        with self._lock:
            self._link = link
            frames = [call.frame for call in self._pending.values()]
        for frame in frames:
            self._send(link, frame)
        if self._on_connect is not None:
            self._on_connect()
        return link

    def _receive_until_lost(self, link: connection.Connection) -> None:
        last_frame_s = last_ping_s = last_call_s = time.monotonic()
        heartbeat_s = peers.HEARTBEAT_MS / 1000
        silence_s = peers.SILENCE_LIMIT_MS / 1000
        idle_s = peers.IDLE_CLOSE_MS / 1000
        while not self._closed:
            try:
                data = link.recv(timeout=POLL_S)
            except TimeoutError:
                data = None
            now_s = time.monotonic()
            if data is not None:
                last_frame_s = now_s
                self._take_frame(data)
            self._expire_pending()
            if self._pending:
                last_call_s = now_s
            waiting = bool(self._pending) or self._keep_open
            if not waiting:
                last_frame_s = max(last_frame_s, now_s - heartbeat_s)
                if now_s - last_call_s > idle_s:
                    return
                continue
            if now_s - last_frame_s > silence_s:
                raise errors.PeerUnavailableError(
                    f'{self.address}: silent link'
                )
            if now_s - max(last_frame_s, last_ping_s) >= heartbeat_s:
                last_ping_s = now_s
                ping = messages.Frame(messages.KIND_PING, 0)
                self._send(link, messages.encode_frame(ping))

    def _take_frame(self, data: bytes | str) -> None:
        if isinstance(data, str):
            raise errors.MessageError('a text frame')
        self.received_bytes += len(data)
        frame = messages.decode_frame(data)
        if frame.kind == messages.KIND_NOTICE:
            if self._on_notice is not None:
                self._on_notice(frame.message)
            return
        if frame.kind not in (messages.KIND_ANSWER, messages.KIND_ERROR):
            return
        with self._lock:
            pending = self._pending.pop(frame.call_number, None)
        if pending is None:
            return
        if frame.kind == messages.KIND_ERROR:
            failure = frame.message
            pending.future.set_exception(
                errors.RemoteError(failure.code, failure.detail)
            )
        else:
            pending.future.set_result(frame.message)

    def _expire_pending(self) -> None:
        now_s = time.monotonic()
        with self._lock:
            expired = [
                number
                for number, call in self._pending.items()
                if call.deadline_s <= now_s
            ]
            calls = [self._pending.pop(number) for number in expired]
        for call in calls:
            call.future.set_exception(
                errors.CallTimeoutError(f'{self.address}: no answer in time')
            )

    def _fail_pending(self, error: errors.WireError) -> None:
        with self._lock:
            calls = list(self._pending.values())
            self._pending.clear()
        for call in calls:
            call.future.set_exception(error)

    def _send(self, link: connection.Connection, frame: bytes) -> bool:
        try:
            link.send(frame)
        except (OSError, exceptions.WebSocketException):
            return False
        self.sent_bytes += len(frame)
        return True


def _drop(link: connection.Connection) -> None:
    """Shuts the socket so that a thread blocked on it wakes."""
    try:
        link.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
