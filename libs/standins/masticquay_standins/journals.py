"""Journals: event logs of the stand-ins, in memory and optionally in a file.

Times come from the system-wide monotonic clock, so events of several processes
on one machine can be compared.
"""

import json
import pathlib
import threading
import time
import typing

EVENT_REQUEST = 'request'  # A request arrived.
EVENT_HELD = 'held'  # KV memory was allocated.
EVENT_RELEASED = 'released'  # KV memory was freed.
EVENT_PREFILL = 'prefill'  # A prompt was computed.
EVENT_DECODE = 'decode'  # A sequence started.
EVENT_DECODE_END = 'decode-end'  # A sequence finished or was cancelled.
EVENT_CANCEL = 'cancel'  # A request was cancelled.
EVENT_RUN = 'run'  # A service ran a call.
EVENT_ORDER = 'order'  # An order was accepted or refused.
EVENT_START = 'start'  # The stand-in started.


def now_ms() -> float:
    """Returns the monotonic time in milliseconds."""
    return time.monotonic_ns() / 1e6


class Journal:
    """The event log of one stand-in.

    :param name: the name of the stand-in and, without suffix, of the file
    :param folder: the folder for a JSON lines file, None for memory only
    """

    __slots__ = ('name', '_events', '_lock', '_file')

    def __init__(self, name: str, folder: pathlib.Path | None = None):
        self.name = name
        self._events: list[dict] = []
        self._lock = threading.Lock()
        self._file = None
        if folder is not None:
            path = folder / f'{name}.jsonl'
            self._file = path.open('a')  # noqa: SIM115

    def add(self, event: str, **fields: typing.Any) -> None:
        """Appends an event with its fields and the current time."""
        entry = {
            'event': event,
            'standin': self.name,
            'time_ms': round(now_ms(), 3),
            **fields,
        }
        with self._lock:
            self._events.append(entry)
            if self._file is not None:
                self._file.write(json.dumps(entry) + '\n')
                self._file.flush()

    def events(self) -> list[dict]:
        """Returns all events recorded so far."""
        with self._lock:
            return list(self._events)

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None


def read_folder(folder: pathlib.Path) -> list[dict]:
    """Reads all journals of a folder and sorts their events by time.

    Skips lines that are not valid JSON, since a killed process may leave an
    incomplete last line.
    """
    events = []
    for path in sorted(folder.glob('*.jsonl')):
        for line in path.read_text().splitlines():
            try:
                events.append(json.loads(line))
            except json.JSONDecodeError:
                continue
    events.sort(key=lambda event: event['time_ms'])
    return events
