"""Errors of the replicated log."""


class ConsensusError(Exception):
    """Any failure of the replicated log."""


class NotLeaderError(ConsensusError):
    """This replica does not lead; nothing was appended.

    :param leader_address: ``ip:port`` of the leader, empty when unknown
    """

    def __init__(self, leader_address: str = ''):
        super().__init__(f'the leader is {leader_address or "unknown"}')
        self.leader_address = leader_address


class ProposalUnknownError(ConsensusError):
    """Leadership was lost before it was known whether a command commits."""


class ReplicaChangeError(ConsensusError):
    """A replica could not be added or removed."""


class StorageError(ConsensusError):
    """The disk failed; the process must end."""


class DamagedStorageError(StorageError):
    """Stored data is damaged; the replica must be rebuilt from its peers."""
