"""Logging of the entry daemon, as JSON lines."""

import logging
import sys

from pythonjsonlogger import json as json_logs

FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
RENAMED_FIELDS = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}


def configure_logging(log_file: str, host: str) -> logging.Handler:
    """Sends all log records to a file, or to standard error if it is empty."""
    if log_file:
        handler: logging.Handler = logging.FileHandler(log_file)
    else:
        handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logs.JsonFormatter(
            FORMAT, rename_fields=RENAMED_FIELDS, static_fields={'host': host}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler
