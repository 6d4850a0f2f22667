"""An HTTP/1.1 server with one thread per connection.

``waitress`` reports a caller that left only to those who ask again and
again, and buffers what is streamed; see docs/design/platform.md. The request
head is read by ``http.server``, its nearest kin.
"""

import contextlib
import http
import http.server
import logging
import socket
import socketserver
import struct
import threading
import time
import typing

from masticquay_serving import errors

LOG = logging.getLogger(__name__)

BACKLOG = 1_024
THREAD_STACK_BYTES = 256 * 1024
LARGEST_CHUNK_LINE_BYTES = 1_024
SEND_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 10.0
# A caller may use a kept connection up to the idle timeout; the server must
# not be the first to close.
IDLE_SLACK_S = 2.0
REQUEST_LINE_LIMIT_BYTES = 16 * 1024
# How long an end of accepting may go unnoticed.
ACCEPT_TIMEOUT_S = 0.5
ACCEPT_RETRY_S = 0.05
# Lets close reset the connection.
ABORT_LINGER = struct.pack('ii', 1, 0)

Headers = list[tuple[str, str]]


class LimitsLike(typing.Protocol):
    """The fields of ``Limits``, whoever defines them."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Limits:
    """What a caller may send, and how long it may take.

    :param idle_timeout_ms: how long a kept connection may stay unused
    """

    __slots__ = (
        'max_header_bytes',
        'max_body_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
    )

    def __init__(
        self,
        max_header_bytes: int = 16 * 1024,
        max_body_bytes: int = 4 * 1024 * 1024,
        header_timeout_ms: int = 5_000,
        idle_timeout_ms: int = 30_000,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class Request:
    """One request of a caller.

    :param started_s: monotonic time at which its first byte was there
    """

    __slots__ = ('method', 'target', 'headers', 'body', 'started_s')

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        started_s: float,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.started_s = started_s

    def header(self, name: str) -> str | None:
        """Returns a header's first value; the name is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Reply:
    """The answer to one request, written once."""

    def __init__(self, handler: '_Handler'):
        self._handler = handler
        self.started = False
        self.chunked = False

    @property
    def sock(self) -> socket.socket:
        """The caller's connection."""
        return self._handler.connection

    def send(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Sends a whole answer.

        :raises CallerLeftError: when the caller does not take it
        """
        handler = self._handler
        head = self._head(status, headers)
        if status not in (204, 304):
            head += f'Content-Length: {len(body)}\r\n'.encode()
        if handler.command == 'HEAD':
            body = b''
        self._write(head + b'\r\n' + body)

    def begin(self, status: int, headers: Headers) -> None:
        """Sends the head of an answer that is streamed."""
        head = self._head(status, headers)
        if self._handler.request_version == 'HTTP/1.1':
            self.chunked = True
            head += b'Transfer-Encoding: chunked\r\n'
        else:
            self._handler.close_connection = True
        self._write(head + b'\r\n')

    def write(self, data: bytes) -> None:
        """Sends a piece of a streamed answer."""
        if not data:
            return
        if self.chunked:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """Ends a streamed answer as complete."""
        if self.chunked:
            self._write(b'0\r\n\r\n')

    def abort(self) -> None:
        """Resets the connection, so that nothing sent looks complete."""
        self.started = True
        self._handler.close_connection = True
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, ABORT_LINGER
            )

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._handler.server.closing:
            self._handler.close_connection = True
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = 'Status'
        lines = [f'HTTP/1.1 {status} {reason}\r\n']
        lines.extend(f'{name}: {value}\r\n' for name, value in headers)
        if self._handler.close_connection:
            lines.append('Connection: close\r\n')
        return ''.join(lines).encode('latin-1')

    def _write(self, data: bytes) -> None:
        self.started = True
        try:
            self.sock.settimeout(SEND_TIMEOUT_S)
            self.sock.sendall(data)
        except OSError as cause:
            self._handler.close_connection = True
            raise errors.CallerLeftError(type(cause).__name__) from cause


Application = typing.Callable[[Request, Reply], None]


class _Handler(http.server.BaseHTTPRequestHandler):
    """Reads the requests of one connection, one after the other."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    server: 'Server'

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
        reply = Reply(self)
        try:
            request = self._read_request(limits, started_s)
            self.server.application(request, reply)
        except errors.BadRequestError as cause:
            self._refuse(reply, cause)
        except TimeoutError:
            error = errors.BadRequestError(408, 'the request came too slowly')
            self._refuse(reply, error)

    def _read_request(self, limits: LimitsLike, started_s: float) -> Request:
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
        return Request(self.command, target, headers, body, started_s)

    def _read_body(self, limits: LimitsLike) -> bytes:
        encodings = self.headers.get_all('Transfer-Encoding') or []
        lengths = set(self.headers.get_all('Content-Length') or [])
        self.connection.settimeout(BODY_TIMEOUT_S)
        if encodings:
            if lengths or [e.strip().lower() for e in encodings] != [
                'chunked'
            ]:
                raise errors.BadRequestError(400, 'ambiguous body length')
            return self._read_chunks(limits.max_body_bytes)
        if not lengths:
            return b''
        length = lengths.pop()
        if lengths or not (length.isascii() and length.isdigit()):
            raise errors.BadRequestError(400, 'unreadable Content-Length')
        if int(length) > limits.max_body_bytes:
            raise errors.BadRequestError(413, 'the body is too large')
        return self._read_exactly(int(length))

    def _read_chunks(self, limit_bytes: int) -> bytes:
        parts = []
        total = 0
        while True:
            line = self.rfile.readline(LARGEST_CHUNK_LINE_BYTES)
            size_text = line.split(b';', 1)[0].strip()
            try:
                size = int(size_text, 16)
            except ValueError:
                raise errors.BadRequestError(400, 'unreadable chunk') from None
            if size < 0 or not line.endswith(b'\n'):
                raise errors.BadRequestError(400, 'unreadable chunk')
            if size == 0:
                break
            total += size
            if total > limit_bytes:
                raise errors.BadRequestError(413, 'the body is too large')
            parts.append(self._read_exactly(size))
            if self.rfile.readline(3) not in (b'\r\n', b'\n'):
                raise errors.BadRequestError(400, 'unreadable chunk')
        while self.rfile.readline(LARGEST_CHUNK_LINE_BYTES) not in (
            b'\r\n',
            b'\n',
            b'',
        ):
            pass
        return b''.join(parts)

    def _read_exactly(self, size: int) -> bytes:
        data = self.rfile.read(size)
        if len(data) < size:
            raise errors.CallerLeftError('the body ended early')
        return data

    def _refuse(self, reply: Reply, cause: errors.BadRequestError) -> None:
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
        limits: typing.Callable[[], LimitsLike],
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
                socket.SOL_SOCKET, socket.SO_LINGER, len(ABORT_LINGER)
            )
            aborted = linger == ABORT_LINGER
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
