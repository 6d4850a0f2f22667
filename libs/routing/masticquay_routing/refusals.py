"""Refusals of requests that could not be placed, with their retry times."""

from masticquay_routing import queued_requests

RETRY_AFTER_MIN_MS = 400
# The retries of refused requests are spread over this time.
RETRY_AFTER_SPREAD_MS = 1_500
RETRY_AFTER_MAX_MS = 4_000


def refuse_unplaced(
    request: queued_requests.QueuedRequest,
    queue_length: int,
    decode_count: int,
) -> queued_requests.Refusal:
    """Returns the refusal of a request that waited too long.

    The retry time grows with the length of the queue and differs between
    requests, so that refused callers do not all retry at once.

    :param decode_count: the number of usable decode engines
    """
    spread_ms = _spread_ms(request)
    if not decode_count:
        return queued_requests.Refusal(
            'no engine', RETRY_AFTER_MAX_MS // 2 + spread_ms
        )
    queue_per_engine = queue_length / decode_count
    wait_ms = (
        RETRY_AFTER_MIN_MS
        + int(queue_per_engine * RETRY_AFTER_MIN_MS)
        + spread_ms
    )
    return queued_requests.Refusal(
        'engines full', min(RETRY_AFTER_MAX_MS, wait_ms)
    )


def refuse_lost_version(
    request: queued_requests.QueuedRequest,
) -> queued_requests.Refusal:
    """Returns the refusal of a stream whose software version is gone."""
    return queued_requests.Refusal(
        f'no engine of software version {request.software_version}',
        RETRY_AFTER_MAX_MS // 2,
    )


def refuse_evacuated(
    request: queued_requests.QueuedRequest,
) -> queued_requests.Refusal:
    """Returns the refusal of a request whose engines are all evacuated."""
    return queued_requests.Refusal(
        'engines evacuated', RETRY_AFTER_MAX_MS // 2 + _spread_ms(request)
    )


def refuse_unmeetable(
    request: queued_requests.QueuedRequest,
) -> queued_requests.Refusal:
    """Returns the refusal of a request whose caller would give up first."""
    return queued_requests.Refusal(
        'too little time to read the prompt',
        RETRY_AFTER_MIN_MS + _spread_ms(request),
    )


def _spread_ms(request: queued_requests.QueuedRequest) -> int:
    return request.key[1] * 97 % RETRY_AFTER_SPREAD_MS
