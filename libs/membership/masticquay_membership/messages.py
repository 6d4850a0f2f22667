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
