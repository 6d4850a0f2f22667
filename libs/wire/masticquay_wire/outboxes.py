"""Sends frames over a link without blocking the caller for long."""

import collections
import logging
import select
import threading

from websockets import exceptions
from websockets.sync import connection

from masticquay_wire import messages
from masticquay_wire import sockets

LOG = logging.getLogger(__name__)

# The longest frame that is written in the caller's thread.
MAX_INLINE_FRAME_BYTES = 32 * 1024
MAX_QUEUED_BYTES = 2 * messages.MAX_FRAME_BYTES


class Outbox:
    """Sends frames in order.

    A small frame is written in the caller's thread if the socket has room.
    Other frames go to a bounded queue, which a writer thread empties before
    it ends. A link that takes no data for ``sockets.SEND_TIMEOUT_MS``, or
    whose queue is full, is dropped.
    """

    __slots__ = (
        '_websocket',
        '_poller',
        '_lock',
        '_queue',
        '_queued_bytes',
        '_writer_running',
        '_link_lost',
        'sent_frames',
        'sent_bytes',
    )

    def __init__(self, websocket: connection.Connection):
        self._websocket = websocket
        self._poller = select.poll()
        self._poller.register(websocket.socket.fileno(), select.POLLOUT)
        self._lock = threading.Lock()
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._writer_running = False
        self._link_lost = False
        self.sent_frames = 0
        self.sent_bytes = 0

    def send(self, frame: bytes) -> bool:
        """Sends a frame; returns False when the link is lost."""
        with self._lock:
            if self._link_lost:
                return False
            self.sent_frames += 1
            self.sent_bytes += len(frame)
            if not self._writer_running and self._has_room(frame):
                return self._write(frame)
            return self._enqueue(frame)

    def _has_room(self, frame: bytes) -> bool:
        # The kernel reports room only if a third of the send buffer is free,
        # which is more than the longest frame written here.
        return len(frame) <= MAX_INLINE_FRAME_BYTES and bool(
            self._poller.poll(0)
        )

    def _enqueue(self, frame: bytes) -> bool:
        self._queued_bytes += len(frame)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._drop_link()
            return False
        self._queue.append(frame)
        if not self._writer_running:
            self._writer_running = True
            threading.Thread(
                target=self._write_queued, name='link-outbox', daemon=True
            ).start()
        return True

    def _write_queued(self) -> None:
        while True:
            with self._lock:
                if self._link_lost or not self._queue:
                    self._writer_running = False
                    return
                frame = self._queue.popleft()
                self._queued_bytes -= len(frame)
            if not self._write(frame):
                return

    def _write(self, frame: bytes) -> bool:
        try:
            self._websocket.send(frame)
        except (OSError, exceptions.WebSocketException):
            self._drop_link()
            return False
        return True

    def _drop_link(self) -> None:
        self._link_lost = True
        self._queue.clear()
        sockets.shut_down(self._websocket.socket)
