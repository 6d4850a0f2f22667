"""Messages that report and query usage."""

from masticquay_wire import messages
from masticquay_wire import records


class UsageEntry(records.Record):
    """Usage of one workspace, target and service class in one hour.

    :param target: the name of a model or service
    :param hour: hours since the epoch
    :param refused_within_rate: requests refused although the workspace's rate
        and burst allowed them
    :param refusals: the number of refused requests by reason
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
    """A batch of usage from one incarnation of a host.

    :param sequence: the number of the batch; a batch that is sent again is
        counted once
    :param unreported_bound_tokens: an upper bound on the tokens that are
        missing if the incarnation ends without another batch
    :param last: whether this is the incarnation's final batch
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
    """Requests usage from the ledger, answered by UsageReport.

    An empty or zero field matches all entries.

    :param from_hour: the first hour, in hours since the epoch
    :param to_hour: the last hour, included
    """

    __slots__ = ('workspace', 'from_hour', 'to_hour')

    def __init__(
        self, workspace: str = '', from_hour: int = 0, to_hour: int = 0
    ):
        self.workspace = workspace
        self.from_hour = from_hour
        self.to_hour = to_hour


class UsageGap(records.Record):
    """An incarnation that ended without sending its final batch.

    :param bound_tokens: an upper bound on the unreported tokens, -1 (unknown)
        if it ended before its first batch
    """

    __slots__ = ('host', 'incarnation', 'bound_tokens')

    def __init__(self, host: str, incarnation: int, bound_tokens: int):
        self.host = host
        self.incarnation = incarnation
        self.bound_tokens = bound_tokens


@messages.register
class UsageReport(messages.Message):
    """The selected ledger entries, and all gaps left by crashed hosts."""

    __slots__ = ('entries', 'gaps')

    def __init__(self, entries: list[UsageEntry], gaps: list[UsageGap]):
        self.entries = entries
        self.gaps = gaps
