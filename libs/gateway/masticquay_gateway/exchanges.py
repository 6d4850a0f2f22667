"""Connection pools for requests to endpoints."""

import socket
import threading

from masticquay_endpoints import connections
from masticquay_endpoints import errors as endpoint_errors
from masticquay_endpoints import interrupts
from masticquay_gateway import ports
from masticquay_routing import fleets

MAX_POOLS = 256
# Endpoints are a few milliseconds away, so one that does not accept the
# connection within this time counts as unreachable.
CONNECT_TIMEOUT_MS = 400
# A host without a listener refuses a connection within a round trip.
REFUSAL_TIMEOUT_MS = 150


class ConnectionPools:
    """Connection pools by endpoint; evicts the oldest above ``MAX_POOLS``."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pools: dict[str, connections.ConnectionPool] = {}

    def open(
        self,
        endpoint: fleets.Endpoint,
        interrupt: interrupts.Interrupt,
        fresh: bool = False,
    ) -> connections.Exchange:
        """Returns an exchange with an endpoint, to be used in ``with``.

        :param interrupt: aborts the exchange when it fires
        :param fresh: whether to open a new connection instead of reusing one
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
        return connections.Exchange(pool, interrupt, fresh)

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close()

    def _evict(self) -> None:
        while len(self._pools) >= MAX_POOLS:
            oldest = next(iter(self._pools))
            self._pools.pop(oldest).close()


def accepts_connections(endpoint: fleets.Endpoint) -> bool:
    """Whether an endpoint accepts a new connection, which is closed again."""
    try:
        _connect(endpoint, CONNECT_TIMEOUT_MS)
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


def broke_off(cause: Exception) -> bool:
    """Whether an endpoint that had a request ended its connection."""
    if isinstance(cause, (NotSentError, StalledError, InterruptedCallError)):
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
