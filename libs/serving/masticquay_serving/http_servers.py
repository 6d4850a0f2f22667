"""An HTTP/1.1 server with one thread per connection.

``waitress`` reports a caller that left only to those who ask again and
again, and buffers what is streamed; see docs/design/platform.md. The request
head is read by ``http.server``, its nearest kin.
"""

import contextlib
import http.server
import logging
import socket
import socketserver
import threading
import time
import typing

from masticquay_serving import bodies
from masticquay_serving import errors
from masticquay_serving import replies
from masticquay_serving import requests

LOG = logging.getLogger(__name__)

BACKLOG = 1_024
THREAD_STACK_BYTES = 256 * 1024
BODY_TIMEOUT_S = 10.0
# A caller may use a kept connection up to the idle timeout; the server must
# not be the first to close.
IDLE_SLACK_S = 2.0
REQUEST_LINE_LIMIT_BYTES = 16 * 1024
# How long an end of accepting may go unnoticed.
ACCEPT_TIMEOUT_S = 0.5
ACCEPT_RETRY_S = 0.05
Application = typing.Callable[[requests.Request, replies.Reply], None]


class _Handler(http.server.BaseHTTPRequestHandler):
    """Reads the requests of one connection, one after the other."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    server: 'Server'

    @property
    def is_closing(self) -> bool:
        """Whether the server takes no further request on connections."""
        return self.server.closing

    def log_message(self, *args: object) -> None:
        """Leaves logging to the application."""

    def handle(self) -> None:
        """Serves requests until the connection ends."""
        self.close_connection = False
        try:
            while not self.close_connection:
                self._serve_one()
        except (OSError, errors.CallerLeftError):
            return

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Answers what ``http.server`` cannot read."""
        self.close_connection = True
        raise errors.BadRequestError(int(code), message or 'unreadable')

    def _serve_one(self) -> None:
        limits = self.server.limits()
        idle_s = limits.idle_timeout_ms / 1000 + IDLE_SLACK_S
        self.connection.settimeout(idle_s)
        self.server.note_idle(self)
        try:
            first = self.rfile.peek(1)
        finally:
            self.server.note_busy(self)
        if not first:
            self.close_connection = True
            return
        started_s = time.monotonic()
        self.requestline = ''
        self.request_version = 'HTTP/1.1'
        self.command = ''
        reply = replies.Reply(self)
        try:
            request = self._read_request(limits, started_s)
            self.server.application(request, reply)
        except errors.BadRequestError as cause:
            self._refuse(reply, cause)
        except TimeoutError:
            error = errors.BadRequestError(408, 'the request came too slowly')
            self._refuse(reply, error)

    def _read_request(
        self, limits: requests.LimitsLike, started_s: float
    ) -> requests.Request:
        self.connection.settimeout(limits.header_timeout_ms / 1000)
        self.raw_requestline = self.rfile.readline(
            REQUEST_LINE_LIMIT_BYTES + 1
        )
        if len(self.raw_requestline) > REQUEST_LINE_LIMIT_BYTES:
            raise errors.BadRequestError(414, 'the request line is too long')
        if not self.parse_request():
            raise errors.BadRequestError(400, 'unreadable request line')
        headers = list(self.headers.items())
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size > limits.max_header_bytes:
            raise errors.BadRequestError(431, 'the headers are too large')
        body = self._read_body(limits)
        # ``path`` has repeated slashes at its start folded.
        target = self.requestline.split()[1]
        return requests.Request(self.command, target, headers, body, started_s)

    def _read_body(self, limits: requests.LimitsLike) -> bytes:
        self.connection.settimeout(BODY_TIMEOUT_S)
        reader = bodies.BodyReader(self.rfile, limits.max_body_bytes)
        return reader.read(
            self.headers.get_all('Transfer-Encoding') or [],
            self.headers.get_all('Content-Length') or [],
        )

    def _refuse(
        self, reply: replies.Reply, cause: errors.BadRequestError
    ) -> None:
        self.close_connection = True
        if reply.started:
            return
        LOG.warning(
            'request not readable',
            extra={'status': cause.status, 'reason': cause.detail},
        )
        reply.send(cause.status, [], cause.detail.encode())


class Server(socketserver.ThreadingTCPServer):
    """Accepts connections on one address and serves each in a thread.

    :param limits: returns the limits in force now
    """

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        limits: typing.Callable[[], requests.LimitsLike],
    ):
        self.application = application
        self.limits = limits
        self.closing = False
        self._lock = threading.Lock()
        self._idle: set[_Handler] = set()
        self._connections = 0
        self._accepting = threading.Event()
        self._accepting.set()
        self._accept_ended = threading.Event()
        self._started = False
        super().__init__(address, _Handler)

    def start(self) -> None:
        """Accepts in a thread of its own."""
        threading.stack_size(THREAD_STACK_BYTES)
        self.socket.settimeout(ACCEPT_TIMEOUT_S)
        self._started = True
        threading.Thread(
            target=self._accept,
            name=f'http-{self.server_address[1]}',
            daemon=True,
        ).start()

    def server_close(self) -> None:
        """Ends accepting at once."""
        self.stop_accepting()

    def shutdown_request(self, request: typing.Any) -> None:
        """Closes a connection; one that was aborted without an end mark."""
        aborted = False
        with contextlib.suppress(OSError):
            linger = request.getsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, len(replies.ABORT_LINGER)
            )
            aborted = linger == replies.ABORT_LINGER
        if aborted:
            self.close_request(request)
        else:
            super().shutdown_request(request)

    def stop_accepting(self) -> None:
        """Takes no more connections; those accepted are served on."""
        self._accepting.clear()
        with contextlib.suppress(OSError):
            # Wakes the thread that accepts.
            self.socket.shutdown(socket.SHUT_RDWR)
        if self._started:
            self._accept_ended.wait(2 * ACCEPT_TIMEOUT_S)
        self.socket.close()

    @property
    def connection_count(self) -> int:
        """How many connections are open."""
        return self._connections

    def finish_request(self, request: typing.Any, address: typing.Any) -> None:
        """Counts a connection while it is served."""
        with self._lock:
            self._connections += 1
        try:
            super().finish_request(request, address)
        finally:
            with self._lock:
                self._connections -= 1

    def drain(self) -> None:
        """Lets each connection end after its next answer."""
        self.closing = True

    def close_idle(self) -> None:
        """Closes the connections on which no request is under way."""
        with self._lock:
            idle = list(self._idle)
        for handler in idle:
            with contextlib.suppress(OSError):
                handler.connection.shutdown(socket.SHUT_RD)

    def note_idle(self, handler: _Handler) -> None:
        """Notes that a connection waits for its next request."""
        with self._lock:
            self._idle.add(handler)

    def note_busy(self, handler: _Handler) -> None:
        """Notes that a request has begun, or that the connection ended."""
        with self._lock:
            self._idle.discard(handler)

    def _accept(self) -> None:
        while self._accepting.is_set():
            try:
                connection, address = self.socket.accept()
            except TimeoutError:
                continue
            except OSError as cause:
                # Descriptors may run out; a connection may end early.
                if not self._accepting.is_set():
                    break
                LOG.warning('not accepted', extra={'cause': str(cause)})
                time.sleep(ACCEPT_RETRY_S)
                continue
            self._start_handler(connection, address)
        self._accept_ended.set()

    def _start_handler(
        self, connection: socket.socket, address: typing.Any
    ) -> None:
        try:
            self.process_request(connection, address)
        except RuntimeError as cause:
            LOG.error('no thread for a caller', extra={'cause': str(cause)})
            self.shutdown_request(connection)

    def handle_error(self, request: object, client_address: object) -> None:
        """Logs an error that no handler expected."""
        LOG.exception('connection failed')
