"""Errors of membership."""


class MembershipError(Exception):
    """Control did not confirm what a host asked for."""


class LeaseLostError(MembershipError):
    """This host holds no session lease now."""
