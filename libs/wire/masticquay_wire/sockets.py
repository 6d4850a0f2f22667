"""Options of the TCP sockets under links."""

import socket
import struct

from masticquay_wire import peers


def tune(sock: socket.socket) -> None:
    """Bounds how long a socket may stay silent or refuse to take data."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, peers.UNACKED_LIMIT_MS
    )
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, peers.SEND_BUFFER_BYTES
    )
    seconds, rest_ms = divmod(peers.SEND_TIMEOUT_MS, 1_000)
    timeval = struct.pack('ll', seconds, rest_ms * 1_000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval)


def drop(sock: socket.socket) -> None:
    """Shuts a socket down so that threads blocked on it wake."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
