"""Server-sent events, cut out of a stream of bytes."""

SEPARATOR = b'\n\n'
ID_FIELD = b'id:'
MAX_EVENT_BYTES = 1024 * 1024


class EventCutter:
    """Collects bytes and returns whole events.

    :param last_id: id of the last event returned, None before the first
    """

    __slots__ = ('_buffer', 'last_id')

    def __init__(self, last_id: str | None = None):
        self._buffer = b''
        self.last_id = last_id

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that are complete now.

        Events that were returned before, by their id, are left out.

        :raises ValueError: when an event is too large
        """
        self._buffer += data
        end = self._buffer.rfind(SEPARATOR)
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise ValueError('the event is too large')
            return b''
        end += len(SEPARATOR)
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        return self._take(whole)

    def _take(self, whole: bytes) -> bytes:
        kept = []
        for event in whole.split(SEPARATOR)[:-1]:
            event_id = _id_of(event)
            if event_id is not None:
                if self._is_repeated(event_id):
                    continue
                self.last_id = event_id
            kept.append(event + SEPARATOR)
        return b''.join(kept)

    def _is_repeated(self, event_id: str) -> bool:
        last_id = self.last_id
        if last_id is None or not (event_id.isdigit() and last_id.isdigit()):
            return False
        return int(event_id) <= int(last_id)


def _id_of(event: bytes) -> str | None:
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return None
