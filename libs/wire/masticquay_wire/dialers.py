"""The dialer's end of links: reconnects, resends calls, sends heartbeats."""

from concurrent import futures
import contextlib
import logging
import os
import threading
import time
import typing

from websockets import exceptions
from websockets.sync import connection

from masticquay_wire import calls
from masticquay_wire import errors
from masticquay_wire import handshakes
from masticquay_wire import heartbeats
from masticquay_wire import messages
from masticquay_wire import outboxes
from masticquay_wire import peers
from masticquay_wire import sockets
from masticquay_wire import websocket_openers

LOG = logging.getLogger(__name__)

# The delay after a lost link doubles from the minimum to the maximum.
RECONNECT_MIN_DELAY_MS = 50
RECONNECT_MAX_DELAY_MS = 200
# The delay after a handshake that failed because of the secret or the protocol
# version.
REFUSED_RECONNECT_DELAY_MS = 2_000
# The longest wait for a frame before the heartbeat and the deadlines of calls
# are checked, with and without pending calls.
POLL_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 0.5
SESSION_ID_BYTES = 8

_LINK_ERRORS = (OSError, errors.WireError, exceptions.WebSocketException)


class PeerCounters:
    """Event counts of one peer since its creation.

    ``lost_links`` includes failed attempts to connect. ``silent_links`` counts
    links dropped after the silence timeout, ``refused_links`` failed
    handshakes, and ``expired_calls`` submitted calls that got no answer within
    their timeout.
    """

    __slots__ = (
        'established_links',
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
    """A link to one remote process, which is dialed on first use.

    One thread per peer dials and receives, and sends heartbeats while calls
    are pending. If no frame arrives for ``SILENCE_TIMEOUT_MS`` meanwhile, the
    link is dropped and the calls are sent again over a new one. If the remote
    process was restarted, calls that it may have run before the restart fail
    instead. A link that is kept open without calls has less frequent
    heartbeats.

    :param name: the name of this process, which the listener gets to know
    :param secret: the fleet secret
    :param on_notice: called in the peer's thread with each notice
    :param keep_open: whether to stay connected without calls, to receive
        notices
    :param on_connect: called in the peer's thread after each new link; it
        may call ``notify`` or ``submit`` but must not block
    :param compression: None, or ``deflate``
    :param resend: whether pending calls wait for the next link and are sent
        again; otherwise they fail at once when a link is lost or cannot be
        made
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
        resend: bool = True,
    ):
        self.address = address
        self._name = name
        self._secret = secret
        self._on_notice = on_notice
        self._on_connect = on_connect
        self._keep_open = keep_open
        self._compression = compression
        self._resend = resend
        self._session_id = os.urandom(SESSION_ID_BYTES)
        self._listener_instance: bytes | None = None
        self._pending_calls = calls.PendingCalls()
        self._lock = threading.Lock()
        self._wake_event = threading.Event()
        self._closed = False
        self._refusal_logged = False
        self._outbox: outboxes.Outbox | None = None
        self._link: connection.Connection | None = None
        self._thread: threading.Thread | None = None
        self._counters = PeerCounters()
        if keep_open:
            self._start_thread()

    def submit(
        self, message: messages.Message, timeout_ms: int
    ) -> futures.Future:
        """Sends a call; see ``peers.Peer``."""
        try:
            return self._submit(message, timeout_ms).future
        except errors.WireError as cause:
            future: futures.Future = futures.Future()
            future.set_exception(cause)
            return future

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call and waits for the answer; see ``peers.Peer``.

        :raises CallTimeoutError: when no answer arrives within the timeout
        """
        call = self._submit(message, timeout_ms)
        try:
            return call.future.result(timeout_ms / 1000)
        except futures.TimeoutError as cause:
            self._pending_calls.pop(call.number)
            raise self._make_timeout_error() from cause

    def notify(self, message: messages.Message) -> None:
        """Sends a notice, a message that has no answer.

        :raises PeerUnavailableError: when the link is down; the notice does
            not wait for a new one
        :raises MessageError: when the message is too large
        """
        outbox = self._outbox
        if outbox is None:
            self._start_thread()
            self._wake_event.set()
            raise errors.PeerUnavailableError(
                f'{self.address}: the link is down'
            )
        if not outbox.send(messages.EncodedNotice(message).frame):
            raise errors.PeerUnavailableError(
                f'{self.address}: the link is lost'
            )

    def close(self) -> None:
        """Closes the link; pending calls fail."""
        with self._lock:
            self._closed = True
            link = self._link
            thread = self._thread
        self._wake_event.set()
        if link is not None:
            sockets.shut_down(link.socket)
        if thread is not None and thread is not threading.current_thread():
            thread.join(timeout=2)
        self._fail_all(errors.PeerUnavailableError('the peer is closed'))

    @property
    def connected(self) -> bool:
        """Whether the link is up."""
        return self._outbox is not None

    def counters(self) -> PeerCounters:
        """Returns a copy of the counters."""
        outbox = self._outbox
        totals = PeerCounters()
        for name in PeerCounters.__slots__:
            setattr(totals, name, getattr(self._counters, name))
        if outbox is not None:
            totals.sent_frames += outbox.sent_frames
            totals.sent_bytes += outbox.sent_bytes
        return totals

    def _submit(
        self, message: messages.Message, timeout_ms: int
    ) -> calls.PendingCall:
        if self._closed:
            raise errors.PeerUnavailableError('the peer is closed')
        call = self._pending_calls.add(message, timeout_ms)
        if self._closed:
            self._fail_all(errors.PeerUnavailableError('the peer is closed'))
            return call
        with self._lock:
            outbox = self._outbox
            # A link that is lost again may have carried the call already.
            call.sent = call.sent or outbox is not None
        self._start_thread()
        if outbox is not None:
            outbox.send(call.frame)
        else:
            self._wake_event.set()
        return call

    def _start_thread(self) -> None:
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
        delay_ms = RECONNECT_MIN_DELAY_MS
        while not self._closed:
            if not self._keep_open and not self._pending_calls:
                self._wake_event.wait()
                self._wake_event.clear()
                continue
            try:
                with contextlib.ExitStack() as stack:
                    link = self._dial(stack)
                    delay_ms = RECONNECT_MIN_DELAY_MS
                    self._receive_frames(link)
            except (errors.AuthenticationError, errors.VersionError) as cause:
                self._handle_refusal(cause)
                self._wait_to_reconnect(REFUSED_RECONNECT_DELAY_MS)
            except _LINK_ERRORS as cause:
                self._counters.lost_links += 1
                self._fail_without_resend(cause)
                self._wait_to_reconnect(delay_ms)
                delay_ms = min(RECONNECT_MAX_DELAY_MS, delay_ms * 2)
            finally:
                self._detach_link()
                self._expire_calls()

    def _fail_without_resend(self, cause: Exception) -> None:
        if self._resend:
            return
        # Before the calls fail, so that no call is sent over the lost link.
        self._detach_link()
        self._fail_all(
            errors.PeerUnavailableError(
                f'{self.address}: no link: {type(cause).__name__}'
            )
        )

    def _wait_to_reconnect(self, duration_ms: int) -> None:
        self._detach_link()
        self._wake_event.wait(duration_ms / 1000)
        self._wake_event.clear()

    def _detach_link(self) -> None:
        with self._lock:
            outbox, self._outbox, self._link = self._outbox, None, None
        if outbox is not None:
            self._counters.sent_frames += outbox.sent_frames
            self._counters.sent_bytes += outbox.sent_bytes

    def _handle_refusal(self, cause: errors.WireError) -> None:
        self._counters.refused_links += 1
        if not self._refusal_logged:
            LOG.warning('handshake with %s failed: %s', self.address, cause)
        self._refusal_logged = True
        self._fail_all(cause)

    def _dial(self, stack: contextlib.ExitStack) -> connection.Connection:
        link = websocket_openers.open_websocket(
            stack, self.address, self._compression
        )
        welcome = handshakes.dial(
            link,
            self._secret,
            self._name,
            self._session_id,
            lift_size_limit=lambda: sockets.allow_large_messages(link),
        )
        self._counters.established_links += 1
        self._refusal_logged = False
        self._fail_calls_of_previous_instance(welcome.instance)
        self._attach_link(link)
        if self._on_connect is not None:
            self._on_connect()
        return link

    def _fail_calls_of_previous_instance(self, instance: bytes) -> None:
        """Fails calls that the listener may have run before its restart."""
        if self._listener_instance not in (None, instance):
            error = errors.PeerUnavailableError(
                f'{self.address}: the peer restarted; the call may have run'
            )
            for call in self._pending_calls.pop_all(sent_only=True):
                call.future.set_exception(error)
        self._listener_instance = instance

    def _attach_link(self, link: connection.Connection) -> None:
        """Makes a link the current one and sends the pending calls over it."""
        outbox = outboxes.Outbox(link)
        with self._lock:
            pending = self._pending_calls.snapshot()
            self._counters.resent_calls += sum(c.sent for c in pending)
            for call in pending:
                call.sent = True
            self._outbox = outbox
            self._link = link
        for call in pending:
            outbox.send(call.frame)

    def _receive_frames(self, link: connection.Connection) -> None:
        heartbeat = heartbeats.Heartbeat(time.monotonic(), self._keep_open)
        next_expiry_s = 0.0
        while not self._closed:
            try:
                data = link.recv(
                    timeout=POLL_INTERVAL_S
                    if self._pending_calls
                    else IDLE_POLL_INTERVAL_S
                )
            except TimeoutError:
                data = None
            now_s = time.monotonic()
            if data is not None:
                heartbeat.record_frame(now_s)
                self._handle_frame(data)
            if now_s >= next_expiry_s:
                next_expiry_s = now_s + POLL_INTERVAL_S
                self._expire_calls()
            action = heartbeat.check(now_s, bool(self._pending_calls))
            if action is heartbeats.Action.CLOSE:
                return
            if action is heartbeats.Action.DROP:
                self._counters.silent_links += 1
                raise errors.PeerUnavailableError(
                    f'{self.address}: no frame within the silence timeout'
                )
            if action is heartbeats.Action.PING:
                self._outbox.send(_PING_FRAME)

    def _handle_frame(self, data: bytes | str) -> None:
        if isinstance(data, str):
            raise errors.MessageError('frame is text, not binary')
        self._counters.received_frames += 1
        self._counters.received_bytes += len(data)
        raw_frame = messages.decode_raw_frame(data)
        if raw_frame.kind == messages.KIND_NOTICE:
            self._handle_notice(raw_frame)
        elif raw_frame.kind in (messages.KIND_ANSWER, messages.KIND_ERROR):
            self._handle_answer(raw_frame)

    def _handle_notice(self, raw_frame: messages.RawFrame) -> None:
        if self._on_notice is None:
            return
        try:
            message = raw_frame.decode().message
        except errors.MessageError:
            self._counters.unreadable_frames += 1
            return
        self._on_notice(message)

    def _handle_answer(self, raw_frame: messages.RawFrame) -> None:
        call = self._pending_calls.pop(raw_frame.call_number)
        if call is None:
            return
        try:
            answer = raw_frame.decode().message
        except errors.MessageError as cause:
            self._counters.unreadable_frames += 1
            call.future.set_exception(cause)
            return
        if raw_frame.kind == messages.KIND_ERROR:
            call.future.set_exception(
                errors.RemoteError(answer.code, answer.detail)
            )
        else:
            call.future.set_result(answer)

    def _expire_calls(self) -> None:
        for call in self._pending_calls.pop_expired():
            self._counters.expired_calls += 1
            call.future.set_exception(self._make_timeout_error())

    def _fail_all(self, error: errors.WireError) -> None:
        for call in self._pending_calls.pop_all():
            call.future.set_exception(error)

    def _make_timeout_error(self) -> errors.CallTimeoutError:
        return errors.CallTimeoutError(
            f'{self.address}: no answer within the timeout'
        )


_PING_FRAME = messages.encode_frame(messages.Frame(messages.KIND_PING, 0))
