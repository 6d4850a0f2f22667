"""The dialling side of links: calls, redial, resend and heartbeat."""

from concurrent import futures
import contextlib
import logging
import os
import socket
import threading
import time
import typing

from websockets import exceptions
from websockets.sync import client
from websockets.sync import connection

from masticquay_wire import calls
from masticquay_wire import errors
from masticquay_wire import handshakes
from masticquay_wire import heartbeats
from masticquay_wire import messages
from masticquay_wire import outboxes
from masticquay_wire import peers
from masticquay_wire import sockets

LOG = logging.getLogger(__name__)

REDIAL_MIN_MS = 50
REDIAL_MAX_MS = 200
REFUSED_REDIAL_MS = 2_000
POLL_S = 0.1
IDLE_POLL_S = 0.5
SESSION_BYTES = 8

_LINK_ERRORS = (OSError, errors.WireError, exceptions.WebSocketException)


class PeerCounters:
    """Counts of one peer since it was made."""

    __slots__ = (
        'links',
        'lost_links',
        'silent_links',
        'refused_links',
        'resent_calls',
        'expired_calls',
        'unreadable_frames',
        'received_frames',
        'received_bytes',
        'sent_frames',
        'sent_bytes',
    )

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)


class WebsocketPeer:
    """A link to one remote process; dials when first used.

    One thread per peer dials, receives, and sends heartbeats while a call is
    outstanding. A link without a frame for ``SILENCE_LIMIT_MS`` during that
    time is dropped, and the calls are sent again over a new one. Calls that
    an earlier process at the address may have run fail instead. Without
    calls a link that is kept open has slower heartbeats.

    :param keep_open: stay connected without calls, to receive notices
    :param on_connect: called in the peer's thread after each new link; the
        callee may call ``notify`` or ``submit`` but must not wait
    :param compression: None, or ``deflate``
    """

    def __init__(
        self,
        address: peers.Address,
        name: str,
        secret: bytes,
        on_notice: peers.NoticeHandler | None = None,
        on_connect: typing.Callable[[], None] | None = None,
        keep_open: bool = False,
        compression: str | None = None,
    ):
        self.address = address
        self._name = name
        self._secret = secret
        self._on_notice = on_notice
        self._on_connect = on_connect
        self._keep_open = keep_open
        self._compression = compression
        self._session = os.urandom(SESSION_BYTES)
        self._instance: bytes | None = None
        self._pending = calls.PendingCalls()
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._closed = False
        self._refused = False
        self._outbox: outboxes.Outbox | None = None
        self._link: connection.Connection | None = None
        self._thread: threading.Thread | None = None
        self._counters = PeerCounters()
        if keep_open:
            self._start()

    def submit(
        self, message: messages.Message, timeout_ms: int
    ) -> futures.Future:
        """Sends a call; see ``peers.Peer``."""
        try:
            return self._submit(message, timeout_ms).future
        except errors.WireError as cause:
            failed: futures.Future = futures.Future()
            failed.set_exception(cause)
            return failed

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call and waits; see ``peers.Peer``."""
        call = self._submit(message, timeout_ms)
        try:
            return call.future.result(timeout_ms / 1000)
        except futures.TimeoutError as cause:
            self._pending.pop(call.number)
            raise self._make_timeout_error() from cause

    def notify(self, message: messages.Message) -> None:
        """Sends a message that wants no answer.

        :raises PeerUnavailableError: when there is no link
        """
        outbox = self._outbox
        if outbox is None:
            self._start()
            self._wake.set()
            raise errors.PeerUnavailableError(f'{self.address}: no link')
        frame = messages.encode_frame(
            messages.Frame(messages.KIND_NOTICE, 0, message)
        )
        if len(frame) > messages.MAX_FRAME_BYTES:
            raise errors.MessageError('the notice is too large')
        if not outbox.send(frame):
            raise errors.PeerUnavailableError(f'{self.address}: link lost')

    def close(self) -> None:
        """Closes the link; outstanding calls fail."""
        with self._lock:
            self._closed = True
            link = self._link
            thread = self._thread
        self._wake.set()
        if link is not None:
            sockets.drop(link.socket)
        if thread is not None and thread is not threading.current_thread():
            thread.join(timeout=2)
        self._fail_all(errors.PeerUnavailableError('the peer is closed'))

    @property
    def connected(self) -> bool:
        """Whether a link stands now."""
        return self._outbox is not None

    def counters(self) -> PeerCounters:
        """Returns the counts up to now."""
        outbox = self._outbox
        counted = PeerCounters()
        for name in PeerCounters.__slots__:
            setattr(counted, name, getattr(self._counters, name))
        if outbox is not None:
            counted.sent_frames += outbox.sent_frames
            counted.sent_bytes += outbox.sent_bytes
        return counted

    def _submit(
        self, message: messages.Message, timeout_ms: int
    ) -> calls.PendingCall:
        if self._closed:
            raise errors.PeerUnavailableError('the peer is closed')
        call = self._pending.add(message, timeout_ms)
        if self._closed:
            self._fail_all(errors.PeerUnavailableError('the peer is closed'))
            return call
        with self._lock:
            outbox = self._outbox
            call.sent = outbox is not None
        self._start()
        if outbox is not None:
            outbox.send(call.frame)
        else:
            self._wake.set()
        return call

    def _start(self) -> None:
        if self._thread is not None:
            return
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
            except (errors.AuthenticationError, errors.VersionError) as cause:
                self._note_refusal(cause)
                self._pause(REFUSED_REDIAL_MS)
            except _LINK_ERRORS:
                self._counters.lost_links += 1
                self._pause(delay_ms)
                delay_ms = min(REDIAL_MAX_MS, delay_ms * 2)
            finally:
                self._lose_link()
                self._expire_calls()

    def _pause(self, duration_ms: int) -> None:
        self._lose_link()
        self._wake.wait(duration_ms / 1000)
        self._wake.clear()

    def _lose_link(self) -> None:
        with self._lock:
            outbox, self._outbox, self._link = self._outbox, None, None
        if outbox is not None:
            self._counters.sent_frames += outbox.sent_frames
            self._counters.sent_bytes += outbox.sent_bytes

    def _note_refusal(self, cause: errors.WireError) -> None:
        self._counters.refused_links += 1
        if not self._refused:
            LOG.warning('%s refuses links: %s', self.address, cause)
        self._refused = True
        self._fail_all(cause)

    def _dial(self, stack: contextlib.ExitStack) -> connection.Connection:
        timeout_s = peers.DIAL_TIMEOUT_MS / 1000
        sock = socket.create_connection(
            (self.address.host, self.address.port),
            timeout=peers.CONNECT_TIMEOUT_MS / 1000,
        )
        stack.callback(sock.close)
        sock.settimeout(None)
        sockets.tune(sock)
        link = stack.enter_context(
            client.connect(
                f'ws://{self.address}/',
                sock=sock,
                compression=self._compression,
                proxy=None,
                open_timeout=timeout_s,
                ping_interval=None,
                close_timeout=peers.CLOSE_TIMEOUT_MS / 1000,
                max_size=messages.MAX_FRAME_BYTES,
                logger=peers.WEBSOCKET_LOG,
                user_agent_header=None,
            )
        )
        welcome = handshakes.dial(
            link, self._secret, self._name, self._session
        )
        self._counters.links += 1
        self._refused = False
        self._fail_calls_of_earlier(welcome.instance)
        self._use(link)
        if self._on_connect is not None:
            self._on_connect()
        return link

    def _fail_calls_of_earlier(self, instance: bytes) -> None:
        """Fails calls that a process before this one may have run."""
        if self._instance not in (None, instance):
            error = errors.PeerUnavailableError(
                f'{self.address}: restarted, the call may have run'
            )
            for call in self._pending.pop_all(sent_only=True):
                call.future.set_exception(error)
        self._instance = instance

    def _use(self, link: connection.Connection) -> None:
        """Makes a link the current one and sends what is pending over it."""
        outbox = outboxes.Outbox(link)
        with self._lock:
            pending = self._pending.pending()
            self._counters.resent_calls += sum(c.sent for c in pending)
            for call in pending:
                call.sent = True
            self._outbox = outbox
            self._link = link
        for call in pending:
            outbox.send(call.frame)

    def _receive_until_lost(self, link: connection.Connection) -> None:
        heartbeat = heartbeats.Heartbeat(time.monotonic(), self._keep_open)
        expiry_s = 0.0
        while not self._closed:
            try:
                data = link.recv(
                    timeout=POLL_S if self._pending else IDLE_POLL_S
                )
            except TimeoutError:
                data = None
            now_s = time.monotonic()
            if data is not None:
                heartbeat.note_frame(now_s)
                self._take_frame(data)
            if now_s >= expiry_s:
                expiry_s = now_s + POLL_S
                self._expire_calls()
            action = heartbeat.check(now_s, bool(self._pending))
            if action is heartbeats.Action.CLOSE:
                return
            if action is heartbeats.Action.DROP:
                self._counters.silent_links += 1
                raise errors.PeerUnavailableError(
                    f'{self.address}: silent link'
                )
            if action is heartbeats.Action.PING:
                self._outbox.send(_PING_FRAME)

    def _take_frame(self, data: bytes | str) -> None:
        if isinstance(data, str):
            raise errors.MessageError('a text frame')
        self._counters.received_frames += 1
        self._counters.received_bytes += len(data)
        raw = messages.open_frame(data)
        if raw.kind == messages.KIND_NOTICE:
            self._take_notice(raw)
        elif raw.kind in (messages.KIND_ANSWER, messages.KIND_ERROR):
            self._take_answer(raw)

    def _take_notice(self, raw: messages.RawFrame) -> None:
        if self._on_notice is None:
            return
        try:
            message = raw.read().message
        except errors.MessageError:
            self._counters.unreadable_frames += 1
            return
        self._on_notice(message)

    def _take_answer(self, raw: messages.RawFrame) -> None:
        call = self._pending.pop(raw.call_number)
        if call is None:
            return
        try:
            answer = raw.read().message
        except errors.MessageError as cause:
            self._counters.unreadable_frames += 1
            call.future.set_exception(cause)
            return
        if raw.kind == messages.KIND_ERROR:
            call.future.set_exception(
                errors.RemoteError(answer.code, answer.detail)
            )
        else:
            call.future.set_result(answer)

    def _expire_calls(self) -> None:
        for call in self._pending.pop_expired():
            self._counters.expired_calls += 1
            call.future.set_exception(self._make_timeout_error())

    def _fail_all(self, error: errors.WireError) -> None:
        for call in self._pending.pop_all():
            call.future.set_exception(error)

    def _make_timeout_error(self) -> errors.CallTimeoutError:
        return errors.CallTimeoutError(f'{self.address}: no answer in time')


_PING_FRAME = messages.encode_frame(messages.Frame(messages.KIND_PING, 0))
