"""Messages between replicas, and the records that replicas store."""

import cbor2

from masticquay_wire import messages
from masticquay_wire import records

ROLE_LEADER = 'leader'
ROLE_FOLLOWER = 'follower'
ROLE_CANDIDATE = 'candidate'
ROLE_LEARNER = 'learner'

# Kinds of log entries.
KIND_COMMAND = 0
KIND_CONFIGURATION = 1
KIND_EMPTY = 2


class Member(records.Record):
    """A replica of the group.

    :param replica_id: the identity stored on its disk; a replica whose disk
        was replaced gets a new one
    :param voter: false for a learner
    """

    __slots__ = ('replica_id', 'name', 'address', 'voter')

    def __init__(self, replica_id: str, name: str, address: str, voter: bool):
        self.replica_id = replica_id
        self.name = name
        self.address = address
        self.voter = voter


class Configuration(records.Record):
    """The members of the group."""

    __slots__ = ('members',)

    def __init__(self, members: list[Member]):
        self.members = members

    def member(self, replica_id: str) -> Member | None:
        """Returns a member by its identity, or None."""
        return next(
            (m for m in self.members if m.replica_id == replica_id), None
        )

    def members_named(self, name: str) -> list[Member]:
        """Returns the members with a name.

        There are two while a replica is being replaced.
        """
        return [m for m in self.members if m.name == name]

    def voter_ids(self) -> list[str]:
        """Returns the identities of the voters."""
        return [m.replica_id for m in self.members if m.voter]

    def quorum_size(self) -> int:
        """Returns the number of voters in a majority."""
        return len(self.voter_ids()) // 2 + 1


class Entry(records.Record):
    """One entry of the log."""

    __slots__ = ('index', 'term', 'kind', 'command')

    def __init__(self, index: int, term: int, kind: int, command: bytes):
        self.index = index
        self.term = term
        self.kind = kind
        self.command = command


@messages.register
class Identify(messages.Message):
    """Requests the identity of a replica and the group that it belongs to.

    :param claims: whether the sender is about to form a group; earlier ones
        can then no longer do so
    """

    __slots__ = ('claims',)

    def __init__(self, claims: bool = False):
        self.claims = claims


@messages.register
class Identity(messages.Message):
    """The answer to Identify.

    :param configuration: None if the replica belongs to no group
    :param is_founder: whether the replica may form a new group
    :param claim: identifies the claim that the request made, 0 for none
    """

    __slots__ = (
        'replica_id',
        'name',
        'configuration',
        'is_founder',
        'claim',
    )

    def __init__(
        self,
        replica_id: str,
        name: str,
        configuration: Configuration | None = None,
        is_founder: bool = True,
        claim: int = 0,
    ):
        self.replica_id = replica_id
        self.name = name
        self.configuration = configuration
        self.is_founder = is_founder
        self.claim = claim


@messages.register
class FormGroup(messages.Message):
    """Makes a replica a member of a new group. The answer is Identity.

    :param to_id: the identity that the replica must have
    :param configuration: the initial members
    :param claim: the claim in its last Identity
    """

    __slots__ = ('to_id', 'configuration', 'claim')

    def __init__(
        self, to_id: str, configuration: Configuration, claim: int = 0
    ):
        self.to_id = to_id
        self.configuration = configuration
        self.claim = claim


@messages.register
class AskStart(messages.Message):
    """Asks a voter whether its process has taken part in the group.

    See ``restart_proofs``. The answer is StartReport.

    :param round_number: which round of the proof the answer belongs to
    """

    __slots__ = ('to_id', 'round_number')

    def __init__(self, to_id: str, round_number: int):
        self.to_id = to_id
        self.round_number = round_number


@messages.register
class StartReport(messages.Message):
    """The answer to AskStart.

    :param incarnation: identifies the run of the process; new at every start
    :param took_part: whether the process has been a leader, followed a
        leader or voted for another replica since it started
    :param last_index: the index of the last log entry
    :param last_term: the term of that entry
    """

    __slots__ = ('incarnation', 'took_part', 'last_index', 'last_term')

    def __init__(
        self,
        incarnation: str,
        took_part: bool,
        last_index: int,
        last_term: int,
    ):
        self.incarnation = incarnation
        self.took_part = took_part
        self.last_index = last_index
        self.last_term = last_term


@messages.register
class RequestVote(messages.Message):
    """Requests a vote, or a pre-vote.

    :param term: the term of the election, which for a pre-vote is one above
        the current term of the candidate
    :param last_index: the index of the candidate's last log entry
    :param last_term: the term of that entry
    :param probe: whether this is a pre-vote, which asks whether a vote would
        be granted and changes no state
    :param proven_incarnation: the incarnation of the voter's process, if it
        is proven that no lease is left from before that process started;
        see ``restart_proofs``; otherwise empty
    :param released_term: the term whose leader gave up its lease and asked
        the candidate to take over, 0 for none
    """

    __slots__ = (
        'to_id',
        'from_id',
        'term',
        'last_index',
        'last_term',
        'probe',
        'proven_incarnation',
        'released_term',
    )

    def __init__(
        self,
        to_id: str,
        from_id: str,
        term: int,
        last_index: int,
        last_term: int,
        probe: bool,
        proven_incarnation: str = '',
        released_term: int = 0,
    ):
        self.to_id = to_id
        self.from_id = from_id
        self.term = term
        self.last_index = last_index
        self.last_term = last_term
        self.probe = probe
        self.proven_incarnation = proven_incarnation
        self.released_term = released_term


@messages.register
class TakeLead(messages.Message):
    """Asks a follower to start an election at once (Raft's TimeoutNow).

    The leader of the term has already stepped down.
    """

    __slots__ = ('to_id', 'term')

    def __init__(self, to_id: str, term: int):
        self.to_id = to_id
        self.term = term


@messages.register
class LeadOffered(messages.Message):
    """The answer to TakeLead.

    :param accepted: whether the follower has started an election
    """

    __slots__ = ('accepted',)

    def __init__(self, accepted: bool):
        self.accepted = accepted


@messages.register
class Vote(messages.Message):
    """The answer to RequestVote.

    :param term: the current term of the voter
    """

    __slots__ = ('term', 'granted')

    def __init__(self, term: int, granted: bool):
        self.term = term
        self.granted = granted


@messages.register
class AppendEntries(messages.Message):
    """Sends the entries after ``previous_index``, or none as a heartbeat.

    :param previous_term: the term of the entry at ``previous_index``
    :param commit_index: the commit index of the leader
    """

    __slots__ = (
        'to_id',
        'from_id',
        'term',
        'previous_index',
        'previous_term',
        'entries',
        'commit_index',
    )

    def __init__(
        self,
        to_id: str,
        from_id: str,
        term: int,
        previous_index: int,
        previous_term: int,
        entries: list[Entry],
        commit_index: int,
    ):
        self.to_id = to_id
        self.from_id = from_id
        self.term = term
        self.previous_index = previous_index
        self.previous_term = previous_term
        self.entries = entries
        self.commit_index = commit_index


@messages.register
class Appended(messages.Message):
    """The answer to AppendEntries, sent after the entries are synced.

    :param matched: whether the log held the entry before the new ones
    :param match_index: the last index known to match the leader's log; with
        ``matched`` false, the index after which the leader should retry
    """

    __slots__ = ('term', 'matched', 'match_index')

    def __init__(self, term: int, matched: bool, match_index: int):
        self.term = term
        self.matched = matched
        self.match_index = match_index


@messages.register
class InstallSnapshot(messages.Message):
    """Sends one chunk of a snapshot.

    :param last_index: the index of the last entry that the snapshot covers
    :param last_term: the term of that entry
    :param offset_bytes: where the chunk begins in the encoded snapshot
    :param total_bytes: the length of the encoded snapshot
    """

    __slots__ = (
        'to_id',
        'from_id',
        'term',
        'last_index',
        'last_term',
        'offset_bytes',
        'total_bytes',
        'data',
    )

    def __init__(
        self,
        to_id: str,
        from_id: str,
        term: int,
        last_index: int,
        last_term: int,
        offset_bytes: int,
        total_bytes: int,
        data: bytes,
    ):
        self.to_id = to_id
        self.from_id = from_id
        self.term = term
        self.last_index = last_index
        self.last_term = last_term
        self.offset_bytes = offset_bytes
        self.total_bytes = total_bytes
        self.data = data


@messages.register
class SnapshotReceived(messages.Message):
    """The answer to InstallSnapshot.

    :param received_bytes: the offset from which the leader should continue;
        the length of the snapshot once it is installed or not needed, 0 if it
        was rejected
    """

    __slots__ = ('term', 'received_bytes')

    def __init__(self, term: int, received_bytes: int):
        self.term = term
        self.received_bytes = received_bytes


class MemberStatus(records.Record):
    """A member as seen by one replica.

    :param match_index: the last index that the member is known to have
        synced; 0 unless reported by the leader
    """

    __slots__ = ('member', 'role', 'match_index')

    def __init__(self, member: Member, role: str, match_index: int):
        self.member = member
        self.role = role
        self.match_index = match_index


class LogStatus(records.Record):
    """The state of the group as seen by one replica.

    :param role: the role of this replica, one of the ``ROLE_`` values
    :param snapshot_index: the last index that its newest snapshot covers; -1
        if the replica is a member of no group
    """

    __slots__ = (
        'replica_id',
        'role',
        'term',
        'commit_index',
        'applied_index',
        'snapshot_index',
        'members',
    )

    def __init__(
        self,
        replica_id: str,
        role: str,
        term: int,
        commit_index: int,
        applied_index: int,
        snapshot_index: int,
        members: list[MemberStatus],
    ):
        self.replica_id = replica_id
        self.role = role
        self.term = term
        self.commit_index = commit_index
        self.applied_index = applied_index
        self.snapshot_index = snapshot_index
        self.members = members


def pack_record(record: records.Record) -> bytes:
    """Encodes the fields of a record as CBOR."""
    return cbor2.dumps(record.to_wire())


def unpack_record(data: bytes) -> dict:
    """Decodes the output of ``pack_record`` to a dict of fields."""
    return cbor2.loads(data)
