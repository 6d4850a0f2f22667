"""Connection pools for requests to endpoints."""

import contextlib
import socket
import threading
import time
import typing

from masticquay_endpoints import connections
from masticquay_endpoints import errors as endpoint_errors
from masticquay_endpoints import http_connections
from masticquay_endpoints import interrupts
from masticquay_endpoints import responses
from masticquay_gateway import errors
from masticquay_gateway import ports
from masticquay_routing import fleets

MAX_POOLS = 256
# Endpoints are a few milliseconds away, so one that does not accept the
# connection within this time counts as unreachable.
CONNECT_TIMEOUT_MS = 400
# A host without a listener refuses a connection within a round trip.
REFUSAL_TIMEOUT_MS = 150


class ConnectionWatch(typing.Protocol):
    """Learns what shows whether this host has a path to endpoints."""

    def record_sent(self) -> None:
        """Records that a request is being sent to an endpoint."""

    def record_contact(
        self, endpoint: fleets.Endpoint, is_new_connection: bool
    ) -> None:
        """Records that an endpoint has answered."""

    def explains(
        self, endpoint: fleets.Endpoint, cause: Exception, since_s: float
    ) -> bool:
        """Whether an exchange failed as this host has no path.

        :param since_s: monotonic time at which it began
        """


class LateAnswerListener(typing.Protocol):
    """Hears what an endpoint says after a host has given a request up."""

    def wait(
        self,
        connection: http_connections.Connection,
        endpoint: fleets.Endpoint,
        call_id: str,
    ) -> None:
        """Takes over a connection whose request was not answered in time."""


class WatchedExchange(connections.Exchange):
    """An exchange that tells others what it shows of path and endpoint.

    :param late_answers: takes over the connection if no answer came in time
    :param call_id: id of the request, empty for none
    """

    def __init__(
        self,
        endpoint: fleets.Endpoint,
        watch: ConnectionWatch,
        late_answers: LateAnswerListener,
        pool: connections.ConnectionPool,
        interrupt: interrupts.Interrupt,
        call_id: str,
    ):
        super().__init__(pool, interrupt, fresh=not call_id, call_id=call_id)
        self._endpoint = endpoint
        self._watch = watch
        self._late_answers = late_answers
        self._sent_s = time.monotonic()

    def send(
        self,
        method: str,
        path: str,
        headers: connections.Headers,
        body: bytes,
        timeout_ms: int,
    ) -> responses.Response:
        """Sends the request; see ``connections.Exchange``."""
        self._sent_s = time.monotonic()
        self._watch.record_sent()
        response = super().send(method, path, headers, body, timeout_ms)
        is_new = not self.connection.reused
        self._watch.record_contact(self._endpoint, is_new)
        return response

    def is_path_doubtful(self) -> bool:
        """Whether this host has lost its path; see the base class."""
        return self._watch.explains(
            self._endpoint, StalledError('no data'), self._sent_s
        )

    @contextlib.contextmanager
    def translate_errors(self) -> typing.Iterator[None]:
        """Translates errors; see ``connections.Exchange``.

        :raises PathLostError: when this host lost its path, so that the error
            says nothing of the endpoint
        """
        try:
            with super().translate_errors():
                yield
        except EndpointError as cause:
            # Only these two may be those of the path.
            if type(cause) not in (EndpointError, StalledError):
                raise
            if not self._watch.explains(self._endpoint, cause, self._sent_s):
                raise
            is_stalled = isinstance(cause, StalledError)
            raise errors.PathLostError(str(cause), is_stalled) from cause

    def _give_up(self, connection: http_connections.Connection) -> None:
        self._late_answers.wait(connection, self._endpoint, self._call_id)


class Observers:
    """Who learns what exchanges show."""

    __slots__ = ('watch', 'late_answers')

    def __init__(
        self, watch: ConnectionWatch, late_answers: LateAnswerListener
    ):
        self.watch = watch
        self.late_answers = late_answers


class ConnectionPools:
    """Connection pools by endpoint; evicts the oldest above ``MAX_POOLS``.

    :param observers: told of connections and answers, None for nobody
    """

    def __init__(self, observers: Observers | None = None) -> None:
        self._observers = observers
        self._lock = threading.Lock()
        self._pools: dict[str, connections.ConnectionPool] = {}

    def open(
        self,
        endpoint: fleets.Endpoint,
        interrupt: interrupts.Interrupt,
        call_id: str = '',
    ) -> connections.Exchange:
        """Returns an exchange with an endpoint, to be used in ``with``.

        A request without an id gets a connection of its own: a second copy of
        the answer to another one could not be told from its answer.

        :param interrupt: aborts the exchange when it fires
        :param call_id: id of the request that is to be sent, empty for none
        """
        key = f'{endpoint.address} {endpoint.endpoint_id}'
        with self._lock:
            pool = self._pools.get(key)
            if pool is None:
                self._evict()
                pool = connections.ConnectionPool(
                    endpoint.address, CONNECT_TIMEOUT_MS
                )
                self._pools[key] = pool
        if self._observers is None:
            return connections.Exchange(
                pool, interrupt, fresh=not call_id, call_id=call_id
            )
        return WatchedExchange(
            endpoint,
            self._observers.watch,
            self._observers.late_answers,
            pool,
            interrupt,
            call_id,
        )

    def close(self) -> None:
        """Closes all idle connections, and the others as they are released."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()

    def _evict(self) -> None:
        while len(self._pools) >= MAX_POOLS:
            oldest = next(iter(self._pools))
            self._pools.pop(oldest).close()


def accepts_connections(endpoint: fleets.Endpoint) -> bool:
    """Whether an endpoint accepts a new connection, which is closed again."""
    return connects(endpoint, CONNECT_TIMEOUT_MS)


def connects(endpoint: fleets.Endpoint, timeout_ms: int) -> bool:
    """Whether an endpoint accepts a new connection within a time."""
    try:
        _connect(endpoint, timeout_ms)
    except OSError:
        return False
    return True


def refuses_connections(endpoint: fleets.Endpoint) -> bool:
    """Whether an endpoint's host is there but no process listens.

    So it is when the endpoint has ended. One that is cut off does not react
    at all.
    """
    try:
        _connect(endpoint, REFUSAL_TIMEOUT_MS)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def takes_no_connections(endpoint: fleets.Endpoint) -> bool:
    """Whether an endpoint that broke a request off has ended.

    As to plain endpoints, only a refused connection says so: one that hangs
    may be cut off.
    """
    if endpoint.role == fleets.ROLE_NONE:
        return refuses_connections(endpoint)
    return not accepts_connections(endpoint)


def broke_off(cause: Exception) -> bool:
    """Whether an endpoint that had a request ended its connection."""
    if isinstance(cause, (NotSentError, StalledError, InterruptedCallError)):
        return False
    if isinstance(cause, errors.PathLostError):
        return False
    return isinstance(cause, EndpointError)


def _connect(endpoint: fleets.Endpoint, timeout_ms: int) -> None:
    host, _, port = endpoint.address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout_ms / 1000):
        pass


def response_headers(exchange: connections.Exchange) -> ports.Headers:
    """Returns the headers of an exchange's response."""
    return list(exchange.response.headers.items())


# Errors of an exchange, under the names that this library uses.
BudgetTimeoutError = endpoint_errors.BudgetTimeoutError
EndpointError = endpoint_errors.EndpointError
ExchangeTimeoutError = endpoint_errors.ExchangeTimeoutError
InterruptedCallError = endpoint_errors.InterruptedCallError
NotSentError = endpoint_errors.NotSentError
StalledError = endpoint_errors.StalledError
