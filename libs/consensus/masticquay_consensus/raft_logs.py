"""The Raft log of a replica: its entries in memory and in one file.

Entries are only appended to the file, until a compaction rewrites it. An entry
in the file supersedes all earlier ones of the same or a higher index, so that
replacing a suffix of the log does not truncate the file.
"""

import contextlib
import threading

import cbor2

from masticquay_consensus import disks
from masticquay_consensus import errors
from masticquay_consensus import frames
from masticquay_consensus import messages

FILE_NAME = 'log'

# Types of frames in the log file. A base frame is the first one; it has the
# index and the term of the entry before the first one in the file. A sync
# marker tells that all frames before it were synced.
_TYPE_BASE = 0
_TYPE_BATCH = 1
_TYPE_SYNC_MARKER = 2


class Batch:
    """The entries that one flush writes and syncs.

    :param generation: how often the log file had been rewritten when the
        batch was taken. A rewritten file already holds those entries of the
        batch that are still in the log, so ``flush`` skips a batch of an
        earlier generation.
    """

    __slots__ = ('entries', 'generation')

    def __init__(self, entries: list[messages.Entry], generation: int):
        self.entries = entries
        self.generation = generation


class RaftLog:
    """The log entries after ``base_index``.

    ``base_index`` and ``base_term`` are those of the last entry that was
    removed by compaction, or 0 if none was. Entries up to ``synced_index`` are
    durable. ``lacks_room`` tells whether the last flush found no room.
    ``sync_count`` counts the syncs of the log file since it was
    opened. ``truncated_bytes`` is the length of the torn write that was
    removed from its end when it was opened.

    Callers hold the replica's lock, except for ``flush``, which the writer
    thread calls without it.

    :raises DamagedStorageError: when the log file is missing or corrupt
    """

    def __init__(self, disk: disks.Disk):
        self._disk = disk
        self._entries: list[messages.Entry] = []
        self._pending: list[messages.Entry] = []
        self._file_lock = threading.Lock()
        self._generation = 0
        self._lacks_marker = False
        self.lacks_room = False
        self.base_index = 0
        self.base_term = 0
        self.size_bytes = 0
        self.sync_count = 0
        self.truncated_bytes = 0
        self._load()
        self.synced_index = self.last_index
        self._file = disk.open_append(FILE_NAME)

    @staticmethod
    def create(disk: disks.Disk, index: int, term: int) -> None:
        """Creates a log file without entries.

        :param index: the index before that of the first entry to append
        :param term: the term of the entry at that index, or 0
        """
        disk.replace(FILE_NAME, _base_frame(index, term))

    @property
    def last_index(self) -> int:
        """The index of the last entry; ``base_index`` without entries."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry; ``base_term`` without entries."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at an index.

        Returns None if the term is unknown, since the index is before
        ``base_index`` or after the last entry.
        """
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> messages.Entry:
        """Returns the entry at an index, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def entries_from(
        self, index: int, limit_bytes: int
    ) -> list[messages.Entry]:
        """Returns the entries from an index on, up to a size limit.

        The first entry is returned even if it exceeds the limit.

        :param limit_bytes: the limit of the total length of the commands
        """
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
        """Returns the entries after one index up to and including another."""
        base = self.base_index
        return self._entries[after - base : last - base]

    def append(self, entries: list[messages.Entry]) -> None:
        """Appends entries after those with a lower index than the first.

        Removes entries that have the same index as the first or a higher one.
        """
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
        """Whether there are entries, or a sync marker, to flush."""
        return bool(self._pending) or self._lacks_marker

    @property
    def pending_bytes(self) -> int:
        """The total length of the commands to flush."""
        return sum(len(entry.command) for entry in self._pending)

    def take_pending(self) -> Batch:
        """Removes and returns the entries to flush."""
        pending, self._pending = self._pending, []
        return Batch(pending, self._generation)

    def flush(self, batch: Batch) -> None:
        """Writes a batch and returns once it is durable.

        :raises NoRoomError: when the disk has no room for the batch, which
            must be given to ``restore_pending``
        :raises StorageError: when the batch may not be durable
        """
        with self._file_lock:
            if batch.generation != self._generation:
                return
            if self._lacks_marker:
                self._append_marker()
            if batch.entries:
                self._append_batch(batch)
            self.lacks_room = False

    def restore_pending(self, batch: Batch) -> None:
        """Takes back a batch for which the disk had no room."""
        if batch.generation == self._generation:
            self._pending[:0] = batch.entries
            self.lacks_room = True

    def mark_flushed(self, batch: Batch) -> None:
        """Raises ``synced_index`` after ``flush`` has synced a batch.

        Ignores entries of the batch that were replaced in the meantime.
        """
        for entry in reversed(batch.entries):
            if self.term_at(entry.index) == entry.term:
                self.synced_index = max(self.synced_index, entry.index)
                return

    def compact(self, index: int, term: int) -> None:
        """Removes the entries up to an index and rewrites the log file.

        Later entries stay only if the entry at the index has the given term;
        otherwise all entries are removed. The caller has already stored a
        snapshot of at least that index.

        :raises NoRoomError: when the disk has no room for the new file;
            nothing has changed then
        """
        kept = []
        if self.term_at(index) == term:
            kept = self._entries[index - self.base_index :]
        self._rewrite(index, term, kept)

    def close(self) -> None:
        """Closes the file."""
        with self._file_lock:
            self._file.close()

    def _append_batch(self, batch: Batch) -> None:
        frame = _batch_frame(batch.entries)
        self._file.append(frame)
        self._file.sync()
        self.sync_count += 1
        self.size_bytes += len(frame)
        self._lacks_marker = True
        # The batch is durable even if there is no room for the marker.
        with contextlib.suppress(errors.NoRoomError):
            self._append_marker()

    def _append_marker(self) -> None:
        # If the last batch becomes corrupt, the marker after it shows that
        # the batch was synced, so it is not taken for a torn write.
        self._file.append(_SYNC_MARKER_FRAME)
        self.size_bytes += len(_SYNC_MARKER_FRAME)
        self._lacks_marker = False

    def _rewrite(
        self, index: int, term: int, entries: list[messages.Entry]
    ) -> None:
        """Replaces the log file and the entries in memory."""
        data = _base_frame(index, term)
        if entries:
            data += _batch_frame(entries)
        data += _SYNC_MARKER_FRAME
        with self._file_lock:
            self._disk.replace(FILE_NAME, data)
            self._file.close()
            self._file = self._disk.open_append(FILE_NAME)
            self.size_bytes = len(data)
            self._generation += 1
            self._lacks_marker = False
            self.lacks_room = False
        self.base_index = index
        self.base_term = term
        self._entries = entries
        self._pending.clear()
        self.synced_index = self.last_index

    def _load(self) -> None:
        data = self._disk.read(FILE_NAME)
        if data is None:
            raise errors.DamagedStorageError(
                'the data folder has a snapshot but no log file'
            )
        scanned = frames.scan(data, _SYNC_MARKER_FRAME)
        if scanned.damaged or not scanned.payloads:
            raise errors.DamagedStorageError(
                f'the log file is corrupt at byte {scanned.valid_bytes}'
            )
        for payload in scanned.payloads:
            self._load_payload(cbor2.loads(payload))
        self.size_bytes = scanned.valid_bytes
        self.truncated_bytes = len(data) - scanned.valid_bytes
        if self.truncated_bytes:
            self._disk.truncate(FILE_NAME, scanned.valid_bytes)

    def _load_payload(self, content: list) -> None:
        if content[0] == _TYPE_BASE:
            self.base_index, self.base_term = content[1], content[2]
        elif content[0] == _TYPE_BATCH:
            for fields in content[1]:
                self._load_entry(messages.Entry(*fields))

    def _load_entry(self, entry: messages.Entry) -> None:
        position = entry.index - self.base_index - 1
        if not 0 <= position <= len(self._entries):
            raise errors.DamagedStorageError(
                f'the log file lacks entries before entry {entry.index}'
            )
        del self._entries[position:]
        self._entries.append(entry)


def _base_frame(index: int, term: int) -> bytes:
    return frames.encode(cbor2.dumps([_TYPE_BASE, index, term]))


def _batch_frame(batch: list[messages.Entry]) -> bytes:
    rows = [[e.index, e.term, e.kind, e.command] for e in batch]
    return frames.encode(cbor2.dumps([_TYPE_BATCH, rows]))


_SYNC_MARKER_FRAME = frames.encode(cbor2.dumps([_TYPE_SYNC_MARKER]))
