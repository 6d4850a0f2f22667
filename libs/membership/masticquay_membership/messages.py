"""Messages between control replicas and their clients."""

import typing

from masticquay_bundles import models
from masticquay_wire import messages
from masticquay_wire import records

# Codes of messages.Failure that control replicas answer.
CODE_NO_LEADER = 'no-leader'
CODE_ADOPT_VIEW = 'adopt-view'
CODE_EVICTED = 'evicted'
CODE_CONFLICT = 'conflict'
CODE_UNAPPROVED = 'unapproved'
CODE_UNKNOWN_KEY = 'unknown-key'
CODE_STALE = 'stale'
CODE_FULL = 'full'
CODE_REPLICA_CHANGE = 'replica-change'

INTENT_BEGUN = 'begun'
INTENT_FINISHED = 'finished'
INTENT_IN_PROGRESS = 'in-progress'
INTENT_UNKNOWN = 'unknown'
INTENT_MISMATCH = 'mismatch'

OUTCOME_RAN = 'ran'
OUTCOME_NOT_RUN = 'not-run'
OUTCOME_UNKNOWN = 'unknown'


class Host(records.Record):
    """A live entry host.

    :param incarnation: rises with each start of the process
    :param caller_address: where callers connect
    :param peer_address: where other processes of the system connect
    """

    __slots__ = (
        'name',
        'incarnation',
        'place',
        'caller_address',
        'peer_address',
        'leaving',
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        place: str,
        caller_address: str,
        peer_address: str,
        leaving: bool = False,
    ):
        self.name = name
        self.incarnation = incarnation
        self.place = place
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.leaving = leaving


class View(records.Record):
    """The numbered set of hosts that hold a session lease."""

    __slots__ = ('number', 'hosts')

    def __init__(self, number: int, hosts: list[Host]):
        self.number = number
        self.hosts = hosts

    def host(self, name: str) -> Host | None:
        """Returns a host by name."""
        return next((host for host in self.hosts if host.name == name), None)


@messages.register
class OpenSession(messages.Message):
    """Asks for an incarnation number, before the first renewal.

    :param token: random bytes; the same token again gets the same answer
    """

    __slots__ = ('host', 'token')

    def __init__(self, host: str, token: bytes):
        self.host = host
        self.token = token


@messages.register
class SessionOpened(messages.Message):
    """Gives a host its incarnation number."""

    __slots__ = ('incarnation',)

    def __init__(self, incarnation: int):
        self.incarnation = incarnation


@messages.register
class CloseSession(messages.Message):
    """Gives the lease up: the sender has stopped all keyed work."""

    __slots__ = ('host', 'incarnation')

    def __init__(self, host: str, incarnation: int):
        self.host = host
        self.incarnation = incarnation


@messages.register
class RenewSession(messages.Message):
    """Renews a host's session lease, or asks to join the next view.

    :param view_number: the newest view that the host has adopted
    :param applied_index: the newest change that the host has applied
    """

    __slots__ = ('host', 'view_number', 'applied_index')

    def __init__(self, host: Host, view_number: int, applied_index: int):
        self.host = host
        self.view_number = view_number
        self.applied_index = applied_index


@messages.register
class SessionRenewed(messages.Message):
    """Grants the lease for ``ttl_ms`` from when the renewal was sent.

    :param ttl_ms: 0 while the host waits to join a view
    :param adopted_view_number: the newest view that every live host has
        adopted; hosts absent from it have stopped
    """

    __slots__ = ('ttl_ms', 'view_number', 'adopted_view_number')

    def __init__(
        self, ttl_ms: int, view_number: int, adopted_view_number: int
    ):
        self.ttl_ms = ttl_ms
        self.view_number = view_number
        self.adopted_view_number = adopted_view_number


@messages.register
class Subscribe(messages.Message):
    """Asks for all changes after an index, as StateUpdate notices."""

    __slots__ = ('applied_index',)

    def __init__(self, applied_index: int):
        self.applied_index = applied_index


class _CachedRecord(records.Record):
    """A record that is never changed and is sent to many receivers."""

    __slots__ = ('_wire',)

    def to_wire(self) -> dict[str, typing.Any]:
        try:
            return self._wire
        except AttributeError:
            self._wire = super().to_wire()
            return self._wire


class BundleChange(_CachedRecord):
    """A bundle was accepted."""

    __slots__ = ('index', 'signed')

    def __init__(self, index: int, signed: models.SignedBundle):
        self.index = index
        self.signed = signed


class WithdrawalChange(records.Record):
    """A key was withdrawn, for ever."""

    __slots__ = ('index', 'key_digest')

    def __init__(self, index: int, key_digest: str):
        self.index = index
        self.key_digest = key_digest


class ViewChange(_CachedRecord):
    """The set of live hosts changed."""

    __slots__ = ('index', 'view')

    def __init__(self, index: int, view: View):
        self.index = index
        self.view = view


class EndpointsChange(records.Record):
    """The endpoints that the platform lists as leaving changed.

    :param leaving: names of all endpoints that leave now
    """

    __slots__ = ('index', 'leaving')

    def __init__(self, index: int, leaving: list[str]):
        self.index = index
        self.leaving = leaving


@messages.register
class StateUpdate(messages.Message):
    """Changes after ``from_index`` up to ``to_index``, both of the log.

    With ``snapshot`` the lists hold the whole state instead, and the receiver
    replaces what it has, unless it has a newer index already. Of bundles only
    the newest is sent, and before it those that changed the approvers; of
    views and endpoints only the newest.
    """

    __slots__ = (
        'from_index',
        'to_index',
        'snapshot',
        'bundles',
        'withdrawals',
        'views',
        'endpoints',
    )

    def __init__(
        self,
        from_index: int,
        to_index: int,
        snapshot: bool,
        bundles: list[BundleChange],
        withdrawals: list[WithdrawalChange],
        views: list[ViewChange],
        endpoints: list[EndpointsChange] | None = None,
    ):
        self.from_index = from_index
        self.to_index = to_index
        self.snapshot = snapshot
        self.bundles = bundles
        self.withdrawals = withdrawals
        self.views = views
        self.endpoints = endpoints or []


@messages.register
class PackedUpdate(messages.Message):
    """A StateUpdate that was encoded once for many receivers."""

    __slots__ = ('body',)

    def __init__(self, body: bytes):
        self.body = body


@messages.register
class ChangesApplied(messages.Message):
    """A host says, as a notice, that it applied all up to an index."""

    __slots__ = ('host', 'incarnation', 'applied_index', 'view_number')

    def __init__(
        self, host: str, incarnation: int, applied_index: int, view_number: int
    ):
        self.host = host
        self.incarnation = incarnation
        self.applied_index = applied_index
        self.view_number = view_number


@messages.register
class RollBundle(messages.Message):
    """Asks to accept a bundle in place of the one named.

    :param expected_version: the version that it replaces, 0 for the first
    :param expected_digest: the digest of that bundle, empty for the first
    """

    __slots__ = ('signed', 'expected_version', 'expected_digest')

    def __init__(
        self,
        signed: models.SignedBundle,
        expected_version: int,
        expected_digest: bytes,
    ):
        self.signed = signed
        self.expected_version = expected_version
        self.expected_digest = expected_digest


@messages.register
class WithdrawKey(messages.Message):
    """Asks to withdraw a key by its digest."""

    __slots__ = ('key_digest',)

    def __init__(self, key_digest: str):
        self.key_digest = key_digest


@messages.register
class CommandAccepted(messages.Message):
    """A roll or withdrawal was committed at an index of the log.

    :param repeated: the same command had been accepted before
    """

    __slots__ = ('index', 'repeated')

    def __init__(self, index: int, repeated: bool):
        self.index = index
        self.repeated = repeated


@messages.register
class QueryProgress(messages.Message):
    """Asks how far a committed change has come."""

    __slots__ = ('index',)

    def __init__(self, index: int):
        self.index = index


@messages.register
class Progress(messages.Message):
    """Which hosts have not applied a change, and whether it is in force.

    :param evicted: hosts evicted since the change was committed
    """

    __slots__ = ('index', 'in_force', 'pending', 'evicted', 'live_count')

    def __init__(
        self,
        index: int,
        in_force: bool,
        pending: list[str],
        evicted: list[str],
        live_count: int,
    ):
        self.index = index
        self.in_force = in_force
        self.pending = pending
        self.evicted = evicted
        self.live_count = live_count


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


class UsageEntry(records.Record):
    """Use and refusals of one workspace, model, class and hour.

    :param target: the model or service
    :param refused_within_rate: refusals although the workspace's rate and
        burst would have allowed the request
    :param refusals: how many refusals for each reason
    """

    __slots__ = (
        'workspace',
        'target',
        'class_name',
        'hour',
        'requests',
        'prompt_tokens',
        'output_tokens',
        'refused_within_rate',
        'refusals',
    )

    def __init__(
        self,
        workspace: str,
        target: str,
        class_name: str,
        hour: int,
        requests: int = 0,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        refused_within_rate: int = 0,
        refusals: dict[str, int] | None = None,
    ):
        self.workspace = workspace
        self.target = target
        self.class_name = class_name
        self.hour = hour
        self.requests = requests
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.refused_within_rate = refused_within_rate
        self.refusals = refusals or {}


@messages.register
class ReportUsage(messages.Message):
    """A numbered batch of usage from one incarnation, merged once.

    :param unreported_bound_tokens: the most that this incarnation can have
        used beyond this batch, should it end without another one
    :param last: this incarnation sends no further batch
    """

    __slots__ = (
        'host',
        'incarnation',
        'sequence',
        'entries',
        'unreported_bound_tokens',
        'last',
    )

    def __init__(
        self,
        host: str,
        incarnation: int,
        sequence: int,
        entries: list[UsageEntry],
        unreported_bound_tokens: int,
        last: bool = False,
    ):
        self.host = host
        self.incarnation = incarnation
        self.sequence = sequence
        self.entries = entries
        self.unreported_bound_tokens = unreported_bound_tokens
        self.last = last


@messages.register
class QueryUsage(messages.Message):
    """Asks for the ledger; empty or zero fields select everything."""

    __slots__ = ('workspace', 'from_hour', 'to_hour')

    def __init__(
        self, workspace: str = '', from_hour: int = 0, to_hour: int = 0
    ):
        self.workspace = workspace
        self.from_hour = from_hour
        self.to_hour = to_hour


class UsageGap(records.Record):
    """An incarnation that ended without its last batch.

    :param bound_tokens: the most that is missing, -1 when it ended before
        its first batch
    """

    __slots__ = ('host', 'incarnation', 'bound_tokens')

    def __init__(self, host: str, incarnation: int, bound_tokens: int):
        self.host = host
        self.incarnation = incarnation
        self.bound_tokens = bound_tokens


@messages.register
class UsageReport(messages.Message):
    """The ledger's entries, and the gaps that crashes left."""

    __slots__ = ('entries', 'gaps')

    def __init__(self, entries: list[UsageEntry], gaps: list[UsageGap]):
        self.entries = entries
        self.gaps = gaps


@messages.register
class QueryStatus(messages.Message):
    """Asks a control replica what it knows of the fleet."""

    __slots__ = ()

    def __init__(self) -> None:
        pass


class ReplicaStatus(records.Record):
    """A control replica as its leader sees it.

    :param role: ``leader``, ``follower``, ``candidate`` or ``learner``
    """

    __slots__ = ('name', 'role', 'term', 'match_index', 'address')

    def __init__(
        self, name: str, role: str, term: int, match_index: int, address: str
    ):
        self.name = name
        self.role = role
        self.term = term
        self.match_index = match_index
        self.address = address


class EndpointStatus(records.Record):
    """An endpoint as the platform list and the orders have it.

    :param state: ``live``, ``leaving`` or ``unlisted``
    :param version: the model version last confirmed, empty when unknown
    """

    __slots__ = ('name', 'state', 'version', 'order_state')

    def __init__(
        self, name: str, state: str, version: str = '', order_state: str = ''
    ):
        self.name = name
        self.state = state
        self.version = version
        self.order_state = order_state


@messages.register
class FleetStatus(messages.Message):
    """The answer to QueryStatus."""

    __slots__ = (
        'replicas',
        'view',
        'adopted_view_number',
        'bundle_version',
        'bundle_digest',
        'bundle_index',
        'commit_index',
        'withdrawn_count',
        'endpoints',
    )

    def __init__(
        self,
        replicas: list[ReplicaStatus],
        view: View,
        adopted_view_number: int,
        bundle_version: int,
        bundle_digest: bytes,
        bundle_index: int,
        commit_index: int,
        withdrawn_count: int,
        endpoints: list[EndpointStatus],
    ):
        self.replicas = replicas
        self.view = view
        self.adopted_view_number = adopted_view_number
        self.bundle_version = bundle_version
        self.bundle_digest = bundle_digest
        self.bundle_index = bundle_index
        self.commit_index = commit_index
        self.withdrawn_count = withdrawn_count
        self.endpoints = endpoints


@messages.register
class AddReplica(messages.Message):
    """Asks to add a control replica, or to replace one of that name.

    Answered by ReplicasChanged once the new one has synced the log and
    counts as a voter.
    """

    __slots__ = ('name', 'address')

    def __init__(self, name: str, address: str):
        self.name = name
        self.address = address


@messages.register
class RemoveReplica(messages.Message):
    """Asks to remove a control replica; answered by ReplicasChanged."""

    __slots__ = ('name',)

    def __init__(self, name: str):
        self.name = name


@messages.register
class ReplicasChanged(messages.Message):
    """The control replicas after a change."""

    __slots__ = ('replicas',)

    def __init__(self, replicas: list[ReplicaStatus]):
        self.replicas = replicas


@messages.register
class QueryBundle(messages.Message):
    """Asks for the bundle in force, answered by SignedBundle."""

    __slots__ = ()

    def __init__(self) -> None:
        pass
