"""Reads request bodies sent with a length or in chunks."""

import string
import typing

from masticquay_serving import errors

MAX_LINE_BYTES = 1_024
MAX_TRAILER_LINES = 64
# Longer numbers exceed any limit; ``int`` refuses those of thousands of
# digits.
MAX_LENGTH_DIGITS = 18
# Size lines of chunks may have this much beyond FRAMING_BYTES_PER_CHUNK each.
MAX_EXCESS_FRAMING_BYTES = 16 * 1024
FRAMING_BYTES_PER_CHUNK = 16
HEX_DIGITS = frozenset(string.hexdigits.encode())
LINE_ENDS = (b'\r\n', b'\n')


class BodyReader:
    """Reads one request body from a buffered connection.

    :param limit_bytes: maximum size of the decoded body
    """

    def __init__(self, stream: typing.BinaryIO, limit_bytes: int):
        self._stream = stream
        self._limit_bytes = limit_bytes
        self._excess_bytes = 0

    def read(self, encodings: list[str], lengths: list[str]) -> bytes:
        """Reads and returns the whole body, empty if neither header is sent.

        A connection that closes within the trailers ends the body.

        :param encodings: values of the ``Transfer-Encoding`` headers
        :param lengths: values of the ``Content-Length`` headers
        :raises BadRequestError: if the length is ambiguous, if the length or
            a chunk is malformed, if the connection closes within a chunk's
            size line or before the line end after its data, or if the body
            is too large or has too many trailers
        :raises CallerDisconnectedError: if the connection closes within a
            body sent with a length, or within the data of a chunk
        """
        if encodings:
            codings = [encoding.strip().lower() for encoding in encodings]
            if lengths or codings != ['chunked']:
                raise errors.BadRequestError(400, 'ambiguous body length')
            return self._read_chunks()
        if not lengths:
            return b''
        return self._read_exactly(self._parse_length(lengths))

    def _parse_length(self, lengths: list[str]) -> int:
        first = lengths[0]
        all_equal = all(length == first for length in lengths)
        if not all_equal or not (first.isascii() and first.isdigit()):
            raise errors.BadRequestError(400, 'unreadable Content-Length')
        if len(first) > MAX_LENGTH_DIGITS:
            raise errors.BadRequestError(413, 'the body is too large')
        self._check_size(int(first))
        return int(first)

    def _read_chunks(self) -> bytes:
        parts = []
        total = 0
        while True:
            size = self._read_chunk_size()
            if size == 0:
                break
            total += size
            self._check_size(total)
            parts.append(self._read_exactly(size))
            if self._stream.readline(3) not in LINE_ENDS:
                raise errors.BadRequestError(400, 'unreadable chunk')
        self._skip_trailers()
        return b''.join(parts)

    def _read_chunk_size(self) -> int:
        line = self._stream.readline(MAX_LINE_BYTES)
        digits = line.split(b';', 1)[0].strip()
        is_hex = bool(digits) and HEX_DIGITS.issuperset(digits)
        if not is_hex or not line.endswith(b'\n'):
            raise errors.BadRequestError(400, 'unreadable chunk')
        self._excess_bytes += max(0, len(line) - FRAMING_BYTES_PER_CHUNK)
        if self._excess_bytes > MAX_EXCESS_FRAMING_BYTES:
            raise errors.BadRequestError(400, 'the chunk extensions are large')
        return int(digits, 16)

    def _skip_trailers(self) -> None:
        for _line in range(MAX_TRAILER_LINES):
            line = self._stream.readline(MAX_LINE_BYTES)
            if not line or line in LINE_ENDS:
                return
        raise errors.BadRequestError(431, 'the trailers are too many')

    def _check_size(self, size: int) -> None:
        if size > self._limit_bytes:
            raise errors.BadRequestError(413, 'the body is too large')

    def _read_exactly(self, size: int) -> bytes:
        data = self._stream.read(size)
        if len(data) < size:
            raise errors.CallerDisconnectedError(
                'connection closed before the end of the body'
            )
        return data
