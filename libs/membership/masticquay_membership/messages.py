"""Messages between control replicas and entry hosts."""

import typing

from masticquay_bundles import models
from masticquay_wire import messages
from masticquay_wire import records

# Codes of the messages.Failure replies of control replicas.
CODE_NO_LEADER = 'no-leader'
CODE_ADOPT_VIEW = 'adopt-view'  # the host must first apply pushed changes
CODE_EVICTED = 'evicted'  # the incarnation is not, or no longer, in the view
CODE_CONFLICT = 'conflict'  # a compare-and-set failed
CODE_UNAPPROVED = 'unapproved'  # too few approvers signed the bundle
CODE_UNKNOWN_KEY = 'unknown-key'  # the bundle does not list the API key
CODE_STALE = 'stale'  # the call or usage batch is outdated or out of order
CODE_FULL = 'full'  # the table of intents is full
CODE_REPLICA_CHANGE = 'replica-change'  # a replica was not added or removed


class Host(records.Record):
    """An entry host as listed in a view.

    :param incarnation: the number that control assigns when the host opens a
        session; each new session gets a higher one
    :param place: the host's data centre
    :param caller_address: where API clients connect
    :param peer_address: where other processes of the fleet connect
    :param leaving: the host is draining and owns nothing
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
        """Returns the host of that name, or None."""
        return next((host for host in self.hosts if host.name == name), None)


@messages.register
class OpenSession(messages.Message):
    """Requests an incarnation number, needed before the first renewal.

    :param token: random bytes that make the request idempotent: a resend with
        the same token gets the same incarnation
    """

    __slots__ = ('host', 'token')

    def __init__(self, host: str, token: bytes):
        self.host = host
        self.token = token


@messages.register
class SessionOpened(messages.Message):
    """The reply to OpenSession with the host's incarnation number."""

    __slots__ = ('incarnation',)

    def __init__(self, incarnation: int):
        self.incarnation = incarnation


@messages.register
class CloseSession(messages.Message):
    """Releases a host's lease; the host has stopped serving keyed requests."""

    __slots__ = ('host', 'incarnation')

    def __init__(self, host: str, incarnation: int):
        self.host = host
        self.incarnation = incarnation


@messages.register
class RenewSession(messages.Message):
    """Renews a host's session lease, or asks to join the next view.

    :param view_number: the newest view that the host has adopted
    :param applied_index: the log index up to which the host has applied
        changes
    """

    __slots__ = ('host', 'view_number', 'applied_index')

    def __init__(self, host: Host, view_number: int, applied_index: int):
        self.host = host
        self.view_number = view_number
        self.applied_index = applied_index


@messages.register
class SessionRenewed(messages.Message):
    """The reply to RenewSession, which grants the lease.

    :param ttl_ms: the lease's time to live, counted from the sending of the
        renewal; 0 (no lease) while the host waits to join a view
    :param view_number: the number of the current view
    :param adopted_view_number: the newest view that every live host has
        adopted; hosts absent from it have stopped acting
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
    """Subscribes to StateUpdate notices with all changes after an index."""

    __slots__ = ('applied_index',)

    def __init__(self, applied_index: int):
        self.applied_index = applied_index


class _CachedRecord(records.Record):
    """An immutable record that caches its encoded fields.

    It is sent to many receivers and encoded once.
    """

    __slots__ = ('_wire',)

    def to_wire(self) -> dict[str, typing.Any]:
        try:
            return self._wire
        except AttributeError:
            self._wire = super().to_wire()
            return self._wire


class BundleChange(_CachedRecord):
    """The acceptance of a bundle, at a log index."""

    __slots__ = ('index', 'signed')

    def __init__(self, index: int, signed: models.SignedBundle):
        self.index = index
        self.signed = signed


class WithdrawalChange(records.Record):
    """The permanent withdrawal of an API key, at a log index.

    :param key_digest: the key's SHA-256, in hexadecimal
    """

    __slots__ = ('index', 'key_digest')

    def __init__(self, index: int, key_digest: str):
        self.index = index
        self.key_digest = key_digest


class ViewChange(_CachedRecord):
    """A new view, at a log index."""

    __slots__ = ('index', 'view')

    def __init__(self, index: int, view: View):
        self.index = index
        self.view = view


class EndpointsChange(records.Record):
    """A new set of endpoints that the platform lists as leaving.

    :param index: the log index of the change
    :param leaving: names of all endpoints that are leaving
    """

    __slots__ = ('index', 'leaving')

    def __init__(self, index: int, leaving: list[str]):
        self.index = index
        self.leaving = leaving


@messages.register
class StateUpdate(messages.Message):
    """The changes after log index ``from_index`` up to ``to_index``.

    With ``snapshot`` the lists hold the whole state instead, and the receiver
    replaces its state unless its applied index is already as high. The
    bundles are the newest one, preceded by those that changed the approvers.
    Of the views and the endpoint changes only the newest is sent.
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
    """An encoded StateUpdate.

    Control encodes an update once and sends it to many receivers.
    """

    __slots__ = ('body',)

    def __init__(self, body: bytes):
        self.body = body


@messages.register
class ChangesApplied(messages.Message):
    """Notice from a host that it has applied all changes up to an index."""

    __slots__ = ('host', 'incarnation', 'applied_index', 'view_number')

    def __init__(
        self, host: str, incarnation: int, applied_index: int, view_number: int
    ):
        self.host = host
        self.incarnation = incarnation
        self.applied_index = applied_index
        self.view_number = view_number
