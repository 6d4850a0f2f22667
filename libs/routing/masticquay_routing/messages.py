"""Messages between entry hosts and control replicas."""

from masticquay_routing import endpoint_notices
from masticquay_routing import fleets
from masticquay_routing import named_limits
from masticquay_routing import queued_requests
from masticquay_routing import stream_origins
from masticquay_wire import messages
from masticquay_wire import records

CODE_NOT_LEADER = 'not-leader'
REASON_HARMFUL_PROMPT = 'engines ended on prompts with a part of this one'


class Running(records.Record):
    """A placed model request that is still running.

    :param number: the number that the host gave the request
    :param memory_tokens: the decode memory to reserve for it
    """

    __slots__ = (
        'number',
        'service',
        'decode_id',
        'memory_tokens',
        'prompt_tokens',
    )

    def __init__(
        self,
        number: int,
        service: str,
        decode_id: str,
        memory_tokens: int,
        prompt_tokens: int,
    ):
        self.number = number
        self.service = service
        self.decode_id = decode_id
        self.memory_tokens = memory_tokens
        self.prompt_tokens = prompt_tokens


class EndpointReport(records.Record):
    """What a host saw of a plain service's endpoint since its last report.

    :param in_flight: the host's requests that the endpoint is running
    :param succeeded: number of requests with a response
    :param errors: number of refusals and error responses
    :param failed: number of requests without a valid response
    :param unreachable: those of ``failed`` for which no connection could be
        established
    :param latency_ms: mean time of those that succeeded
    """

    __slots__ = (
        'endpoint_id',
        'in_flight',
        'succeeded',
        'errors',
        'failed',
        'unreachable',
        'latency_ms',
    )

    def __init__(
        self,
        endpoint_id: str,
        in_flight: int,
        succeeded: int,
        errors: int,
        failed: int,
        unreachable: int,
        latency_ms: float,
    ):
        self.endpoint_id = endpoint_id
        self.in_flight = in_flight
        self.succeeded = succeeded
        self.errors = errors
        self.failed = failed
        self.unreachable = unreachable
        self.latency_ms = latency_ms


class EndpointView(records.Record):
    """What all hosts together know of a plain service's endpoint.

    :param in_flight: the requests of all hosts that it is running
    :param latency_ms: expected time of a request, 0 if unknown
    :param failure_rate: by how much the share of failed requests exceeds that
        of the service's other endpoints
    :param ejected_ms: how long it should get no requests, 0 if it may
    """

    __slots__ = (
        'endpoint_id',
        'in_flight',
        'latency_ms',
        'failure_rate',
        'ejected_ms',
    )

    def __init__(
        self,
        endpoint_id: str,
        in_flight: int,
        latency_ms: float,
        failure_rate: float,
        ejected_ms: int,
    ):
        self.endpoint_id = endpoint_id
        self.in_flight = in_flight
        self.latency_ms = latency_ms
        self.failure_rate = failure_rate
        self.ejected_ms = ejected_ms


@messages.register
class Renew(messages.Message):
    """Renews a host's session with the leader and reports its state.

    :param incarnation: differs after each restart of the host's process
    :param address: ``ip:port`` for callers
    :param place: the data centre
    :param ready: whether the host accepts requests from callers
    :param table_version: the version of the host's table, -1 for none
    :param endpoints_number: the number of the endpoint list that the host has
    :param hosts_number: the number of the host list that the host has
    :param term: the term of the leader that numbered both lists
    :param usage: the cost, by workspace, of the requests without placement
        since the last renewal; the leader charges it
    :param running: the host's placed requests, sent once to each new leader
        and otherwise empty
    :param endpoint_reports: on the endpoints that the host has used since its
        last renewal
    :param origins: the origins of the host's recent streams, sent with
        ``running``
    :param quarantined: the parts of prompts that the host refuses, with the
        remaining time in ms; sent with ``running``
    :param leaving: the endpoints that told the host that they leave
    :param limits: the limits that endpoints name
    """

    __slots__ = (
        'host',
        'incarnation',
        'address',
        'place',
        'ready',
        'table_version',
        'endpoints_number',
        'hosts_number',
        'term',
        'usage',
        'running',
        'endpoint_reports',
        'origins',
        'quarantined',
        'leaving',
        'limits',
    )

    def __init__(
        self,
        host: str,
        incarnation: int,
        address: str,
        place: str,
        ready: bool,
        table_version: int,
        endpoints_number: int,
        hosts_number: int,
        term: int,
        usage: dict[str, float],
        running: list[Running],
        endpoint_reports: list[EndpointReport] | None = None,
        origins: list[stream_origins.StreamOrigin] | None = None,
        quarantined: dict[str, int] | None = None,
        leaving: list[endpoint_notices.LeavingReport] | None = None,
        limits: list[named_limits.LimitWord] | None = None,
    ):
        self.host = host
        self.incarnation = incarnation
        self.address = address
        self.place = place
        self.ready = ready
        self.table_version = table_version
        self.endpoints_number = endpoints_number
        self.hosts_number = hosts_number
        self.term = term
        self.usage = usage
        self.running = running
        self.endpoint_reports = endpoint_reports or []
        self.origins = origins or []
        self.quarantined = quarantined or {}
        self.leaving = leaving or []
        self.limits = limits or []


@messages.register
class LeaderChanged(messages.Message):
    """Tells a host to look for the leader immediately.

    A new leader sends it to the hosts whose renewals it rejected before it
    led. A replica that stops leading sends it to all hosts with a session.
    """

    __slots__ = ('term',)

    def __init__(self, term: int):
        self.term = term


@messages.register
class Renewed(messages.Message):
    """The leader's answer to a renewal.

    :param controls: ``ip:port`` of the control replicas
    :param exhausted: the workspaces over their rate limit, with the time in
        ms until each may send requests again
    :param endpoint_views: on the endpoints of plain services that are in use
    :param quarantined: the parts of prompts to refuse, with the remaining time
        in ms
    :param limits: the limits that endpoints name
    :param suspects: keys of requests under which endpoints ended; the leader
        lets one copy of each run at a time
    """

    __slots__ = (
        'term',
        'controls',
        'exhausted',
        'endpoint_views',
        'quarantined',
        'limits',
        'suspects',
    )

    def __init__(
        self,
        term: int,
        controls: list[str],
        exhausted: dict[str, int],
        endpoint_views: list[EndpointView] | None = None,
        quarantined: dict[str, int] | None = None,
        limits: list[named_limits.LimitWord] | None = None,
        suspects: list[str] | None = None,
    ):
        self.term = term
        self.controls = controls
        self.exhausted = exhausted
        self.endpoint_views = endpoint_views or []
        self.quarantined = quarantined or {}
        self.limits = limits or []
        self.suspects = suspects or []


@messages.register
class TableUpdate(messages.Message):
    """The newest routing table.

    :param document: the operator's document, compressed with zlib
    """

    __slots__ = ('version', 'document')

    def __init__(self, version: int, document: bytes):
        self.version = version
        self.document = document


@messages.register
class EndpointUpdate(messages.Message):
    """The endpoint list, with a number that is unique within the term.

    :param stream_versions: the software versions at which recent streams may
        have begun, by service; None if they are not known
    """

    __slots__ = ('term', 'number', 'endpoints', 'stream_versions')

    def __init__(
        self,
        term: int,
        number: int,
        endpoints: list[fleets.Endpoint],
        stream_versions: dict[str, list[str]] | None = None,
    ):
        self.term = term
        self.number = number
        self.endpoints = endpoints
        self.stream_versions = stream_versions


@messages.register
class HostUpdate(messages.Message):
    """The ready entry hosts, with a number that is unique within the term."""

    __slots__ = ('term', 'number', 'hosts')

    def __init__(self, term: int, number: int, hosts: list[fleets.Host]):
        self.term = term
        self.number = number
        self.hosts = hosts


@messages.register
class Admit(messages.Message):
    """Asks the leader to place a model request on engines.

    The fields that are not listed here are those of
    ``queued_requests.QueuedRequest``.

    :param host: the entry host
    :param number: the number that the host gave the request
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


@messages.register
class AskPermit(messages.Message):
    """Asks the leader for a permit to send a request to an endpoint.

    :param limit: what the host knows of the endpoint's limit
    """

    __slots__ = ('host', 'limit')

    def __init__(self, host: str, limit: named_limits.LimitWord):
        self.host = host
        self.limit = limit


@messages.register
class PermitAnswer(messages.Message):
    """The leader's answer; see ``shared_limits.Permit``."""

    __slots__ = ('granted', 'wait_ms', 'return_ms')

    def __init__(self, granted: bool, wait_ms: int, return_ms: int):
        self.granted = granted
        self.wait_ms = wait_ms
        self.return_ms = return_ms


@messages.register
class EndedUnderRequest(messages.Message):
    """A plain service's endpoint ended under a request.

    :param key: the key of the request, see ``gateway.request_keys``
    :param is_trial: whether the leader had let this copy run alone
    :param age_ms: how long ago it was, if an earlier leader was told before
    """

    __slots__ = ('host', 'endpoint_id', 'key', 'is_trial', 'age_ms')

    def __init__(
        self,
        host: str,
        endpoint_id: str,
        key: str,
        is_trial: bool,
        age_ms: int = 0,
    ):
        self.host = host
        self.endpoint_id = endpoint_id
        self.key = key
        self.is_trial = is_trial
        self.age_ms = age_ms


@messages.register
class AskTrial(messages.Message):
    """Asks the leader whether a copy of a suspect may run."""

    __slots__ = ('host', 'key')

    def __init__(self, host: str, key: str):
        self.host = host
        self.key = key


@messages.register
class TrialAnswer(messages.Message):
    """The leader's answer.

    :param wait_ms: 0 if the copy may run, else the time until one may
    """

    __slots__ = ('wait_ms',)

    def __init__(self, wait_ms: int):
        self.wait_ms = wait_ms


@messages.register
class TrialEnded(messages.Message):
    """The copy of a suspect that ran has ended.

    :param survived: whether an endpoint answered it and did not end
    """

    __slots__ = ('host', 'key', 'survived')

    def __init__(self, host: str, key: str, survived: bool):
        self.host = host
        self.key = key
        self.survived = survived


@messages.register
class JoinGroup(messages.Message):
    """A control replica asks to join the control group.

    :param replica_id: the identity stored on the replica's disk
    """

    __slots__ = ('name', 'address', 'replica_id')

    def __init__(self, name: str, address: str, replica_id: str):
        self.name = name
        self.address = address
        self.replica_id = replica_id
