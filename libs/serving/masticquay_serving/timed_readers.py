"""Reads connections with a limit on the time of many reads together."""

import contextlib
import io
import socket
import time
import typing

from masticquay_serving import errors

# The socket's timeout may exceed the time left by this much: changing it is a
# system call, too costly for every read.
TIMEOUT_SLACK_S = 0.05
# Each read takes processor time, however little it returns. After the free
# ones, reads that return less on average wait until more has arrived.
FREE_READS = 512
SMALL_READ_BYTES = 256
SMALL_READ_PAUSE_S = 0.005


class TimedReader(io.RawIOBase):
    """Reads a socket until a deadline, which received data may extend.

    Data that a buffer above this reader already has is not affected.

    :param sock: not closed with the reader
    """

    __slots__ = (
        '_sock',
        '_deadline_s',
        '_rate_bytes_per_s',
        '_extending_bytes',
        '_is_paused',
        '_read_count',
        '_read_bytes',
    )

    def __init__(self, sock: socket.socket):
        super().__init__()
        self._sock = sock
        self._deadline_s = 0.0
        self._rate_bytes_per_s = 1
        self._extending_bytes = 0
        self._is_paused = False
        self._read_count = 0
        self._read_bytes = 0

    @property
    def deadline_s(self) -> float:
        """The monotonic time at which reads fail, unless data extends it."""
        return self._deadline_s

    def set_deadline(
        self,
        deadline_s: float,
        rate_bytes_per_s: int = 1,
        extending_bytes: int = 0,
    ) -> None:
        """Sets the monotonic time at which reads fail.

        :param rate_bytes_per_s: data that extends the deadline by a second
        :param extending_bytes: data beyond this does not extend it
        """
        self._deadline_s = deadline_s
        self._rate_bytes_per_s = rate_bytes_per_s
        self._extending_bytes = extending_bytes
        self._read_count = self._read_bytes = 0

    def readable(self) -> bool:
        """Returns True."""
        return True

    @contextlib.contextmanager
    def paused(self) -> typing.Iterator[None]:
        """Has reads return at once in the block, as if no data had come."""
        self._is_paused = True
        try:
            yield
        finally:
            self._is_paused = False

    def readinto(self, buffer: typing.Any) -> int | None:
        """Waits for data and reads it into a buffer.

        :returns: the number of bytes read, 0 at the end of the stream, None
            while reads are paused
        :raises TimeoutError: when the deadline has passed
        :raises CallerDisconnectedError: when the connection is broken
        """
        if self._is_paused:
            return None
        self._read_count += 1
        if self._read_count > FREE_READS:
            self._let_more_arrive()
        is_early_timeout = False
        while True:
            self._limit_wait(is_early_timeout)
            try:
                count = self._sock.recv_into(buffer)
            except TimeoutError:
                is_early_timeout = True
                continue
            except OSError as cause:
                raise errors.CallerDisconnectedError(
                    type(cause).__name__
                ) from cause
            self._read_bytes += count
            self._extend_deadline(count)
            return count

    def _let_more_arrive(self) -> None:
        if self._read_bytes < self._read_count * SMALL_READ_BYTES:
            time.sleep(SMALL_READ_PAUSE_S)

    def _extend_deadline(self, count: int) -> None:
        count = min(count, self._extending_bytes)
        self._extending_bytes -= count
        self._deadline_s += count / self._rate_bytes_per_s

    def _limit_wait(self, is_early_timeout: bool) -> None:
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('the deadline has passed')
        timeout_s = self._sock.gettimeout()
        if (
            is_early_timeout
            or timeout_s is None
            or timeout_s > remaining_s + TIMEOUT_SLACK_S
        ):
            self._sock.settimeout(remaining_s)
