"""The sending half of a link, which never blocks its callers for long."""

import collections
import logging
import select
import threading

from websockets import exceptions
from websockets.sync import connection

from masticquay_wire import messages
from masticquay_wire import sockets

LOG = logging.getLogger(__name__)

INLINE_BYTES = 32 * 1024
MAX_QUEUED_BYTES = 2 * messages.MAX_FRAME_BYTES


class Outbox:
    """Sends frames in order.

    A small frame that the socket has room for is written at once. Others
    wait in a bounded queue for a thread that lives until the queue is empty.
    A link that takes no data for ``sockets.SEND_TIMEOUT_MS``, or whose queue
    is full, is dropped.
    """

    __slots__ = (
        '_websocket',
        '_poll',
        '_lock',
        '_queue',
        '_queued_bytes',
        '_draining',
        '_failed',
        'sent_frames',
        'sent_bytes',
    )

    def __init__(self, websocket: connection.Connection):
        self._websocket = websocket
        self._poll = select.poll()
        self._poll.register(websocket.socket.fileno(), select.POLLOUT)
        self._lock = threading.Lock()
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._draining = False
        self._failed = False
        self.sent_frames = 0
        self.sent_bytes = 0

    def send(self, frame: bytes) -> bool:
        """Sends a frame; returns False when the link is lost."""
        with self._lock:
            if self._failed:
                return False
            self.sent_frames += 1
            self.sent_bytes += len(frame)
            if not self._draining and self._has_room(frame):
                return self._write(frame)
            return self._enqueue(frame)

    def _has_room(self, frame: bytes) -> bool:
        # The kernel reports room once a third of the send buffer is free.
        return len(frame) <= INLINE_BYTES and bool(self._poll.poll(0))

    def _enqueue(self, frame: bytes) -> bool:
        self._queued_bytes += len(frame)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._fail()
            return False
        self._queue.append(frame)
        if not self._draining:
            self._draining = True
            threading.Thread(
                target=self._drain, name='link-outbox', daemon=True
            ).start()
        return True

    def _drain(self) -> None:
        while True:
            with self._lock:
                if self._failed or not self._queue:
                    self._draining = False
                    return
                frame = self._queue.popleft()
                self._queued_bytes -= len(frame)
            if not self._write(frame):
                return

    def _write(self, frame: bytes) -> bool:
        try:
            self._websocket.send(frame)
        except (OSError, exceptions.WebSocketException):
            self._fail()
            return False
        return True

    def _fail(self) -> None:
        self._failed = True
        self._queue.clear()
        sockets.drop(self._websocket.socket)
