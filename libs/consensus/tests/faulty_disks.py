"""A data folder in memory that loses, tears and damages what it holds."""

from masticquay_consensus import errors


class CrashError(Exception):
    """The host lost its power during a disk operation."""


class FaultyFile:
    def __init__(self, disk, name):
        self._disk = disk
        self._name = name

    def append(self, data):
        self._disk.step()
        if self._disk.full:
            raise errors.StorageError('no space left')
        self._disk.unsynced.setdefault(self._name, bytearray())
        self._disk.unsynced[self._name] += data

    def sync(self):
        self._disk.step()
        if self._disk.sync_fails:
            raise errors.StorageError('input/output error')
        self._disk.files[self._name] += self._disk.unsynced.pop(
            self._name, b''
        )

    def close(self):
        """Closing syncs nothing."""


class FaultyDisk:
    """Files with their synced and unsynced content.

    :param random: decides what a crash leaves of unsynced content
    """

    def __init__(self, random):
        self._random = random
        self.files = {}
        self.unsynced = {}
        self.full = False
        self.sync_fails = False
        self.steps_to_crash = None

    def step(self):
        """Counts an operation, and crashes before the chosen one."""
        if self.steps_to_crash is None:
            return
        self.steps_to_crash -= 1
        if self.steps_to_crash < 0:
            raise CrashError()

    def crash(self):
        """Keeps a random, perhaps damaged part of what was not synced."""
        self.steps_to_crash = None
        for name, tail in self.unsynced.items():
            kept = bytearray(tail[: self._random.randint(0, len(tail))])
            if kept and self._random.random() < 0.3:
                position = self._random.randrange(len(kept))
                kept[position] ^= 1 << self._random.randrange(8)
            self.files[name] += kept
        self.unsynced = {}

    def names(self):
        return sorted(self.files)

    def read(self, name):
        content = self.files.get(name)
        if content is None:
            return None
        return bytes(content) + bytes(self.unsynced.get(name, b''))

    def replace(self, name, data):
        self.step()
        if self.full:
            raise errors.StorageError('no space left')
        self.files[name] = bytes(data)
        self.unsynced.pop(name, None)
        self.step()

    def truncate(self, name, size_bytes):
        self.files[name] = self.read(name)[:size_bytes]
        self.unsynced.pop(name, None)

    def open_append(self, name):
        return FaultyFile(self, name)

    def close(self):
        """Gives nothing up."""
