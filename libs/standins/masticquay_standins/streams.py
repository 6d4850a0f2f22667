"""HTTP event streams that a batch loop feeds without blocking."""

import json
import socket
import threading
import time

from masticquay_standins import servers

MAX_BUFFERED_BYTES = 1024 * 1024
# Maximum time to send the events still buffered when the stream ends.
FLUSH_TIMEOUT_S = 30
HEADER_TEMPLATE = (
    'HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\n'
    'Request-Id: {}\r\nAttempt: {}\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'


class EventStream:
    """A server-sent event stream on one connection.

    Events are buffered until the connection accepts them. If more than
    ``MAX_BUFFERED_BYTES`` are buffered, the connection counts as lost.

    Once ``silent`` is set, the stream drops events and keeps the connection
    open. ``complete`` is set when the last event has been pushed.

    :param request_id: sent in a response header
    :param attempt: sent in a response header
    """

    __slots__ = (
        '_sock',
        '_buffer',
        '_lock',
        '_ended',
        'connection_lost',
        'complete',
        'silent',
    )

    def __init__(self, request_id: str, attempt: int) -> None:
        self._sock: socket.socket | None = None
        head = HEADER_TEMPLATE.format(request_id, attempt)
        self._buffer = bytearray(head.encode('latin-1'))
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self.connection_lost = False
        self.complete = False
        self.silent = False

    def push(self, event: dict) -> bool:
        """Sends or buffers an event; False if the connection is lost."""
        data = f'data: {json.dumps(event)}\n\n'.encode()
        return self._append(b'%x\r\n%s\r\n' % (len(data), data))

    def finish(self) -> None:
        """Ends the stream after its last event."""
        self.complete = True
        self._append(LAST_CHUNK)
        self._ended.set()

    def abort(self) -> None:
        """Ends the stream early, so that ``write`` returns False."""
        self._ended.set()

    def write(self, sock: socket.socket) -> bool:
        """Sends events and blocks until the stream ends.

        :returns: False if the connection must close, as the stream is
            incomplete or the connection lost
        """
        with self._lock:
            self._sock = sock
            self._send_buffer()
        while not self._ended.wait(1.0):
            if self.connection_lost:
                return False
        if self.silent:
            servers.wait_until_closed(sock)
            return False
        end_s = time.monotonic() + FLUSH_TIMEOUT_S
        while (
            self._buffer
            and not self.connection_lost
            and time.monotonic() < end_s
        ):
            with self._lock:
                self._send_buffer()
            time.sleep(0.01)
        return self.complete and not self.connection_lost and not self._buffer

    def _append(self, data: bytes) -> bool:
        with self._lock:
            if self.silent or self.connection_lost:
                return not self.connection_lost
            self._buffer += data
            if self._sock is not None:
                self._send_buffer()
            if len(self._buffer) > MAX_BUFFERED_BYTES:
                self.connection_lost = True
            return not self.connection_lost

    def _send_buffer(self) -> None:
        if not self._buffer:
            return
        try:
            sent = self._sock.send(self._buffer, socket.MSG_DONTWAIT)
            del self._buffer[:sent]
        except BlockingIOError:
            return
        except OSError:
            self.connection_lost = True
            self._ended.set()
