"""The replicated state machine of the control group.

It holds the newest routing table, and the software versions at which recent
streams may have begun.
"""

import io
import threading
import typing
import zlib

import cbor2

from masticquay_routing import software_versions

ANSWER_DONE = b'done'
# Marks the command that stores software versions. A replica of an earlier
# release takes it for a table that is older than any other, and ignores it.
SOFTWARE_VERSIONS_COMMAND = -1


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


class TableMachine:
    """Keeps the table with the highest version and the newest versions.

    Implements ``StateMachine`` of the consensus library. ``on_change`` is
    called after each change, while the lock is not held.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stored: StoredTable | None = None
        self._software_versions: software_versions.Versions | None = None
        self.on_change: typing.Callable[[], None] = lambda: None

    @property
    def stored(self) -> StoredTable | None:
        """The newest table, None if none was stored yet."""
        return self._stored

    @property
    def software_versions(self) -> software_versions.Versions | None:
        """The versions at which streams may have begun, None if unknown."""
        return self._software_versions

    @property
    def version(self) -> int:
        """The version of the newest table, -1 if none was stored yet."""
        return self._stored.version if self._stored else -1

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command.

        Ignores a table whose version is not higher than the stored one's.
        """
        version, document = cbor2.loads(command)
        if version == SOFTWARE_VERSIONS_COMMAND:
            with self._lock:
                self._software_versions = cbor2.loads(document)
        elif version > self.version:
            with self._lock:
                self._stored = StoredTable(version, document)
            self.on_change()
        return ANSWER_DONE

    def snapshot(self) -> bytes:
        """Returns the complete state as a sequence of CBOR items.

        A replica of an earlier release reads the first item, the table. There
        are no software versions before the first table.
        """
        with self._lock:
            stored = self._stored
            versions = self._software_versions
        if stored is None:
            return b''
        table_item = cbor2.dumps([stored.version, stored.document])
        if versions is None:
            return table_item
        return table_item + cbor2.dumps(versions)

    def restore(self, data: bytes, index: int) -> None:
        """Replaces the state with that of a snapshot."""
        with self._lock:
            self._stored, self._software_versions = _decode_snapshot(data)
        self.on_change()


def _decode_snapshot(
    data: bytes,
) -> tuple[StoredTable | None, software_versions.Versions | None]:
    """Returns the table and the software versions of a snapshot.

    Each is None if the snapshot lacks it.
    """
    if not data:
        return None, None
    items = io.BytesIO(data)
    stored = StoredTable(*cbor2.load(items))
    if items.tell() == len(data):
        return stored, None
    return stored, cbor2.load(items)
