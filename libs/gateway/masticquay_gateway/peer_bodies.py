"""Sending of large request bodies to peers in pieces.

A peer takes memory for such a body before any of it is sent, since a link
keeps each message that it receives in full.
"""

import time

from masticquay_gateway import peer_messages
from masticquay_gateway import peer_requesters
from masticquay_serving import byte_budgets
from masticquay_serving import errors as serving_errors
from masticquay_wire import errors as wire_errors
from masticquay_wire import exchange_links

# A smaller body is part of its request.
MAX_INLINE_BYTES = byte_budgets.FREE_BYTES
PIECE_BYTES = 64 * 1024
# Another peer may have room, so there is little sense in a long wait.
MEMORY_WAIT_S = 0.1
# Between two pieces.
PIECE_TIMEOUT_MS = 5_000


def send_body(
    link: peer_requesters.Requester, body: bytes, timeout_ms: float
) -> peer_messages.PeerFailure | None:
    """Sends a body ahead of its request.

    :param timeout_ms: time until the peer answers that it has the memory
    :returns: None if the peer takes the body, else why it does not
    :raises WireError: when the link is lost, or the peer silent
    """
    link.send(peer_messages.PeerBody(len(body)))
    answer = link.receive(timeout_ms)
    if isinstance(answer, peer_messages.PeerFailure):
        return answer
    for start in range(0, len(body), PIECE_BYTES):
        end = start + PIECE_BYTES
        piece = peer_messages.PeerData(body[start:end], end >= len(body))
        link.send(piece)
    return None


class ReceivedBody:
    """A body that came ahead of its request.

    A context manager, which gives its memory back.

    :param link: is aborted when the memory is needed for smaller bodies, while
        the body is not complete
    :ivar data: the body, empty until it was received
    :ivar was_received: whether one was received
    """

    __slots__ = ('_link', '_memory', 'data', 'was_received')

    def __init__(self, link: exchange_links.ExchangeLink):
        self._link = link
        self._memory = byte_budgets.Share(byte_budgets.BUDGET, link.abort)
        self.data = b''
        self.was_received = False

    def __enter__(self) -> 'ReceivedBody':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.give_back()

    def give_back(self) -> None:
        """Frees the body and gives back the memory that it took."""
        self.data = b''
        self._memory.give_back()

    def take_memory(self, size_bytes: int) -> None:
        """Takes memory for a body of this size.

        :raises ServingError: when there is none
        """
        due_s = time.monotonic() + MEMORY_WAIT_S
        try:
            self._memory.require(size_bytes, due_s)
        except serving_errors.ServingError:
            self.give_back()
            raise

    def receive(self, size_bytes: int) -> None:
        """Receives the body, whose memory was granted.

        :raises WireError: when it does not come as announced
        """
        pieces = []
        received_bytes = 0
        is_last = False
        while not is_last:
            piece = self._link.receive(PIECE_TIMEOUT_MS)
            if not isinstance(piece, peer_messages.PeerData):
                raise wire_errors.MessageError('not a piece of a body')
            pieces.append(piece.data)
            received_bytes += len(piece.data)
            if received_bytes > size_bytes:
                raise wire_errors.MessageError('body longer than announced')
            is_last = piece.is_last
        if received_bytes < size_bytes or not self._memory.keep():
            raise wire_errors.MessageError('body incomplete')
        self.data = b''.join(pieces)
        self.was_received = True
