"""Responses of endpoints, with limits on all that they consist of."""

import http.client

from masticquay_endpoints import channels
from masticquay_endpoints import errors
from masticquay_serving import heads

# The status line and all header lines; ``http.client`` allows 100 of these.
MAX_HEAD_BYTES = 64 * 1024
MAX_INTERIM_ANSWERS = 8
# With its extensions.
MAX_CHUNK_SIZE_BYTES = 256
MAX_TRAILER_BYTES = 8 * 1024
CHUNKED = 'chunked'
MAX_LENGTH_DIGITS = 18
HEX_DIGITS = frozenset(b'0123456789abcdefABCDEF')


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

        ``http.client`` takes an unreadable length or coding for none, and the
        end of the connection for that of the body.

        :raises ProtocolViolationError: if it is unreadable or ambiguous
        """
        codings = self._values('Transfer-Encoding')
        lengths = self._values('Content-Length')
        if codings and ([c.lower() for c in codings] != [CHUNKED] or lengths):
            raise errors.ProtocolViolationError('ambiguous transfer coding')
        if any(not _is_length(length) for length in lengths):
            raise errors.ProtocolViolationError('unreadable body length')
        if len(set(lengths)) > 1:
            raise errors.ProtocolViolationError('ambiguous body length')
        if codings and not self.chunked:
            raise errors.ProtocolViolationError('unreadable transfer coding')

    def _values(self, name: str) -> list[str]:
        return [v.strip() for v in self.headers.get_all(name) or []]

    def _read_status(self) -> tuple[str, int, str]:
        """Reads the status line after all interim answers."""
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            self.fp.begin_part('head', MAX_HEAD_BYTES, is_first=True)
            version, status, reason = super()._read_status()
            if status >= 200:
                return version, status, reason
            http.client.parse_headers(self.fp)
        raise errors.ProtocolViolationError('too many interim answers')

    def _read_next_chunk_size(self) -> int:
        self.fp.begin_part('chunk size', MAX_CHUNK_SIZE_BYTES)
        digits = self.fp.readline().partition(b';')[0].strip()
        if not digits or not HEX_DIGITS.issuperset(digits):
            raise errors.ProtocolViolationError(
                'chunk size is not a hexadecimal number'
            )
        return int(digits, 16)

    def _read_and_discard_trailer(self) -> None:
        self.fp.begin_part('trailers', MAX_TRAILER_BYTES)
        super()._read_and_discard_trailer()


def _is_length(text: str) -> bool:
    """Whether a text is a number of bytes."""
    is_number = text.isascii() and text.isdigit()
    return is_number and len(text) <= MAX_LENGTH_DIGITS
