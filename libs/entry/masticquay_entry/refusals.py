"""Refusals and failures in the form that callers receive."""

import json

from masticquay_membership import intent_messages
from masticquay_scheduling import messages

OUTCOME_HEADER = 'Masticquay-Outcome'

NOT_RUN = intent_messages.OUTCOME_NOT_RUN
RAN = intent_messages.OUTCOME_RAN
UNKNOWN = intent_messages.OUTCOME_UNKNOWN

Headers = list[tuple[str, str]]

REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    405: 'Method Not Allowed',
    409: 'Conflict',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    501: 'Not Implemented',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

# HTTP status by the refusal reasons of masticquay_scheduling.
STATUS_BY_REASON = {
    messages.REASON_OVER_RATE: 429,
    messages.REASON_NO_LIMITER: 503,
    messages.REASON_QUEUE_FULL: 503,
    messages.REASON_DEADLINE: 503,
    messages.REASON_NO_ENDPOINT: 503,
    messages.REASON_NOT_OWNER: 503,
    messages.REASON_WITHDRAWN: 401,
    messages.REASON_TOO_LARGE: 413,
}


class Refusal(Exception):
    """Ends a request without its complete answer.

    Raised for a request that is not accepted, and for one that fails after
    its start, even in mid-stream. A stream then ends with an error event.

    :param code: a stable identifier of the cause, for programs
    :param outcome: ``NOT_RUN``, ``RAN`` or ``UNKNOWN``: whether it ran
    :param retry_after_ms: when to retry, 0 when a retry is no use
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        outcome: str = NOT_RUN,
        retry_after_ms: int = 0,
    ):
        super().__init__(f'{status} {code}: {message}')
        self.status = status
        self.code = code
        self.message = message
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms

    @property
    def error_type(self) -> str:
        """The ``type`` field of the error object."""
        if self.status in (401, 403):
            return 'authentication_error'
        if self.status == 429:
            return 'rate_limit_error'
        if self.status < 500:
            return 'invalid_request_error'
        return 'server_error'

    def body(self) -> bytes:
        """Returns the error object as JSON."""
        error = {
            'message': self.message,
            'type': self.error_type,
            'param': None,
            'code': self.code,
            'outcome': self.outcome,
        }
        if self.retry_after_ms:
            error['retry_after_ms'] = self.retry_after_ms
        return json.dumps({'error': error}).encode()

    def headers(self) -> Headers:
        """Returns the headers, with the outcome and the time to retry."""
        headers = [
            ('Content-Type', 'application/json'),
            (OUTCOME_HEADER, self.outcome),
        ]
        if self.retry_after_ms:
            seconds = -(-self.retry_after_ms // 1000)
            headers.append(('Retry-After', str(seconds)))
        if self.status == 401:
            headers.append(('WWW-Authenticate', 'Bearer'))
        return headers


def status_line(status: int) -> str:
    """Returns an HTTP status followed by its reason phrase."""
    return f'{status} {REASON_PHRASES.get(status, "Status")}'


def from_scheduling(refused: messages.Refused) -> Refusal:
    """Converts a refusal by a pool or rate limiter."""
    status = STATUS_BY_REASON.get(refused.reason, 503)
    message = refused.detail or f'refused: {refused.reason}'
    retry_after_ms = refused.retry_after_ms
    if status in (429, 503) and not retry_after_ms:
        retry_after_ms = 1_000
    return Refusal(
        status, refused.reason, message, retry_after_ms=retry_after_ms
    )


def key_withdrawn(outcome: str = NOT_RUN) -> Refusal:
    """Returns the refusal for a withdrawn key."""
    return Refusal(
        401, messages.REASON_WITHDRAWN, 'the key was withdrawn', outcome
    )


def lease_lost(outcome: str = NOT_RUN) -> Refusal:
    """Returns the refusal of keyed requests while no lease is held."""
    return Refusal(
        503,
        'lease-lost',
        'this host cannot check keys now; use another host',
        outcome,
        retry_after_ms=1_000,
    )


def bad_request(code: str, message: str) -> Refusal:
    """Returns the refusal of an invalid request."""
    return Refusal(400, code, message)
