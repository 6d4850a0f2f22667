"""Errors of the control daemon."""


class CoordinationError(Exception):
    """Base class of all errors of this library."""


class NotServingError(CoordinationError):
    """This replica cannot serve the request, but another may.

    :param leader: ``ip:port`` at which the leader accepts links; empty if
        unknown
    """

    def __init__(self, reason: str, leader: str = ''):
        super().__init__(reason)
        self.leader = leader


class UnknownOutcomeError(CoordinationError):
    """It is unknown whether a change was or will be committed."""


class ListError(CoordinationError):
    """The platform's endpoint list could not be read."""


class OrderError(CoordinationError):
    """An engine did not accept an order, or its answer was lost.

    :param pause_ms: how long the engine wants no requests from this replica,
        0 if it asked for no pause
    """

    def __init__(self, reason: str, pause_ms: int = 0):
        super().__init__(reason)
        self.pause_ms = pause_ms
