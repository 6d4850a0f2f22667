"""WSGI responses with a complete body."""

import typing

from masticquay_entry import refusals

JSON_TYPE = ('Content-Type', 'application/json')

StartResponse = typing.Callable[[str, refusals.Headers], typing.Any]
Body = typing.Iterable[bytes]


def respond(
    status: int,
    headers: refusals.Headers,
    body: bytes,
    start_response: StartResponse,
) -> Body:
    """Starts a response and returns its body."""
    headers = [*headers, ('Content-Length', str(len(body)))]
    start_response(refusals.status_line(status), headers)
    return [body]


def refuse(refusal: refusals.Refusal, start_response: StartResponse) -> Body:
    """Responds with a refusal."""
    return respond(
        refusal.status, refusal.headers(), refusal.body(), start_response
    )
