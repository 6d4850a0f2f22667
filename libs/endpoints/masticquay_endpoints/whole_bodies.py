"""Reading of whole response bodies within limits."""

import io

from masticquay_endpoints import body_shares
from masticquay_endpoints import errors
from masticquay_endpoints import responses

READ_BYTES = 16 * 1024


def read(
    response: responses.Response,
    limit_bytes: int,
    memory: body_shares.BodyShare,
    due_s: float,
) -> bytes:
    """Reads the remaining body of a response piece by piece.

    :param memory: takes what the body needs
    :param due_s: monotonic time until which it may wait for memory
    :raises ProtocolViolationError: when the body exceeds the limit
    :raises BodyBudgetError: when the bodies being read take too much memory,
        and this is the largest
    :raises BudgetTimeoutError: when there is no memory until then
    :raises EndpointError: when the body is incomplete
    :raises OSError: when the connection fails or the time is over
    """
    _check_size(response.length or 0, limit_bytes)
    # Closed, since the traceback of an error may keep it for long.
    with io.BytesIO() as body:
        while response.length != 0:
            memory.require(body.tell() + READ_BYTES, due_s)
            piece = response.read1(READ_BYTES)
            if not piece:
                break
            _check_size(body.tell() + len(piece), limit_bytes)
            body.write(piece)
        if response.length:
            raise errors.EndpointError(
                f'response body is {response.length} bytes short'
            )
        return body.getvalue()


def _check_size(size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise errors.ProtocolViolationError(
            f'response body exceeds {limit_bytes} bytes'
        )
