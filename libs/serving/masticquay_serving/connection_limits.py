"""Limits the connections that the servers of a process keep open at once."""

import contextlib
import socket
import threading

# What a connection takes while it sends a request: a thread, its buffers, a
# head, and what a body may take freely.
CONNECTION_BYTES = 96 * 1024
# Of a process's memory; the rest is for bodies and for all else.
MEMORY_SHARE = 0.5
DEFAULT_MAX_CONNECTIONS = 4_000
# Above this share of the limit, connections end with their next answer.
CLOSING_SHARE = 0.75
# What is read of a request that is refused, so that the close is no reset.
READ_BYTES = 64 * 1024
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


def count_for_memory(memory_bytes: int) -> int:
    """Returns how many connections fit into a process's memory."""
    return max(1, int(memory_bytes * MEMORY_SHARE) // CONNECTION_BYTES)


class ConnectionAccount:
    """Counts the open connections of all servers of a process.

    :param max_connections: that may be open at once
    """

    __slots__ = ('max_connections', 'lock', 'reserved', 'shared')

    def __init__(self, max_connections: int):
        self.max_connections = max_connections
        self.lock = threading.Lock()
        # Places that only one server may use, of all servers.
        self.reserved = 0
        # Connections open beyond those places.
        self.shared = 0

    @property
    def max_shared(self) -> int:
        """Places that any server may use."""
        return self.max_connections - self.reserved


class ConnectionLimit:
    """Counts the open connections of a server.

    :param max_connections: that may be open at once
    :param account: counts those of other servers too
    :param reserved: places of the account that others can not take
    """

    __slots__ = ('_max_connections', '_account', '_reserved', '_count')

    def __init__(
        self,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        account: ConnectionAccount | None = None,
        reserved: int = 0,
    ):
        self._max_connections = max_connections
        self._account = account or ConnectionAccount(max_connections)
        self._reserved = min(reserved, self._account.max_shared)
        self._account.reserved += self._reserved
        self._count = 0

    @property
    def count(self) -> int:
        """Number of open connections."""
        return self._count

    @property
    def is_near(self) -> bool:
        """Whether connections should end with their next answer."""
        if self._count <= self._reserved:
            return False
        account = self._account
        return (
            self._count > self._max_connections * CLOSING_SHARE
            or account.shared > account.max_shared * CLOSING_SHARE
        )

    def enter(self) -> bool:
        """Counts another connection, if there is room.

        :returns: whether there is
        """
        account = self._account
        with account.lock:
            if self._count >= self._max_connections:
                return False
            if self._count >= self._reserved:
                if account.shared >= account.max_shared:
                    return False
                account.shared += 1
            self._count += 1
            return True

    def leave(self) -> None:
        """Counts one connection less."""
        with self._account.lock:
            if self._count > self._reserved:
                self._account.shared -= 1
            self._count -= 1


def refuse(connection: socket.socket) -> None:
    """Answers a connection that there is no room for, and closes it.

    Never blocks.
    """
    with contextlib.suppress(OSError):
        connection.recv(READ_BYTES, socket.MSG_DONTWAIT)
    with contextlib.suppress(OSError):
        connection.send(REFUSAL, socket.MSG_DONTWAIT)
        connection.shutdown(socket.SHUT_WR)
    connection.close()
