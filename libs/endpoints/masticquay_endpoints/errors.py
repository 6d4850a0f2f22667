"""Errors raised by the clients of endpoints."""


class EndpointError(Exception):
    """A call to an endpoint failed.

    Unless a subclass says otherwise, the endpoint may have executed it.
    """


class NotSentError(EndpointError):
    """No byte of the request was sent, so it was not executed."""


class RefusedError(EndpointError):
    """The endpoint answered with another status than that of a success.

    It may have executed the request unless the error is a ``NotRunError``.

    :param status: HTTP status of the response
    :param detail: error code of the response, or the requested path
    """

    def __init__(self, status: int, detail: str):
        super().__init__(f'{status}: {detail}')
        self.status = status
        self.detail = detail


class NotRunError(RefusedError):
    """The endpoint refused the request and said that it did not execute it."""


class StalledError(EndpointError):
    """The endpoint sent nothing within the timeout."""


class ExchangeTimeoutError(StalledError):
    """The endpoint sent data, but not all that was due within the timeout.

    It is an endless answer, or a slow one.
    """


class BudgetTimeoutError(StalledError):
    """The time passed while other bodies took up this process's memory.

    The endpoint is not to blame.
    """


class BodyBudgetError(EndpointError):
    """The bodies being read took too much memory; this was the largest."""


class ProtocolViolationError(EndpointError):
    """The response of the endpoint violates its protocol."""


class InterruptedCallError(EndpointError):
    """The call was interrupted before it completed.

    The endpoint may have executed it if the request was sent before.

    :param reason: the reason that the interrupt was fired with
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason
