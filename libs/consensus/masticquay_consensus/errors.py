"""Errors of the replicated log."""


class ConsensusError(Exception):
    """Base class of all errors of the replicated log."""


class NotLeaderError(ConsensusError):
    """This replica is not the leader, or cannot act as one at the moment.

    The proposal was not appended, or the read must not be served.

    :param leader_address: ``ip:port`` of the leader, empty when unknown
    """

    def __init__(self, leader_address: str = ''):
        super().__init__(f'the leader is {leader_address or "unknown"}')
        self.leader_address = leader_address


class ProposalUnknownError(ConsensusError):
    """Leadership was lost or the replica closed while a proposal was pending.

    The proposed entry may or may not be committed.
    """


class ReplicaChangeError(ConsensusError):
    """A replica could not be added or removed."""


class StorageError(ConsensusError):
    """The data folder cannot be used, or a disk operation failed.

    After a failed operation, the durable state is unknown and the process must
    exit, except after a ``NoRoomError``.
    """


class NoRoomError(StorageError):
    """The disk has no room for a write, of which nothing is stored.

    Unlike other failed operations it leaves no doubt: what was stored before
    is still there, and the write may be tried again.
    """


class DamagedStorageError(StorageError):
    """Stored data is corrupt or missing.

    The replica must be given an empty folder and be added to the group again.
    """
