"""Answers to callers, whole or streamed."""

import contextlib
import http
import socket
import struct
import typing

from masticquay_serving import errors
from masticquay_serving import requests

SEND_TIMEOUT_S = 10.0
# Lets close reset the connection.
ABORT_LINGER = struct.pack('ii', 1, 0)


class Handler(typing.Protocol):
    """The server's side of a connection, as far as answers need it."""

    connection: socket.socket
    command: str
    request_version: str
    close_connection: bool

    @property
    def is_closing(self) -> bool:
        """Whether the server takes no further request on connections."""


class Reply:
    """The answer to one request, written once."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self.started = False
        self.chunked = False

    @property
    def sock(self) -> socket.socket:
        """The caller's connection."""
        return self._handler.connection

    def send(
        self, status: int, headers: requests.Headers, body: bytes = b''
    ) -> None:
        """Sends a whole answer.

        :raises CallerLeftError: when the caller does not take it
        """
        handler = self._handler
        head = self._head(status, headers)
        if status not in (204, 304):
            head += f'Content-Length: {len(body)}\r\n'.encode()
        if handler.command == 'HEAD':
            body = b''
        self._write(head + b'\r\n' + body)

    def begin(self, status: int, headers: requests.Headers) -> None:
        """Sends the head of an answer that is streamed."""
        head = self._head(status, headers)
        if self._handler.request_version == 'HTTP/1.1':
            self.chunked = True
            head += b'Transfer-Encoding: chunked\r\n'
        else:
            self._handler.close_connection = True
        self._write(head + b'\r\n')

    def write(self, data: bytes) -> None:
        """Sends a piece of a streamed answer."""
        if not data:
            return
        if self.chunked:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """Ends a streamed answer as complete."""
        if self.chunked:
            self._write(b'0\r\n\r\n')

    def abort(self) -> None:
        """Resets the connection, so that nothing sent looks complete."""
        self.started = True
        self._handler.close_connection = True
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, ABORT_LINGER
            )

    def _head(self, status: int, headers: requests.Headers) -> bytes:
        if self._handler.is_closing:
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
            raise errors.CallerLeftError(type(cause).__name__) from cause
