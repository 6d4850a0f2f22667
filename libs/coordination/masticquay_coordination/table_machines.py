"""The replicated state machine of the control group.

It holds the newest routing table, the software versions at which recent
streams may have begun, and the evacuated places.
"""

import io
import threading
import typing
import zlib

import cbor2

from masticquay_routing import evacuations
from masticquay_routing import software_versions

ANSWER_DONE = b'done'
# Marks the command that stores software versions. A replica of an earlier
# release takes it for a table that is older than any other, and ignores it.
SOFTWARE_VERSIONS_COMMAND = -1
# Marks the command that changes an evacuated place, in the same way.
EVACUATION_COMMAND = -2
# Stands for the table in a snapshot without one, as replicas of an earlier
# release take the first item for a table. They use none of this version.
NO_TABLE = (-1, b'')


class StoredTable:
    """An operator's document and its version.

    :param document: as the operator sent it, compressed with zlib
    """

    __slots__ = ('version', 'document')

    def __init__(self, version: int, document: bytes):
        self.version = version
        self.document = document

    def decompress(self) -> bytes:
        """Returns the document as the operator sent it."""
        return zlib.decompress(self.document)


def encode_put(version: int, document: bytes) -> bytes:
    """Encodes the log command that stores a document.

    :param document: as the operator sent it
    """
    return cbor2.dumps([version, zlib.compress(document)])


def encode_software_versions(versions: software_versions.Versions) -> bytes:
    """Encodes the log command that stores software versions."""
    return cbor2.dumps([SOFTWARE_VERSIONS_COMMAND, cbor2.dumps(versions)])


def encode_evacuation(place: str, is_evacuated: bool) -> bytes:
    """Encodes the log command that evacuates a place or takes that back."""
    order = cbor2.dumps([place, is_evacuated])
    return cbor2.dumps([EVACUATION_COMMAND, order])


class _State:
    """All that the state machine holds."""

    __slots__ = ('table', 'software_versions', 'evacuations')

    def __init__(
        self,
        table: StoredTable | None = None,
        versions: software_versions.Versions | None = None,
        evacuated: evacuations.Evacuations = evacuations.NO_EVACUATIONS,
    ):
        self.table = table
        self.software_versions = versions
        self.evacuations = evacuated


class TableMachine:
    """Keeps the table with the highest version and the newest versions.

    Implements ``StateMachine`` of the consensus library. ``on_change`` is
    called after each change of the table, and ``on_evacuation`` after each
    change of the evacuated places, while the lock is not held.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._state = _State()
        self.on_change: typing.Callable[[], None] = lambda: None
        self.on_evacuation: typing.Callable[[], None] = lambda: None

    @property
    def stored(self) -> StoredTable | None:
        """The newest table, None if none was stored yet."""
        return self._state.table

    @property
    def software_versions(self) -> software_versions.Versions | None:
        """The versions at which streams may have begun, None if unknown."""
        return self._state.software_versions

    @property
    def evacuations(self) -> evacuations.Evacuations:
        """The evacuated places."""
        return self._state.evacuations

    @property
    def version(self) -> int:
        """The version of the newest table, -1 if none was stored yet."""
        stored = self._state.table
        return stored.version if stored else -1

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command.

        Ignores a table whose version is not higher than the stored one's.
        """
        version, document = cbor2.loads(command)
        if version == SOFTWARE_VERSIONS_COMMAND:
            with self._lock:
                self._state.software_versions = cbor2.loads(document)
        elif version == EVACUATION_COMMAND:
            self._apply_evacuation(*cbor2.loads(document))
        elif version > self.version:
            with self._lock:
                self._state.table = StoredTable(version, document)
            self.on_change()
        return ANSWER_DONE

    def _apply_evacuation(self, place: str, is_evacuated: bool) -> None:
        with self._lock:
            state = self._state
            state.evacuations = state.evacuations.change(place, is_evacuated)
        self.on_evacuation()

    def snapshot(self) -> bytes:
        """Returns the complete state as a sequence of CBOR items.

        A replica of an earlier release reads the first item, the table, or
        the first two. There are no software versions before the first table,
        but there may be evacuated places.
        """
        with self._lock:
            stored = self._state.table
            versions = self._state.software_versions
            evacuated = self._state.evacuations
        if stored is None and not evacuated.number:
            return b''
        table_item = NO_TABLE
        if stored is not None:
            table_item = (stored.version, stored.document)
        items = [list(table_item), versions]
        if evacuated.number:
            items.append([evacuated.number, sorted(evacuated.places)])
        elif versions is None:
            items.pop()
        return b''.join(cbor2.dumps(item) for item in items)

    def restore(self, data: bytes, index: int) -> None:
        """Replaces the state with that of a snapshot."""
        with self._lock:
            self._state = _decode_snapshot(data)
        self.on_change()
        self.on_evacuation()


def _decode_snapshot(data: bytes) -> _State:
    """Returns the state in a snapshot, which may lack later items."""
    state = _State()
    items = io.BytesIO(data)
    if items.tell() < len(data):
        table = StoredTable(*cbor2.load(items))
        state.table = table if table.version >= 0 else None
    if items.tell() < len(data):
        state.software_versions = cbor2.load(items)
    if items.tell() < len(data):
        state.evacuations = evacuations.Evacuations(*cbor2.load(items))
    return state
