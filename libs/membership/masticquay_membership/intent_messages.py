"""Messages about non-idempotent calls and their outcomes."""

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
    """The answer of a non-idempotent call, kept for resubmissions."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


@messages.register
class BeginIntent(messages.Message):
    """Records, before its first byte is sent, that a call will be made.

    :param request_digest: SHA-256 of method, path and body
    :param call_number: set by the session: tells a resend from another call
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
    """What is known of a call.

    :param state: ``begun`` (this host may send it now, once), ``finished``
        (with the answer), ``in-progress``, ``unknown`` or ``mismatch``
    """

    __slots__ = ('state', 'answer')

    def __init__(self, state: str, answer: StoredAnswer | None = None):
        self.state = state
        self.answer = answer


@messages.register
class FinishIntent(messages.Message):
    """Records how a call ended.

    :param outcome: ``ran`` with its answer, ``not-run`` (the intent is
        dropped: no byte was sent) or ``unknown``
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
