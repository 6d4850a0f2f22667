"""Responses of endpoints, with limits on all that they consist of."""

import http.client

from masticquay_endpoints import channels
from masticquay_endpoints import errors
from masticquay_serving import framings
from masticquay_serving import heads
from masticquay_serving import status_lines

# The status line and all header lines; ``http.client`` allows 100 of these.
MAX_HEAD_BYTES = 64 * 1024
MAX_INTERIM_ANSWERS = 8
# With its extensions.
MAX_CHUNK_SIZE_BYTES = 256
MAX_TRAILER_BYTES = 8 * 1024


class Response(http.client.HTTPResponse):
    """A response whose lines and interim answers are limited.

    It overrides the steps in which ``http.client`` reads these.
    """

    fp: channels.LineReader

    def begin(self) -> None:
        """Reads the head.

        :raises ProtocolViolationError: if it is too long or unreadable
        """
        super().begin()
        if heads.has_unreadable_line(self.headers):
            raise errors.ProtocolViolationError('unreadable header line')
        self._check_framing()

    def _check_framing(self) -> None:
        """Checks what says where the body ends.

        :raises ProtocolViolationError: if it is unreadable or ambiguous
        """
        try:
            framings.check_headers(self.headers)
        except framings.FramingError as cause:
            raise errors.ProtocolViolationError(str(cause)) from cause
        if 'Transfer-Encoding' in self.headers and not self.chunked:
            raise errors.ProtocolViolationError('unreadable transfer coding')

    def _read_status(self) -> tuple[str, int, str]:
        """Reads the status line after all interim answers."""
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            self.fp.begin_part('head', MAX_HEAD_BYTES, is_first=True)
            version, status, reason = status_lines.read(self.fp.readline())
            if status >= 200:
                return version, status, reason
            http.client.parse_headers(self.fp)
        raise errors.ProtocolViolationError('too many interim answers')

    def _read_next_chunk_size(self) -> int:
        self.fp.begin_part('chunk size', MAX_CHUNK_SIZE_BYTES)
        try:
            return framings.read_chunk_size(self.fp.readline())
        except framings.FramingError as cause:
            raise errors.ProtocolViolationError(str(cause)) from cause

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            try:
                framings.check_chunk_end(self._safe_read(2))
            except framings.FramingError as cause:
                raise errors.ProtocolViolationError(str(cause)) from cause
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_and_discard_trailer(self) -> None:
        self.fp.begin_part('trailers', MAX_TRAILER_BYTES)
        super()._read_and_discard_trailer()
