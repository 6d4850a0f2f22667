"""HTTP client of plain services."""

from masticquay_endpoints import connections
from masticquay_endpoints import interrupts
from masticquay_endpoints import protocols

MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class HttpService:
    """Client of one plain service; see ``protocols.Service``.

    Each call uses a new connection. The service could close a reused one while
    the call is being sent, and it would be unknown whether it executed the
    call.
    """

    def __init__(self, address: str):
        self.address = address
        self._pool = connections.ConnectionPool(address)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def send(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> protocols.Answer:
        """Sends a request over a new connection and returns the response."""
        with connections.Exchange(self._pool, interrupt, True) as exchange:
            response = exchange.send(method, path, headers, body, timeout_ms)
            content = exchange.read_body(MAX_RESPONSE_BYTES)
            return protocols.Answer(
                response.status, response.getheaders(), content
            )
