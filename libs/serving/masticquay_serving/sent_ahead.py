"""Holds back requests that were sent before the last answer was read."""

import fcntl
import socket
import struct
import termios
import time

# What the answers that the other side has not taken may have together. Callers
# that read meet no wait.
MAX_UNSENT_BYTES = 16 * 1024
POLL_INTERVAL_S = 0.02


def wait_until_sent(connection: socket.socket, timeout_s: float) -> bool:
    """Waits until the other side has taken nearly all answers.

    :returns: whether it has within the timeout
    """
    end_s = time.monotonic() + timeout_s
    while _unsent_bytes(connection) > MAX_UNSENT_BYTES:
        if time.monotonic() >= end_s:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True


def _unsent_bytes(connection: socket.socket) -> int:
    """Returns how much of what was written is not acknowledged.

    :returns: 0 if the system does not tell
    """
    try:
        data = fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack('i', data)[0]
