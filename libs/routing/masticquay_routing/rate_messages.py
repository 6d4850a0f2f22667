"""Messages on charges to rate limits while there is no leader."""

from masticquay_wire import messages


@messages.register
class ChargeRate(messages.Message):
    """Asks a control replica to charge a request to its share of a limit.

    :param cost: in what the limit counts, tokens or requests
    :param table_version: of the table that has the limit
    """

    __slots__ = (
        'host',
        'workspace',
        'cost',
        'rate_per_s',
        'burst',
        'table_version',
    )

    def __init__(
        self,
        host: str,
        workspace: str,
        cost: float,
        rate_per_s: float,
        burst: float,
        table_version: int,
    ):
        self.host = host
        self.workspace = workspace
        self.cost = cost
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.table_version = table_version


@messages.register
class RateCharged(messages.Message):
    """The replica's answer.

    :param wait_ms: 0 if the request was charged, else the time until another
        one may be
    """

    __slots__ = ('wait_ms',)

    def __init__(self, wait_ms: int):
        self.wait_ms = wait_ms
