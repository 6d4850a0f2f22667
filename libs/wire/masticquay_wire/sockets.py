"""Options of the TCP sockets and websockets that links use."""

import socket
import struct

from websockets.sync import connection

from masticquay_wire import messages
from masticquay_wire import peers

SEND_TIMEOUT_MS = 2_000


def set_options(sock: socket.socket) -> None:
    """Sets buffer size and timeouts, and turns off Nagle's algorithm.

    The timeouts limit how long sent data may stay unacknowledged, and how
    long a send may block.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        peers.UNACKED_DATA_TIMEOUT_MS,
    )
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, peers.SEND_BUFFER_BYTES
    )
    set_send_timeout(sock)


def set_send_timeout(
    sock: socket.socket, timeout_ms: int = SEND_TIMEOUT_MS
) -> None:
    """Makes a send fail when the socket accepts no data for the timeout.

    Without the timeout, a thread that sends to a stopped peer blocks for ever,
    and so do the threads that wait for that thread.
    """
    seconds, rest_ms = divmod(timeout_ms, 1_000)
    value = struct.pack('ll', seconds, rest_ms * 1_000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, value)


def allow_large_messages(websocket: connection.Connection) -> None:
    """Lets a websocket receive messages as large as a link may send."""
    websocket.protocol.max_message_size = messages.MAX_FRAME_BYTES


def shut_down(sock: socket.socket) -> None:
    """Shuts a socket down, which wakes the threads blocked on it."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
