"""Splits a byte stream into server-sent events."""

from collections import abc
import itertools
import re

LINE_FEED = b'\n'
CARRIAGE_RETURN = b'\r'
ID_FIELD = b'id:'
# A line of an event: a field, with or without a value, an extension field,
# which readers ignore unless they know it, or a comment. Names of extension
# fields are in lower case, unlike most lines of a response head.
EVENT_LINE = re.compile(
    rb'(?P<field>data|event|id|retry)(?::|\Z)'
    rb'|(?P<extension>[a-z][a-z0-9_-]*):'
    rb'|:'
)
# The first line that is neither empty nor a comment.
FIRST_FIELD = re.compile(rb'^[^:\r\n]', re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Buffers bytes and returns complete events without duplicates.

    The first line of a stream tells how its lines end: with a line feed, or
    with a carriage return and a line feed.

    :param last_id: id of the last event returned, None before the first
    """

    __slots__ = ('_buffer', '_line_end', 'last_id')

    def __init__(self, last_id: str | None = None):
        self._buffer = b''
        self._line_end = b''
        self.last_id = last_id

    @property
    def incomplete(self) -> bytes:
        """Buffered bytes of an event that is not complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns the events that are now complete.

        Events with an id up to that of the last returned event are left out,
        since a resumed stream may repeat them.

        :raises ValueError: if an event exceeds ``MAX_EVENT_BYTES``, or if
            what stands between two events is none
        """
        old_length = len(self._buffer)
        self._buffer += data
        self._line_end = self._line_end or _find_line_end(self._buffer)
        separator = self._line_end * 2
        # Most bytes of the separator may have come before.
        start = max(0, old_length - len(separator) + 1)
        end = self._buffer.rfind(separator, start) if separator else -1
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise ValueError('event is too large')
            return b''
        end += len(separator)
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        return self._drop_repeated(complete, separator)

    def _drop_repeated(self, events: bytes, separator: bytes) -> bytes:
        new_events = []
        for event in events.removesuffix(separator).split(separator):
            lines = event.split(self._line_end)
            _check_lines(lines)
            event_id = _id_of(lines)
            if event_id is not None:
                if self._is_repeated(event_id):
                    continue
                self.last_id = event_id
            new_events.append(event + separator)
        return b''.join(new_events)

    def _is_repeated(self, event_id: str) -> bool:
        last_id = self.last_id
        if last_id is None or not (event_id.isdigit() and last_id.isdigit()):
            return False
        return int(event_id) <= int(last_id)


def has_event(text: bytes) -> bool:
    """Whether complete text has more than comments and empty lines.

    Engines send these to keep a connection open; they are no progress.
    """
    return FIRST_FIELD.search(text) is not None


def has_id(text: bytes) -> bool:
    """Whether the first event of complete text has an id."""
    field = FIRST_FIELD.search(text)
    if field is None:
        return False
    lines = text[field.start() :].splitlines()
    return _id_of(itertools.takewhile(bool, lines)) is not None


def _find_line_end(text: bytes) -> bytes:
    """Returns what ends the first line, nothing if that is not complete."""
    line, line_feed, _rest = text.partition(LINE_FEED)
    if line_feed and line.endswith(CARRIAGE_RETURN):
        return CARRIAGE_RETURN + LINE_FEED
    return line_feed


def _check_lines(lines: list[bytes]) -> None:
    """Checks that an event has no other lines than events have.

    Readers ignore fields that they do not know, so an engine may send them,
    but only beside one that they do know: other text is an error's.

    :raises ValueError: if it has, such as the text or the head of an error
    """
    kinds = set()
    for line in lines:
        if not line:
            continue
        match = EVENT_LINE.match(line)
        if match is None:
            raise ValueError('the stream has a line that no event has')
        kinds.add(match.lastgroup)
    if 'extension' in kinds and 'field' not in kinds:
        raise ValueError('the stream has text that is no event')


def _id_of(lines: abc.Iterable[bytes]) -> str | None:
    for line in lines:
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return None
