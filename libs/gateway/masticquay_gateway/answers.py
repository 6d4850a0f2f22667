"""Checks endpoints' answers before anything in them is believed."""

import enum
import logging
import typing

from masticquay_endpoints import connections
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

MAX_REFUSAL_BODY_BYTES = 64 * 1024
# An endpoint may answer earlier requests of a connection late, or twice. So
# many such answers are read before the one that is due, each up to this size.
MAX_EXTRA_ANSWERS = 4
MAX_EXTRA_BODY_BYTES = 256 * 1024
STATUS_WRONG_ENDPOINT = 421
# Statuses with which an endpoint may refuse a request without running it.
REFUSAL_STATUSES = frozenset({400, STATUS_WRONG_ENDPOINT, 429, 503})
# Statuses that promise a caller that its request was not run.
PROMISE_STATUSES = frozenset({408, STATUS_WRONG_ENDPOINT, 429, 503})


class Verdict(enum.Enum):
    """What an answer proves about the request that it was read for."""

    RUN = 'run'
    NOT_RUN = 'not run'
    OTHER_REQUEST = 'answers another request'
    NO_REQUEST = 'names no request'
    UNPROVEN = 'neither stamped nor marked as not run'
    CONTRADICTORY = 'status, mark and stamp disagree'


# Such an answer may be that of another endpoint, so what it says of its
# endpoint is not believed either.
UNATTRIBUTED_VERDICTS = (Verdict.OTHER_REQUEST, Verdict.NO_REQUEST)


def judge(
    call_id: str, head: ports.ResponseHead, needs_stamp: bool = True
) -> Verdict:
    """Returns what the head of an answer proves.

    The request id comes first: mark, stamp and status of another request's
    answer say nothing of this one.

    :param call_id: id of the request, empty if its caller gave none
    :param needs_stamp: whether an endpoint stamps its answer when it has run
        such a request
    """
    if head.answered_ids - {call_id}:
        return Verdict.OTHER_REQUEST
    if call_id and not head.answered_ids:
        return Verdict.NO_REQUEST
    mark = head.not_run_mark
    if head.has_unclear_stamp or (mark is not None and not mark.is_clear):
        return Verdict.CONTRADICTORY
    if mark is not None or head.status == STATUS_WRONG_ENDPOINT:
        if head.has_stamp or head.status not in REFUSAL_STATUSES:
            return Verdict.CONTRADICTORY
        return Verdict.NOT_RUN
    if head.status in PROMISE_STATUSES:
        return Verdict.CONTRADICTORY
    if needs_stamp and not head.has_stamp:
        return Verdict.UNPROVEN
    return Verdict.RUN


class NoticeListener(typing.Protocol):
    """Learns what endpoints say of themselves in their answers."""

    def record(
        self,
        endpoint: fleets.Endpoint,
        status: int,
        headers: ports.Headers,
        has_run: bool,
    ) -> None:
        """Records the head of an endpoint's answer.

        :param has_run: whether the endpoint ran the request
        """


class AnswerChecker:
    """Reads the heads of answers and passes on only what they prove."""

    def __init__(
        self,
        protocol: ports.EndpointProtocol,
        listener: NoticeListener,
        registry: counters.Registry,
    ):
        self._protocol = protocol
        self._listener = listener
        self._registry = registry

    def check(
        self,
        call_id: str,
        endpoint: fleets.Endpoint,
        exchange: connections.Exchange,
        needs_stamp: bool = True,
    ) -> ports.ResponseHead:
        """Returns the head of an answer of an endpoint that ran a request.

        Late answers to earlier requests of the connection are left out.

        :param call_id: see ``judge``
        :param needs_stamp: see ``judge``
        :raises NotRunError: if the endpoint certainly did not run it
        :raises ResponseMismatchError: if the answer proves nothing of this
            request
        :raises EndpointError: if a refusal is not whole
        """
        head, verdict = self.read_head(
            call_id, endpoint, exchange, needs_stamp
        )
        if verdict is Verdict.RUN:
            return head
        self._record(call_id, endpoint, head, verdict, exchange)
        if verdict is not Verdict.NOT_RUN:
            raise errors.ResponseMismatchError(
                f'answer not believed: {verdict.value}'
            )
        exchange.read_body(MAX_REFUSAL_BODY_BYTES)
        raise errors.NotRunError(
            f'endpoint refused it: status {head.status}',
            head.status,
            head.load,
        )

    def read_head(
        self,
        call_id: str,
        endpoint: fleets.Endpoint,
        exchange: connections.Exchange,
        needs_stamp: bool = True,
    ) -> tuple[ports.ResponseHead, Verdict]:
        """Returns the head of the answer that is due, and what it proves.

        Reads past late answers to earlier requests of the connection, and
        records what the endpoint says of itself.

        :raises EndpointError: if an earlier answer cannot be read
        """
        head, verdict = self._read_verdict(call_id, exchange, needs_stamp)
        for _ in range(MAX_EXTRA_ANSWERS):
            if not _is_extra(verdict, head, exchange):
                break
            self._record(call_id, endpoint, head, verdict, exchange)
            self._hear_late_refusal(endpoint, head, exchange, needs_stamp)
            exchange.read_next(MAX_EXTRA_BODY_BYTES)
            head, verdict = self._read_verdict(call_id, exchange, needs_stamp)
        if call_id:
            exchange.connection.record_call(call_id)
        if verdict not in UNATTRIBUTED_VERDICTS:
            self._listener.record(
                endpoint,
                exchange.response.status,
                exchanges.response_headers(exchange),
                has_run=verdict is Verdict.RUN,
            )
        return head, verdict

    def _hear_late_refusal(
        self,
        endpoint: fleets.Endpoint,
        head: ports.ResponseHead,
        exchange: connections.Exchange,
        needs_stamp: bool,
    ) -> None:
        """Records the notice in a late answer that refuses its own request.

        The connection has carried that request, so the answer is the
        endpoint's. What any other late answer says is not believed.
        """
        if len(head.answered_ids) != 1:
            return
        [answered_id] = head.answered_ids
        if judge(answered_id, head, needs_stamp) is Verdict.NOT_RUN:
            self._listener.record(
                endpoint,
                head.status,
                exchanges.response_headers(exchange),
                has_run=False,
            )

    def _read_verdict(
        self, call_id: str, exchange: connections.Exchange, needs_stamp: bool
    ) -> tuple[ports.ResponseHead, Verdict]:
        head = self._protocol.parse_response_head(
            exchange.response.status, exchanges.response_headers(exchange)
        )
        return head, judge(call_id, head, needs_stamp)

    def _record(
        self,
        call_id: str,
        endpoint: fleets.Endpoint,
        head: ports.ResponseHead,
        verdict: Verdict,
        exchange: connections.Exchange,
    ) -> None:
        """Logs and counts an answer that is not passed on."""
        mark = head.not_run_mark
        notice = self._protocol.parse_notice(
            head.status, exchanges.response_headers(exchange)
        )
        self._registry.count(
            'answers_rejected',
            'verdict',
            verdict.value,
            'service',
            endpoint.service,
        )
        LOG.warning(
            'answer of an endpoint not passed on',
            extra={
                'call': call_id,
                'endpoint': endpoint.endpoint_id,
                'verdict': verdict.value,
                'status': head.status,
                'answered_calls': sorted(head.answered_ids),
                'not_run_mark': mark.text if mark else None,
                'stamp': head.has_stamp,
                'connection_exchanges': exchange.connection.exchange_count,
                'pause_ms': notice.pause_ms,
                'leaving': notice.is_leaving,
            },
        )


def _is_extra(
    verdict: Verdict, head: ports.ResponseHead, exchange: connections.Exchange
) -> bool:
    """Whether an answer is one to an earlier request of the connection.

    The one that is due comes behind it then. Any other answer may have come in
    its place.
    """
    if verdict is not Verdict.OTHER_REQUEST or exchange.response.will_close:
        return False
    return exchange.connection.has_carried(head.answered_ids)
