"""Messages on slots of scarce plain services."""

from masticquay_routing import server_loads
from masticquay_wire import messages
from masticquay_wire import records


class HeldSlot(records.Record):
    """A request that a host has asked a slot for and that has not ended.

    :param endpoint_id: empty while it has no slot
    :param deadline_ms: time until its deadline
    """

    __slots__ = ('number', 'service', 'endpoint_id', 'deadline_ms')

    def __init__(
        self, number: int, service: str, endpoint_id: str, deadline_ms: int
    ):
        self.number = number
        self.service = service
        self.endpoint_id = endpoint_id
        self.deadline_ms = deadline_ms


class Pause(records.Record):
    """An endpoint wants no requests of one host for a while.

    :param remaining_ms: for how long it wants none from now on
    """

    __slots__ = ('endpoint_id', 'remaining_ms')

    def __init__(self, endpoint_id: str, remaining_ms: int):
        self.endpoint_id = endpoint_id
        self.remaining_ms = remaining_ms


class HeldSlots(records.Record):
    """All such requests of a host.

    Requests are numbered in ascending order, so an earlier number that is not
    listed is that of a request that has ended.

    :param newest: the highest number that the host has given
    :param pauses: the endpoints that want no requests of the host now
    """

    __slots__ = ('newest', 'slots', 'pauses')

    def __init__(
        self,
        newest: int,
        slots: list[HeldSlot],
        pauses: list[Pause] | None = None,
    ):
        self.newest = newest
        self.slots = slots
        self.pauses = pauses or []


@messages.register
class AskSlot(messages.Message):
    """Asks the leader for a slot of a service, or asks on for one.

    :param number: the number that the host gave the request
    :param priority: 0 is the most urgent
    :param target_ms: time until the latency target is missed
    :param deadline_ms: time until the answer is of no use
    :param tried_ids: the endpoints that must not get the request
    :param age_ms: time since the caller's request arrived
    :param place: the data centre of the host
    """

    __slots__ = (
        'host',
        'number',
        'service',
        'priority',
        'target_ms',
        'deadline_ms',
        'tried_ids',
        'age_ms',
        'place',
    )

    def __init__(
        self,
        host: str,
        number: int,
        service: str,
        priority: int,
        target_ms: int,
        deadline_ms: int,
        tried_ids: list[str],
        age_ms: int = 0,
        place: str = '',
    ):
        self.host = host
        self.number = number
        self.service = service
        self.priority = priority
        self.target_ms = target_ms
        self.deadline_ms = deadline_ms
        self.tried_ids = tried_ids
        self.age_ms = age_ms
        self.place = place


@messages.register
class SlotAnswer(messages.Message):
    """The leader's answer.

    Without any of its fields, the leader has no part in the choice and the
    host chooses by itself.

    :param endpoint_id: the endpoint that has a slot for the request, empty
        for none
    :param wait_ms: for how long the request will probably wait on; the host
        asks again under the same number, which keeps its place in the queue
    :param return_ms: the request cannot be served in time, and its caller may
        return after this time
    """

    __slots__ = ('endpoint_id', 'wait_ms', 'return_ms')

    def __init__(
        self, endpoint_id: str = '', wait_ms: int = 0, return_ms: int = 0
    ):
        self.endpoint_id = endpoint_id
        self.wait_ms = wait_ms
        self.return_ms = return_ms


@messages.register
class SlotEnded(messages.Message):
    """Tells that a request for which a host asked for a slot has ended.

    :param duration_ms: how long the endpoint took, 0 if it gave no response
    :param is_rejected: whether the endpoint refused it as full
    :param load: what the endpoint's answer said of its load
    :param has_failed: whether the endpoint answered with an error or not at
        all
    :param may_run: whether the endpoint may still be running it, as its caller
        left or its time was up
    :param pause_ms: for how long the endpoint wants no requests of the host,
        0 if it has not said so
    """

    __slots__ = (
        'host',
        'number',
        'service',
        'duration_ms',
        'is_rejected',
        'load',
        'has_failed',
        'may_run',
        'pause_ms',
    )

    def __init__(
        self,
        host: str,
        number: int,
        service: str,
        duration_ms: float = 0.0,
        is_rejected: bool = False,
        load: server_loads.ServerLoad | None = None,
        has_failed: bool = False,
        may_run: bool = False,
        pause_ms: int = 0,
    ):
        self.host = host
        self.number = number
        self.service = service
        self.duration_ms = duration_ms
        self.is_rejected = is_rejected
        self.load = load
        self.has_failed = has_failed
        self.may_run = may_run
        self.pause_ms = pause_ms
