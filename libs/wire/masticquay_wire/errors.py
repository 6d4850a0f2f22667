"""Errors raised by links and by the messages on them."""


class WireError(Exception):
    """Base class of the errors of links and messages."""


class MessageError(WireError):
    """A message is malformed, of unknown type, or too large."""


class PeerUnavailableError(WireError):
    """The peer cannot be reached, or the link to it was lost or closed.

    Also raised when too many calls to the peer are pending.
    """


class CallTimeoutError(WireError):
    """No answer arrived within the timeout of the call."""


class AuthenticationError(WireError):
    """A handshake failed, usually since the fleet secrets differ.

    Either a side did not prove that it knows the secret, or a handshake
    message was malformed.
    """


class VersionError(WireError):
    """The protocol versions of the two sides differ by more than one."""


class RemoteError(WireError):
    """The peer refused the call, or its handler failed.

    :param code: stable identifier of the cause, such as ``not-leader``
    :param detail: human-readable explanation
    """

    def __init__(self, code: str, detail: str):
        super().__init__(f'{code}: {detail}')
        self.code = code
        self.detail = detail
