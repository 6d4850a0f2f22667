"""Settings of an entry daemon."""

from masticquay_gateway import retries
from masticquay_routing import regions as regions_module
from masticquay_serving import connection_limits


class Settings:
    """Settings of an entry host.

    :param name: unique name of the host
    :param address: ``ip:port`` for callers
    :param link_address: ``ip:port`` for links of other entry hosts
    :param place: the host's data centre
    :param seeds: link addresses of control replicas to contact first
    :param secret: shared secret that authenticates links
    :param grace_ms: time from the stop signal until the process must exit
    :param budget: limits on retries
    :param connection_limit: for connections of callers
    :param regions: of the places of endpoints and hosts
    """

    __slots__ = (
        'name',
        'address',
        'link_address',
        'place',
        'seeds',
        'secret',
        'grace_ms',
        'budget',
        'connection_limit',
        'regions',
    )

    def __init__(
        self,
        name: str,
        address: str,
        link_address: str,
        place: str,
        seeds: list[str],
        secret: bytes,
        grace_ms: int,
        budget: retries.RetryBudgetLimits,
        connection_limit: connection_limits.ConnectionLimit | None = None,
        regions: regions_module.Regions = regions_module.NO_REGIONS,
    ):
        self.name = name
        self.address = address
        self.link_address = link_address
        self.place = place
        self.seeds = seeds
        self.secret = secret
        self.grace_ms = grace_ms
        self.budget = budget
        self.connection_limit = connection_limit
        self.regions = regions
