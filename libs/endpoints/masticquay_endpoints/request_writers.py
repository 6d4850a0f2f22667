"""Writes requests to endpoints."""

import http.client

Headers = list[tuple[str, str]]


def write_request(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
) -> None:
    """Sends the head and the body of a request.

    :raises OSError: when the connection is broken
    """
    has_host_header = any(name.lower() == 'host' for name, _value in headers)
    connection.putrequest(
        method, path, skip_host=has_host_header, skip_accept_encoding=True
    )
    for name, value in headers:
        connection.putheader(name, value)
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        connection.putheader('Content-Length', str(len(body)))
    connection.endheaders(body or None)
