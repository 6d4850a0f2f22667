"""Rate-limited JSON log lines on standard output."""

import logging
import sys
import threading
import time

from pythonjsonlogger import json as json_logs

FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
FIELD_NAMES = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}
# Limit on the lines with the same logger and message.
MAX_LINES_PER_WINDOW = 40
WINDOW_S = 5.0


class RepeatLimit(logging.Filter):
    """Limits the lines with the same logger and message in each window.

    The first line after a window has the number of lines left out in it in the
    field ``left_out``.
    Each message text is counted separately, so frequent lines on successful
    requests never displace warnings.

    :param max_lines: lines that pass in each window
    """

    def __init__(self, max_lines: int = MAX_LINES_PER_WINDOW):
        super().__init__()
        self._max_lines = max_lines
        self._lock = threading.Lock()
        self._windows: dict[tuple[str, str], list] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the line is to be written."""
        key = (record.name, str(record.msg))
        now_s = time.monotonic()
        with self._lock:
            window = self._windows.get(key)
            if window is None or now_s - window[0] >= WINDOW_S:
                left_out = max(0, window[1] - self._max_lines) if window else 0
                self._windows[key] = [now_s, 1]
                if left_out:
                    record.left_out = left_out
                return True
            window[1] += 1
            return window[1] <= self._max_lines


def configure_logging(host: str) -> logging.Handler:
    """Configures the root logger to write JSON to standard output.

    :param host: host name, added to each line
    :returns: the handler that writes the lines
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.addFilter(RepeatLimit())
    handler.setFormatter(
        json_logs.JsonFormatter(
            FORMAT, rename_fields=FIELD_NAMES, static_fields={'host': host}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler
