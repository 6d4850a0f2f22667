"""Sockets that limit the time of an exchange, and the lines read from them."""

import contextlib
import io
import socket
import struct
import time
import typing

from masticquay_endpoints import errors
from masticquay_serving import heads

# The socket's timeout may end this much after the time that is due. It is set
# again only beyond that, as each change is a system call.
TIMEOUT_SLACK_S = 0.01
# Added to a timeout, so that one like it need not be set again.
TIMEOUT_MARGIN_S = 0.002
READ_BUFFER_BYTES = 8 * 1024
# Any line of an answer's head, chunk sizes and trailers.
MAX_LINE_BYTES = 16 * 1024
SilenceHook = typing.Callable[[float], int]


class Channel:
    """A connected socket whose waits all end at a time that is due.

    :ivar due_s: the monotonic time
    :ivar received: whether data has come since it was set
    :ivar on_silence: called when the time is over while data is awaited, with
        the time in ms since data last came; returns how much longer to wait
        in ms, 0 to give up
    """

    __slots__ = (
        '_sock',
        '_timeout_s',
        '_in_kernel',
        'due_s',
        'received',
        'on_silence',
        '_received_s',
    )

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._timeout_s = -1.0
        self._in_kernel = False
        self.due_s = time.monotonic()
        self.received = False
        self.on_silence: SilenceHook | None = None
        self._received_s = self.due_s

    def set_due(self, due_s: float) -> None:
        """Sets the time until which further data must be sent or received."""
        self.due_s = due_s
        self.received = False

    def use_kernel_timeout(self) -> None:
        """Limits waits by a receive timeout in the kernel from now on.

        Meant for long streams: a timeout of the socket object would cost a
        ``poll`` call before each read. Nothing is sent any more.
        """
        if not self._in_kernel:
            self._in_kernel = True
            self._timeout_s = -1.0

    def recv(self, size_bytes: int) -> bytes:
        """Receives data, past the reader.

        :raises OSError: if the connection fails or the time is over
        """
        # As in _limit_wait, but each token of a stream passes here.
        remaining_s = self.due_s - time.monotonic()
        excess_s = self._timeout_s - remaining_s
        if remaining_s <= 0 or not 0 <= excess_s <= TIMEOUT_SLACK_S:
            self._limit_wait()
        data = self._sock.recv(size_bytes)
        self.received = True
        return data

    def recv_into(self, buffer: memoryview) -> int:
        """Receives data into a buffer.

        :raises OSError: if the connection fails or the time is over
        """
        while True:
            try:
                self._limit_wait()
                size = self._sock.recv_into(buffer)
            except (TimeoutError, BlockingIOError):
                if not self._waits_longer():
                    raise
                continue
            self.received = True
            self._received_s = time.monotonic()
            return size

    def _waits_longer(self) -> bool:
        """Whether the time that is over was extended."""
        if self.on_silence is None:
            return False
        now_s = time.monotonic()
        more_ms = self.on_silence((now_s - self._received_s) * 1000)
        self.due_s = max(self.due_s, now_s + more_ms / 1000)
        return more_ms > 0

    def sendall(self, data: bytes) -> None:
        """Sends data.

        :raises OSError: if the connection fails or the time is over
        """
        self._limit_wait()
        self._sock.sendall(data)

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def detach(self) -> socket.socket:
        """Returns the socket, for use without the channel's time limits."""
        return self._sock

    def shut_down(self) -> None:
        """Shuts the socket down, which wakes a thread blocked on it."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def fileno(self) -> int:
        """Returns the socket's descriptor, -1 once it is closed."""
        return self._sock.fileno()

    def _limit_wait(self) -> None:
        remaining_s = self.due_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('time is over')
        if not 0 <= self._timeout_s - remaining_s <= TIMEOUT_SLACK_S:
            self._set_timeout(remaining_s + TIMEOUT_MARGIN_S)

    def _set_timeout(self, timeout_s: float) -> None:
        if self._in_kernel:
            timeval = struct.pack(
                '@ll', int(timeout_s), int(timeout_s % 1 * 1_000_000)
            )
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval
            )
            if self._sock.gettimeout() is not None:
                self._sock.settimeout(None)
        else:
            self._sock.settimeout(timeout_s)
        self._timeout_s = timeout_s


class Source(typing.Protocol):
    """What data is received from."""

    def recv_into(self, buffer: memoryview) -> int:
        """Receives data into a buffer; returns 0 at its end."""


class LineReader(io.BufferedReader):
    """Buffered reader of a channel, with limits on lines.

    It stays open when ``http.client`` closes it after each response.
    """

    def __init__(self, channel: Source):
        super().__init__(_RawReader(channel), READ_BUFFER_BYTES)
        self._part_name = ''
        self._part_bytes = 0
        self._part_begun = False
        self._line_bytes = 0
        self._bytes_before = 0

    def begin_exchange(self) -> None:
        """Begins the answers to a request; nothing of them has come yet."""
        self._line_bytes = 0
        self._bytes_before = self.raw.received_bytes

    @property
    def is_between_answers(self) -> bool:
        """Whether nothing has come but whole interim answers, or nothing.

        It holds from ``begin_exchange`` to the answer itself. Not once the
        connection has ended.
        """
        received_bytes = self.raw.received_bytes - self._bytes_before
        return (
            not self._part_begun
            and not self.raw.has_ended
            and received_bytes == self._line_bytes
        )

    def begin_part(
        self, name: str, limit_bytes: int, is_first: bool = False
    ) -> None:
        """Begins a part of an answer that consists of lines.

        :param limit_bytes: limit of all its lines together
        :param is_first: whether the connection may end before it
        """
        self._part_name = name
        self._part_bytes = limit_bytes
        self._part_begun = not is_first

    def readline(self, size: int | None = -1) -> bytes:
        """Reads a line of the present part.

        :returns: empty only if the connection ended before the response
        :raises ProtocolViolationError: if a limit is exceeded, or if the line
            has a carriage return, at which ``http.client`` would split it
        :raises EndpointError: if the connection ended within the part
        """
        limit_bytes = min(self._part_bytes, MAX_LINE_BYTES)
        line = super().readline(limit_bytes + 1)
        if len(line) > limit_bytes:
            raise errors.ProtocolViolationError(
                f'{self._part_name} of the response is too long'
            )
        is_cut_off = heads.is_cut_off(line, limit_bytes + 1)
        if is_cut_off and (line or self._part_begun):
            raise errors.EndpointError(
                f'connection ended within {self._part_name} of the response'
            )
        if b'\r' in line[:-2]:
            raise errors.ProtocolViolationError(
                f'carriage return within a line of {self._part_name}'
            )
        self._part_begun = True
        self._part_bytes -= len(line)
        self._line_bytes += len(line)
        return line

    def read_arrived(self, size_bytes: int) -> bytes:
        """Returns data that the buffer holds, without a wait."""
        with self.raw.paused():
            return self.read1(size_bytes)

    def has_data(self) -> bool:
        """Whether the buffer holds data."""
        with self.raw.paused():
            return bool(self.peek(1))

    def close(self) -> None:
        """Does nothing, as the next response is read with it, too."""


class HttpSocket:
    """What ``http.client`` uses in place of a socket.

    It closes its socket before it reads some responses, so this does nothing.
    """

    __slots__ = ('_channel', '_reader')

    def __init__(self, channel: Channel, reader: LineReader):
        self._channel = channel
        self._reader = reader

    def sendall(self, data: bytes) -> None:
        """Sends data."""
        self._channel.sendall(data)

    def makefile(self, mode: str) -> LineReader:
        """Returns the reader that all responses are read with."""
        return self._reader

    def fileno(self) -> int:
        """Returns the socket's descriptor, -1 once it is closed."""
        return self._channel.fileno()

    def close(self) -> None:
        """Does nothing."""


class _RawReader(io.RawIOBase):
    """Reads from a channel, unless it is paused.

    :ivar received_bytes: size of all that has come
    :ivar has_ended: whether the connection has ended
    """

    def __init__(self, channel: Source):
        self._channel = channel
        self._is_paused = False
        self.received_bytes = 0
        self.has_ended = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        if self._is_paused:
            return None
        count = self._channel.recv_into(buffer)
        self.received_bytes += count
        self.has_ended = count == 0
        return count

    @contextlib.contextmanager
    def paused(self) -> typing.Iterator[None]:
        """Has reads return at once in the block, as if no data had come."""
        self._is_paused = True
        try:
            yield
        finally:
            self._is_paused = False
