"""JSON requests over HTTP to engines and to the platform list."""

import json
import typing

from masticquay_control import errors
from masticquay_serving import errors as serving_errors
from masticquay_serving import http_clients

# With its head.
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

    :param timeout_ms: for the whole call
    :param may_send: called once connected, just before sending; if it returns
        False, the request is not sent
    :raises CallError: when the request was not sent, or no valid response
        arrived in time
    """
    client = http_clients.Client(
        address, timeout_ms / 1000, MAX_RESPONSE_BYTES
    )
    try:
        client.connect()
        if not may_send():
            raise errors.CallError(
                f'{address}: request not sent: the lease is lost or too short'
            )
        return _send_request(client, method, path, body)
    except (serving_errors.ExchangeError, ValueError, RecursionError) as cause:
        client.abort()
        raise errors.CallError(f'{address}: {cause!r}') from cause
    finally:
        client.close()


def _send_request(
    client: http_clients.Client,
    method: str,
    path: str,
    body: dict[str, typing.Any] | None,
) -> JsonResponse:
    headers = {'Connection': 'close'}
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        headers['Content-Type'] = 'application/json'
    answer = client.call(method, path, headers, data)
    if not answer.body and answer.is_framed:
        return JsonResponse(answer.status, {})
    payload = json.loads(answer.body)
    if not isinstance(payload, dict):
        raise ValueError('the response is not a JSON object')
    return JsonResponse(answer.status, payload)
