"""Errors of the entry daemon."""


class GatewayError(Exception):
    """Any failure of this library."""


class ProtocolError(GatewayError):
    """An endpoint's answer breaks its protocol."""
