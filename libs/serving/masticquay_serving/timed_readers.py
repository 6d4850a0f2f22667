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
    )

    def __init__(self, sock: socket.socket):
        super().__init__()
        self._sock = sock
        self._deadline_s = 0.0
        self._rate_bytes_per_s = 1
        self._extending_bytes = 0
        self._is_paused = False

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
            self._extend_deadline(count)
            return count

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
