"""Endpoints of services and the entry hosts in front of them."""

from masticquay_wire import records

ROLE_NONE = ''
ROLE_PREFILL = 'prefill'
ROLE_DECODE = 'decode'


class Endpoint(records.Record):
    """One server of a service.

    :param address: ``ip:port``
    :param place: the data centre
    :param slots: the requests that it runs at once
    :param leaving: whether it is draining or evacuated, and must get no new
        requests
    :param role: the role of a model engine, empty for other services
    :param software_version: the version of its software, empty if unknown;
        endpoints of several versions may serve side by side
    :param started_ms: Unix time of its start, 0 if unknown; an endpoint may
        start again under its id
    :param evacuated: whether it counts as leaving only because its place is
        evacuated; hosts of an earlier revision know ``leaving`` alone
    :param cold_ms: how long it stays cold after its start, rounded up; 0 if it
        is warm
    """

    __slots__ = (
        'endpoint_id',
        'service',
        'address',
        'place',
        'slots',
        'leaving',
        'role',
        'software_version',
        'started_ms',
        'evacuated',
        'cold_ms',
    )

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        address: str,
        place: str,
        slots: int = 1,
        leaving: bool = False,
        role: str = ROLE_NONE,
        software_version: str = '',
        started_ms: int = 0,
        evacuated: bool = False,
        cold_ms: int = 0,
    ):
        self.endpoint_id = endpoint_id
        self.service = service
        self.address = address
        self.place = place
        self.slots = slots
        self.leaving = leaving
        self.role = role
        self.software_version = software_version
        self.started_ms = started_ms
        self.evacuated = evacuated
        self.cold_ms = cold_ms


class Host(records.Record):
    """An entry host that accepts requests from callers.

    :param address: ``ip:port`` for callers
    :param place: the data centre
    :param link_address: ``ip:port`` for links of other hosts, empty if it
        takes none
    :param reaches_endpoints: whether it can connect to endpoints
    """

    __slots__ = (
        'name',
        'address',
        'place',
        'link_address',
        'reaches_endpoints',
    )

    def __init__(
        self,
        name: str,
        address: str,
        place: str,
        link_address: str = '',
        reaches_endpoints: bool = True,
    ):
        self.name = name
        self.address = address
        self.place = place
        self.link_address = link_address
        self.reaches_endpoints = reaches_endpoints
