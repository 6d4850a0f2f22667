"""JSON log lines on standard output, bounded in volume."""

import logging
import sys
import threading
import time

from pythonjsonlogger import json as json_logs

FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
RENAMED = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}
# Lines of one cause (logger and message) within one window.
LINES_PER_CAUSE = 40
WINDOW_S = 5.0


class CauseLimit(logging.Filter):
    """Lets so many lines of one cause pass in each window.

    The first line of the next window says how many were left out.
    Warnings have a limit of their own, so that successes never displace
    them.
    """

    def __init__(self, lines: int = LINES_PER_CAUSE):
        super().__init__()
        self._lines = lines
        self._lock = threading.Lock()
        self._counts: dict[tuple[str, str], list] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the line is written."""
        cause = (record.name, str(record.msg))
        now_s = time.monotonic()
        with self._lock:
            entry = self._counts.get(cause)
            if entry is None or now_s - entry[0] >= WINDOW_S:
                left_out = max(0, entry[1] - self._lines) if entry else 0
                self._counts[cause] = [now_s, 1]
                if left_out:
                    record.left_out = left_out
                return True
            entry[1] += 1
            return entry[1] <= self._lines


def set_up(host: str) -> logging.Handler:
    """Sends all log lines to standard output.

    :param host: the host's name, part of each line
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.addFilter(CauseLimit())
    handler.setFormatter(
        json_logs.JsonFormatter(
            FORMAT, rename_fields=RENAMED, static_fields={'host': host}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler
