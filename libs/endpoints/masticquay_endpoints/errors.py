"""Errors of the clients of endpoints."""


class EndpointError(Exception):
    """An endpoint failed; what was sent may have run there."""


class NotSentError(EndpointError):
    """No byte went out, so nothing has run."""


class RefusedError(EndpointError):
    """The endpoint answered that it refuses.

    :param status: its HTTP status
    """

    def __init__(self, status: int, detail: str):
        super().__init__(f'{status}: {detail}')
        self.status = status
        self.detail = detail


class StalledError(EndpointError):
    """The endpoint sent nothing within the timeout."""


class GarbledError(EndpointError):
    """The endpoint's answer breaks its protocol."""


class InterruptedCallError(EndpointError):
    """The request was interrupted while it waited for the endpoint.

    :param reason: what the interrupt gave as its reason
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason
