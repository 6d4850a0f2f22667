"""Requests from callers and the limits on them."""

import typing

Headers = list[tuple[str, str]]


class LimitsLike(typing.Protocol):
    """Any class with the fields of ``Limits``."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Limits:
    """Limits on the size and duration of requests.

    :param max_header_bytes: for all header fields of a request together
    :param max_body_bytes: for the decoded body
    :param header_timeout_ms: for the request line and all headers together,
        from their first byte
    :param idle_timeout_ms: how long a keep-alive connection may stay unused
    """

    __slots__ = (
        'max_header_bytes',
        'max_body_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
    )

    def __init__(
        self,
        max_header_bytes: int = 16 * 1024,
        max_body_bytes: int = 4 * 1024 * 1024,
        header_timeout_ms: int = 5_000,
        idle_timeout_ms: int = 30_000,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class Request:
    """A request from a caller, with its whole body.

    :param target: request target as sent, including any query
    :param started_s: monotonic time at which its first byte was available
    """

    __slots__ = ('method', 'target', 'headers', 'body', 'started_s')

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        started_s: float,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.started_s = started_s

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, None if it is absent.

        :param name: header name in lower case
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None
