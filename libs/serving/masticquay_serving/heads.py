"""Limits and checks of the lines of a head."""

import email.errors
import email.message
import re
import typing

from masticquay_serving import errors

END_LINE_BYTES = 2
EMPTY_LINE = b'\r\n'
# A name is a token of RFC 9110.
TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n")
# The parser leaves out all lines after an unreadable one, with these defects.
# Others tell of the body, which it does not see.
HEAD_DEFECTS = (
    email.errors.FirstHeaderLineIsContinuationDefect,
    email.errors.InvalidHeaderDefect,
    email.errors.MisplacedEnvelopeHeaderDefect,
    email.errors.MissingHeaderBodySeparatorDefect,
)


def has_unreadable_line(headers: email.message.Message) -> bool:
    """Whether parsed headers are incomplete, as a line was unreadable."""
    return any(isinstance(d, HEAD_DEFECTS) for d in headers.defects)


def is_cut_off(line: bytes, size: int) -> bool:
    """Whether the end of the stream cut off a line that was read.

    ``http.client`` would take that for the end of the head or the trailers.

    :param size: how much was to be read at most, negative for any length
    """
    return not line.endswith(b'\n') and len(line) != size


def is_trailer_line(line: bytes) -> bool:
    """Whether a line is a whole trailer."""
    return TRAILER_LINE.fullmatch(line) is not None


class HeaderLines:
    """The header lines of a request, for the parser of ``http.client``.

    Also the trailers.

    :param limit_bytes: for all lines together, without the empty one
    """

    __slots__ = ('_stream', '_left_bytes')

    def __init__(self, stream: typing.BinaryIO, limit_bytes: int):
        self._stream = stream
        self._left_bytes = limit_bytes + END_LINE_BYTES

    def readline(self, size: int = -1) -> bytes:
        """Returns the next line, at most ``size`` bytes of it if not negative.

        :raises BadRequestError: when the lines are larger than the limit, or
            when this one has a carriage return, at which the parser would
            split it, or continues the one before
        :raises CallerDisconnectedError: at the end of the stream
        """
        limit_bytes = self._left_bytes + 1
        if 0 <= size < limit_bytes:
            limit_bytes = size
        line = self._stream.readline(limit_bytes)
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise errors.BadRequestError(431, 'the headers are too large')
        if is_cut_off(line, size):
            raise errors.CallerDisconnectedError(
                'connection closed before the end of the headers'
            )
        if b'\r' in line.removesuffix(b'\n').removesuffix(b'\r'):
            raise errors.BadRequestError(400, 'carriage return in a header')
        if line[:1] in (b' ', b'\t'):
            raise errors.BadRequestError(400, 'folded header')
        return line
