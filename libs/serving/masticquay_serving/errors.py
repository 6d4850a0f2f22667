"""Errors of the serving library."""


class ServingError(Exception):
    """Any failure of this library."""


class BadRequestError(ServingError):
    """A caller sent something that cannot be served.

    :param status: the HTTP status that says so
    """

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


class CallerLeftError(ServingError):
    """The caller's connection is gone or takes no data."""
