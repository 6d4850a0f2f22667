"""Errors of the serving library."""


class ServingError(Exception):
    """Base class of this library's errors."""


class BadRequestError(ServingError):
    """A request is malformed or exceeds a limit.

    :param status: HTTP status of the response
    :param detail: reason, sent as the response body
    """

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


class BodyBudgetError(ServingError):
    """The bodies being read took too much memory; this was the largest."""


class BudgetTimeoutError(ServingError):
    """The time passed while other bodies took up this process's memory."""


class CallerDisconnectedError(ServingError):
    """The caller closed the connection or accepts no more data."""


class ExchangeError(ServingError):
    """A request to a peer failed, or its answer exceeds a limit."""
