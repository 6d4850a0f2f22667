"""HTTP server of the stand-ins, with one thread per connection."""

from http import server
import json
import select
import socket
import threading
import time
import typing
from urllib import parse

from masticquay_standins import faults
from masticquay_standins import journals

IDLE_TIMEOUT_S = 60
SHUTDOWN_POLL_S = 0.1
# Maximum time for which the ``silent`` fault keeps a connection open.
MAX_SILENCE_S = 120
# Sent by the ``garble`` fault.
MALFORMED_RESPONSE = b'HTTP/1.1 2x0 \x00\xff\xfe\r\n:::\r\n\r\n\x00{{'
# Clients poll these paths often: a poll is recorded only when its path and
# headers are new, and counted faults do not affect it.
POLLED_PATHS = ('/v1/load', '/v1/cache-events', '/load', '/v1/hosts')


class Request:
    """One HTTP request."""

    __slots__ = ('method', 'path', 'query', 'headers', 'body')

    def __init__(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: list[tuple[str, str]],
        body: bytes,
    ):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str:
        """Returns the value of a header, or an empty string."""
        lowercase_name = name.lower()
        return next(
            (v for n, v in self.headers if n.lower() == lowercase_name), ''
        )

    def json_fields(self) -> dict:
        """Returns the fields of a JSON object body, else an empty dict."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


class Response:
    """A response with its complete body."""

    __slots__ = ('status', 'body', 'headers')

    def __init__(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ):
        self.status = status
        self.body = body
        self.headers = headers or {'Content-Type': 'application/json'}

    def to_bytes(self) -> bytes:
        """Returns the serialized status line, headers and body."""
        lines = [f'HTTP/1.1 {self.status} x']
        lines += [f'{name}: {value}' for name, value in self.headers.items()]
        lines += [f'Content-Length: {len(self.body)}', '', '']
        return '\r\n'.join(lines).encode('latin-1') + self.body


def json_response(status: int, value: typing.Any) -> Response:
    """Returns a response with a JSON body."""
    return Response(status, json.dumps(value).encode())


def error_response(status: int, code: str, message: str = '') -> Response:
    """Returns a JSON error response with a code and a message."""
    return json_response(status, {'error': {'code': code, 'message': message}})


class ResponseWriter(typing.Protocol):
    """A response that writes itself to the connection."""

    def write(self, sock: socket.socket) -> bool:
        """Writes the response and blocks until it is complete.

        :returns: False when the connection must close
        """


class Application(typing.Protocol):
    """The request handling of one kind of stand-in."""

    journal: journals.Journal
    faults: faults.Faults

    def serve(self, request: Request) -> Response | ResponseWriter:
        """Returns the response to a request."""


class _WholeLines:
    """Reads lines; ``http.client`` believes those that are cut off."""

    __slots__ = ('_stream',)

    def __init__(self, stream: typing.BinaryIO):
        self._stream = stream

    def readline(self, size: int = -1) -> bytes:
        """Returns the next line.

        :raises ConnectionError: if the connection ended within it
        """
        line = self._stream.readline(size)
        if not line.endswith(b'\n') and len(line) != size:
            raise ConnectionError('connection ended within a head')
        return line


class _Handler(server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    timeout = IDLE_TIMEOUT_S
    disable_nagle_algorithm = True
    application: Application

    def __getattr__(self, name: str) -> typing.Any:
        # The base class calls do_GET, do_POST and so on; one method serves
        # them all.
        if name.startswith('do_'):
            return self._serve
        raise AttributeError(name)

    def log_message(self, format: str, *args: typing.Any) -> None:
        pass

    def parse_request(self) -> bool:
        """Reads the head of a request.

        :raises ConnectionError: if the connection ended within it
        """
        stream = self.rfile
        self.rfile = _WholeLines(stream)
        try:
            return super().parse_request()
        finally:
            self.rfile = stream

    def _serve(self) -> None:
        length = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(length) if length else b''
        if len(body) < length:
            raise ConnectionError('connection ended within a body')
        path, _, query = self.path.partition('?')
        request = Request(
            self.command,
            path,
            dict(parse.parse_qsl(query)),
            list(self.headers.items()),
            body,
        )
        if path.startswith('/standin/'):
            self.connection.sendall(self._serve_control(request).to_bytes())
            return
        self.server.record_request(request, self.path)
        try:
            self._respond(request)
        except OSError:
            self.close_connection = True

    def _serve_control(self, request: Request) -> Response:
        """Serves a path that controls the stand-in.

        These requests are not recorded, and faults do not affect them.
        """
        application = self.application
        if request.path == '/standin/record':
            events = application.journal.events()
            return json_response(
                200, {'events': events, 'now_ms': journals.now_ms()}
            )
        if request.path == '/standin/faults':
            try:
                application.faults.set(request.json_fields())
            except ValueError as cause:
                return error_response(400, 'bad-fault', str(cause))
            return json_response(200, {})
        return application.serve(request)

    def _respond(self, request: Request) -> None:
        """Sends the response, as far as the active faults allow."""
        active_faults = self.application.faults
        active_faults.wait_while_stalled()
        if active_faults.response_delay_ms:
            time.sleep(active_faults.response_delay_ms / 1000)
        if request.path in POLLED_PATHS:
            response = self.application.serve(request)
            self.connection.sendall(response.to_bytes())
            return
        if active_faults.consume('refuse'):
            self.connection.sendall(error_response(503, 'refused').to_bytes())
            return
        if active_faults.consume('garble'):
            self.connection.sendall(MALFORMED_RESPONSE)
            self.close_connection = True
            return
        response = self.application.serve(request)
        if not isinstance(response, Response):
            if not response.write(self.connection):
                self.close_connection = True
            return
        if active_faults.consume('silent'):
            wait_until_closed(self.connection)
            self.close_connection = True
            return
        if active_faults.consume('cut'):
            data = response.to_bytes()
            self.connection.sendall(data[: len(data) // 2])
            self.close_connection = True
            return
        self.connection.sendall(response.to_bytes())
        if active_faults.consume('crossed'):
            self.connection.sendall(
                json_response(200, {'crossed': True}).to_bytes()
            )


def wait_until_closed(sock: socket.socket) -> None:
    """Blocks until the peer closes, for at most ``MAX_SILENCE_S``."""
    end_s = time.monotonic() + MAX_SILENCE_S
    while time.monotonic() < end_s:
        readable, _, _ = select.select([sock], [], [], 1.0)
        if not readable:
            continue
        try:
            if not sock.recv(4096):
                return
        except OSError:
            return


class Server(server.ThreadingHTTPServer):
    """Serves one stand-in on one address."""

    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, host: str, port: int, application: Application):
        handler = type('Handler', (_Handler,), {'application': application})
        super().__init__((host, port), handler)
        self.application = application
        self._seen_polls: set[tuple] = set()
        self._thread = threading.Thread(
            target=self.serve_forever, args=(SHUTDOWN_POLL_S,), daemon=True
        )

    def server_bind(self) -> None:
        # Replaces the method of the base class, which also resolves the host
        # name; that may take seconds.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = self.server_address[:2]

    @property
    def address(self) -> str:
        """The listening address, as ``ip:port``."""
        host, port = self.server_address[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Serves requests in a background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops listening."""
        if self._thread.is_alive():
            self.shutdown()
        self.server_close()

    def handle_error(self, request: typing.Any, client_address: typing.Any):
        """Ignores exceptions, as connections may break at any time."""

    def record_request(self, request: Request, target: str) -> None:
        """Adds a request with all its headers to the journal.

        :param target: the path with the query
        """
        if request.path in POLLED_PATHS:
            poll = (target.partition('?')[0], *request.headers)
            if poll in self._seen_polls:
                return
            self._seen_polls.add(poll)
        fields = (
            request.json_fields() if request.path.startswith('/v1/') else {}
        )
        self.application.journal.add(
            journals.EVENT_REQUEST,
            method=request.method,
            target=target,
            headers=request.headers,
            request_id=fields.get('request_id', ''),
            attempt=fields.get('attempt', 0),
        )
