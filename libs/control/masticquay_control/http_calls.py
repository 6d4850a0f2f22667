"""Single JSON calls to engines and to the platform list."""

import http.client
import json
import socket
import struct
import time
import typing

from masticquay_control import errors

MAX_ANSWER_BYTES = 4 * 1024 * 1024

MaySend = typing.Callable[[], bool]


class JsonAnswer:
    """The status of an answer and its JSON object."""

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
) -> JsonAnswer:
    """Makes one call over a connection of its own.

    What was not delivered when the call fails is dropped, not sent later.

    :param may_send: asked once the connection stands, just before sending
    :raises OrderError: when there was no valid answer, or no leave to send
    """
    deadline_s = time.monotonic() + timeout_ms / 1000
    connection = http.client.HTTPConnection(address, timeout=timeout_ms / 1000)
    try:
        connection.connect()
        if not may_send():
            raise errors.OrderError(f'{address}: the lease is too short')
        return _exchange(connection, method, path, body, deadline_s)
    except (OSError, http.client.HTTPException, ValueError) as cause:
        _abort(connection)
        raise errors.OrderError(f'{address}: {cause!r}') from cause
    finally:
        connection.close()


def _exchange(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: dict[str, typing.Any] | None,
    deadline_s: float,
) -> JsonAnswer:
    headers = {'Connection': 'close'}
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        headers['Content-Type'] = 'application/json'
    connection.sock.settimeout(_left_s(deadline_s))
    connection.request(method, path, data, headers)
    connection.sock.settimeout(_left_s(deadline_s))
    response = connection.getresponse()
    answer = json.loads(response.read(MAX_ANSWER_BYTES) or b'{}')
    if not isinstance(answer, dict):
        raise ValueError('the answer is no JSON object')
    return JsonAnswer(response.status, answer)


def _left_s(deadline_s: float) -> float:
    left_s = deadline_s - time.monotonic()
    if left_s <= 0:
        raise TimeoutError('no time is left')
    return left_s


def _abort(connection: http.client.HTTPConnection) -> None:
    """Makes the close discard data that was not delivered."""
    if connection.sock is None:
        return
    linger = struct.pack('ii', 1, 0)
    try:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        return
