"""The load that an endpoint of a plain service reports of itself."""

from masticquay_wire import records

# The pace of usual work.
USUAL_PACE = 100
# The pace is believed within these limits.
MIN_PACE = 10
MAX_PACE = 2_000


class ServerLoad(records.Record):
    """What an endpoint's answer says of its load.

    :param running: the requests that it runs
    :param waiting: the requests that wait there for a slot
    :param slots: the requests that it runs at once, 0 if not reported
    :param pace: how long work takes there now, as a percentage of the usual
        time; 0 if not reported
    """

    __slots__ = ('running', 'waiting', 'slots', 'pace')

    def __init__(
        self, running: int, waiting: int, slots: int = 0, pace: int = 0
    ):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace

    @property
    def in_flight(self) -> int:
        """The number of running and waiting requests together."""
        return self.running + self.waiting

    @property
    def believed_pace(self) -> int:
        """The pace, 0 if it is not reported or cannot be true."""
        return self.pace if MIN_PACE <= self.pace <= MAX_PACE else 0
