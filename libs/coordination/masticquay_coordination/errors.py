"""Errors of the control daemon."""


class CoordinationError(Exception):
    """Any failure of this library."""


class NotServingError(CoordinationError):
    """This replica cannot answer; another may.

    :param leader: ``ip:port`` of the leader's link address, empty when
        unknown
    """

    def __init__(self, reason: str, leader: str = ''):
        super().__init__(reason)
        self.leader = leader


class UnknownOutcomeError(CoordinationError):
    """A change may or may not come into force."""


class ListError(CoordinationError):
    """The platform's list could not be read."""


class OrderError(CoordinationError):
    """An engine did not accept an order, or its answer was lost."""
