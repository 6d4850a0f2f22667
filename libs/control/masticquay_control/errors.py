"""Exceptions raised by control."""


class ControlError(Exception):
    """Base class of the errors of control."""


class NoLeaderError(ControlError):
    """This replica is not the acting leader."""


class CorruptStateError(ControlError):
    """A command or snapshot of the state machine cannot be decoded."""


class CallError(ControlError):
    """An HTTP call to an engine or to the platform list failed."""
