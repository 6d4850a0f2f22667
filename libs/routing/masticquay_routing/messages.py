"""Messages between entry hosts and control."""

from masticquay_routing import fleets
from masticquay_routing import tickets
from masticquay_wire import messages
from masticquay_wire import records

CODE_NOT_LEADER = 'not-leader'


class Running(records.Record):
    """A placed model request that a host still runs."""

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


@messages.register
class Renew(messages.Message):
    """Keeps a host on the list of hosts, and says what it holds.

    :param incarnation: differs after each start of the host's process
    :param ready: whether callers may use the host
    :param table_version: of the table in force there, -1 for none
    :param endpoints_number: of the endpoint list held there
    :param hosts_number: of the host list held there
    :param term: of the leader whose lists the numbers belong to
    :param usage: what ran since the last renewal, by workspace
    :param running: placed requests, sent to a leader that is new to the host
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


@messages.register
class LeaderChanged(messages.Message):
    """Tells a host to look for the leader at once.

    Sent by a replica that begins to lead, to hosts that asked it in vain, and
    by one that ceases to, to the hosts in touch with it.
    """

    __slots__ = ('term',)

    def __init__(self, term: int):
        self.term = term


@messages.register
class Renewed(messages.Message):
    """The leader's answer to a renewal.

    :param controls: ``ip:port`` of the control replicas
    :param exhausted: workspaces over their rate, with the time in ms until
        they may run something
    """

    __slots__ = ('term', 'controls', 'exhausted')

    def __init__(
        self, term: int, controls: list[str], exhausted: dict[str, int]
    ):
        self.term = term
        self.controls = controls
        self.exhausted = exhausted


@messages.register
class TableUpdate(messages.Message):
    """The newest table.

    :param document: the operator's document, compressed by zlib
    """

    __slots__ = ('version', 'document')

    def __init__(self, version: int, document: bytes):
        self.version = version
        self.document = document


@messages.register
class EndpointUpdate(messages.Message):
    """The endpoint list, numbered by the leader of a term."""

    __slots__ = ('term', 'number', 'endpoints')

    def __init__(
        self, term: int, number: int, endpoints: list[fleets.Endpoint]
    ):
        self.term = term
        self.number = number
        self.endpoints = endpoints


@messages.register
class HostUpdate(messages.Message):
    """The entry hosts that callers may use, numbered by the leader."""

    __slots__ = ('term', 'number', 'hosts')

    def __init__(self, term: int, number: int, hosts: list[fleets.Host]):
        self.term = term
        self.number = number
        self.hosts = hosts


@messages.register
class Admit(messages.Message):
    """Asks for a place for a model request.

    :param cost: what it takes from the workspace's rate
    :param urgent_ms: for how long it can still be on time
    :param wait_ms: for how long it may wait for a place
    :param late_wait_ms: the same, if it was refused before
    :param prompt_key: see ``tickets.Ticket``
    :param avoid: endpoints that failed it
    :param prefer: the engine that keeps its prompt, empty for none
    :param prefilled: whether the host has a handle to its prompt
    :param charged: whether its cost was taken before
    :param pause_ms: the longest pause in its stream that counts as on time
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
        pause_ms: int = tickets.DEFAULT_PAUSE_MS,
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


@messages.register
class Placed(messages.Message):
    """Where a model request runs.

    :param prefill_id: empty when the decode engine reads the prompt
    :param prefill_ms: how long the prefill should take, its queue included
    """

    __slots__ = ('prefill_id', 'decode_id', 'prefill_ms')

    def __init__(self, prefill_id: str, decode_id: str, prefill_ms: int):
        self.prefill_id = prefill_id
        self.decode_id = decode_id
        self.prefill_ms = prefill_ms


@messages.register
class Refused(messages.Message):
    """A model request gets no place and has not run.

    :param over_rate: whether its workspace is beyond its rate
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
    """A prompt was read."""

    __slots__ = ('host', 'service', 'number')

    def __init__(self, host: str, service: str, number: int):
        self.host = host
        self.service = service
        self.number = number


@messages.register
class Decoding(messages.Message):
    """The first token of a placed request is there."""

    __slots__ = ('host', 'service', 'number')

    def __init__(self, host: str, service: str, number: int):
        self.host = host
        self.service = service
        self.number = number


@messages.register
class Finished(messages.Message):
    """A placed request needs its place no longer, or gave up waiting.

    :param sound: whether the decode engine served it
    """

    __slots__ = ('host', 'service', 'number', 'sound')

    def __init__(self, host: str, service: str, number: int, sound: bool):
        self.host = host
        self.service = service
        self.number = number
        self.sound = sound


@messages.register
class EndpointTrouble(messages.Message):
    """An endpoint failed a host's request.

    :param reached: whether a connection to it was had
    :param pause_ms: above 0 when it only refused, and for how long it is
        better left alone
    """

    __slots__ = (
        'host',
        'service',
        'endpoint_id',
        'reached',
        'reason',
        'pause_ms',
    )

    def __init__(
        self,
        host: str,
        service: str,
        endpoint_id: str,
        reached: bool,
        reason: str,
        pause_ms: int = 0,
    ):
        self.host = host
        self.service = service
        self.endpoint_id = endpoint_id
        self.reached = reached
        self.reason = reason
        self.pause_ms = pause_ms


@messages.register
class JoinGroup(messages.Message):
    """A control replica asks to be made a member of the group.

    :param replica_id: the identity on its disk
    """

    __slots__ = ('name', 'address', 'replica_id')

    def __init__(self, name: str, address: str, replica_id: str):
        self.name = name
        self.address = address
        self.replica_id = replica_id
