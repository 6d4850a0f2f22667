"""Limits and checks of the lines of a head."""

import email.errors
import email.message
import typing

from masticquay_serving import errors

END_LINE_BYTES = 2
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


class HeaderLines:
    """The header lines of a request, for the parser of ``http.client``.

    :param limit_bytes: for all lines together, without the empty one
    """

    __slots__ = ('_stream', '_left_bytes')

    def __init__(self, stream: typing.BinaryIO, limit_bytes: int):
        self._stream = stream
        self._left_bytes = limit_bytes + END_LINE_BYTES

    def readline(self, size: int) -> bytes:
        """Returns the next line, at most ``size`` bytes of it.

        :raises BadRequestError: when the lines are larger than the limit, or
            when this one has a carriage return, at which the parser would
            split it
        :raises CallerDisconnectedError: at the end of the stream
        """
        line = self._stream.readline(min(size, self._left_bytes + 1))
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise errors.BadRequestError(431, 'the headers are too large')
        if is_cut_off(line, size):
            raise errors.CallerDisconnectedError(
                'connection closed before the end of the headers'
            )
        if b'\r' in line[:-2]:
            raise errors.BadRequestError(400, 'carriage return in a header')
        return line
