"""Logs of the entry daemon: JSON lines on standard error or in a file."""

import logging
import sys

from pythonjsonlogger import json as json_logs

FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
RENAMED = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}


def set_up(log_file: str, host: str) -> logging.Handler:
    """Sends all log lines to a file, or to standard error."""
    if log_file:
        handler: logging.Handler = logging.FileHandler(log_file)
    else:
        handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logs.JsonFormatter(
            FORMAT, rename_fields=RENAMED, static_fields={'host': host}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler
