"""Messages between the operator's command-line tool and control."""

from masticquay_bundles import models
from masticquay_membership import messages as membership_messages
from masticquay_wire import messages
from masticquay_wire import records


@messages.register
class RollBundle(messages.Message):
    """Requests the roll-out of a signed bundle, by compare-and-set.

    :param expected_version: the version of the bundle that it replaces, 0 for
        the first
    :param expected_digest: the digest of the bundle that it replaces, empty
        for the first
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
    """Requests the permanent withdrawal of an API key.

    :param key_digest: the key's SHA-256, in hexadecimal
    """

    __slots__ = ('key_digest',)

    def __init__(self, key_digest: str):
        self.key_digest = key_digest


@messages.register
class CommandAccepted(messages.Message):
    """The reply to RollBundle or WithdrawKey: it took effect at a log index.

    :param repeated: the command is a resend of one accepted before
    """

    __slots__ = ('index', 'repeated')

    def __init__(self, index: int, repeated: bool):
        self.index = index
        self.repeated = repeated


@messages.register
class QueryProgress(messages.Message):
    """Asks which hosts have applied the change at a log index.

    The reply is Progress.
    """

    __slots__ = ('index',)

    def __init__(self, index: int):
        self.index = index


@messages.register
class Progress(messages.Message):
    """How far a change has spread through the fleet.

    :param in_force: whether every live host has applied the change
    :param pending: names of live hosts that have not applied it
    :param evicted: names of hosts evicted since it was committed
    :param live_count: the number of live hosts
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


@messages.register
class QueryStatus(messages.Message):
    """Requests the status of the fleet, answered by FleetStatus."""

    __slots__ = ()

    def __init__(self) -> None:
        pass


class ReplicaStatus(records.Record):
    """A control replica as the leader sees it.

    :param role: ``leader``, ``follower``, ``candidate`` or ``learner``
    :param match_index: the last log index known to be replicated to it
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
    """An endpoint's state in the platform list and the state of its order.

    :param state: ``live``, ``leaving`` or ``unlisted``
    :param version: the model version that it last reported, empty if unknown
    :param order_state: ``current``, ``running``, ``failed``, ``held`` or
        ``unreachable``; empty if unknown
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
    """The state of the fleet, in reply to QueryStatus."""

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
        view: membership_messages.View,
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
    """Requests a new control replica, replacing one of the same name.

    The reply is ReplicasChanged, sent once the new replica has synced the log
    and become a voter.
    """

    __slots__ = ('name', 'address')

    def __init__(self, name: str, address: str):
        self.name = name
        self.address = address


@messages.register
class RemoveReplica(messages.Message):
    """Requests the removal of a replica, answered by ReplicasChanged."""

    __slots__ = ('name',)

    def __init__(self, name: str):
        self.name = name


@messages.register
class ReplicasChanged(messages.Message):
    """The members of the control group after a change."""

    __slots__ = ('replicas',)

    def __init__(self, replicas: list[ReplicaStatus]):
        self.replicas = replicas


@messages.register
class QueryBundle(messages.Message):
    """Requests the current bundle, answered by SignedBundle."""

    __slots__ = ()

    def __init__(self) -> None:
        pass
