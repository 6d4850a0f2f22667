"""An in-memory data folder with failures, torn writes and corruption."""

from masticquay_consensus import errors


class CrashError(Exception):
    """The host lost power during a disk operation."""


class FaultyFile:
    """An append file of a faulty disk."""

    def __init__(self, disk, name):
        self._disk = disk
        self._name = name

    def append(self, data):
        self._disk.count_operation()
        self._disk.count_write(self._name, len(data))
        self._disk.unsynced.setdefault(self._name, bytearray())
        self._disk.unsynced[self._name] += data

    def sync(self):
        self._disk.count_operation()
        if self._disk.sync_fails:
            raise errors.StorageError('input/output error')
        self._disk.files[self._name] += self._disk.unsynced.pop(
            self._name, b''
        )

    def close(self):
        """Does nothing; in particular, closing does not sync."""


class FaultyDisk:
    """A disk that keeps synced and unsynced content apart.

    ``full`` makes writes find no room, ``sync_fails`` makes syncs fail. After
    ``writes_to_full`` more writes the disk is full; None for never. With
    ``full_names`` it is full for these files only. ``refused`` holds the files
    of the writes that found no room. ``capacity_bytes`` is what the disk
    holds, None for any size.
    ``operations_to_crash``
    is how many more operations succeed before the host crashes, or None.

    :param random: decides how much unsynced content survives a crash
    """

    def __init__(self, random):
        self._random = random
        self.files = {}
        self.unsynced = {}
        self.full = False
        self.writes_to_full = None
        self.full_names = ()
        self.capacity_bytes = None
        self.refused = []
        self.sync_fails = False
        self.operations_to_crash = None

    def count_operation(self):
        """Raises CrashError once ``operations_to_crash`` is used up."""
        if self.operations_to_crash is None:
            return
        self.operations_to_crash -= 1
        if self.operations_to_crash < 0:
            raise CrashError()

    def count_write(self, name, size_bytes):
        """Raises NoRoomError if the disk is full.

        A file that is replaced is there until the new one is whole.
        """
        if self.capacity_bytes is not None:
            contents = [*self.files.values(), *self.unsynced.values()]
            used_bytes = sum(len(content) for content in contents)
            if used_bytes + size_bytes > self.capacity_bytes:
                self.refused.append(name)
                raise errors.NoRoomError('no space left')
        if self.full_names and name not in self.full_names:
            return
        if self.writes_to_full is not None:
            self.writes_to_full -= 1
            if self.writes_to_full < 0:
                self.writes_to_full = None
                self.full = True
        if self.full:
            self.refused.append(name)
            raise errors.NoRoomError('no space left')

    def make_room(self):
        """Ends what made the disk full."""
        self.full = False
        self.writes_to_full = None

    def crash(self):
        """Keeps a random, possibly corrupt part of the unsynced content."""
        self.operations_to_crash = None
        for name, unsynced in self.unsynced.items():
            surviving = bytearray(
                unsynced[: self._random.randint(0, len(unsynced))]
            )
            if surviving and self._random.random() < 0.3:
                position = self._random.randrange(len(surviving))
                surviving[position] ^= 1 << self._random.randrange(8)
            self.files[name] += surviving
        self.unsynced = {}

    def names(self):
        return sorted(self.files)

    def read(self, name):
        content = self.files.get(name)
        if content is None:
            return None
        return bytes(content) + bytes(self.unsynced.get(name, b''))

    def replace(self, name, data):
        self.count_operation()
        self.count_write(name, len(data))
        self.files[name] = bytes(data)
        self.unsynced.pop(name, None)
        self.count_operation()

    def truncate(self, name, size_bytes):
        self.files[name] = self.read(name)[:size_bytes]
        self.unsynced.pop(name, None)

    def open_append(self, name):
        return FaultyFile(self, name)

    def close(self):
        """Does nothing; there is no lock to release."""
