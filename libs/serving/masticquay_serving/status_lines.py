"""Reads the status lines of answers.

``http.client`` reads the status with ``int``, which accepts signs, spaces and
leading zeros, and takes any number up to 999.
"""

import http.client
import re

# A status is three digits, the first of them its class, as RFC 9110 has it.
STATUS_LINE = re.compile(
    rb'(HTTP/1\.[0-9]) +([1-5][0-9]{2})(?: +([^\r\n]*))?\r?\n'
)
STATUSES = range(100, 600)


def read(line: bytes) -> tuple[str, int, str]:
    """Returns version, status and reason of a status line.

    :param line: with its line end; empty at the end of the connection
    :raises RemoteDisconnected: if there is no line
    :raises BadStatusLine: if it has another form
    """
    if not line:
        raise http.client.RemoteDisconnected('closed without an answer')
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise http.client.BadStatusLine(line.decode('latin-1'))
    version, status, reason = match.groups(b'')
    return version.decode(), int(status), reason.decode('latin-1').strip()
