"""What a stand-in saw: typed events, kept in memory and appended to a file.

Times are of the system-wide monotonic clock, so that the events of several
processes of one machine can be compared.
"""

import json
import pathlib
import threading
import time
import typing

EVENT_REQUEST = 'request'
EVENT_HELD = 'held'
EVENT_RELEASED = 'released'
EVENT_PREFILL = 'prefill'
EVENT_DECODE = 'decode'
EVENT_DECODE_END = 'decode-end'
EVENT_CANCEL = 'cancel'
EVENT_RUN = 'run'
EVENT_ORDER = 'order'
EVENT_START = 'start'


def now_ms() -> float:
    """Returns monotonic time in milliseconds."""
    return time.monotonic_ns() / 1e6


class Journal:
    """Appends events; one for each stand-in.

    :param folder: where a file of JSON lines is kept, None for memory only
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
        """Records an event with its time."""
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
        """Returns all events so far."""
        with self._lock:
            return list(self._events)

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None


def read_folder(folder: pathlib.Path) -> list[dict]:
    """Reads the journals of a folder, in the order of time.

    A last line that a killed process left incomplete is passed over.
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
