"""Responses to callers, whole or streamed."""

import contextlib
import http
import socket
import struct
import typing

from masticquay_serving import errors
from masticquay_serving import requests

# Time within which the caller must accept each part of a response.
SEND_TIMEOUT_S = 10.0
# SO_LINGER switched on with a time of 0 makes close() reset the connection.
ABORT_LINGER = struct.pack('ii', 1, 0)
STATUSES_WITHOUT_BODY = (204, 304)


class Handler(typing.Protocol):
    """The parts of a connection handler that ``Reply`` uses."""

    connection: socket.socket
    command: str
    request_version: str
    close_connection: bool

    @property
    def is_draining(self) -> bool:
        """Whether the connection must close after its current request."""


class Reply:
    """Writes the response to one request.

    ``started`` is set once a part of the response may have been sent or the
    connection is to be reset, after which no other response can be sent.
    ``chunked`` tells whether the body of a streamed response is sent in
    chunks. A body is left out where the caller expects none.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self.started = False
        self.chunked = False
        self._omits_body = False

    @property
    def sock(self) -> socket.socket:
        """The socket of the caller's connection."""
        return self._handler.connection

    def send(
        self, status: int, headers: requests.Headers, body: bytes = b''
    ) -> None:
        """Sends a whole response.

        :raises CallerDisconnectedError: if the caller closed the
            connection or did not accept the response within 10 s
        """
        head = self._format_head(status, headers)
        if status not in STATUSES_WITHOUT_BODY:
            head += f'Content-Length: {len(body)}\r\n'.encode()
        if not self._has_body(status):
            body = b''
        self._write(head + b'\r\n' + body)

    def begin(self, status: int, headers: requests.Headers) -> None:
        """Sends the status and headers of a streamed response.

        :raises CallerDisconnectedError: as by ``send``
        """
        head = self._format_head(status, headers)
        self._omits_body = not self._has_body(status)
        if not self._omits_body:
            head += self._begin_body()
        self._write(head + b'\r\n')

    def write(self, data: bytes) -> None:
        """Sends a part of a streamed response's body.

        :raises CallerDisconnectedError: as by ``send``
        """
        if not data or self._omits_body:
            return
        if self.chunked:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """Sends the end of a streamed response.

        :raises CallerDisconnectedError: as by ``send``
        """
        if self.chunked:
            self._write(b'0\r\n\r\n')

    def abort(self) -> None:
        """Makes the connection end with a reset, even if nothing was sent.

        The caller then cannot take a truncated response for a complete one.
        """
        self.started = True
        self._handler.close_connection = True
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, ABORT_LINGER
            )

    def _begin_body(self) -> bytes:
        """Returns the header that tells how the end of a body is found."""
        if self._handler.request_version != 'HTTP/1.1':
            self._handler.close_connection = True
            return b''
        self.chunked = True
        return b'Transfer-Encoding: chunked\r\n'

    def _has_body(self, status: int) -> bool:
        """Whether the caller expects a body after the head."""
        return (
            self._handler.command != 'HEAD'
            and status not in STATUSES_WITHOUT_BODY
        )

    def _format_head(self, status: int, headers: requests.Headers) -> bytes:
        if self._handler.is_draining:
            self._handler.close_connection = True
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = 'Status'
        lines = [f'HTTP/1.1 {status} {reason}\r\n']
        lines.extend(f'{name}: {value}\r\n' for name, value in headers)
        if self._handler.close_connection:
            lines.append('Connection: close\r\n')
        return ''.join(lines).encode('latin-1')

    def _write(self, data: bytes) -> None:
        self.started = True
        try:
            self.sock.settimeout(SEND_TIMEOUT_S)
            self.sock.sendall(data)
        except OSError as cause:
            self._handler.close_connection = True
            raise errors.CallerDisconnectedError(
                type(cause).__name__
            ) from cause
