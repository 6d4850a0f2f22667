"""WSGI responses of whole bodies."""

import typing

from masticquay_entry import refusals

JSON_TYPE = ('Content-Type', 'application/json')

StartResponse = typing.Callable[[str, refusals.Headers], typing.Any]
Body = typing.Iterable[bytes]


def answer(
    status: int,
    headers: refusals.Headers,
    body: bytes,
    start_response: StartResponse,
) -> Body:
    """Answers with a whole body."""
    headers = [*headers, ('Content-Length', str(len(body)))]
    start_response(refusals.status_line(status), headers)
    return [body]


def refuse(refusal: refusals.Refusal, start_response: StartResponse) -> Body:
    """Answers with a refusal."""
    return answer(
        refusal.status, refusal.headers(), refusal.body(), start_response
    )
