"""The state that the components of a replica share."""

import collections
from concurrent import futures
import logging
import random
import threading

from masticquay_consensus import errors
from masticquay_consensus import messages
from masticquay_consensus import settings as settings_module
from masticquay_consensus import stores
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

# The time of an event that has not happened; earlier than any clock reading.
NEVER_MS = -(1 << 60)
INCARNATION_BITS = 64


class Counters:
    """Event counts since the process started.

    ``probes`` counts pre-votes, ``writes_without_room`` writes that found the
    disk full. That one and ``syncs`` are 0 except in a copy that
    ``replicas.Replica.counters`` returns.
    """

    __slots__ = (
        'probes',
        'elections_won',
        'step_downs',
        'votes_granted',
        'snapshots_taken',
        'snapshots_installed',
        'entries_applied',
        'syncs',
        'writes_without_room',
    )

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)

    def copy(self) -> 'Counters':
        """Returns a copy of the current counts."""
        copied = Counters()
        for name in self.__slots__:
            setattr(copied, name, getattr(self, name))
        return copied


class Proposal:
    """A proposed entry that is not yet applied at this leader.

    :param term: the term in which the entry was appended
    :param future: completes with the result of the entry
    """

    __slots__ = ('term', 'future')

    def __init__(self, term: int, future: futures.Future):
        self.term = term
        self.future = future


class OutgoingRequest:
    """A request to another replica and the time it was created."""

    __slots__ = ('member_id', 'message', 'sent_ms')

    def __init__(self, member_id: str, message: object, sent_ms: int):
        self.member_id = member_id
        self.message = message
        self.sent_ms = sent_ms


class State:
    """Role, term, configurations and pending work, guarded by ``lock``.

    ``leader_contact_ms`` is when a leader was last heard from. This replica
    grants no vote until ``election_min_ms`` later, which makes leader leases
    safe. The first such period begins at the start of the process, whose
    predecessor may have acknowledged a leader just before it ended.

    ``incarnation`` identifies this run of the process. ``took_part`` tells
    whether this process has been a leader, followed a leader or voted for
    another replica.

    ``completions`` holds futures with their results. ``role_changes`` holds a
    pair for each gain or loss of leadership: whether this replica became the
    leader, and the term at that time. ``appliers.Applier`` completes the
    futures and calls the role hooks without holding the lock.
    """

    def __init__(
        self,
        store: stores.Store,
        settings: settings_module.Settings,
        clock: clocks.Clock,
        randomness: random.Random,
    ):
        self.lock = threading.RLock()
        self.writer_condition = threading.Condition(self.lock)
        self.applier_condition = threading.Condition(self.lock)
        self.peers_condition = threading.Condition(self.lock)
        self.store = store
        self.settings = settings
        self.clock = clock
        self.random = randomness
        self.counters = Counters()
        self.role = messages.ROLE_FOLLOWER
        self.leader_id = ''
        self.commit_index = max(0, store.snapshot_index)
        self.applied_index = self.commit_index
        self._knows_commits = False
        self.installing_snapshot = False
        self.closed = False
        self.leader_since_ms = NEVER_MS
        self.leader_contact_ms = clock.now_ms()
        self.incarnation = f'{randomness.getrandbits(INCARNATION_BITS):x}'
        self.took_part = False
        self.election_deadline_ms = 0
        self.proposals: dict[int, Proposal] = {}
        self.completions: collections.deque[
            tuple[futures.Future, bytes | Exception]
        ] = collections.deque()
        self.role_changes: collections.deque[tuple[bool, int]] = (
            collections.deque()
        )
        self._configurations: list[tuple[int, messages.Configuration]] = [
            (0, messages.Configuration([]))
        ]
        self.reset_election_timer()

    @property
    def replica_id(self) -> str:
        """The identity of this replica."""
        return self.store.replica_id

    @property
    def term(self) -> int:
        """The current term."""
        return self.store.term

    @property
    def configuration(self) -> messages.Configuration:
        """The newest configuration in the log, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The log index of the newest configuration."""
        return self._configurations[-1][0]

    @property
    def lacks_log_room(self) -> bool:
        """Whether the disk had no room when the log was last written.

        Such a replica neither campaigns nor takes further entries, as it can
        acknowledge none. It may go on leading: other replicas commit.
        """
        store = self.store
        return store.formed and store.raft_log.lacks_room

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts in quorums."""
        return self.replica_id in self.configuration.voter_ids()

    def reset_configurations(
        self, index: int, configuration: messages.Configuration
    ) -> None:
        """Replaces all configurations, after a snapshot was loaded.

        Those in log entries after the snapshot are added again.

        :param index: the last index that the snapshot covers
        :param configuration: the configuration in the snapshot
        """
        self._configurations = [(index, configuration)]
        raft_log = self.store.raft_log
        self.record_configurations(
            raft_log.entries_between(
                max(index, raft_log.base_index), raft_log.last_index
            )
        )

    def record_configurations(self, entries: list[messages.Entry]) -> None:
        """Records the configurations among entries appended to the log.

        Drops the configurations of entries that the new ones replace.
        """
        if not entries:
            return
        while self._configurations[-1][0] >= entries[0].index:
            self._configurations.pop()
        for entry in entries:
            if entry.kind == messages.KIND_CONFIGURATION:
                configuration = decode_configuration(entry.command)
                self._configurations.append((entry.index, configuration))
        self.peers_condition.notify_all()

    def configuration_at(self, index: int) -> messages.Configuration:
        """Returns the newest configuration up to a log index."""
        chosen = self._configurations[0][1]
        for position, configuration in self._configurations:
            if position <= index:
                chosen = configuration
        return chosen

    def prune_configurations(self, index: int) -> None:
        """Drops the configurations that precede the one at a log index.

        A snapshot at the index has made them obsolete.
        """
        while (
            len(self._configurations) > 1
            and self._configurations[1][0] <= index
        ):
            self._configurations.pop(0)

    def reset_election_timer(self) -> None:
        """Restarts the election timer with a random election timeout."""
        settings = self.settings
        self.election_deadline_ms = self.clock.now_ms() + self.random.randint(
            settings.election_min_ms, settings.election_max_ms
        )

    def reset_campaign_timer(self) -> None:
        """Restarts the election timer for a pre-vote or election in progress.

        The timeout is random, between one and two heartbeat intervals. When it
        expires, the candidate starts another pre-vote.
        """
        heartbeat_ms = self.settings.heartbeat_ms
        self.election_deadline_ms = self.clock.now_ms() + self.random.randint(
            heartbeat_ms, 2 * heartbeat_ms
        )

    def become_follower(self, term: int, leader_id: str) -> None:
        """Becomes a follower; a leader steps down.

        :param term: the current term, or a higher one, which is stored
        :param leader_id: empty if the leader of the term is not known yet
        :raises NoRoomError: when the disk has no room for a higher term;
            nothing has changed then
        """
        if term > self.term:
            self.store.save_term_and_vote(term, '')
        if self.role == messages.ROLE_LEADER:
            self._step_down()
        self.role = messages.ROLE_FOLLOWER
        self.leader_id = leader_id
        if leader_id:
            self.took_part = True
            self.leader_contact_ms = self.clock.now_ms()
        self.reset_election_timer()
        self.peers_condition.notify_all()

    def become_leader(self) -> None:
        """Becomes the leader of the current term."""
        self.role = messages.ROLE_LEADER
        self.took_part = True
        self.leader_id = self.replica_id
        self.leader_since_ms = self.clock.now_ms()
        self.counters.elections_won += 1
        self.role_changes.append((True, self.term))
        LOG.info('became leader in term %d', self.term)
        self.applier_condition.notify_all()
        self.peers_condition.notify_all()

    def all_voter_ids(self) -> set[str]:
        """Returns the voters of every configuration that may be in effect.

        The newest one in the log may be uncommitted, and is then dropped if
        another leader replaces its entry.
        """
        return {
            voter_id
            for _index, configuration in self._configurations
            for voter_id in configuration.voter_ids()
        }

    def may_vote(
        self, proven_incarnation: str = '', released_term: int = 0
    ) -> bool:
        """Whether a vote by this replica cannot violate a leader's lease.

        :param proven_incarnation: the incarnation for which the candidate
            has proven that no lease is left from before its start
        :param released_term: the term whose leader gave up its lease, 0 for
            none
        """
        if self.role == messages.ROLE_LEADER:
            return False
        if released_term and released_term == self.term:
            return True
        if not self.took_part and proven_incarnation == self.incarnation:
            return True
        age_ms = self.clock.now_ms() - self.leader_contact_ms
        return age_ms >= self.settings.election_min_ms

    def leader_heard_ms(self) -> int | None:
        """Returns when a leader was last heard from.

        :returns: the start of the process at the earliest; None on a leader,
            and on a replica that has never been a voter
        """
        with self.lock:
            if self.role == messages.ROLE_LEADER or not self.is_voter:
                return None
            if self.leader_contact_ms == NEVER_MS:
                return None
            return self.leader_contact_ms

    @property
    def voter_count(self) -> int:
        """The number of voters in the newest configuration."""
        with self.lock:
            return len(self.configuration.voter_ids())

    @property
    def has_caught_up(self) -> bool:
        """Whether a leader has told what is committed since the start.

        Before, the state machine holds what the snapshot on the disk holds.
        """
        with self.lock:
            return (
                self._knows_commits and self.applied_index >= self.commit_index
            )

    def note_commits(self, index: int) -> None:
        """Records up to which index a leader says that all is committed.

        This replica has these entries. Only behind an entry of its own term
        does a leader know all that earlier ones committed.

        :param index: the commit index of the leader of the present term
        """
        if not self._knows_commits:
            entry_term = self.store.raft_log.term_at(index)
            self._knows_commits = entry_term == self.term

    def commit(self, index: int) -> None:
        """Raises the commit index to the given index, if that is higher."""
        if index > self.commit_index:
            self.commit_index = index
            self.applier_condition.notify_all()
            self.peers_condition.notify_all()

    def _step_down(self) -> None:
        self.counters.step_downs += 1
        # This replica counted towards its own lease, which may not have
        # expired yet; until then it must not vote for another candidate.
        self.leader_contact_ms = self.clock.now_ms()
        self.role_changes.append((False, self.term))
        error = errors.ProposalUnknownError('leadership was lost')
        for index in list(self.proposals):
            if index > self.commit_index:
                proposal = self.proposals.pop(index)
                self.completions.append((proposal.future, error))
        LOG.info('no longer leader as of term %d', self.term)
        self.applier_condition.notify_all()


def encode_configuration(configuration: messages.Configuration) -> bytes:
    """Encodes a configuration as the command of a log entry."""
    return messages.pack_record(configuration)


def decode_configuration(command: bytes) -> messages.Configuration:
    """Decodes the output of ``encode_configuration``."""
    return messages.Configuration.from_wire(messages.unpack_record(command))
