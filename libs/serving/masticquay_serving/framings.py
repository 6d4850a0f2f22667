"""Checks what says where the body of a message ends.

``http.client`` takes an unreadable length or coding for none, and ``int``
accepts signs, prefixes, spaces and underscores.
"""

import email.message
import re

CHUNKED = 'chunked'
# Longer numbers exceed any limit; ``int`` refuses those of thousands of
# digits.
MAX_LENGTH_DIGITS = 18
CHUNK_SIZE_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,%d})[ \t]*(?:;[^\r\n]*)?\r\n' % MAX_LENGTH_DIGITS
)
CHUNK_END = b'\r\n'
# The white space that may stand around the value of a header. ``str.strip``
# removes more, such as a vertical tab, after which other parsers see another
# value.
WHITE_SPACE = ' \t'


class FramingError(ValueError):
    """It is unreadable or ambiguous where a message ends."""


def check_headers(headers: email.message.Message) -> None:
    """Checks the headers that say where a body ends.

    :raises FramingError: if they are unreadable or contradict each other
    """
    codings = _values(headers, 'Transfer-Encoding')
    lengths = _values(headers, 'Content-Length')
    if codings and ([c.lower() for c in codings] != [CHUNKED] or lengths):
        raise FramingError('ambiguous transfer coding')
    if any(not _is_number(length) for length in lengths):
        raise FramingError('unreadable body length')
    if len(set(lengths)) > 1:
        raise FramingError('ambiguous body length')


def read_chunk_size(line: bytes) -> int:
    """Returns the size in a chunk's size line, its line end included.

    :raises FramingError: if the line has another form
    """
    match = CHUNK_SIZE_LINE.fullmatch(line)
    if match is None:
        raise FramingError('unreadable chunk size')
    return int(match[1], 16)


def check_chunk_end(data: bytes) -> None:
    """Checks what follows the data of a chunk.

    :raises FramingError: if it is not a line end
    """
    if data != CHUNK_END:
        raise FramingError('unreadable end of a chunk')


def _values(headers: email.message.Message, name: str) -> list[str]:
    return [value.strip(WHITE_SPACE) for value in headers.get_all(name) or []]


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
