"""JSON requests over HTTP to engines and to the platform list."""

import http.client
import json
import socket
import struct
import time
import typing

from masticquay_control import errors

MAX_RESPONSE_BYTES = 4 * 1024 * 1024

MaySend = typing.Callable[[], bool]


class JsonResponse:
    """The status and the JSON object of a response."""

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: dict[str, typing.Any]):
        self.status = status
        self.body = body


def call(
    address: str,
    method: str,
    path: str,
    body: dict[str, typing.Any] | None,
    timeout_ms: int,
    may_send: MaySend = lambda: True,
) -> JsonResponse:
    """Sends one request over a new connection.

    If the call fails, data not yet delivered is discarded, so that it cannot
    arrive after the deadline.

    :param may_send: called once connected, just before sending; if it returns
        False, the request is not sent
    :raises CallError: when the request was not sent, or no valid response
        arrived in time
    """
    deadline_s = time.monotonic() + timeout_ms / 1000
    connection = http.client.HTTPConnection(address, timeout=timeout_ms / 1000)
    try:
        connection.connect()
        if not may_send():
            raise errors.CallError(
                f'{address}: request not sent: the lease is lost or too short'
            )
        return _send_request(connection, method, path, body, deadline_s)
    except (OSError, http.client.HTTPException, ValueError) as cause:
        _reset_on_close(connection)
        raise errors.CallError(f'{address}: {cause!r}') from cause
    finally:
        connection.close()


def _send_request(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: dict[str, typing.Any] | None,
    deadline_s: float,
) -> JsonResponse:
    headers = {'Connection': 'close'}
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        headers['Content-Type'] = 'application/json'
    connection.sock.settimeout(_remaining_s(deadline_s))
    connection.request(method, path, data, headers)
    connection.sock.settimeout(_remaining_s(deadline_s))
    response = connection.getresponse()
    content = response.read(MAX_RESPONSE_BYTES)
    if response.length:
        raise http.client.IncompleteRead(content, response.length)
    payload = json.loads(content or b'{}')
    if not isinstance(payload, dict):
        raise ValueError('the response is not a JSON object')
    return JsonResponse(response.status, payload)


def _remaining_s(deadline_s: float) -> float:
    remaining_s = deadline_s - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError('the deadline has passed')
    return remaining_s


def _reset_on_close(connection: http.client.HTTPConnection) -> None:
    """Makes the next close reset the connection and discard unsent data."""
    if connection.sock is None:
        return
    linger = struct.pack('ii', 1, 0)  # on, for 0 seconds
    try:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        return
