"""Sends requests to endpoints for other entry hosts without a path."""

from concurrent import futures
import logging
import threading
import time

from masticquay_endpoints import connections
from masticquay_gateway import answers
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import fleet_states
from masticquay_gateway import notices
from masticquay_gateway import peer_messages
from masticquay_gateway import peer_responders
from masticquay_gateway import reach_watches
from masticquay_routing import fleets
from masticquay_serving import counters
from masticquay_serving import errors as serving_errors
from masticquay_wire import errors as wire_errors
from masticquay_wire import exchange_links
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

# Requests of peers that a host runs at once, beside those of its callers.
MAX_REQUESTS = 64
# Of the bodies that come with requests, together.
MAX_BODIES_BYTES = 16 * 1024 * 1024
READ_SIZE_BYTES = 16 * 1024
# A link without a request for this long is closed: the other host may be gone.
LINK_IDLE_TIMEOUT_MS = 15_000


class PeerService:
    """Runs one exchange at a time for each link of another host.

    It uses this host's own connections only, so a request takes one hop at
    most. The host that asks checks the answer, and counts the request.

    :param address: where to accept links
    :param checker: records what endpoints say of themselves in answers
    """

    def __init__(
        self,
        address: peers.Address,
        secret: bytes,
        state: fleet_states.FleetState,
        pools: exchanges.ConnectionPools,
        endpoint_notices: notices.EndpointNotices,
        checker: answers.AnswerChecker,
        watch: reach_watches.ReachWatch,
        registry: counters.Registry,
    ):
        self._state = state
        self._pools = pools
        self._notices = endpoint_notices
        self._checker = checker
        self._watch = watch
        self._registry = registry
        self._listener = exchange_links.ExchangeListener(
            address, secret, self._serve
        )
        self._executor = futures.ThreadPoolExecutor(
            MAX_REQUESTS, thread_name_prefix='peer-request'
        )
        self._lock = threading.Lock()
        self._active = 0
        self._bodies_bytes = 0
        self._is_draining = False

    @property
    def active_count(self) -> int:
        """Number of requests in progress."""
        return self._active

    def start(self) -> None:
        """Accepts links from now on.

        :raises OSError: when the address cannot be bound
        """
        self._listener.start()

    def drain(self) -> None:
        """Takes no further requests."""
        self._is_draining = True

    def close(self) -> None:
        """Ends all links and with them their requests."""
        self._listener.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _serve(self, link: exchange_links.ExchangeLink) -> None:
        """Serves a link until it ends; its end also ends the exchange."""
        responder: peer_responders.Responder | None = None
        try:
            while True:
                try:
                    frame = link.receive_frame(LINK_IDLE_TIMEOUT_MS)
                except wire_errors.CallTimeoutError:
                    if responder is None or not responder.is_running:
                        return
                    continue
                if responder is None or responder.is_over:
                    responder = peer_responders.Responder(
                        link, frame.call_number
                    )
                responder.check_turn(frame)
                self._receive(responder, frame.message)
        except wire_errors.MessageError as cause:
            LOG.warning(
                'link of a peer ended',
                extra={'peer': link.peer_name, 'cause': str(cause)},
            )
        finally:
            if responder is not None:
                responder.end()

    def _receive(
        self,
        responder: peer_responders.Responder,
        message: wire_messages.Message,
    ) -> None:
        """Receives a request, or the body ahead of it.

        :raises WireError: when the body does not come as announced
        """
        if isinstance(message, peer_messages.PeerBody):
            self._receive_body(responder, message)
        elif isinstance(message, peer_messages.PeerRequest):
            self._begin(responder, message)
        else:
            raise wire_errors.MessageError(
                f'{type(message).__name__} is no request'
            )

    def _receive_body(
        self,
        responder: peer_responders.Responder,
        announced: peer_messages.PeerBody,
    ) -> None:
        """Receives a body ahead of its request, or refuses it.

        :raises WireError: when it does not come as announced
        """
        reason = self._reason_to_refuse_all()
        if not reason:
            try:
                responder.body.take_memory(announced.size_bytes)
            except serving_errors.ServingError as cause:
                reason = str(cause)
        if reason:
            failure = _make_failure(
                peer_messages.FailureKind.NOT_TAKEN, reason
            )
            self._fail(responder, '', '', failure)
            return
        responder.send(peer_messages.PeerBodyGranted())
        responder.body.receive(announced.size_bytes)

    def _begin(
        self,
        responder: peer_responders.Responder,
        request: peer_messages.PeerRequest,
    ) -> None:
        """Runs a request in another thread, or refuses it at once."""
        reason = self._reason_to_refuse(request)
        if reason:
            responder.body.give_back()
            failure = _make_failure(
                peer_messages.FailureKind.NOT_TAKEN, reason
            )
            self._fail(
                responder, request.call_id, request.endpoint_id, failure
            )
            return
        with self._lock:
            self._active += 1
            self._bodies_bytes += len(request.body)
        responder.begin()
        self._executor.submit(self._run, responder, request)

    def _reason_to_refuse_all(self) -> str:
        """Returns why no request is taken, empty if some are."""
        if self._is_draining:
            return 'host stops'
        if self._watch.is_lost:
            return 'host has no path itself'
        if self._active >= MAX_REQUESTS:
            return 'too many requests of peers'
        return ''

    def _reason_to_refuse(self, request: peer_messages.PeerRequest) -> str:
        """Returns why a request is not taken, empty if it is."""
        reason = self._reason_to_refuse_all()
        if reason:
            return reason
        # Hosts of an earlier revision send large bodies with the request.
        if self._bodies_bytes + len(request.body) > MAX_BODIES_BYTES:
            return 'too large bodies of peers'
        endpoint = self._state.endpoint(request.endpoint_id)
        if endpoint is None or endpoint.started_ms != request.started_ms:
            return 'endpoint is not listed here'
        if self._notices.is_withheld(endpoint):
            return 'endpoint leaves or wants a pause'
        return ''

    def _run(
        self,
        responder: peer_responders.Responder,
        request: peer_messages.PeerRequest,
    ) -> None:
        try:
            endpoint = self._state.endpoint(request.endpoint_id)
            if endpoint is None or endpoint.started_ms != request.started_ms:
                raise errors.NoPathError('endpoint is not listed any more')
            self._exchange(responder, request, endpoint)
            self._registry.count(
                'exchanges_for_peers',
                'host',
                responder.peer_name,
                'outcome',
                'answered',
            )
        except (wire_errors.WireError, exchanges.InterruptedCallError):
            # The host that asked has closed its link, or lost it.
            responder.abort()
        except exchanges.EndpointError as cause:
            failure = self._explain(endpoint, cause)
            self._fail(
                responder, request.call_id, request.endpoint_id, failure
            )
        except Exception:
            LOG.exception('request of a peer failed')
            responder.abort()
        finally:
            responder.body.give_back()
            with self._lock:
                self._active -= 1
                self._bodies_bytes -= len(request.body)

    def _exchange(
        self,
        responder: peer_responders.Responder,
        request: peer_messages.PeerRequest,
        endpoint: fleets.Endpoint,
    ) -> None:
        """Runs the exchange and passes the answer on as it comes."""
        due_s = time.monotonic() + request.lasts_ms / 1000
        with self._pools.open(
            endpoint, responder.interrupt, request.call_id
        ) as exchange:
            # The request may have waited for a thread, and for a connection.
            exchange.connect(request.timeout_ms)
            self._notices.require_usable(endpoint)
            exchange.send(
                request.method,
                request.path,
                request.headers,
                responder.body.data or request.body,
                request.timeout_ms,
            )
            self._checker.read_head(
                request.call_id, endpoint, exchange, request.needs_stamp
            )
            responder.send(
                peer_messages.PeerHead(
                    exchange.response.status,
                    exchanges.response_headers(exchange),
                )
            )
            exchange.connection.set_timeout(
                int((due_s - time.monotonic()) * 1000)
            )
            _pass_body(responder, exchange)

    def _explain(
        self, endpoint: fleets.Endpoint, cause: exchanges.EndpointError
    ) -> peer_messages.PeerFailure:
        """Returns what a failed exchange means for the host that asked."""
        kind = peer_messages.FailureKind.BROKEN
        if isinstance(cause, (errors.NoPathError, errors.WithheldError)):
            kind = peer_messages.FailureKind.NOT_TAKEN
        elif isinstance(cause, exchanges.NotSentError):
            kind = peer_messages.FailureKind.NOT_SENT
            if not self._watch.reaches_others(endpoint):
                kind = peer_messages.FailureKind.NOT_TAKEN
        elif isinstance(cause, errors.PathLostError):
            kind = peer_messages.FailureKind.PATH_LOST
        elif isinstance(cause, exchanges.ExchangeTimeoutError):
            kind = peer_messages.FailureKind.UNFINISHED
        elif isinstance(cause, exchanges.StalledError):
            kind = peer_messages.FailureKind.STALLED
        elif exchanges.broke_off(cause) and self._watch.has_ended(
            endpoint, cause
        ):
            kind = peer_messages.FailureKind.ENDED
        return _make_failure(kind, str(cause))

    def _fail(
        self,
        responder: peer_responders.Responder,
        call_id: str,
        endpoint_id: str,
        failure: peer_messages.PeerFailure,
    ) -> None:
        self._registry.count(
            'exchanges_for_peers',
            'host',
            responder.peer_name,
            'outcome',
            failure.kind,
        )
        LOG.warning(
            'request of a peer failed',
            extra={
                'call': call_id,
                'peer': responder.peer_name,
                'endpoint': endpoint_id,
                'kind': failure.kind,
                'detail': failure.detail,
            },
        )
        try:
            responder.send(failure)
        except wire_errors.WireError:
            responder.abort()


def _pass_body(
    responder: peer_responders.Responder, exchange: connections.Exchange
) -> None:
    """Passes the body on.

    :raises EndpointError: if it ends early
    :raises InterruptedCallError: if the interrupt was fired
    """
    while True:
        with exchange.translate_errors():
            data = exchange.response.read1(READ_SIZE_BYTES)
        # An interrupt ends the connection, which looks like the end.
        if not data:
            responder.interrupt.check()
        is_last = not data or exchange.response.length == 0
        if not data and exchange.response.length:
            raise exchanges.EndpointError('response body is short')
        if is_last:
            exchange.mark_finished()
        responder.send(peer_messages.PeerData(data, is_last))
        if is_last:
            return


def _make_failure(
    kind: peer_messages.FailureKind, detail: str
) -> peer_messages.PeerFailure:
    return peer_messages.PeerFailure(kind.value, detail)
