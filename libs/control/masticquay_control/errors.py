"""Errors of control."""


class ControlError(Exception):
    """Control could not do what it was asked."""


class NoLeaderError(ControlError):
    """This replica is not an acting leader."""


class CorruptStateError(ControlError):
    """A command or a snapshot of the state machine could not be read."""


class OrderError(ControlError):
    """An order to an endpoint failed."""
