"""Reading of what callers still send behind the last answer."""

import contextlib
import socket
import threading
import time

from masticquay_serving import replies

# What a caller still sends after the last answer on its connection is read for
# this time and size. With data unread, a close would reset the connection, and
# the caller might lose the answer.
LINGER_S = 1.0
LINGER_BYTES = 8 * 1024 * 1024
# So many connections at once are read to this size, the others to the smaller
# one. They stay open as long, as callers that are closed at once come back.
PLACES = 8
CROWD_LINGER_BYTES = 256 * 1024
# All connections read into the same memory, as nobody uses the data.
SCRATCH = bytearray(64 * 1024)

_places = threading.BoundedSemaphore(PLACES)


def read_rest(connection: socket.socket) -> None:
    """Reads what the other side still sends, in bounds.

    :raises OSError: if it sends nothing for too long
    """
    if not _places.acquire(blocking=False):
        _read(connection, CROWD_LINGER_BYTES)
        return
    try:
        _read(connection, LINGER_BYTES)
    finally:
        _places.release()


def _read(connection: socket.socket, left_bytes: int) -> None:
    end_s = time.monotonic() + LINGER_S
    while left_bytes > 0 and (left_s := end_s - time.monotonic()) > 0:
        connection.settimeout(left_s)
        count = connection.recv_into(SCRATCH)
        if not count:
            return
        left_bytes -= count
    if left_bytes <= 0:
        time.sleep(max(0.0, end_s - time.monotonic()))


def end(connection: socket.socket) -> None:
    """Ends what is sent and reads a rest, unless it was aborted."""
    is_aborted = False
    with contextlib.suppress(OSError):
        linger = connection.getsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, len(replies.ABORT_LINGER)
        )
        is_aborted = linger == replies.ABORT_LINGER
    if not is_aborted:
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_WR)
            read_rest(connection)
