"""Commands of the replicated log, beside those that clients send."""

from masticquay_membership import messages as membership
from masticquay_wire import messages
from masticquay_wire import records


@messages.register
class Command(messages.Message):
    """One record of the log.

    :param stamp_ms: logical time, which only leaders advance
    :param body: the packed message to apply
    """

    __slots__ = ('stamp_ms', 'body')

    def __init__(self, stamp_ms: int, body: bytes):
        self.stamp_ms = stamp_ms
        self.body = body


class Removal(records.Record):
    """A host's incarnation that goes out of the view."""

    __slots__ = ('host', 'incarnation')

    def __init__(self, host: str, incarnation: int):
        self.host = host
        self.incarnation = incarnation


@messages.register
class ChangeView(messages.Message):
    """Makes the next view, if the current one has the expected number.

    :param put: hosts that join, or whose description changed
    """

    __slots__ = ('expected_number', 'put', 'removed')

    def __init__(
        self,
        expected_number: int,
        put: list[membership.Host],
        removed: list[Removal],
    ):
        self.expected_number = expected_number
        self.put = put
        self.removed = removed


@messages.register
class BeginLeadership(messages.Message):
    """Makes a replica the acting leader, under a new fencing number."""

    __slots__ = ('replica',)

    def __init__(self, replica: str):
        self.replica = replica


@messages.register
class LeadershipBegun(messages.Message):
    """The fencing number of the new acting leader."""

    __slots__ = ('fencing_number',)

    def __init__(self, fencing_number: int):
        self.fencing_number = fencing_number


@messages.register
class SetLeavingEndpoints(messages.Message):
    """Replaces the names of the endpoints that leave."""

    __slots__ = ('leaving',)

    def __init__(self, leaving: list[str]):
        self.leaving = leaving


@messages.register
class RenewSessions(messages.Message):
    """Renewals and acknowledgements that one follower gathered."""

    __slots__ = ('renewals', 'applied')

    def __init__(
        self,
        renewals: list[membership.RenewSession],
        applied: list[membership.ChangesApplied],
    ):
        self.renewals = renewals
        self.applied = applied


class RenewalResult(records.Record):
    """The answer to one renewal; an empty code means that it was granted."""

    __slots__ = ('granted', 'code', 'detail')

    def __init__(
        self,
        granted: membership.SessionRenewed | None,
        code: str = '',
        detail: str = '',
    ):
        self.granted = granted
        self.code = code
        self.detail = detail


@messages.register
class SessionsRenewed(messages.Message):
    """The answers to gathered renewals, in their order."""

    __slots__ = ('results',)

    def __init__(self, results: list[RenewalResult]):
        self.results = results


@messages.register
class Forward(messages.Message):
    """A client's call that a follower passes on to the leader."""

    __slots__ = ('body',)

    def __init__(self, body: bytes):
        self.body = body
