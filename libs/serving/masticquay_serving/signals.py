"""Hands signals to the main thread."""

import contextlib
import os
import signal
import typing

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
PIPE_READ_BYTES = 4_096


class Signals:
    """Hands signals to the main thread through a pipe.

    The interpreter writes each signal's number to the pipe at once, whatever
    the main thread does and whichever thread the system told; a lock or a
    queue would miss what comes right before the main thread waits.
    """

    def __init__(self) -> None:
        self._read_fd, self._write_fd = os.pipe()
        os.set_blocking(self._write_fd, False)
        signal.set_wakeup_fd(self._write_fd, warn_on_full_buffer=False)
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, _leave_to_pipe)

    def wait_for_stop(self, reload: typing.Callable[[], None]) -> None:
        """Returns at the signal to stop; reloads at the one for that."""
        while True:
            numbers = os.read(self._read_fd, PIPE_READ_BYTES)
            if any(number in STOP_SIGNALS for number in numbers):
                return
            reload()

    def ask_for_reload(self) -> None:
        """Does what the signal to reload does."""
        with contextlib.suppress(BlockingIOError):
            os.write(self._write_fd, bytes([signal.SIGHUP]))


def _leave_to_pipe(*_args: object) -> None:
    """Lets the interpreter note a signal; the pipe tells of it."""
