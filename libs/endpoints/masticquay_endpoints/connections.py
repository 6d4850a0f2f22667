"""Pooled HTTP connections to one endpoint."""

import collections
import contextlib
import http.client
import select
import socket
import struct
import threading
import time
import typing

from masticquay_endpoints import errors
from masticquay_endpoints import interrupts

# Idle connections may have gone silent unnoticed; they are not kept longer.
IDLE_LIMIT_MS = 2_000
MAX_IDLE_CONNECTIONS = 64
CONNECT_TIMEOUT_MS = 1_000
TCP_USER_TIMEOUT_MS = 5_000

Headers = list[tuple[str, str]]


class Connection:
    """One connection with the time of its last use."""

    __slots__ = ('http', 'used_s', 'reused')

    def __init__(self, http_connection: http.client.HTTPConnection):
        self.http = http_connection
        self.used_s = time.monotonic()
        self.reused = False

    def shut(self) -> None:
        """Wakes a thread that is blocked on the connection."""
        sock = self.http.sock
        if sock is None:
            return
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)

    def set_timeout(self, timeout_ms: int) -> None:
        """Bounds each following wait for the endpoint."""
        if self.http.sock is not None:
            self.http.sock.settimeout(max(1, timeout_ms) / 1000)

    def set_stream_timeout(self, timeout_ms: int) -> None:
        """Bounds each wait in the kernel, for long streams.

        A timeout of the socket object would cost a poll before each read.
        """
        sock = self.http.sock
        seconds, rest_ms = divmod(max(1, timeout_ms), 1000)
        timeval = struct.pack('@ll', seconds, rest_ms * 1000)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval)
        sock.settimeout(None)

    def is_usable(self) -> bool:
        """Whether an idle connection may serve another request."""
        if (time.monotonic() - self.used_s) * 1000 > IDLE_LIMIT_MS:
            return False
        sock = self.http.sock
        if sock is None:
            return False
        poller = select.poll()
        poller.register(sock, select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poller.poll(0)


class ConnectionPool:
    """Connections to one address; idle ones are kept for a short time.

    :param connect_timeout_ms: how long a new connection may take
    """

    def __init__(
        self, address: str, connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    ):
        self.address = address
        self._connect_timeout_ms = connect_timeout_ms
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._idle: collections.deque[Connection] = collections.deque()
        self._lock = threading.Lock()
        self._closed = False

    def acquire(self, fresh: bool = False) -> Connection:
        """Returns a connected connection.

        :param fresh: never take an idle one
        :raises NotSentError: when the endpoint cannot be reached
        """
        while not fresh:
            connection = self._pop_idle()
            if connection is None:
                break
            if connection.is_usable():
                connection.reused = True
                return connection
            connection.http.close()
        return self._connect()

    def release(self, connection: Connection) -> None:
        """Keeps a connection whose answer was read to its end."""
        connection.used_s = time.monotonic()
        with self._lock:
            if not self._closed and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.http.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            self._closed = True
            idle = list(self._idle)
            self._idle.clear()
        for connection in idle:
            connection.http.close()

    def _pop_idle(self) -> Connection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _connect(self) -> Connection:
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=self._connect_timeout_ms / 1000
        )
        try:
            connection.connect()
            connection.sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                TCP_USER_TIMEOUT_MS,
            )
        except OSError as cause:
            connection.close()
            raise errors.NotSentError(f'{self.address}: {cause}') from cause
        return Connection(connection)


class Exchange:
    """One request and its answer over a pooled connection.

    Use as a context manager: the connection goes back to the pool only
    when the answer was read to its end, and is closed otherwise.

    :param interrupt: wakes the exchange while it waits
    :param fresh: use a new connection, and close it afterwards
    """

    def __init__(
        self,
        pool: ConnectionPool,
        interrupt: interrupts.Interrupt | None = None,
        fresh: bool = False,
    ):
        self._pool = pool
        self._interrupt = interrupt or interrupts.Interrupt()
        self._fresh = fresh
        self._stack = contextlib.ExitStack()
        self._finished = False
        self.connection: Connection | None = None
        self.response: http.client.HTTPResponse | None = None

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def send(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_ms: int,
    ) -> http.client.HTTPResponse:
        """Sends the request and waits for the head of the answer.

        :raises NotSentError: no byte of it went out
        :raises EndpointError: it may have reached the endpoint
        """
        self._interrupt.check()
        connection = self._pool.acquire(self._fresh)
        self.connection = connection
        self._stack.callback(self._give_back)
        self._stack.enter_context(self._interrupt.watched(connection.shut))
        connection.set_timeout(timeout_ms)
        with self.translated_errors():
            _write_request(connection.http, method, path, headers, body)
            self.response = connection.http.getresponse()
        return self.response

    def read_body(self, limit_bytes: int) -> bytes:
        """Reads the rest of the answer.

        :raises GarbledError: when it is longer than the limit
        """
        with self.translated_errors():
            body = self.response.read(limit_bytes + 1)
            if len(body) > limit_bytes:
                raise errors.GarbledError(f'more than {limit_bytes} bytes')
            left = self.response.length
            if left:
                raise errors.EndpointError(f'{left} bytes of the body missing')
        self.mark_finished()
        return body

    def mark_finished(self) -> None:
        """Says that the answer was read to its end."""
        self._finished = True

    def close(self) -> None:
        """Gives the connection back or closes it."""
        self._stack.close()

    @contextlib.contextmanager
    def translated_errors(self) -> typing.Iterator[None]:
        """Turns errors of sockets and of HTTP into this layer's errors."""
        try:
            yield
        except (TimeoutError, BlockingIOError) as cause:
            self._interrupt.check()
            raise errors.StalledError(f'{self._pool.address}') from cause
        except (OSError, http.client.HTTPException, ValueError) as cause:
            self._interrupt.check()
            name = type(cause).__name__
            raise errors.EndpointError(
                f'{self._pool.address}: {name}'
            ) from cause

    def _give_back(self) -> None:
        connection = self.connection
        response = self.response
        keep = (
            self._finished
            and not self._fresh
            and response is not None
            and not response.will_close
            and not self._interrupt.reason
        )
        if keep:
            self._pool.release(connection)
            return
        if response is not None:
            response.close()
        connection.http.close()


def _write_request(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
) -> None:
    named = any(name.lower() == 'host' for name, _value in headers)
    connection.putrequest(
        method, path, skip_host=named, skip_accept_encoding=True
    )
    for name, value in headers:
        connection.putheader(name, value)
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        connection.putheader('Content-Length', str(len(body)))
    connection.endheaders(body or None)
