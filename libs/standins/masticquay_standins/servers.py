"""A small HTTP server for stand-ins: one thread for each connection."""

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
POLL_S = 0.1
SILENCE_LIMIT_S = 120
GARBLED = b'HTTP/1.1 2x0 \x00\xff\xfe\r\n:::\r\n\r\n\x00{{'
# Of these, only requests with headers not seen before are recorded.
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
        """Returns a header, empty when absent."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n.lower() == wanted), '')

    def fields(self) -> dict:
        """Returns the JSON body, empty when it is no JSON map."""
        try:
            found = json.loads(self.body)
        except ValueError:
            return {}
        return found if isinstance(found, dict) else {}


class Response:
    """A whole answer."""

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
        """Returns the answer as it goes over the connection."""
        lines = [f'HTTP/1.1 {self.status} x']
        lines += [f'{name}: {value}' for name, value in self.headers.items()]
        lines += [f'Content-Length: {len(self.body)}', '', '']
        return '\r\n'.join(lines).encode('latin-1') + self.body


def reply(status: int, value: typing.Any) -> Response:
    """Makes a JSON answer."""
    return Response(status, json.dumps(value).encode())


def fail(status: int, code: str, message: str = '') -> Response:
    """Makes an error answer."""
    return reply(status, {'error': {'code': code, 'message': message}})


class Writer(typing.Protocol):
    """An answer that writes itself to the connection."""

    def write(self, sock: socket.socket) -> bool:
        """Writes the answer; False when the connection must close."""


class Application(typing.Protocol):
    """What a stand-in does with requests."""

    journal: journals.Journal
    faults: faults.Faults

    def serve(self, request: Request) -> Response | Writer:
        """Answers one request."""


class _Handler(server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    timeout = IDLE_TIMEOUT_S
    disable_nagle_algorithm = True
    application: Application

    def __getattr__(self, name: str) -> typing.Any:
        if name.startswith('do_'):
            return self._serve
        raise AttributeError(name)

    def log_message(self, format: str, *args: typing.Any) -> None:
        pass

    def _serve(self) -> None:
        length = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(length) if length else b''
        path, _, query = self.path.partition('?')
        request = Request(
            self.command,
            path,
            dict(parse.parse_qsl(query)),
            list(self.headers.items()),
            body,
        )
        if path.startswith('/standin/'):
            self.connection.sendall(self._control(request).to_bytes())
            return
        self.server.note(request, self.path)
        try:
            self._answer(request)
        except OSError:
            self.close_connection = True

    def _control(self, request: Request) -> Response:
        application = self.application
        if request.path == '/standin/record':
            events = application.journal.events()
            return reply(200, {'events': events, 'now_ms': journals.now_ms()})
        if request.path == '/standin/faults':
            try:
                application.faults.set(request.fields())
            except ValueError as cause:
                return fail(400, 'bad-fault', str(cause))
            return reply(200, {})
        return application.serve(request)

    def _answer(self, request: Request) -> None:
        active = self.application.faults
        active.wait_stalled()
        if active.late_ms:
            time.sleep(active.late_ms / 1000)
        if request.path in POLLED_PATHS:
            answer = self.application.serve(request)
            self.connection.sendall(answer.to_bytes())
            return
        if active.take('refuse'):
            self.connection.sendall(fail(503, 'refused').to_bytes())
            return
        if active.take('garble'):
            self.connection.sendall(GARBLED)
            self.close_connection = True
            return
        answer = self.application.serve(request)
        if not isinstance(answer, Response):
            if not answer.write(self.connection):
                self.close_connection = True
            return
        if active.take('silent'):
            wait_closed(self.connection)
            self.close_connection = True
            return
        if active.take('cut'):
            data = answer.to_bytes()
            self.connection.sendall(data[: len(data) // 2])
            self.close_connection = True
            return
        self.connection.sendall(answer.to_bytes())
        if active.take('crossed'):
            self.connection.sendall(reply(200, {'crossed': True}).to_bytes())


def wait_closed(sock: socket.socket) -> None:
    """Blocks until the peer closes, sending nothing."""
    end_s = time.monotonic() + SILENCE_LIMIT_S
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
            target=self.serve_forever, args=(POLL_S,), daemon=True
        )

    def server_bind(self) -> None:
        # The base class looks the host's name up, which may take seconds.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = self.server_address[:2]

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""
        host, port = self.server_address[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Serves in a thread of its own."""
        self._thread.start()

    def close(self) -> None:
        """Stops listening."""
        if self._thread.is_alive():
            self.shutdown()
        self.server_close()

    def handle_error(self, request: typing.Any, client_address: typing.Any):
        """Passes over connections that break."""

    def note(self, request: Request, target: str) -> None:
        """Records a request with every header."""
        if request.path in POLLED_PATHS:
            identity = (target.partition('?')[0], *request.headers)
            if identity in self._seen_polls:
                return
            self._seen_polls.add(identity)
        fields = request.fields() if request.path.startswith('/v1/') else {}
        self.application.journal.add(
            journals.EVENT_REQUEST,
            method=request.method,
            target=target,
            headers=request.headers,
            request_id=fields.get('request_id', ''),
            attempt=fields.get('attempt', 0),
        )
