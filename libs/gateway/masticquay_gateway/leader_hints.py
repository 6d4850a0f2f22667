"""What a replica that does not lead says of the leader."""

from masticquay_routing import messages
from masticquay_wire import errors as wire_errors


def find_leader(error: BaseException) -> str:
    """Returns the leader's address from a replica's error, or ''."""
    if not isinstance(error, wire_errors.RemoteError):
        return ''
    is_address = error.code == messages.CODE_NOT_LEADER and ':' in error.detail
    return error.detail if is_address else ''
