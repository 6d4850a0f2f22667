"""Errors of the entry daemon."""

Headers = list[tuple[str, str]]


class GatewayError(Exception):
    """Any failure of this library."""


class ProtocolError(GatewayError):
    """An endpoint's answer breaks its protocol."""


class BrokenStreamError(GatewayError):
    """An engine ended a stream before its end."""


class NotRunError(GatewayError):
    """An engine refused a request without running it.

    :param status: the HTTP status of the refusal
    """

    def __init__(self, detail: str, status: int):
        super().__init__(detail)
        self.status = status


class PromptNotReadError(GatewayError):
    """No prefill engine read a prompt; no engine was asked to run it."""


class ForeignAnswerError(GatewayError):
    """An engine gave an answer that is not that of the request."""


class OwnFailureError(GatewayError):
    """An engine ran the request and answered with a failure."""

    def __init__(self, status: int, headers: Headers, body: bytes):
        super().__init__(f'status {status}')
        self.status = status
        self.headers = headers
        self.body = body
