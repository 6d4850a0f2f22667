"""Exchanges with endpoints by way of another entry host."""

import contextlib
import http.client
import time
import typing

from masticquay_endpoints import body_shares
from masticquay_endpoints import channels
from masticquay_endpoints import errors as endpoint_errors
from masticquay_endpoints import interrupts
from masticquay_endpoints import whole_bodies
from masticquay_gateway import errors
from masticquay_gateway import peer_bodies
from masticquay_gateway import peer_links
from masticquay_gateway import peer_messages
from masticquay_gateway import peer_requesters
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_serving import counters
from masticquay_serving import status_lines
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages

# Peers that are asked to take a request before it is given up.
MAX_PEERS = 3
# The peer has so much less time, so that its word on a silent endpoint comes
# before this host gives up on the peer.
HOP_MS = 25

_ERRORS = {
    peer_messages.FailureKind.NOT_TAKEN: errors.NoPathError,
    peer_messages.FailureKind.NOT_SENT: endpoint_errors.NotSentError,
    peer_messages.FailureKind.STALLED: endpoint_errors.StalledError,
    peer_messages.FailureKind.UNFINISHED: endpoint_errors.ExchangeTimeoutError,
    peer_messages.FailureKind.BROKEN: endpoint_errors.EndpointError,
    peer_messages.FailureKind.ENDED: errors.EndpointEndedError,
    peer_messages.FailureKind.PATH_LOST: errors.PeerBrokenError,
}
# These promise that the endpoint was not sent the request.
_NOT_SENT_KINDS = (
    peer_messages.FailureKind.NOT_TAKEN,
    peer_messages.FailureKind.NOT_SENT,
)


class PeerResponse:
    """An endpoint's answer as it comes from the peer.

    :ivar length: None until all of it was read, then 0
    """

    __slots__ = (
        'status',
        'headers',
        'will_close',
        'chunked',
        'length',
        '_receive',
        '_data',
        '_has_ended',
    )

    def __init__(
        self,
        head: peer_messages.PeerHead,
        receive: typing.Callable[[], peer_messages.PeerData],
    ):
        self.status = head.status
        self.headers = http.client.HTTPMessage()
        for name, value in head.headers:
            self.headers.add_header(name, value)
        # No other answer follows on the link.
        self.will_close = True
        self.chunked = False
        self.length: int | None = None
        self._receive = receive
        self._data = b''
        self._has_ended = False

    def read1(self, size_bytes: int) -> bytes:
        """Returns further data of the body, nothing at its end."""
        while not self._data and not self._has_ended:
            piece = self._receive()
            self._data = piece.data
            self._has_ended = piece.is_last
        data, self._data = self._data[:size_bytes], self._data[size_bytes:]
        if self._has_ended and not self._data:
            self.length = 0
        return data

    @property
    def is_read(self) -> bool:
        """Whether the whole body was read."""
        return self.length == 0

    def close(self) -> None:
        """Does nothing, as the link stays open."""


class PeerConnection:
    """What an exchange by way of a peer has in place of a connection.

    :ivar exchange_count: always 1
    """

    __slots__ = ('due_s', 'exchange_count', 'reused')

    def __init__(self) -> None:
        self.due_s = time.monotonic()
        self.exchange_count = 1
        self.reused = False

    @property
    def remaining_ms(self) -> float:
        """Time until further data is due."""
        return (self.due_s - time.monotonic()) * 1000

    def set_timeout(self, timeout_ms: int) -> None:
        """Limits the time from now until all further waits end."""
        self.due_s = time.monotonic() + max(1, timeout_ms) / 1000

    def record_call(self, call_id: str) -> None:
        """Does nothing: the peer knows what its connections carried."""

    def has_carried(self, call_ids: typing.AbstractSet[str]) -> bool:
        """Whether it carried earlier requests, which it never did."""
        return False


class PeerExchange:
    """One request and its answer, sent to the endpoint by a peer.

    Used like ``connections.Exchange``. The peer uses its own connections only,
    so there is one hop at most.

    :ivar peer: the host that sends the request, None before ``connect``
    """

    def __init__(
        self,
        links: peer_links.PeerLinks,
        endpoint: fleets.Endpoint,
        purpose: ports.ExchangePurpose,
        interrupt: interrupts.Interrupt,
        registry: counters.Registry,
    ):
        self._links = links
        self._endpoint = endpoint
        self._purpose = purpose
        self._interrupt = interrupt
        self._registry = registry
        self._stack = contextlib.ExitStack()
        self._memory = body_shares.BodyShare()
        self._refused_by: set[str] = set()
        self._received = False
        self.connection = PeerConnection()
        self.response: PeerResponse | None = None
        self.peer: fleets.Host | None = None
        self._link: peer_requesters.Requester | None = None
        self._on_silence: channels.SilenceHook | None = None
        self._received_s = time.monotonic()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def connect(self) -> None:
        """Takes a link to a peer.

        :raises NoPathError: when no peer can be reached
        :raises InterruptedCallError: when the interrupt was fired
        """
        self._interrupt.check()
        self.peer, self._link = self._links.acquire(
            self._refused_by, self._purpose.allows_place
        )
        self._stack.callback(self._return_link)
        self._stack.enter_context(self._interrupt.registered(self._link.abort))

    def send(
        self,
        method: str,
        path: str,
        headers: ports.Headers,
        body: bytes,
        timeout_ms: int,
    ) -> PeerResponse:
        """Has a peer send the request; waits for the head of the answer.

        :raises NoPathError: when no peer takes it
        :raises EndpointError: see ``connections.Exchange.send``
        """
        self.connection.set_timeout(timeout_ms)
        endpoint = self._endpoint
        while True:
            if len(body) > peer_bodies.MAX_INLINE_BYTES:
                self._send_ahead(body)
            request = peer_messages.PeerRequest(
                endpoint.endpoint_id,
                endpoint.started_ms,
                self._purpose.call_id,
                method,
                path,
                headers,
                b'' if len(body) > peer_bodies.MAX_INLINE_BYTES else body,
                max(1, int(self.connection.remaining_ms) - HOP_MS),
                max(self._purpose.lasts_ms, timeout_ms),
                self._purpose.needs_stamp,
            )
            with self.translate_errors():
                self._link.send(request)
                answer = self._receive()
            if isinstance(answer, peer_messages.PeerHead):
                if answer.status not in status_lines.STATUSES:
                    # A peer of an earlier release passes any number on.
                    raise endpoint_errors.EndpointError(
                        f'status {answer.status} by way of a peer'
                    )
                self._count('answered')
                self.response = PeerResponse(answer, self._receive_data)
                return self.response
            self._take_to_another_peer(answer)

    def _send_ahead(self, body: bytes) -> None:
        """Sends a large body to the first peer that has memory for it.

        The request itself follows later, so whatever fails here, the endpoint
        was not sent it. A peer that does not answer in time may do so later;
        its link is not used again.

        :raises NoPathError: when none has in time
        """
        while True:
            try:
                refusal = peer_bodies.send_body(
                    self._link, body, self.connection.remaining_ms
                )
            except wire_errors.WireError as cause:
                self._interrupt.check()
                self._links.avoid(self.peer)
                refusal = peer_messages.PeerFailure(
                    peer_messages.FailureKind.NOT_TAKEN.value, str(cause)
                )
            if refusal is None:
                return
            self._take_to_another_peer(refusal)

    def read_next(self, limit_bytes: int) -> None:
        """Raises an error, as the peer reads past answers to others.

        :raises PeerBrokenError: always
        """
        raise errors.PeerBrokenError('answer to another request')

    def read_body(self, limit_bytes: int) -> bytes:
        """Reads the remaining body; see ``connections.Exchange``."""
        with self.translate_errors(), self._memory:
            body = whole_bodies.read(
                self.response, limit_bytes, self._memory, self.connection.due_s
            )
        self._interrupt.check()
        return body

    def outlast_silence(self, hook: channels.SilenceHook) -> None:
        """Has a hook decide at each timeout whether to wait longer."""
        self._on_silence = hook

    def is_path_doubtful(self) -> bool:
        """Returns True, as the silence may be the peer's."""
        return True

    def hold_memory(self, size_bytes: int) -> None:
        """Takes memory for data that is kept until more of it has come."""
        self._memory.hold(size_bytes, self.connection.due_s)

    def mark_finished(self) -> None:
        """Does nothing, as the link knows whether its answer is whole."""

    def close(self) -> None:
        """Returns the link, or closes it, which ends the exchange."""
        self._memory.give_back()
        self._stack.close()

    @contextlib.contextmanager
    def translate_errors(self) -> typing.Iterator[None]:
        """Translates errors of the link into those of endpoints.

        :raises InterruptedCallError: when the interrupt caused the error
        :raises ExchangeTimeoutError: when the time was over amid the answer
        :raises PeerBrokenError: when the link was lost, or the peer silent
        """
        try:
            yield
        except endpoint_errors.EndpointError:
            self._interrupt.check()
            raise
        except wire_errors.CallTimeoutError as cause:
            self._interrupt.check()
            raise self._make_timeout_error() from cause
        except wire_errors.WireError as cause:
            self._interrupt.check()
            self._count('link lost')
            self._links.avoid(self.peer)
            raise errors.PeerBrokenError(
                f'peer {self.peer.name}: {cause}'
            ) from cause

    def _make_timeout_error(self) -> endpoint_errors.EndpointError:
        self._count('timed out')
        if self._received:
            return endpoint_errors.ExchangeTimeoutError(
                f'peer {self.peer.name}: data unfinished within the timeout'
            )
        # The peer did not even tell of its own timeout.
        self._links.avoid(self.peer)
        return errors.PeerBrokenError(
            f'peer {self.peer.name}: no answer within the timeout',
            is_stalled=True,
        )

    def _receive(self) -> wire_messages.Message:
        message = self._link.receive(self.connection.remaining_ms)
        self._received = isinstance(message, peer_messages.PeerHead)
        return message

    def _receive_data(self) -> peer_messages.PeerData:
        with self.translate_errors():
            message = self._receive_patiently()
            if isinstance(message, peer_messages.PeerFailure):
                raise _make_error(message, was_answered=True)
        return message

    def _receive_patiently(self) -> wire_messages.Message:
        while True:
            try:
                message = self._link.receive(self.connection.remaining_ms)
            except wire_errors.CallTimeoutError:
                if not self._waits_longer():
                    raise
                continue
            self._received_s = time.monotonic()
            return message

    def _waits_longer(self) -> bool:
        if self._on_silence is None:
            return False
        quiet_ms = (time.monotonic() - self._received_s) * 1000
        more_ms = self._on_silence(quiet_ms)
        if more_ms > 0:
            self.connection.set_timeout(more_ms)
        return more_ms > 0

    def _take_to_another_peer(self, answer: peer_messages.PeerFailure) -> None:
        """Goes on with another peer if this one sent nothing, else raises.

        Also raises if no time is left.

        :raises EndpointError: as the peer says
        """
        self._count(answer.kind)
        error = _make_error(answer)
        if not isinstance(error, errors.NoPathError):
            raise error
        if self.connection.remaining_ms <= 0:
            raise error
        self._refused_by.add(self.peer.name)
        if len(self._refused_by) >= MAX_PEERS:
            raise error
        self._stack.close()
        self.connect()

    def _count(self, outcome: str) -> None:
        self._registry.count(
            'peer_exchanges',
            'peer',
            self.peer.name if self.peer else '',
            'outcome',
            outcome,
        )

    def _return_link(self) -> None:
        self._links.release(self.peer, self._link)


def _make_error(
    failure: peer_messages.PeerFailure, was_answered: bool = False
) -> endpoint_errors.EndpointError:
    """Returns the error that a failure stands for.

    :param was_answered: whether the endpoint has begun to answer, so that it
        has got the request whatever the peer says
    """
    try:
        kind = peer_messages.FailureKind(failure.kind)
    except ValueError:
        return errors.PeerBrokenError(f'unknown failure {failure.kind}')
    if was_answered and kind in _NOT_SENT_KINDS:
        return errors.PeerBrokenError(f'{failure.kind} amid the answer')
    return _ERRORS[kind](failure.detail)
