"""Delivers signals to the main thread."""

import contextlib
import os
import signal
import typing

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
PIPE_READ_BYTES = 4_096


class Signals:
    """Delivers signals to the main thread through a pipe.

    The interpreter writes each signal number to the pipe immediately, no
    matter what the main thread is doing and which thread the kernel chose.
    With a lock or a queue, a signal that arrives just before the main thread
    starts to wait would be missed.
    """

    def __init__(self) -> None:
        self._read_fd, self._write_fd = os.pipe()
        os.set_blocking(self._write_fd, False)
        self._stop_requested = False
        signal.set_wakeup_fd(self._write_fd, warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, self._note_stop)
        signal.signal(signal.SIGHUP, _do_nothing)

    def stop_requested(self) -> bool:
        """Whether SIGTERM or SIGINT has arrived, for steps before the wait."""
        return self._stop_requested

    def wait_for_stop(self, reload: typing.Callable[[], None]) -> None:
        """Blocks until SIGTERM or SIGINT arrives.

        :param reload: called in this thread after SIGHUP
        """
        while True:
            numbers = os.read(self._read_fd, PIPE_READ_BYTES)
            if any(number in STOP_SIGNALS for number in numbers):
                return
            reload()

    def request_reload(self) -> None:
        """Requests a reload, as SIGHUP does."""
        with contextlib.suppress(BlockingIOError):
            os.write(self._write_fd, bytes([signal.SIGHUP]))

    def _note_stop(self, *_args: object) -> None:
        self._stop_requested = True


def _do_nothing(*_args: object) -> None:
    """Replaces the default action; the wakeup pipe reports the signal."""
