"""Messages that record non-idempotent calls and their outcomes.

A host records an intent before it forwards a non-idempotent call to a server,
so that the call runs at most once.
"""

from masticquay_wire import messages
from masticquay_wire import records

INTENT_BEGUN = 'begun'
INTENT_FINISHED = 'finished'
INTENT_IN_PROGRESS = 'in-progress'
INTENT_UNKNOWN = 'unknown'
INTENT_MISMATCH = 'mismatch'

OUTCOME_RAN = 'ran'
OUTCOME_NOT_RUN = 'not-run'
OUTCOME_UNKNOWN = 'unknown'


class StoredAnswer(records.Record):
    """The response to a non-idempotent call, stored for resubmissions."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


@messages.register
class BeginIntent(messages.Message):
    """Records the intent to make a call, before its first byte is sent.

    :param request_digest: the SHA-256 of method, path and body
    :param call_number: set by the host's session, from 1; distinguishes a
        resend of this message from the intent of another call
    """

    __slots__ = (
        'workspace',
        'idempotency_key',
        'request_digest',
        'host',
        'incarnation',
        'call_number',
    )

    def __init__(
        self,
        workspace: str,
        idempotency_key: str,
        request_digest: bytes,
        host: str,
        incarnation: int,
        call_number: int = 0,
    ):
        self.workspace = workspace
        self.idempotency_key = idempotency_key
        self.request_digest = request_digest
        self.host = host
        self.incarnation = incarnation
        self.call_number = call_number


@messages.register
class IntentState(messages.Message):
    """The state of a call.

    :param state: ``begun`` (this host may send the call, once), ``finished``
        (``answer`` holds the response), ``in-progress`` (another attempt is
        running), ``unknown`` (the call may have run) or ``mismatch`` (the
        idempotency key belongs to another request)
    """

    __slots__ = ('state', 'answer')

    def __init__(self, state: str, answer: StoredAnswer | None = None):
        self.state = state
        self.answer = answer


@messages.register
class FinishIntent(messages.Message):
    """Records the outcome of a call.

    :param outcome: ``ran`` (``answer`` holds the response), ``not-run`` (no
        byte was sent, so the key is free again) or ``unknown``
    :param call_number: that of the call's BeginIntent, set by the session; 0
        if the session knows of none
    """

    __slots__ = (
        'workspace',
        'idempotency_key',
        'host',
        'incarnation',
        'outcome',
        'answer',
        'call_number',
    )

    def __init__(
        self,
        workspace: str,
        idempotency_key: str,
        host: str,
        incarnation: int,
        outcome: str,
        answer: StoredAnswer | None = None,
        call_number: int = 0,
    ):
        self.workspace = workspace
        self.idempotency_key = idempotency_key
        self.host = host
        self.incarnation = incarnation
        self.outcome = outcome
        self.answer = answer
        self.call_number = call_number
