"""Whether the disk of a replica has room for what is written."""

import logging
import threading
import time
import typing

from masticquay_consensus import disks
from masticquay_consensus import errors

LOG = logging.getLogger(__name__)

# Stands for the files of the start.
START = 'start'


class Room:
    """The files whose last write found no room.

    ``refused_writes`` counts such writes since the process started.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._files: set[str] = set()
        self.refused_writes = 0

    @property
    def is_missing(self) -> bool:
        """Whether the last write of a file found no room."""
        return bool(self._files)

    def is_missing_for(self, name: str) -> bool:
        """Whether the last write of the named file found no room."""
        return name in self._files

    def note_missing(self, name: str, cause: Exception) -> None:
        """Records that a write of a file found no room."""
        with self._lock:
            self.refused_writes += 1
            is_first = not self._files
            self._files.add(name)
        if is_first:
            LOG.warning(
                'disk full; the replica goes on once it has room',
                extra={'file': name, 'cause': str(cause)},
            )

    def note_found(self, name: str) -> None:
        """Records that a file was written, or needs not be any more."""
        if not self._files:
            return
        with self._lock:
            was_missing = bool(self._files)
            self._files.discard(name)
            is_last = was_missing and not self._files
        if is_last:
            LOG.warning(
                'disk has room again',
                extra={'refused_writes': self.refused_writes},
            )


class RoomFile:
    """An append file that tells ``Room`` whether it finds room."""

    __slots__ = ('_file', '_name', '_room')

    def __init__(self, file: disks.AppendFile, name: str, room: Room):
        self._file = file
        self._name = name
        self._room = room

    def append(self, data: bytes) -> None:
        """Appends data, or nothing of it."""
        try:
            self._file.append(data)
        except errors.NoRoomError as cause:
            self._room.note_missing(self._name, cause)
            raise
        self._room.note_found(self._name)

    def sync(self) -> None:
        """Returns once all appended data is durable."""
        self._file.sync()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class RoomDisk:
    """A disk that tells ``Room`` whether writes find room."""

    __slots__ = ('_disk', '_room')

    def __init__(self, disk: disks.Disk, room: Room):
        self._disk = disk
        self._room = room

    def names(self) -> list[str]:
        """Returns the names of the files in ascending order."""
        return self._disk.names()

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, None if it does not exist."""
        return self._disk.read(name)

    def replace(self, name: str, data: bytes) -> None:
        """Atomically and durably replaces the content of a file."""
        try:
            self._disk.replace(name, data)
        except errors.NoRoomError as cause:
            self._room.note_missing(name, cause)
            raise
        self._room.note_found(name)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Durably truncates a file to a size."""
        self._disk.truncate(name, size_bytes)

    def open_append(self, name: str) -> RoomFile:
        """Opens an existing file for appending."""
        return RoomFile(self._disk.open_append(name), name, self._room)

    def close(self) -> None:
        """Releases the folder, so that another process can open it."""
        self._disk.close()


def wait_for_room(
    step: typing.Callable[[], None],
    room: Room,
    is_stopping: typing.Callable[[], bool],
    retry_ms: int,
) -> None:
    """Repeats a step of the start until the disk has room for it.

    :param room: is told
    :param is_stopping: whether to end the wait
    :param retry_ms: the interval
    :raises NoRoomError: when the wait ended before there was room
    """
    while True:
        try:
            step()
        except errors.NoRoomError as cause:
            room.note_missing(START, cause)
            if is_stopping():
                raise
            time.sleep(retry_ms / 1000)
        else:
            room.note_found(START)
            return
