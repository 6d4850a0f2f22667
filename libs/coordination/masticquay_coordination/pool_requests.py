"""Hosts' requests as a pool queues them, and the answers to the hosts."""

from masticquay_routing import placement_messages
from masticquay_routing import queued_requests
from masticquay_wire import messages as wire_messages


def make_queued_request(
    key: queued_requests.RequestKey,
    request: placement_messages.Admit,
    software_version: str,
    now_ms: int,
) -> queued_requests.QueuedRequest:
    """Returns a host's request as the pool queues it.

    :param software_version: the version at which a stream goes on, empty for
        a new stream
    """
    return queued_requests.QueuedRequest(
        key=key,
        workspace=request.workspace,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        priority=request.priority,
        arrived_ms=now_ms,
        target_deadline_ms=now_ms + request.urgent_ms,
        placement_deadline_ms=now_ms + request.wait_ms,
        avoided_ids=frozenset(request.avoid),
        preferred_id=request.prefer,
        prefilled=request.prefilled,
        late_placement_deadline_ms=now_ms + request.late_wait_ms,
        prompt_key=request.prompt_key,
        pause_ms=request.pause_ms,
        software_version=software_version,
        give_up_at_ms=now_ms + request.give_up_ms if request.give_up_ms else 0,
    )


def make_answer(
    request: queued_requests.QueuedRequest,
    outcome: queued_requests.Placement | queued_requests.Refusal,
) -> wire_messages.Message:
    """Returns the answer to the host of a request that left the queue."""
    if isinstance(outcome, queued_requests.Refusal):
        return placement_messages.Refused(
            outcome.reason, outcome.retry_after_ms
        )
    prefill = outcome.prefill
    return placement_messages.Placed(
        prefill.endpoint_id if prefill else '',
        outcome.decode.endpoint_id,
        outcome.prefill_ms,
        request.software_version,
    )
