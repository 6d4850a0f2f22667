"""Options of the sockets under links."""

import socket
import struct

SEND_TIMEOUT_MS = 2_000


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
