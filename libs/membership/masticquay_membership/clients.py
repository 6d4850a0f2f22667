"""The client of control: finds the leader, redials and sends again."""

from concurrent import futures
import threading

from masticquay_membership import errors
from masticquay_membership import messages as membership
from masticquay_wire import clocks
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages
from masticquay_wire import peers

ATTEMPT_TIMEOUT_MS = 1_500
CONNECT_WAIT_MS = 400
RETRY_PAUSE_MS = 100
# Answers after which the same call may succeed at another replica, or later.
RETRIED_CODES = frozenset([membership.CODE_NO_LEADER, 'uncertain'])


class ControlClient:
    """Calls control through any of its replicas.

    Every command of control is idempotent by its content, so a call whose
    answer was lost is sent again, to the next replica.

    :param addresses: ``ip:port`` of the replicas, or ``peers.Address``
    """

    def __init__(
        self,
        addresses: list[str | peers.Address],
        name: str,
        secret: bytes,
        clock: clocks.Clock | None = None,
    ):
        if not addresses:
            raise ValueError('no address of control')
        self.addresses = [_parse(address) for address in addresses]
        self._name = name
        self._secret = secret
        self._clock = clock or clocks.MonotonicClock()
        self._lock = threading.Lock()
        self._peers: dict[int, dialers.WebsocketPeer] = {}
        self._preferred = 0
        self._closed = False
        self.retry_count = 0

    def call(
        self, message: messages.Message, timeout_ms: int
    ) -> messages.Message:
        """Sends a call until it is answered.

        :raises RemoteError: when control refused it; it was not done
        :raises MembershipError: when no answer came in time; it may have
            been done
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0 or self._closed:
                raise errors.MembershipError(
                    f'no answer from control in {timeout_ms} ms'
                )
            number = self._preferred
            try:
                return self._attempt(number, message, left_ms)
            except wire_errors.RemoteError as cause:
                if cause.code not in RETRIED_CODES:
                    raise
                self._move_on(number)
            except wire_errors.WireError:
                self._move_on(number)
            left_ms = deadline_ms - self._clock.now_ms()
            self._clock.sleep_ms(max(0, min(RETRY_PAUSE_MS, left_ms)))

    def close(self) -> None:
        """Closes all links."""
        with self._lock:
            self._closed = True
            closing = list(self._peers.values())
            self._peers.clear()
        for peer in closing:
            peer.close()

    def _attempt(
        self, number: int, message: messages.Message, left_ms: int
    ) -> messages.Message:
        """Sends a call to one replica; gives up early without a link."""
        timeout_ms = min(left_ms, ATTEMPT_TIMEOUT_MS)
        peer = self._peer(number)
        answer = peer.submit(message, timeout_ms)
        try:
            return answer.result(min(timeout_ms, CONNECT_WAIT_MS) / 1000)
        except futures.TimeoutError as cause:
            if not peer.connected:
                raise wire_errors.PeerUnavailableError(
                    f'{peer.address}: no link'
                ) from cause
        try:
            return answer.result(timeout_ms / 1000)
        except futures.TimeoutError as cause:
            raise wire_errors.CallTimeoutError(
                f'{peer.address}: no answer'
            ) from cause

    def _peer(self, number: int) -> dialers.WebsocketPeer:
        with self._lock:
            peer = self._peers.get(number)
            if peer is None:
                peer = dialers.WebsocketPeer(
                    self.addresses[number], self._name, self._secret
                )
                self._peers[number] = peer
            return peer

    def _move_on(self, number: int) -> None:
        """Prefers the next replica, unless another call did so already."""
        with self._lock:
            self.retry_count += 1
            if self._preferred == number:
                self._preferred = (number + 1) % len(self.addresses)


def _parse(address: str | peers.Address) -> peers.Address:
    if isinstance(address, peers.Address):
        return address
    return peers.Address.parse(address)
