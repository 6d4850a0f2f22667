"""A client of control that retries a call at each replica in turn."""

from concurrent import futures
import threading

from masticquay_membership import errors
from masticquay_membership import messages as membership_messages
from masticquay_wire import clocks
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

# A call waits this long for the reply of one replica.
ATTEMPT_TIMEOUT_MS = 1_500
CONNECT_WAIT_MS = 400
RETRY_DELAY_MS = 100
# Failure codes after which the call may succeed at another replica or later.
# Only the first of them says that it has had no effect.
RETRIED_CODES = frozenset(
    [
        membership_messages.CODE_NO_LEADER,
        'uncertain',
        listeners.CODE_ANSWER_LOST,
        listeners.CODE_INTERNAL,
    ]
)


class ControlClient:
    """Calls control through any of its replicas.

    Every command is idempotent by its content, so a call whose reply was lost
    is sent again, to the next replica.

    :param addresses: the replicas, as ``ip:port`` or ``peers.Address``
    :param name: the name under which the client identifies itself
    :param secret: the fleet's shared secret
    """

    def __init__(
        self,
        addresses: list[str | peers.Address],
        name: str,
        secret: bytes,
        clock: clocks.Clock | None = None,
    ):
        if not addresses:
            raise ValueError('at least one control address is required')
        self.addresses = [_parse_address(address) for address in addresses]
        self._name = name
        self._secret = secret
        self._clock = clock or clocks.MonotonicClock()
        self._lock = threading.Lock()
        self._peers: dict[int, dialers.WebsocketPeer] = {}
        self._preferred_index = 0
        self._closed = False
        self.retry_count = 0

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call, with retries, until a replica replies.

        :raises RemoteError: when control refused the call, which had no
            effect
        :raises MembershipError: when no reply arrived in time, or the client
            was closed; the call may have taken effect
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0 or self._closed:
                raise errors.MembershipError(
                    f'control did not reply within {timeout_ms} ms'
                )
            index = self._preferred_index
            try:
                return self._try_replica(index, message, remaining_ms)
            except wire_errors.RemoteError as cause:
                if cause.code not in RETRIED_CODES:
                    raise
                self._prefer_next(index)
            except wire_errors.WireError:
                self._prefer_next(index)
            remaining_ms = deadline_ms - self._clock.now_ms()
            self._clock.sleep_ms(max(0, min(RETRY_DELAY_MS, remaining_ms)))

    def close(self) -> None:
        """Closes the links to all replicas."""
        with self._lock:
            self._closed = True
            open_peers = list(self._peers.values())
            self._peers.clear()
        for peer in open_peers:
            peer.close()

    def _try_replica(
        self, index: int, message: messages.Message, remaining_ms: int
    ) -> messages.Message:
        """Sends a call to one replica.

        Fails after ``CONNECT_WAIT_MS`` if the link is not connected by then.
        """
        timeout_ms = min(remaining_ms, ATTEMPT_TIMEOUT_MS)
        peer = self._get_peer(index)
        reply = peer.submit(message, timeout_ms)
        try:
            return reply.result(min(timeout_ms, CONNECT_WAIT_MS) / 1000)
        except futures.TimeoutError as cause:
            if not peer.connected:
                raise wire_errors.PeerUnavailableError(
                    f'{peer.address}: not connected'
                ) from cause
        try:
            return reply.result(timeout_ms / 1000)
        except futures.TimeoutError as cause:
            raise wire_errors.CallTimeoutError(
                f'{peer.address}: no reply before the timeout'
            ) from cause

    def _get_peer(self, index: int) -> dialers.WebsocketPeer:
        with self._lock:
            peer = self._peers.get(index)
            if peer is None:
                peer = dialers.WebsocketPeer(
                    self.addresses[index], self._name, self._secret
                )
                self._peers[index] = peer
            return peer

    def _prefer_next(self, index: int) -> None:
        """Prefers the next replica, unless a concurrent call already does."""
        with self._lock:
            self.retry_count += 1
            if self._preferred_index == index:
                self._preferred_index = (index + 1) % len(self.addresses)


def _parse_address(address: str | peers.Address) -> peers.Address:
    if isinstance(address, peers.Address):
        return address
    return peers.Address.parse(address)
