"""The log of a replica: its entries in memory and in one append-only file.

A stored entry replaces every stored entry of the same or a higher index, so
that the file never has to be cut while it is in use.
"""

import threading

import cbor2

from masticquay_consensus import disks
from masticquay_consensus import errors
from masticquay_consensus import frames
from masticquay_consensus import messages

FILE_NAME = 'log'

_PART_BASE = 0
_PART_BATCH = 1
_PART_SYNCED = 2


class Batch:
    """Entries taken for one flush.

    :param generation: a rewrite of the file makes older batches void, as the
        rewritten file holds what is still valid of them
    """

    __slots__ = ('entries', 'generation')

    def __init__(self, entries: list[messages.Entry], generation: int):
        self.entries = entries
        self.generation = generation


class Journal:
    """Entries after ``base_index``; changed only under the replica's lock.

    ``flush`` alone runs without that lock, in the writer's thread.

    :raises DamagedStorageError: when synced entries cannot be read
    """

    def __init__(self, disk: disks.Disk):
        self._disk = disk
        self._entries: list[messages.Entry] = []
        self._pending: list[messages.Entry] = []
        self._file_lock = threading.Lock()
        self._generation = 0
        self.base_index = 0
        self.base_term = 0
        self.size_bytes = 0
        self.sync_count = 0
        self.cut_bytes = 0
        self._load()
        self.synced_index = self.last_index
        self._file = disk.open_append(FILE_NAME)

    @staticmethod
    def create(disk: disks.Disk, index: int, term: int) -> None:
        """Makes an empty log that starts after an index."""
        disk.replace(FILE_NAME, _base_frame(index, term))

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> messages.Entry:
        """Returns a held entry."""
        return self._entries[index - self.base_index - 1]

    def entries_from(
        self, index: int, limit_bytes: int
    ) -> list[messages.Entry]:
        """Returns entries from an index, at least one if there is one."""
        chosen = []
        size_bytes = 0
        for position in range(index - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size_bytes += len(entry.command)
            if chosen and size_bytes > limit_bytes:
                break
            chosen.append(entry)
        return chosen

    def entries_between(self, after: int, last: int) -> list[messages.Entry]:
        """Returns the entries after one index up to another."""
        base = self.base_index
        return self._entries[after - base : last - base]

    def append(self, entries: list[messages.Entry]) -> None:
        """Adds entries; the first replaces all from its index on."""
        if not entries:
            return
        first_index = entries[0].index
        if first_index <= self.last_index:
            del self._entries[first_index - self.base_index - 1 :]
            self.synced_index = min(self.synced_index, first_index - 1)
        self._entries.extend(entries)
        self._pending.extend(entries)

    @property
    def has_pending(self) -> bool:
        """Whether entries wait for a flush."""
        return bool(self._pending)

    def take_pending(self) -> Batch:
        """Returns the entries to flush, once."""
        pending, self._pending = self._pending, []
        return Batch(pending, self._generation)

    def flush(self, batch: Batch) -> None:
        """Writes a batch and returns once it is durable.

        :raises StorageError: when it may not be
        """
        frame = _batch_frame(batch.entries)
        with self._file_lock:
            if batch.generation != self._generation:
                return
            self._file.append(frame)
            self._file.sync()
            # Tells a torn last batch from a synced one that was damaged.
            self._file.append(_SYNCED_FRAME)
            self.sync_count += 1
            self.size_bytes += len(frame)

    def mark_flushed(self, batch: Batch) -> None:
        """Raises ``synced_index`` over a batch that ``flush`` wrote."""
        for entry in reversed(batch.entries):
            if self.term_at(entry.index) == entry.term:
                self.synced_index = max(self.synced_index, entry.index)
                return

    def compact(self, index: int, term: int) -> None:
        """Drops the entries up to an index; later ones stay if they follow.

        The caller has made a snapshot of at least that index durable.
        """
        if self.term_at(index) == term:
            del self._entries[: index - self.base_index]
        else:
            self._entries.clear()
        self.base_index = index
        self.base_term = term
        self._rewrite()

    def close(self) -> None:
        """Closes the file."""
        with self._file_lock:
            self._file.close()

    def _rewrite(self) -> None:
        data = _base_frame(self.base_index, self.base_term)
        if self._entries:
            data += _batch_frame(self._entries)
        data += _SYNCED_FRAME
        with self._file_lock:
            self._file.close()
            self._disk.replace(FILE_NAME, data)
            self._file = self._disk.open_append(FILE_NAME)
            self.size_bytes = len(data)
            self._generation += 1
        self._pending.clear()
        self.synced_index = self.last_index

    def _load(self) -> None:
        data = self._disk.read(FILE_NAME)
        if data is None:
            raise errors.DamagedStorageError('the log file is missing')
        found = frames.scan(data, _SYNCED_FRAME)
        if found.damaged or not found.payloads:
            raise errors.DamagedStorageError(
                f'the log is damaged at byte {found.valid_bytes}'
            )
        for payload in found.payloads:
            self._read_part(cbor2.loads(payload))
        self.size_bytes = found.valid_bytes
        self.cut_bytes = len(data) - found.valid_bytes
        if self.cut_bytes:
            self._disk.truncate(FILE_NAME, found.valid_bytes)

    def _read_part(self, part: list) -> None:
        if part[0] == _PART_BASE:
            self.base_index, self.base_term = part[1], part[2]
        elif part[0] == _PART_BATCH:
            for fields in part[1]:
                self._read_entry(messages.Entry(*fields))

    def _read_entry(self, entry: messages.Entry) -> None:
        position = entry.index - self.base_index - 1
        if not 0 <= position <= len(self._entries):
            raise errors.DamagedStorageError(
                f'the log has a gap before entry {entry.index}'
            )
        del self._entries[position:]
        self._entries.append(entry)


def _base_frame(index: int, term: int) -> bytes:
    return frames.seal(cbor2.dumps([_PART_BASE, index, term]))


def _batch_frame(batch: list[messages.Entry]) -> bytes:
    rows = [[e.index, e.term, e.kind, e.command] for e in batch]
    return frames.seal(cbor2.dumps([_PART_BATCH, rows]))


_SYNCED_FRAME = frames.seal(cbor2.dumps([_PART_SYNCED]))
