"""Errors of scheduling."""


class SchedulingError(Exception):
    """Any failure of a pool or of a rate limiter."""


class NotOwnerError(SchedulingError):
    """This host is not the owner, or not yet."""
