"""Messages between entry hosts and the owners of pools and workspaces."""

from masticquay_wire import messages
from masticquay_wire import records

# Reasons for refusing a request; a refused request was not run.
REASON_OVER_RATE = 'over-rate'
REASON_NO_LIMITER = 'no-limiter'
REASON_QUEUE_FULL = 'queue-full'
REASON_DEADLINE = 'deadline'
REASON_NO_ENDPOINT = 'no-endpoint'
REASON_NOT_OWNER = 'not-owner'
REASON_WITHDRAWN = 'key-withdrawn'
REASON_TOO_LARGE = 'too-large'
REASON_NO_SLOT = 'no-slot'

# Code of the messages.Failure sent by a host that is not the owner.
CODE_NOT_OWNER = 'not-owner'

FINISHED_DONE = 'done'
FINISHED_CANCELLED = 'cancelled'
FINISHED_PREFILL_FAILED = 'prefill-failed'
FINISHED_TRANSFER_FAILED = 'transfer-failed'
FINISHED_DECODE_FAILED = 'decode-failed'


class RequestId(records.Record):
    """Identifies a request among those of all hosts.

    :param host: the entry host that received it
    :param number: unique within that incarnation of the host
    """

    __slots__ = ('host', 'incarnation', 'number')

    def __init__(self, host: str, incarnation: int, number: int):
        self.host = host
        self.incarnation = incarnation
        self.number = number

    def __str__(self) -> str:
        return f'{self.host}-{self.incarnation}-{self.number}'


class Finished(records.Record):
    """Reports that an attempt has ended and its reservations are free.

    :param outcome: one of the ``FINISHED`` constants
    :param endpoint: the endpoint that failed, empty when none did
    :param retry_after_ms: delay that a busy endpoint asked for, 0 for none
    """

    __slots__ = (
        'request',
        'attempt',
        'outcome',
        'output_tokens',
        'endpoint',
        'retry_after_ms',
    )

    def __init__(
        self,
        request: RequestId,
        attempt: int,
        outcome: str,
        output_tokens: int = 0,
        endpoint: str = '',
        retry_after_ms: int = 0,
    ):
        self.request = request
        self.attempt = attempt
        self.outcome = outcome
        self.output_tokens = output_tokens
        self.endpoint = endpoint
        self.retry_after_ms = retry_after_ms


@messages.register
class Admit(messages.Message):
    """Asks a pool's owner for a placement.

    :param pool: the pool's name
    :param prefix_hashes: chained hashes of the prompt's full blocks
    :param first_token_ms: time left until the first token is due
    :param deadline_ms: time left until the whole answer is due
    :param max_wait_ms: longest time to wait in the queue
    :param excluded: endpoints that failed earlier attempts
    :param finished: ended attempts, reported here to save messages
    :param late_decode: the host will send AwaitDecode after the prefill, so
        the placement may lack a decode endpoint
    """

    __slots__ = (
        'pool',
        'request',
        'attempt',
        'workspace',
        'class_name',
        'prefix_hashes',
        'prompt_tokens',
        'max_output_tokens',
        'first_token_ms',
        'deadline_ms',
        'max_wait_ms',
        'excluded',
        'finished',
        'late_decode',
    )

    def __init__(
        self,
        pool: str,
        request: RequestId,
        attempt: int,
        workspace: str,
        class_name: str,
        prefix_hashes: list[int],
        prompt_tokens: int,
        max_output_tokens: int,
        first_token_ms: int,
        deadline_ms: int,
        max_wait_ms: int,
        excluded: list[str] | None = None,
        finished: list[Finished] | None = None,
        late_decode: bool = False,
    ):
        self.pool = pool
        self.request = request
        self.attempt = attempt
        self.workspace = workspace
        self.class_name = class_name
        self.prefix_hashes = prefix_hashes
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.first_token_ms = first_token_ms
        self.deadline_ms = deadline_ms
        self.max_wait_ms = max_wait_ms
        self.excluded = excluded or []
        self.finished = finished or []
        self.late_decode = late_decode


@messages.register
class Placement(messages.Message):
    """Names the endpoints on which an attempt has reservations.

    :param prefill_endpoint: empty for a service; in an announcement also once
        the prefill has ended
    :param decode_endpoint: the decode engine, or the endpoint of a service;
        empty when the host must ask for it with AwaitDecode after prefill
    :param cached_tokens: prompt tokens expected in the prefill engine's cache
    :param prefill_timeout_ms: longest time for prefill
    :param transfer_timeout_ms: longest time from prefill to the first token
    :param stall_timeout_ms: longest time between tokens
    :param reserved_tokens: prompt tokens plus the maximum output tokens
    """

    __slots__ = (
        'pool',
        'request',
        'attempt',
        'prefill_endpoint',
        'decode_endpoint',
        'cached_tokens',
        'prefill_timeout_ms',
        'transfer_timeout_ms',
        'stall_timeout_ms',
        'reserved_tokens',
        'workspace',
        'class_name',
    )

    def __init__(
        self,
        pool: str,
        request: RequestId,
        attempt: int,
        prefill_endpoint: str,
        decode_endpoint: str,
        cached_tokens: int,
        prefill_timeout_ms: int,
        transfer_timeout_ms: int,
        stall_timeout_ms: int,
        reserved_tokens: int,
        workspace: str,
        class_name: str,
    ):
        self.pool = pool
        self.request = request
        self.attempt = attempt
        self.prefill_endpoint = prefill_endpoint
        self.decode_endpoint = decode_endpoint
        self.cached_tokens = cached_tokens
        self.prefill_timeout_ms = prefill_timeout_ms
        self.transfer_timeout_ms = transfer_timeout_ms
        self.stall_timeout_ms = stall_timeout_ms
        self.reserved_tokens = reserved_tokens
        self.workspace = workspace
        self.class_name = class_name


@messages.register
class Refused(messages.Message):
    """Refuses a request, which was not run.

    :param retry_after_ms: delay before a retry, 0 when none is useful
    :param detail: explanation for the caller, empty for most reasons
    """

    __slots__ = ('reason', 'retry_after_ms', 'detail')

    def __init__(self, reason: str, retry_after_ms: int = 0, detail: str = ''):
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.detail = detail


@messages.register
class ReportFinished(messages.Message):
    """Reports ended attempts when no Admit is sent that could do so."""

    __slots__ = ('pool', 'finished')

    def __init__(self, pool: str, finished: list[Finished]):
        self.pool = pool
        self.finished = finished


@messages.register
class PrefillDone(messages.Message):
    """Notifies the owner that the prefill of an attempt has ended."""

    __slots__ = ('pool', 'request', 'attempt')

    def __init__(self, pool: str, request: RequestId, attempt: int):
        self.pool = pool
        self.request = request
        self.attempt = attempt


@messages.register
class AwaitDecode(messages.Message):
    """Reports the end of a prefill and asks for the decode endpoint.

    The answer is the completed Placement, or Refused when no slot came free
    before the prefill result expires.

    :param expires_ms: time until the engine drops the prefill result
    """

    __slots__ = ('pool', 'request', 'attempt', 'expires_ms')

    def __init__(
        self, pool: str, request: RequestId, attempt: int, expires_ms: int
    ):
        self.pool = pool
        self.request = request
        self.attempt = attempt
        self.expires_ms = expires_ms


@messages.register
class WithdrawRequest(messages.Message):
    """Removes a request from a pool's queue."""

    __slots__ = ('pool', 'request')

    def __init__(self, pool: str, request: RequestId):
        self.pool = pool
        self.request = request


@messages.register
class AnnouncePlacements(messages.Message):
    """Tells a pool's new owner which placements a host is running.

    Every host sends one to each new owner, even without placements.
    """

    __slots__ = ('pool', 'host', 'incarnation', 'view_number', 'placements')

    def __init__(
        self,
        pool: str,
        host: str,
        incarnation: int,
        view_number: int,
        placements: list[Placement],
    ):
        self.pool = pool
        self.host = host
        self.incarnation = incarnation
        self.view_number = view_number
        self.placements = placements
