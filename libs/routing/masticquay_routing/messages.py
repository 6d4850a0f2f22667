"""Messages between entry hosts and control replicas."""

from masticquay_routing import endpoint_notices
from masticquay_routing import fleets
from masticquay_routing import held_requests
from masticquay_routing import named_limits
from masticquay_routing import renewals
from masticquay_routing import slot_messages
from masticquay_routing import stream_origins
from masticquay_wire import messages
from masticquay_wire import records

CODE_NOT_LEADER = 'not-leader'
# The leader has charged a request, but knows no endpoints to place it on.
CODE_NO_ENDPOINTS = 'no-endpoints'
# The answer to a renewal of a process that another one has replaced.
CODE_REPLACED = 'replaced'
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
    :param usage: the cost, by workspace, of requests without placement that
        the leader has not confirmed; it charges it once
    :param running: the host's placed requests, sent once to each new leader
        and otherwise empty
    :param endpoint_reports: on the endpoints that the host has used since its
        last renewal
    :param origins: the origins of recent streams that the host knows of, sent
        with ``running``
    :param quarantined: the parts of prompts that the host refuses, with the
        remaining time in ms; sent with ``running``
    :param leaving: the endpoints that told the host that they leave
    :param limits: the limits that endpoints name
    :param reaches_endpoints: whether the host can connect to endpoints
    :param link_address: ``ip:port`` for links of other hosts
    :param held: the host's requests that have not ended, None from a host of
        an earlier release
    :param usage_number: identifies ``usage``, which is repeated until it is
        confirmed; 0 if it is not repeated
    :param reads_endpoint_changes: whether the host reads the forms of
        ``endpoint_changes``, which earlier releases do not know
    :param slots: the requests for which the host has asked for slots, None if
        there were none recently
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
        'reaches_endpoints',
        'link_address',
        'held',
        'usage_number',
        'reads_endpoint_changes',
        'slots',
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
        reaches_endpoints: bool = True,
        link_address: str = '',
        held: held_requests.HeldRequests | None = None,
        usage_number: int = 0,
        reads_endpoint_changes: bool = False,
        slots: slot_messages.HeldSlots | None = None,
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
        self.reaches_endpoints = reaches_endpoints
        self.link_address = link_address
        self.held = held
        self.usage_number = usage_number
        self.reads_endpoint_changes = reads_endpoint_changes
        self.slots = slots


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
    :param origins: the origins of streams that began on other hosts, which
        this host should keep for the next leader
    :param renew_interval_ms: the time until the host's next renewal
    :param scarce_services: the plain services for which hosts ask for slots
    """

    __slots__ = (
        'term',
        'controls',
        'exhausted',
        'endpoint_views',
        'quarantined',
        'limits',
        'suspects',
        'origins',
        'renew_interval_ms',
        'scarce_services',
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
        origins: list[stream_origins.StreamOrigin] | None = None,
        renew_interval_ms: int = renewals.MIN_INTERVAL_MS,
        scarce_services: list[str] | None = None,
    ):
        self.term = term
        self.controls = controls
        self.exhausted = exhausted
        self.endpoint_views = endpoint_views or []
        self.quarantined = quarantined or {}
        self.limits = limits or []
        self.suspects = suspects or []
        self.origins = origins or []
        self.renew_interval_ms = renew_interval_ms
        self.scarce_services = scarce_services or []


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
    :param evacuated: the evacuated places, None from a leader of an earlier
        revision
    :param evacuations_number: rises with each change of ``evacuated``, across
        terms. A replica that does not lead sends evacuations alone, with the
        term and number 0.
    """

    __slots__ = (
        'term',
        'number',
        'endpoints',
        'stream_versions',
        'evacuated',
        'evacuations_number',
    )

    def __init__(
        self,
        term: int,
        number: int,
        endpoints: list[fleets.Endpoint],
        stream_versions: dict[str, list[str]] | None = None,
        evacuated: list[str] | None = None,
        evacuations_number: int = 0,
    ):
        self.term = term
        self.number = number
        self.endpoints = endpoints
        self.stream_versions = stream_versions
        self.evacuated = evacuated
        self.evacuations_number = evacuations_number


@messages.register
class HostUpdate(messages.Message):
    """The ready entry hosts, with a number that is unique within the term."""

    __slots__ = ('term', 'number', 'hosts')

    def __init__(self, term: int, number: int, hosts: list[fleets.Host]):
        self.term = term
        self.number = number
        self.hosts = hosts


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
