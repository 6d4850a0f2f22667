"""Client of plain services over HTTP."""

from masticquay_endpoints import connections
from masticquay_endpoints import interrupts
from masticquay_endpoints import protocols

MAX_ANSWER_BYTES = 4 * 1024 * 1024


class HttpService:
    """One plain service; see ``protocols.Service``.

    Each call has a connection of its own: a reused one may have been closed
    unnoticed, and then nobody knows whether the call ran.
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
        """Makes one call."""
        with connections.Exchange(self._pool, interrupt, True) as exchange:
            response = exchange.send(method, path, headers, body, timeout_ms)
            content = exchange.read_body(MAX_ANSWER_BYTES)
            return protocols.Answer(
                response.status, response.getheaders(), content
            )
