"""Errors of the links between processes."""


class WireError(Exception):
    """Any failure of a link or of a message on it."""


class MessageError(WireError):
    """A message could not be read: unknown type, field or version."""


class PeerUnavailableError(WireError):
    """The peer could not be reached, or the link was lost."""


class CallTimeoutError(WireError):
    """No answer arrived within the timeout of the call."""


class AuthenticationError(WireError):
    """The peer did not prove that it knows the fleet secret."""


class VersionError(WireError):
    """The two sides have no protocol version in common."""


class RemoteError(WireError):
    """The peer refused or failed the call.

    :param code: a stable word for the cause, for example ``not-leader``
    :param detail: a sentence for people
    """

    def __init__(self, code: str, detail: str):
        super().__init__(f'{code}: {detail}')
        self.code = code
        self.detail = detail
