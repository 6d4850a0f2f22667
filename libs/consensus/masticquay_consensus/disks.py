"""Durable access to the files in the data folder of a replica."""

import contextlib
import errno
import fcntl
import os
import pathlib
import typing

from masticquay_consensus import errors

_LOCK_FILE = 'lock'
_TEMPORARY_SUFFIX = '.new'
_NO_ROOM_NUMBERS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class AppendFile(typing.Protocol):
    """A file that is open for appending."""

    def append(self, data: bytes) -> None:
        """Appends data, or nothing of it.

        :raises NoRoomError: when the disk is full
        :raises StorageError: when the disk failed
        """

    def sync(self) -> None:
        """Returns once all appended data is durable.

        :raises StorageError: when the data may not be durable; the sync must
            not be retried, since a later one can succeed although the data is
            lost
        """

    def close(self) -> None:
        """Closes the file."""


class Disk(typing.Protocol):
    """A folder of files that are durable once synced.

    The methods that access files raise StorageError when the disk fails, those
    that write raise NoRoomError when it is full.
    """

    def names(self) -> list[str]:
        """Returns the names of the files in ascending order."""

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, None if it does not exist."""

    def replace(self, name: str, data: bytes) -> None:
        """Atomically and durably replaces the content of a file."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Durably truncates a file to a size."""

    def open_append(self, name: str) -> AppendFile:
        """Opens an existing file for appending."""

    def close(self) -> None:
        """Releases the folder, so that another process can open it."""


class OsAppendFile:
    """An append file on a file system.

    A write that found no room may have left a part of its data. That is cut
    off before anything else is appended.
    """

    __slots__ = ('_fd', '_size_bytes', '_is_torn')

    def __init__(self, path: pathlib.Path):
        with _convert_os_errors():
            self._fd = os.open(path, os.O_WRONLY | os.O_APPEND)
            self._size_bytes = os.fstat(self._fd).st_size
        self._is_torn = False

    def append(self, data: bytes) -> None:
        """Appends data, or nothing of it."""
        with _convert_write_errors():
            if self._is_torn:
                self._cut_torn_tail()
            self._is_torn = True
            try:
                _write_all(self._fd, data)
            except OSError:
                with contextlib.suppress(OSError):
                    self._cut_torn_tail()
                raise
            self._is_torn = False
            self._size_bytes += len(data)

    def sync(self) -> None:
        """Returns once all appended data is durable."""
        with _convert_os_errors():
            os.fdatasync(self._fd)

    def close(self) -> None:
        """Closes the file."""
        os.close(self._fd)

    def _cut_torn_tail(self) -> None:
        os.ftruncate(self._fd, self._size_bytes)
        self._is_torn = False


class OsDisk:
    """A folder of a file system, locked against other processes.

    The temporary files of a ``replace`` that was interrupted are removed, as
    their room may be needed.

    :raises NoRoomError: when the disk has no room for the folder
    :raises StorageError: when the folder cannot be created or is in use
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        with contextlib.ExitStack() as stack, _convert_write_errors():
            folder.mkdir(parents=True, exist_ok=True)
            self._folder_fd = os.open(folder, os.O_RDONLY)
            stack.callback(os.close, self._folder_fd)
            lock = os.open(folder / _LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
            stack.callback(os.close, lock)
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._remove_temporary_files()
            self._stack = stack.pop_all()

    def names(self) -> list[str]:
        """Returns the names of the files in ascending order.

        Leaves out the lock file and the temporary files of ``replace``.
        """
        with _convert_os_errors():
            return sorted(
                name
                for name in os.listdir(self._folder)
                if name != _LOCK_FILE and not name.endswith(_TEMPORARY_SUFFIX)
            )

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, None if it does not exist."""
        with _convert_os_errors():
            try:
                return (self._folder / name).read_bytes()
            except FileNotFoundError:
                return None

    def replace(self, name: str, data: bytes) -> None:
        """Writes and syncs a temporary file, renames it, syncs the folder.

        Without room the temporary file is removed.
        """
        temporary = self._folder / (name + _TEMPORARY_SUFFIX)
        try:
            self._write_new(temporary, data)
            with _convert_write_errors():
                os.rename(temporary, self._folder / name)
        except errors.NoRoomError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise
        with _convert_os_errors():
            os.fsync(self._folder_fd)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Durably truncates a file to a size."""
        with _convert_os_errors(), contextlib.ExitStack() as stack:
            fd = os.open(self._folder / name, os.O_WRONLY)
            stack.callback(os.close, fd)
            with _convert_write_errors():
                os.ftruncate(fd, size_bytes)
            os.fsync(fd)

    def open_append(self, name: str) -> OsAppendFile:
        """Opens an existing file for appending."""
        return OsAppendFile(self._folder / name)

    def close(self) -> None:
        """Releases the lock on the folder."""
        self._stack.close()

    def _write_new(self, path: pathlib.Path, data: bytes) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        with _convert_os_errors(), contextlib.ExitStack() as stack:
            with _convert_write_errors():
                fd = os.open(path, flags, 0o600)
                stack.callback(os.close, fd)
                _write_all(fd, data)
            os.fsync(fd)

    def _remove_temporary_files(self) -> None:
        for path in self._folder.glob(f'*{_TEMPORARY_SUFFIX}'):
            with contextlib.suppress(OSError):
                path.unlink()


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


@contextlib.contextmanager
def _convert_os_errors() -> typing.Iterator[None]:
    """Raises StorageError in place of an OSError of the ``with`` block."""
    try:
        yield
    except OSError as cause:
        raise errors.StorageError(str(cause)) from cause


@contextlib.contextmanager
def _convert_write_errors() -> typing.Iterator[None]:
    """Converts as well; raises NoRoomError if the disk has no room."""
    try:
        with _convert_os_errors():
            yield
    except errors.StorageError as error:
        cause = error.__cause__
        if isinstance(cause, OSError) and cause.errno in _NO_ROOM_NUMBERS:
            raise errors.NoRoomError(str(cause)) from cause
        raise
