"""Errors of scheduling and rate limiting."""


class SchedulingError(Exception):
    """Base class of the errors of pools and rate limiters."""


class NotOwnerError(SchedulingError):
    """This host does not, or not yet, own a pool or rate limiter.

    The text is the name of the pool or workspace.
    """
