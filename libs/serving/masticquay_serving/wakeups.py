"""Wakes threads that wait for a socket."""

import os


class Wakeup:
    """Wakes every thread that waits for it beside its socket.

    It is polled like a socket and stays readable once it has been rung.
    """

    __slots__ = ('_fd',)

    def __init__(self) -> None:
        self._fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def __del__(self) -> None:
        os.close(self._fd)

    def fileno(self) -> int:
        """Returns the descriptor to poll."""
        return self._fd

    def ring(self) -> None:
        """Wakes the threads that wait, and those that will."""
        os.eventfd_write(self._fd, 1)
