"""Messages on the placement of model requests."""

from masticquay_routing import queued_requests
from masticquay_wire import messages


@messages.register
class Admit(messages.Message):
    """Asks the leader to place a model request on engines.

    The fields that are not listed here are those of
    ``queued_requests.QueuedRequest``.

    :param host: the entry host
    :param number: the number that the host gave the request; the host's placer
        sets it
    :param cost: the cost to charge against the workspace's rate limit
    :param urgent_ms: the time left until the latency target is missed
    :param wait_ms: how long the request may wait to be placed
    :param late_wait_ms: how long the retry of a refused request may wait, if
        longer than ``wait_ms``
    :param avoid: ids of the endpoints that failed the request
    :param prefer: id of the engine that has the prompt in its cache; empty
        for none
    :param charged: whether the cost was charged by an earlier attempt
    :param resumes: whether the caller already has a part of the stream
    :param first_call_id: id of the request that began that stream, empty if
        unknown
    :param software_version: the version that began it, empty if the host does
        not know it
    :param prompt_parts: ids of the parts that other prompts may share
    :param give_up_ms: the time left until the caller gives up or the deadline
        ends; 0 from hosts of an earlier release
    """

    __slots__ = (
        'host',
        'number',
        'service',
        'workspace',
        'cost',
        'prompt_tokens',
        'output_tokens',
        'priority',
        'urgent_ms',
        'wait_ms',
        'late_wait_ms',
        'prompt_key',
        'avoid',
        'prefer',
        'prefilled',
        'charged',
        'pause_ms',
        'resumes',
        'first_call_id',
        'software_version',
        'prompt_parts',
        'give_up_ms',
    )

    def __init__(
        self,
        host: str,
        number: int,
        service: str,
        workspace: str,
        cost: float,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        urgent_ms: int,
        wait_ms: int,
        late_wait_ms: int,
        prompt_key: str,
        avoid: list[str],
        prefer: str = '',
        prefilled: bool = False,
        charged: bool = False,
        pause_ms: int = queued_requests.DEFAULT_PAUSE_MS,
        resumes: bool = False,
        first_call_id: str = '',
        software_version: str = '',
        prompt_parts: list[str] | None = None,
        give_up_ms: int = 0,
    ):
        self.host = host
        self.number = number
        self.service = service
        self.workspace = workspace
        self.cost = cost
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.urgent_ms = urgent_ms
        self.wait_ms = wait_ms
        self.late_wait_ms = late_wait_ms
        self.prompt_key = prompt_key
        self.avoid = avoid
        self.prefer = prefer
        self.prefilled = prefilled
        self.charged = charged
        self.pause_ms = pause_ms
        self.resumes = resumes
        self.first_call_id = first_call_id
        self.software_version = software_version
        self.prompt_parts = prompt_parts or []
        self.give_up_ms = give_up_ms


@messages.register
class Placed(messages.Message):
    """The engines that a model request was placed on.

    :param prefill_id: empty if the decode engine needs no prefill engine
    :param prefill_ms: the expected time of the prefill, queueing included
    :param software_version: the version at which the resumed stream goes on,
        empty for a new stream
    """

    __slots__ = ('prefill_id', 'decode_id', 'prefill_ms', 'software_version')

    def __init__(
        self,
        prefill_id: str,
        decode_id: str,
        prefill_ms: int,
        software_version: str = '',
    ):
        self.prefill_id = prefill_id
        self.decode_id = decode_id
        self.prefill_ms = prefill_ms
        self.software_version = software_version


@messages.register
class Refused(messages.Message):
    """A model request was not placed and has not run.

    :param over_rate: whether the workspace is over its rate limit
    """

    __slots__ = ('reason', 'retry_after_ms', 'over_rate')

    def __init__(
        self, reason: str, retry_after_ms: int, over_rate: bool = False
    ):
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.over_rate = over_rate


@messages.register
class PrefillDone(messages.Message):
    """The prefill of a placed request is complete."""

    __slots__ = ('host', 'service', 'number')

    def __init__(self, host: str, service: str, number: int):
        self.host = host
        self.service = service
        self.number = number


@messages.register
class Decoding(messages.Message):
    """The first token of a placed request has arrived.

    :param first_call_id: id of the request that began the stream
    :param software_version: the version of the decode engine
    """

    __slots__ = (
        'host',
        'service',
        'number',
        'first_call_id',
        'software_version',
    )

    def __init__(
        self,
        host: str,
        service: str,
        number: int,
        first_call_id: str = '',
        software_version: str = '',
    ):
        self.host = host
        self.service = service
        self.number = number
        self.first_call_id = first_call_id
        self.software_version = software_version


@messages.register
class Finished(messages.Message):
    """A placed request has ended, or a waiting request was abandoned.

    :param sound: whether the decode engine worked correctly
    :param completed: whether it wrote the whole answer
    """

    __slots__ = ('host', 'service', 'number', 'sound', 'completed')

    def __init__(
        self,
        host: str,
        service: str,
        number: int,
        sound: bool,
        completed: bool = False,
    ):
        self.host = host
        self.service = service
        self.number = number
        self.sound = sound
        self.completed = completed


@messages.register
class EndpointTrouble(messages.Message):
    """An endpoint failed or refused a host's request.

    :param reached: whether the host could connect to the endpoint
    :param pause_ms: how long an endpoint that refused the request should get
        no new requests; 0 for other failures
    :param stalled: whether the endpoint sent nothing within the timeout
    :param written_ms: how long the engine had been writing the request's
        stream; -1 if it had not begun
    :param has_ended: whether the engine broke the stream off and takes no
        connections any more
    :param prompt_key: identifies the request's prompt, empty if unknown
    :param prompt_parts: ids of the parts that other prompts may share
    :param age_ms: how long ago it was, if an earlier leader was told before
    :param ended_in_prefill: whether it broke a prefill off and takes no
        connections any more; ``has_ended`` is not set then
    """

    __slots__ = (
        'host',
        'service',
        'endpoint_id',
        'reached',
        'reason',
        'pause_ms',
        'stalled',
        'written_ms',
        'has_ended',
        'prompt_key',
        'prompt_parts',
        'age_ms',
        'ended_in_prefill',
    )

    def __init__(
        self,
        host: str,
        service: str,
        endpoint_id: str,
        reached: bool,
        reason: str,
        pause_ms: int = 0,
        stalled: bool = False,
        written_ms: int = -1,
        has_ended: bool = False,
        prompt_key: str = '',
        prompt_parts: list[str] | None = None,
        age_ms: int = 0,
        ended_in_prefill: bool = False,
    ):
        self.host = host
        self.service = service
        self.endpoint_id = endpoint_id
        self.reached = reached
        self.reason = reason
        self.pause_ms = pause_ms
        self.stalled = stalled
        self.written_ms = written_ms
        self.has_ended = has_ended
        self.prompt_key = prompt_key
        self.prompt_parts = prompt_parts or []
        self.age_ms = age_ms
        self.ended_in_prefill = ended_in_prefill
