"""Commands and messages that only control replicas send."""

from masticquay_membership import messages as membership_messages
from masticquay_wire import messages
from masticquay_wire import records


@messages.register
class Command(messages.Message):
    """One command of the replicated log.

    :param stamp_ms: logical time, set by the leader that proposes the command;
        it advances only while there is an acting leader
    :param body: the encoded message to apply
    """

    __slots__ = ('stamp_ms', 'body')

    def __init__(self, stamp_ms: int, body: bytes):
        self.stamp_ms = stamp_ms
        self.body = body


class Removal(records.Record):
    """An incarnation of a host to remove from the view."""

    __slots__ = ('host', 'incarnation')

    def __init__(self, host: str, incarnation: int):
        self.host = host
        self.incarnation = incarnation


@messages.register
class ChangeView(messages.Message):
    """Creates the next view if the current one has the expected number.

    :param put: hosts to add, or to replace with a new description
    :param removed: incarnations to evict
    """

    __slots__ = ('expected_number', 'put', 'removed')

    def __init__(
        self,
        expected_number: int,
        put: list[membership_messages.Host],
        removed: list[Removal],
    ):
        self.expected_number = expected_number
        self.put = put
        self.removed = removed


@messages.register
class BeginLeadership(messages.Message):
    """Makes a replica the acting leader and assigns a fencing number."""

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
    """Replaces the list of names of leaving endpoints."""

    __slots__ = ('leaving',)

    def __init__(self, leaving: list[str]):
        self.leaving = leaving


@messages.register
class RenewSessions(messages.Message):
    """A batch of renewals and acknowledgements that a follower forwards.

    :param applied: the newest acknowledgement of each host
    """

    __slots__ = ('renewals', 'applied')

    def __init__(
        self,
        renewals: list[membership_messages.RenewSession],
        applied: list[membership_messages.ChangesApplied],
    ):
        self.renewals = renewals
        self.applied = applied


class RenewalResult(records.Record):
    """The result of one renewal.

    :param granted: the reply to the host, None if the renewal was refused
    :param code: the failure code of a refusal, else empty
    """

    __slots__ = ('granted', 'code', 'detail')

    def __init__(
        self,
        granted: membership_messages.SessionRenewed | None,
        code: str = '',
        detail: str = '',
    ):
        self.granted = granted
        self.code = code
        self.detail = detail


@messages.register
class SessionsRenewed(messages.Message):
    """The results of a batch of renewals, in the order of the batch."""

    __slots__ = ('results',)

    def __init__(self, results: list[RenewalResult]):
        self.results = results


@messages.register
class Forward(messages.Message):
    """A client's call, encoded, that a follower forwards to the leader."""

    __slots__ = ('body',)

    def __init__(self, body: bytes):
        self.body = body
