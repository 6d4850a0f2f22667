"""Which replica of control a host renews its lease at, and how soon."""

from masticquay_wire import peers

# Delays until the next renewal: after a failed one, once no replica could be
# reached, and while there is no leader.
RETRY_INTERVAL_MS = 100
UNREACHABLE_INTERVAL_MS = 500
LEADERLESS_INTERVAL_MS = 200
MAX_LEADERLESS_RENEWALS = 5


class ReplicaChoice:
    """Goes through the replicas in turn.

    The whole turn must fit into what is left of a lease when a renewal is
    due, with an election in it: a replica that cannot be reached costs
    ``RETRY_INTERVAL_MS``.
    """

    __slots__ = (
        '_addresses',
        '_index',
        '_leaderless_count',
        '_unreachable_count',
    )

    def __init__(self, addresses: list[peers.Address]):
        self._addresses = addresses
        self._index = 0
        self._leaderless_count = 0
        self._unreachable_count = 0

    @property
    def address(self) -> peers.Address:
        """The replica to renew at."""
        return self._addresses[self._index]

    @property
    def has_others(self) -> bool:
        """Whether there is more than one replica."""
        return len(self._addresses) > 1

    def advance(self) -> None:
        """Chooses the next replica."""
        self._index = (self._index + 1) % len(self._addresses)

    def record_answer(self, leader_known: bool) -> bool:
        """Records an answer of the chosen replica.

        If there is no leader for too long, this replica may be partitioned
        from the others, which have one.

        :returns: whether the host should leave this replica
        """
        self._unreachable_count = 0
        if leader_known:
            self._leaderless_count = 0
            return False
        self._leaderless_count += 1
        if self._leaderless_count < MAX_LEADERLESS_RENEWALS:
            return False
        self._leaderless_count = 0
        return True

    def record_silence(self) -> int:
        """Records that the chosen replica did not answer.

        :returns: the delay in ms until the next renewal
        """
        self._unreachable_count += 1
        if self._unreachable_count < len(self._addresses):
            return RETRY_INTERVAL_MS
        return UNREACHABLE_INTERVAL_MS
