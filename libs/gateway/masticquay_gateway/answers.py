"""Records the endpoints' answers that the host does not pass on."""

import logging

from masticquay_endpoints import connections
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# Why an answer is not passed on, in logs and metrics.
CAUSE_REFUSED = 'refused'
CAUSE_OTHER_REQUEST = 'other request'
CAUSE_UNPROVEN = 'unproven'


class AnswerRecorder:
    """Logs and counts answers that are not passed on, with what they show."""

    def __init__(self, registry: counters.Registry):
        self._registry = registry

    def record(
        self,
        call: ports.Call,
        endpoint: fleets.Endpoint,
        head: ports.ResponseHead,
        connection: connections.Connection,
    ) -> None:
        """Records an answer that refuses a request or does not match it."""
        cause = _cause_of(call, head)
        self._registry.count(
            'answers_rejected', 'cause', cause, 'service', endpoint.service
        )
        LOG.warning(
            'answer of an endpoint not passed on',
            extra={
                'call': call.call_id,
                'endpoint': endpoint.endpoint_id,
                'cause': cause,
                'status': head.status,
                'answered_call': head.answered_id,
                'not_run_mark': head.has_not_run_mark,
                'stamp': head.has_stamp,
                'connection_exchanges': connection.exchange_count,
            },
        )


def _cause_of(call: ports.Call, head: ports.ResponseHead) -> str:
    if head.answered_id is not None and head.answered_id != call.call_id:
        return CAUSE_OTHER_REQUEST
    return CAUSE_UNPROVEN if head.was_run else CAUSE_REFUSED
