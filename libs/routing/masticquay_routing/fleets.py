"""Endpoints and hosts as the platform's list and the control see them."""

from masticquay_wire import records

ROLE_PLAIN = ''
ROLE_PREFILL = 'prefill'
ROLE_DECODE = 'decode'


class Endpoint(records.Record):
    """One server of a service.

    :param address: ``ip:port``
    :param place: its data centre
    :param leaving: whether it must get no new work
    :param role: a model engine's role, empty for a plain service
    """

    __slots__ = (
        'endpoint_id',
        'service',
        'address',
        'place',
        'slots',
        'leaving',
        'role',
    )

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        address: str,
        place: str,
        slots: int = 1,
        leaving: bool = False,
        role: str = ROLE_PLAIN,
    ):
        self.endpoint_id = endpoint_id
        self.service = service
        self.address = address
        self.place = place
        self.slots = slots
        self.leaving = leaving
        self.role = role


class Host(records.Record):
    """An entry host that callers may use.

    :param address: ``ip:port`` for callers
    """

    __slots__ = ('name', 'address', 'place')

    def __init__(self, name: str, address: str, place: str):
        self.name = name
        self.address = address
        self.place = place
