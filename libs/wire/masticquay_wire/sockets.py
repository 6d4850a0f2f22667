"""Options of the TCP sockets under links."""

import socket
import struct

from masticquay_wire import peers

SEND_TIMEOUT_MS = 2_000


def tune(sock: socket.socket) -> None:
    """Bounds how long a socket may stay silent or refuse to take data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, peers.UNACKED_LIMIT_MS
    )
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, peers.SEND_BUFFER_BYTES
    )
    limit_sends(sock)


def limit_sends(
    sock: socket.socket, timeout_ms: int = SEND_TIMEOUT_MS
) -> None:
    """Lets sends fail once the peer has taken no data for a while.

    Without the limit a thread that sends to a stopped peer blocks for ever,
    and with it whoever waits for that thread.
    """
    seconds, rest_ms = divmod(timeout_ms, 1_000)
    value = struct.pack('ll', seconds, rest_ms * 1_000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)


def drop(sock: socket.socket) -> None:
    """Shuts a socket down so that threads blocked on it wake."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
