"""Reading streamed bodies straight from the socket.

``http.client`` reads a chunk in three buffered steps, each through several
calls; a relayed token is one chunk, so that was a large part of its cost.
"""

import http.client
import socket

from masticquay_endpoints import errors

READ_BYTES = 65_536
MAX_SIZE_LINE_BYTES = 256
MAX_CHUNK_BYTES = 1_048_576
CHUNK_END = b'\r\n'


class StreamBody:
    """The body of an answer whose head ``http.client`` has read."""

    __slots__ = ('_sock', '_raw', '_decoder', '_ended')

    def __init__(
        self, response: http.client.HTTPResponse, sock: socket.socket
    ):
        self._sock = sock
        self._raw = _read_buffered(response, sock)
        self._decoder = ChunkDecoder() if response.chunked else None
        self._ended = False

    def read(self) -> bytes:
        """Waits for the next bytes; empty at the end of the body.

        :raises OSError: when the connection failed or stalled
        """
        while not self._ended:
            data = self._raw or self._sock.recv(READ_BYTES)
            self._raw = b''
            if not data:
                return b''
            if self._decoder is None:
                return data
            content = self._decoder.feed(data)
            self._ended = self._decoder.ended
            if content:
                return content
        return b''


class ChunkDecoder:
    """Takes the chunked coding off a stream of bytes."""

    __slots__ = ('_rest', 'ended')

    def __init__(self) -> None:
        self._rest = b''
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Returns the content of all chunks that are whole now.

        :raises GarbledError: when the bytes are no chunks
        """
        if self._rest:
            data = self._rest + data
        contents = []
        position = 0
        while True:
            line_end = data.find(CHUNK_END, position)
            if line_end < 0:
                if len(data) - position > MAX_SIZE_LINE_BYTES:
                    raise errors.GarbledError('no chunk size')
                break
            start = line_end + 2
            end = start + _parse_size(data[position:line_end])
            if start == end:
                self.ended = True
                break
            if len(data) < end + 2:
                break
            if data[end : end + 2] != CHUNK_END:
                raise errors.GarbledError('a chunk without end')
            contents.append(data[start:end])
            position = end + 2
        self._rest = data[position:]
        return contents[0] if len(contents) == 1 else b''.join(contents)


def _parse_size(line: bytes) -> int:
    digits = line.partition(b';')[0].strip()
    try:
        size_bytes = int(digits, 16)
    except ValueError as cause:
        raise errors.GarbledError('no chunk size') from cause
    if not digits.isalnum() or size_bytes > MAX_CHUNK_BYTES:
        raise errors.GarbledError('no chunk size')
    return size_bytes


def _read_buffered(
    response: http.client.HTTPResponse, sock: socket.socket
) -> bytes:
    """Returns what was read beyond the head, without waiting for more."""
    timeout_s = sock.gettimeout()
    sock.settimeout(0)
    try:
        return response.fp.read1(READ_BYTES)
    finally:
        sock.settimeout(timeout_s)
