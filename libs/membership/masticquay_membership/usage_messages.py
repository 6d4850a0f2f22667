"""Messages about the usage ledger."""

from masticquay_wire import messages
from masticquay_wire import records


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
