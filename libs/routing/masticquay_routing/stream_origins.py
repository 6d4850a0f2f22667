"""Where streams began.

What endpoints of two software versions write does not fit together, so a
stream that breaks may go on only at the version that began it.
"""

import collections

from masticquay_wire import records

# Callers take up a broken stream no later than this after its first event.
RETENTION_MS = 30_000
MAX_STREAMS = 50_000


class StreamOrigin(records.Record):
    """The service and the software version that began a stream.

    :param call_id: id of the request that brought the first event
    """

    __slots__ = ('call_id', 'service', 'software_version')

    def __init__(self, call_id: str, service: str, software_version: str):
        self.call_id = call_id
        self.service = service
        self.software_version = software_version


class StreamOrigins:
    """A bounded collection of the origins of recent streams."""

    __slots__ = ('_entries',)

    def __init__(self) -> None:
        # Ordered by the time at which they were added.
        self._entries: collections.OrderedDict[
            str, tuple[int, StreamOrigin]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, origin: StreamOrigin, now_ms: int) -> None:
        """Adds an origin and drops expired ones.

        The first origin of a request stays: a second one would name where it
        was taken up. Nothing is added without an id or a known version.
        """
        self._drop_expired(now_ms)
        if not origin.call_id or not origin.software_version:
            return
        known = self._entries.pop(origin.call_id, None)
        if known is not None:
            origin = known[1]
        self._entries[origin.call_id] = (now_ms, origin)

    def find(self, call_id: str, now_ms: int) -> StreamOrigin | None:
        """Returns the origin of a stream, None if it is not known."""
        entry = self._entries.get(call_id)
        if entry is None or now_ms - entry[0] > RETENTION_MS:
            return None
        return entry[1]

    def list_all(self, now_ms: int) -> list[StreamOrigin]:
        """Returns all origins that have not expired."""
        self._drop_expired(now_ms)
        return [origin for _added_ms, origin in self._entries.values()]

    def _drop_expired(self, now_ms: int) -> None:
        while self._entries:
            added_ms, _origin = next(iter(self._entries.values()))
            is_expired = now_ms - added_ms > RETENTION_MS
            if not is_expired and len(self._entries) < MAX_STREAMS:
                return
            self._entries.popitem(last=False)
