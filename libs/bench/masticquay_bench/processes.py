"""Processes of a test fleet: start, wait until ready, signal, end."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from masticquay_bench import errors

READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 20
POLL_S = 0.02


class Process:
    """One process whose output goes to a file.

    :param module: the Python module that is run
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        log_path: pathlib.Path,
    ):
        self.name = name
        self.log_path = log_path
        self._command = [sys.executable, '-m', module, *arguments]
        self._popen: subprocess.Popen | None = None
        self._log_offset = 0

    def start(self) -> None:
        """Starts the process, also again after its end."""
        self._log_offset = (
            self.log_path.stat().st_size if self.log_path.exists() else 0
        )
        with open(self.log_path, 'ab') as log:
            self._popen = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self) -> None:
        """Blocks until the process logged that it is ready.

        :raises FleetError: when it ended or took too long
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            if self._is_ready():
                return
            if not self.running:
                raise errors.FleetError(
                    f'{self.name} ended with {self._popen.returncode}: '
                    + self.tail()
                )
            time.sleep(POLL_S)
        raise errors.FleetError(f'{self.name} is not ready: {self.tail()}')

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """How it ended, None while it runs."""
        return self._popen.poll()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Ends the process with SIGKILL and waits for it."""
        self.send(signal.SIGKILL)
        self._popen.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Stops the process until ``unpause``."""
        self.send(signal.SIGSTOP)

    def unpause(self) -> None:
        """Lets a paused process go on."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to end; does not wait."""
        self.send(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Waits for the end and returns the exit code.

        :raises FleetError: when it did not end in time
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as cause:
            raise errors.FleetError(f'{self.name} did not end') from cause

    def close(self) -> None:
        """Ends the process for good."""
        if not self.running:
            return
        self.unpause()
        self.terminate()
        try:
            self._popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def cpu_s(self) -> float:
        """Returns the processor time used so far."""
        fields = self._read_stat()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def memory_bytes(self) -> int:
        """Returns the resident memory."""
        return int(self._read_stat()[21]) * os.sysconf('SC_PAGE_SIZE')

    def tail(self, size_bytes: int = 600) -> str:
        """Returns the end of the log."""
        data = self.log_path.read_bytes()
        return data[-size_bytes:].decode('utf-8', 'replace')

    def _read_stat(self) -> list[str]:
        text = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        return text.rpartition(')')[2].split()

    def _is_ready(self) -> bool:
        with open(self.log_path, 'rb') as log:
            log.seek(self._log_offset)
            return any(_says_ready(line) for line in log)


def _says_ready(line: bytes) -> bool:
    try:
        entry = json.loads(line)
    except ValueError:
        return False
    return isinstance(entry, dict) and entry.get('message') == 'ready'
