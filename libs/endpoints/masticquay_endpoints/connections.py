"""Pooled HTTP connections to an endpoint."""

import collections
import contextlib
import http.client
import socket
import threading
import time
import typing

from masticquay_endpoints import body_shares
from masticquay_endpoints import channels
from masticquay_endpoints import errors
from masticquay_endpoints import http_connections
from masticquay_endpoints import interrupts
from masticquay_endpoints import request_writers
from masticquay_endpoints import responses
from masticquay_endpoints import whole_bodies

# For each pool.
MAX_IDLE_CONNECTIONS = 64
CONNECT_TIMEOUT_MS = 1_000
# The kernel closes a connection whose data is unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 5_000

Headers = request_writers.Headers


class ConnectionPool:
    """Connections to one address; idle ones are kept for reuse.

    :param connect_timeout_ms: limit for opening a connection
    """

    def __init__(
        self, address: str, connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    ):
        self.address = address
        self._connect_timeout_ms = connect_timeout_ms
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._idle: collections.deque[http_connections.Connection] = (
            collections.deque()
        )
        self._lock = threading.Lock()
        self._closed = False

    def acquire(
        self,
        fresh: bool = False,
        timeout_ms: int | None = None,
        call_id: str = '',
    ) -> http_connections.Connection:
        """Returns an open connection, if possible an idle one.

        :param fresh: always open a new connection
        :param timeout_ms: limit for opening one, if below that of the pool
        :param call_id: not one that has carried a request of this id, whose
            answer could not be told from that of another attempt
        :raises NotSentError: when the endpoint cannot be reached
        """
        while not fresh:
            connection = self._pop_idle(call_id)
            if connection is None:
                break
            if connection.is_usable():
                connection.reused = True
                return connection
            connection.close()
        return self._connect(timeout_ms)

    def release(self, connection: http_connections.Connection) -> None:
        """Keeps a connection for reuse; its response must be fully read."""
        connection.last_used_s = time.monotonic()
        with self._lock:
            if not self._closed and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Closes the idle connections; others are closed on release."""
        with self._lock:
            self._closed = True
            idle = list(self._idle)
            self._idle.clear()
        for connection in idle:
            connection.close()

    def _pop_idle(self, call_id: str) -> http_connections.Connection | None:
        with self._lock:
            for connection in reversed(self._idle):
                if not call_id or not connection.has_carried({call_id}):
                    self._idle.remove(connection)
                    return connection
        return None

    def _connect(self, timeout_ms: int | None) -> http_connections.Connection:
        limit_ms = self._connect_timeout_ms
        if timeout_ms is not None:
            limit_ms = max(1, min(limit_ms, timeout_ms))
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=limit_ms / 1000
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
        return http_connections.Connection(connection)


class Exchange:
    """One request and its response over a pooled connection.

    A context manager. On exit, the connection is returned to the pool if the
    response was read to the end, and closed otherwise.

    :param interrupt: ends the exchange while it is waiting
    :param fresh: use a new connection, and close it afterwards
    :param call_id: id of the request, empty for none
    """

    def __init__(
        self,
        pool: ConnectionPool,
        interrupt: interrupts.Interrupt | None = None,
        fresh: bool = False,
        call_id: str = '',
    ):
        self._pool = pool
        self._interrupt = interrupt or interrupts.Interrupt()
        self._fresh = fresh
        self._call_id = call_id
        self._stack = contextlib.ExitStack()
        self._finished = False
        # Whether the whole request was written.
        self._is_sent = False
        # Whether no other exchange may use the connection.
        self._is_last = fresh
        self._method = ''
        self._memory = body_shares.BodyShare()
        self.connection: http_connections.Connection | None = None
        self.response: responses.Response | None = None

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def connect(self, timeout_ms: int) -> None:
        """Takes an idle connection or opens one.

        :raises NotSentError: when none could be opened
        :raises InterruptedCallError: when the interrupt was fired
        """
        self._interrupt.check()
        connection = self._pool.acquire(self._fresh, timeout_ms, self._call_id)
        self.connection = connection
        self._stack.callback(self._return_connection)
        self._stack.enter_context(
            self._interrupt.registered(connection.shut_down)
        )

    def send(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout_ms: int,
    ) -> responses.Response:
        """Sends the request and waits for the headers of the response.

        Connects first, unless ``connect`` was called.

        :param timeout_ms: limit for the whole exchange, with the body, unless
            ``Connection.set_timeout`` is called later
        :raises NotSentError: when no connection could be opened, so that no
            byte of the request was sent
        :raises InterruptedCallError: when the interrupt was fired
        :raises StalledError: when the time is over; the endpoint may have
            received the request
        :raises EndpointError: after any other failure; the endpoint may have
            received the request
        """
        due_s = time.monotonic() + max(1, timeout_ms) / 1000
        if self.connection is None:
            self.connect(timeout_ms)
        connection = self.connection
        self._method = method
        connection.exchange_count += 1
        connection.channel.set_due(due_s)
        connection.reader.begin_exchange()
        with self.translate_errors():
            try:
                request_writers.write_request(
                    connection.http, method, path, headers, body
                )
            except (BrokenPipeError, ConnectionResetError) as cause:
                self.response = self._read_early_response(cause)
            else:
                self._is_sent = True
                self.response = connection.http.getresponse()
        return self.response

    def read_next(self, limit_bytes: int) -> None:
        """Reads past the present response, up to the head of the next one.

        The connection is not used again.

        :param limit_bytes: limit for the present one's body
        :raises ProtocolViolationError: when the body exceeds the limit
        :raises StalledError: when the time is over
        :raises EndpointError: after any other failure
        """
        self._is_last = True
        with self.translate_errors(), self._memory:
            whole_bodies.read(
                self.response,
                limit_bytes,
                self._memory,
                self.connection.channel.due_s,
            )
            self.response.close()
            self.response = responses.Response(
                self.connection.http.sock, method=self._method
            )
            self.response.begin()

    def _read_early_response(self, cause: OSError) -> responses.Response:
        """Returns a response that came before all of the request was sent.

        :param cause: raised if there is none, or one whose end can't be told
            from that of the connection
        """
        self._is_last = True
        try:
            response = self.connection.http.getresponse()
        except (OSError, http.client.HTTPException, errors.EndpointError):
            raise cause from None
        if response.length is None and not response.chunked:
            raise cause
        return response

    def read_body(self, limit_bytes: int) -> bytes:
        """Reads the remaining body of the response.

        :raises ProtocolViolationError: when the body exceeds the limit
        :raises StalledError: when the time is over
        :raises EndpointError: when the body is incomplete
        """
        with self.translate_errors(), self._memory:
            body = whole_bodies.read(
                self.response,
                limit_bytes,
                self._memory,
                self.connection.channel.due_s,
            )
        self._interrupt.check()
        self.mark_finished()
        return body

    def outlast_silence(self, hook: channels.SilenceHook) -> None:
        """Has a hook decide at each timeout whether to wait longer.

        :param hook: see ``channels.Channel``
        """
        self.connection.channel.on_silence = hook

    def is_path_doubtful(self) -> bool:
        """Whether silence may be that of the path, not of the endpoint."""
        return False

    def hold_memory(self, size_bytes: int) -> None:
        """Takes memory for data that is kept until more of it has come.

        It replaces what was taken before.

        :raises BodyBudgetError: when all exchanges take too much memory, and
            this one most
        :raises BudgetTimeoutError: when the others take too much for too long
        """
        self._memory.hold(size_bytes, self.connection.channel.due_s)

    def mark_finished(self) -> None:
        """Marks the response as read to the end."""
        self._finished = True

    def close(self) -> None:
        """Returns the connection to the pool, or closes it."""
        self._stack.close()

    @contextlib.contextmanager
    def translate_errors(self) -> typing.Iterator[None]:
        """Translates socket and HTTP errors into endpoint errors.

        :raises InterruptedCallError: when the interrupt caused the error
        :raises ExchangeTimeoutError: when the time was over, and data had
            come since it was set
        :raises StalledError: when the time was over, and none had
        :raises EndpointError: for any other error
        """
        try:
            yield
        except errors.EndpointError:
            self._interrupt.check()
            raise
        except (TimeoutError, BlockingIOError) as cause:
            self._interrupt.check()
            raise self._make_timeout_error() from cause
        except (OSError, http.client.HTTPException, ValueError) as cause:
            self._interrupt.check()
            name = type(cause).__name__
            raise errors.EndpointError(
                f'{self._pool.address}: {name}'
            ) from cause

    def _make_timeout_error(self) -> errors.StalledError:
        address = self._pool.address
        if self.connection is not None and self.connection.channel.received:
            return errors.ExchangeTimeoutError(
                f'{address}: data unfinished within the timeout'
            )
        return errors.StalledError(f'{address}: no data within the timeout')

    def _return_connection(self) -> None:
        connection = self.connection
        response = self.response
        self._memory.give_back()
        connection.channel.on_silence = None
        if response is not None:
            response.close()
        reusable = (
            self._finished
            and not self._is_last
            and response is not None
            and not response.will_close
            and not self._interrupt.reason
            and not connection.reader.has_data()
        )
        if reusable:
            self._pool.release(connection)
        elif self._may_answer_late(connection):
            self._give_up(connection)
        else:
            connection.close()

    def _may_answer_late(
        self, connection: http_connections.Connection
    ) -> bool:
        """Whether all was sent, and nothing came but interim answers."""
        return (
            self._is_sent
            and self.response is None
            and not self._interrupt.reason
            and connection.reader.is_between_answers
        )

    def _give_up(self, connection: http_connections.Connection) -> None:
        """Closes a connection whose request was not answered in its time."""
        connection.close()
