"""The model requests of a host that have not ended."""

from masticquay_wire import records


class HeldRequests(records.Record):
    """The model requests that a host runs or has asked the leader to place.

    Requests are numbered in ascending order, so an earlier number that is not
    listed is that of a request that has ended. That stays true, so an account
    that arrives late does no harm.

    :param newest: the highest number that the host has given
    :param numbers: the numbers of the requests
    """

    __slots__ = ('newest', 'numbers')

    def __init__(self, newest: int, numbers: list[int]):
        self.newest = newest
        self.numbers = numbers
