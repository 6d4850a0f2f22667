"""The calls of a dialer that have not been answered yet."""

from concurrent import futures
import threading
import time

from masticquay_wire import errors
from masticquay_wire import messages

MAX_PENDING_CALLS = 8_192


class PendingCall:
    """A call that waits for its answer.

    ``sent`` tells whether the frame was sent over any link so far. Times are
    those of ``time.monotonic``.
    """

    __slots__ = ('number', 'frame', 'future', 'deadline_s', 'sent')

    def __init__(
        self,
        number: int,
        frame: bytes,
        future: futures.Future,
        deadline_s: float,
    ):
        self.number = number
        self.frame = frame
        self.future = future
        self.deadline_s = deadline_s
        self.sent = False


class PendingCalls:
    """Pending calls by their number, in ascending order."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: dict[int, PendingCall] = {}
        self._next_number = 1

    def __bool__(self) -> bool:
        return bool(self._calls)

    def add(self, message: messages.Message, timeout_ms: int) -> PendingCall:
        """Adds a call with the next call number and its encoded frame.

        :returns: the pending call
        :raises MessageError: when the message is too large
        :raises PeerUnavailableError: when ``MAX_PENDING_CALLS`` calls are
            pending
        """
        future: futures.Future = futures.Future()
        # Makes the future uncancellable: a call that was sent cannot be
        # revoked.
        future.set_running_or_notify_cancel()
        deadline_s = time.monotonic() + timeout_ms / 1000
        with self._lock:
            if len(self._calls) >= MAX_PENDING_CALLS:
                raise errors.PeerUnavailableError(
                    'maximum number of pending calls to the peer is reached'
                )
            number = self._next_number
            lowest_pending = next(iter(self._calls), number)
            frame = messages.encode_frame(
                messages.Frame(
                    messages.KIND_CALL, number, message, lowest_pending
                )
            )
            if len(frame) > messages.MAX_FRAME_BYTES:
                raise errors.MessageError(
                    f'{type(message).__name__} too large: {len(frame)} bytes'
                )
            self._next_number += 1
            call = PendingCall(number, frame, future, deadline_s)
            self._calls[number] = call
        return call

    def pop(self, number: int) -> PendingCall | None:
        """Removes and returns a call, None when it is not pending."""
        with self._lock:
            return self._calls.pop(number, None)

    def snapshot(self) -> list[PendingCall]:
        """Returns the calls in ascending order of their numbers."""
        with self._lock:
            return list(self._calls.values())

    def pop_expired(self) -> list[PendingCall]:
        """Removes and returns the calls whose deadline has passed."""
        now_s = time.monotonic()
        with self._lock:
            expired = [c for c in self._calls.values() if c.deadline_s < now_s]
            for call in expired:
                del self._calls[call.number]
        return expired

    def pop_all(self, sent_only: bool = False) -> list[PendingCall]:
        """Removes and returns all calls, or only those that were sent."""
        with self._lock:
            removed = [c for c in self._calls.values() if c.sent >= sent_only]
            for call in removed:
                del self._calls[call.number]
        return removed
