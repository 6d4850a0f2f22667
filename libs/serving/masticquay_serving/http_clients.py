"""HTTP client with limits on the time and size of all it receives.

The timeouts of ``http.client`` are for each wait, and it reads bodies without
an end. Here both limits hold for all exchanges of a client together.
"""

import contextlib
import http.client
import io
import socket
import time
import typing

from masticquay_serving import errors
from masticquay_serving import framings
from masticquay_serving import heads
from masticquay_serving import replies
from masticquay_serving import requests
from masticquay_serving import status_lines

# As ``http.client`` allows.
MAX_LINE_BYTES = 64 * 1024


class Answer:
    """The answer to a request.

    :param is_framed: whether the answer itself says where the body ends. If
        not, it ended with the connection, so a part of it may be missing.
    """

    __slots__ = ('status', 'headers', 'body', 'is_framed')

    def __init__(
        self,
        status: int,
        headers: requests.Headers,
        body: bytes,
        is_framed: bool,
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_framed = is_framed


class Client:
    """Exchanges requests and answers with one peer, over one connection.

    The connection is opened anew when the peer closes it after an answer.

    :param address: ``ip:port`` of the peer
    :param timeout_s: for all exchanges together, from now
    :param limit_bytes: for all answers together, with their heads
    :param call_timeout_s: for each exchange, None for no limit of its own
    :param call_limit_bytes: for each answer, None for no limit of its own
    :param may_send: asked right before each part of a request is sent; the
        request is given up if it says no
    """

    __slots__ = (
        '_may_send',
        '_limits',
        '_connection',
        '_sock',
        '_call_timeout_s',
        '_call_limit_bytes',
    )

    def __init__(
        self,
        address: str,
        timeout_s: float,
        limit_bytes: int,
        call_timeout_s: float | None = None,
        call_limit_bytes: int | None = None,
        may_send: typing.Callable[[], bool] | None = None,
    ):
        self._may_send = may_send
        host, _, port = address.rpartition(':')
        self._limits = _Limits(time.monotonic() + timeout_s, limit_bytes)
        self._call_timeout_s = call_timeout_s
        self._call_limit_bytes = call_limit_bytes
        self._connection = http.client.HTTPConnection(host, int(port))
        self._connection.response_class = _Response
        self._sock: socket.socket | None = None

    def connect(self) -> None:
        """Opens a connection, and closes an earlier one.

        :raises ExchangeError: when that failed
        """
        self.close()
        try:
            self._connection.timeout = self._limits.remaining_s()
            self._connection.connect()
        except OSError as cause:
            raise errors.ExchangeError(type(cause).__name__) from cause
        self._sock = self._connection.sock
        self._connection.sock = _LimitedSocket(
            self._sock, self._limits, self._may_send
        )

    def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Answer:
        """Sends a request and returns the whole answer.

        :raises ExchangeError: when no whole answer arrived within the limits
        """
        self._limits.begin_call(self._call_timeout_s, self._call_limit_bytes)
        if self._connection.sock is None:
            self.connect()
        try:
            self._connection.request(method, target, body, headers or {})
            response = self._connection.getresponse()
            is_framed = response.chunked or response.length is not None
            content = self._read_body(response)
        except (OSError, http.client.HTTPException, ValueError) as cause:
            raise errors.ExchangeError(type(cause).__name__) from cause
        return Answer(
            response.status, response.getheaders(), content, is_framed
        )

    def abort(self) -> None:
        """Resets the connection; data not yet delivered is discarded."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, replies.ABORT_LINGER
                )
        self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def _read_body(self, response: http.client.HTTPResponse) -> bytes:
        # A length as announced by the peer may be larger than the memory.
        content = response.read(self._limits.limit_bytes + 1)
        if response.length:
            raise errors.ExchangeError('the answer is too large or not whole')
        return content


class _Response(http.client.HTTPResponse):
    """A response that is refused if it is not clear where it ends."""

    def begin(self) -> None:
        super().begin()
        if heads.has_unreadable_line(self.headers):
            raise errors.ExchangeError('unreadable header line')
        framings.check_headers(self.headers)

    def _read_status(self) -> tuple[str, int, str]:
        return status_lines.read(self.fp.readline(MAX_LINE_BYTES))

    def _read_next_chunk_size(self) -> int:
        return framings.read_chunk_size(self.fp.readline())

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            framings.check_chunk_end(self._safe_read(2))
            self.chunk_left = None
        return super()._get_chunk_left()


class _Limits:
    """What is left of the limits of a client.

    :ivar limit_bytes: of the answer that is read
    """

    __slots__ = (
        '_last_deadline_s',
        '_deadline_s',
        'limit_bytes',
        '_left_bytes',
        '_call_left_bytes',
    )

    def __init__(self, deadline_s: float, limit_bytes: int):
        self._last_deadline_s = deadline_s
        self._deadline_s = deadline_s
        self.limit_bytes = limit_bytes
        self._left_bytes = limit_bytes
        self._call_left_bytes = limit_bytes

    def begin_call(
        self, timeout_s: float | None, limit_bytes: int | None
    ) -> None:
        if timeout_s is not None:
            self._deadline_s = min(
                time.monotonic() + timeout_s, self._last_deadline_s
            )
        if limit_bytes is not None:
            self.limit_bytes = limit_bytes
        self._call_left_bytes = self.limit_bytes

    def remaining_s(self) -> float:
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('the deadline has passed')
        return remaining_s

    def take(self, count: int) -> None:
        self._left_bytes -= count
        self._call_left_bytes -= count
        if min(self._left_bytes, self._call_left_bytes) < 0:
            raise errors.ExchangeError('the answer is too large')


class _LimitedSocket:
    """The methods of a socket that ``http.client`` uses, with limits."""

    __slots__ = ('_sock', '_limits', '_may_send')

    def __init__(
        self,
        sock: socket.socket,
        limits: _Limits,
        may_send: typing.Callable[[], bool] | None,
    ):
        self._sock = sock
        self._limits = limits
        self._may_send = may_send

    def sendall(self, data: bytes) -> None:
        self._sock.settimeout(self._limits.remaining_s())
        if self._may_send is not None and not self._may_send():
            raise errors.ExchangeError('the request may not be sent any more')
        self._sock.sendall(data)

    def makefile(self, mode: str) -> io.BufferedReader:
        return _LineReader(_LimitedReader(self._sock, self._limits))

    def close(self) -> None:
        """Does nothing: the answer may still be read."""


class _LimitedReader(io.RawIOBase):
    __slots__ = ('_sock', '_limits')

    def __init__(self, sock: socket.socket, limits: _Limits):
        super().__init__()
        self._sock = sock
        self._limits = limits

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int:
        self._sock.settimeout(self._limits.remaining_s())
        count = self._sock.recv_into(buffer)
        self._limits.take(count)
        return count


class _LineReader(io.BufferedReader):
    """Raises an error at a line that the end of the stream cuts off."""

    def __init__(self, raw: io.RawIOBase):
        super().__init__(raw)
        self._has_begun = False

    def readline(self, size: int = -1) -> bytes:
        line = super().readline(size)
        if heads.is_cut_off(line, size) and (line or self._has_begun):
            raise errors.ExchangeError('the answer is not whole')
        if b'\r' in line.removesuffix(b'\n').removesuffix(b'\r'):
            raise errors.ExchangeError('carriage return within a line')
        self._has_begun = True
        return line
