"""The data folder of a replica.

Holds the replica's identity, its current term with the vote that it cast in
it, the newest snapshot and the log.
"""

import random
import typing

import cbor2

from masticquay_consensus import disks
from masticquay_consensus import errors
from masticquay_consensus import frames
from masticquay_consensus import messages
from masticquay_consensus import raft_logs
from masticquay_consensus import rooms

IDENTITY_FILE = 'identity'
VOTE_FILE = 'ballot'
SNAPSHOT_FILE = 'snapshot'
FOUNDERS_FILE = 'founders'
IDENTITY_BITS = 64


class Snapshot:
    """The state after applying the entries up to an index.

    :param index: the index of the last applied entry
    :param term: the term of that entry
    :param configuration: the configuration in effect at the index
    :param data: the serialized state of the state machine
    """

    __slots__ = ('index', 'term', 'configuration', 'data')

    def __init__(
        self,
        index: int,
        term: int,
        configuration: messages.Configuration,
        data: bytes,
    ):
        self.index = index
        self.term = term
        self.configuration = configuration
        self.data = data

    def to_bytes(self) -> bytes:
        """Encodes the snapshot as it is stored and sent."""
        members = self.configuration.to_wire()
        return frames.encode(
            cbor2.dumps([self.index, self.term, members, self.data])
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> typing.Self:
        """Decodes the output of ``to_bytes``.

        :raises DamagedStorageError: when the data is corrupt
        """
        payload = frames.decode_single(data)
        if payload is None:
            raise errors.DamagedStorageError(
                'the snapshot has an invalid length or checksum'
            )
        index, term, members, state = cbor2.loads(payload)
        configuration = messages.Configuration.from_wire(members)
        return cls(index, term, configuration, state)


class Store:
    """The durable state of a replica.

    In an empty folder, the replica gets a new identity. It is then a member of
    no group and has neither a snapshot nor a log until ``join_group`` is
    called.

    :param identity_random: generates the identity for an empty folder
    :param room: is told whether the disk has room
    :raises NoRoomError: when the disk has no room for the identity
    :raises StorageError: when the folder belongs to another replica
    :raises DamagedStorageError: when a file is missing or corrupt
    """

    def __init__(
        self,
        disk: disks.Disk,
        name: str,
        identity_random: random.Random,
        room: rooms.Room | None = None,
    ):
        self.room = room or rooms.Room()
        self._disk = rooms.RoomDisk(disk, self.room)
        self.term = 0
        self.voted_for = ''
        self.snapshot_index = -1
        self._raft_log: raft_logs.RaftLog | None = None
        self.replica_id = self._load_identity(name, identity_random)
        self._load_group()

    @property
    def formed(self) -> bool:
        """Whether this replica is a member of a group."""
        return self.snapshot_index >= 0

    @property
    def raft_log(self) -> raft_logs.RaftLog:
        """The Raft log of this replica.

        :raises StorageError: when the replica is a member of no group
        """
        if self._raft_log is None:
            raise errors.StorageError(
                'this replica has no log yet: it is a member of no group'
            )
        return self._raft_log

    def join_group(self, configuration: messages.Configuration) -> None:
        """Initializes the stored state of a new member of a group.

        Does nothing if the replica is a member already. The snapshot is stored
        last, since its existence shows that the replica is a member.
        """
        if self.formed:
            return
        raft_logs.RaftLog.create(self._disk, 0, 0)
        self.save_term_and_vote(0, '')
        self.save_snapshot(Snapshot(0, 0, configuration, b''))
        self._raft_log = raft_logs.RaftLog(self._disk)

    def save_founders(self, configuration: messages.Configuration) -> None:
        """Durably stores the members with which the group was formed.

        For a member that joined by a request and has the first snapshot only.
        """
        self.save_snapshot(Snapshot(0, 0, configuration, b''))

    def save_founding(self, voters: list[list[str]]) -> None:
        """Durably stores that this replica may form a group, and with whom.

        It holds until the replica loses its disk.

        :param voters: name and address of each
        """
        content = cbor2.dumps(voters)
        self._disk.replace(FOUNDERS_FILE, frames.encode(content))

    def read_founding(self) -> list[list[str]]:
        """Returns what ``save_founding`` stored, else nothing.

        :raises DamagedStorageError: when the file is corrupt
        """
        content = self._disk.read(FOUNDERS_FILE)
        if content is None:
            return []
        return self._read_fields(FOUNDERS_FILE, content)

    def save_term_and_vote(self, term: int, voted_for: str) -> None:
        """Durably stores the term and the vote of this replica in it."""
        content = cbor2.dumps([term, voted_for])
        self._disk.replace(VOTE_FILE, frames.encode(content))
        self.term = term
        self.voted_for = voted_for

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Durably replaces the snapshot."""
        self._disk.replace(SNAPSHOT_FILE, snapshot.to_bytes())
        self.snapshot_index = snapshot.index

    def read_snapshot(self) -> bytes:
        """Returns the newest snapshot as encoded by ``Snapshot.to_bytes``.

        :raises DamagedStorageError: when its file is missing
        """
        content = self._disk.read(SNAPSHOT_FILE)
        if content is None:
            raise errors.DamagedStorageError(
                'the snapshot file has disappeared from the data folder'
            )
        return content

    def close(self) -> None:
        """Closes the files and releases the folder."""
        if self._raft_log is not None:
            self._raft_log.close()
        self._disk.close()

    def _load_identity(self, name: str, identity_random: random.Random) -> str:
        content = self._disk.read(IDENTITY_FILE)
        if content is None:
            if self._disk.names():
                raise errors.DamagedStorageError(
                    'the data folder has files but no identity file'
                )
            replica_id = f'{identity_random.getrandbits(IDENTITY_BITS):016x}'
            frame = frames.encode(cbor2.dumps([replica_id, name]))
            self._disk.replace(IDENTITY_FILE, frame)
            return replica_id
        replica_id, stored_name = self._read_fields(IDENTITY_FILE, content)
        if stored_name != name:
            raise errors.StorageError(
                f'the data folder belongs to replica {stored_name!r}'
            )
        return replica_id

    def _load_group(self) -> None:
        stored = self._disk.read(SNAPSHOT_FILE)
        if stored is None:
            self._check_not_member()
            return
        term_and_vote = self._disk.read(VOTE_FILE)
        if term_and_vote is None:
            raise errors.DamagedStorageError(
                'the data folder has a snapshot but no ballot file'
            )
        self.term, self.voted_for = self._read_fields(VOTE_FILE, term_and_vote)
        snapshot = Snapshot.from_bytes(stored)
        self._raft_log = raft_logs.RaftLog(self._disk)
        self._align_raft_log(snapshot, self._raft_log)
        self.snapshot_index = snapshot.index

    def _check_not_member(self) -> None:
        """Checks that a folder without a snapshot has no term yet.

        ``join_group`` stores term 0 before the snapshot. A later term is only
        stored by a member, which must have a snapshot.
        """
        term_and_vote = self._disk.read(VOTE_FILE)
        if term_and_vote is not None:
            term, _voted_for = self._read_fields(VOTE_FILE, term_and_vote)
            if term:
                raise errors.DamagedStorageError(
                    'the data folder has a ballot file but no snapshot file'
                )

    def _align_raft_log(
        self, snapshot: Snapshot, raft_log: raft_logs.RaftLog
    ) -> None:
        """Discards the log if the snapshot is not part of its history.

        That is the case if the log does not contain the snapshot's last entry,
        as after a crash between storing a snapshot from the leader and
        compacting the log. The log then restarts after the snapshot, without
        entries.

        :raises DamagedStorageError: when entries between the snapshot and the
            log are missing
        """
        if raft_log.base_index > snapshot.index:
            raise errors.DamagedStorageError(
                'entries between the snapshot and the log file are missing'
            )
        if raft_log.term_at(snapshot.index) != snapshot.term:
            raft_log.compact(snapshot.index, snapshot.term)

    def _read_fields(self, name: str, content: bytes) -> list:
        payload = frames.decode_single(content)
        if payload is None:
            raise errors.DamagedStorageError(
                f'the file {name} has an invalid length or checksum'
            )
        return cbor2.loads(payload)
