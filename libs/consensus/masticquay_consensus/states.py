"""What the parts of one replica share: its role, term and group."""

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

NEVER_MS = -(1 << 60)
INCARNATION_BITS = 64


class Counters:
    """Counts of events since the start of the process."""

    __slots__ = (
        'probes',
        'elections_won',
        'step_downs',
        'votes_granted',
        'snapshots_taken',
        'snapshots_installed',
        'entries_applied',
        'syncs',
    )

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)

    def copy(self) -> 'Counters':
        """Returns the counts of this moment."""
        copied = Counters()
        for name in self.__slots__:
            setattr(copied, name, getattr(self, name))
        return copied


class Proposal:
    """An entry of this leader whose outcome is not yet known."""

    __slots__ = ('term', 'future')

    def __init__(self, term: int, future: futures.Future):
        self.term = term
        self.future = future


class Outgoing:
    """A request to another replica, and when it was made."""

    __slots__ = ('member_id', 'message', 'sent_ms')

    def __init__(self, member_id: str, message: object, sent_ms: int):
        self.member_id = member_id
        self.message = message
        self.sent_ms = sent_ms


class State:
    """The state that the parts of a replica share, guarded by ``lock``.

    :param heard_ms: when a leader was last heard; this replica grants no
        vote for ``election_min_ms`` after it, on which leases rest
    :param incarnation: differs after each start of the process
    :param took_part: whether this process has led, followed a leader or
        voted for another replica
    """

    def __init__(
        self,
        store: stores.Store,
        settings: settings_module.Settings,
        clock: clocks.Clock,
        randomness: random.Random,
    ):
        self.lock = threading.RLock()
        self.writer_wake = threading.Condition(self.lock)
        self.applier_wake = threading.Condition(self.lock)
        self.peers_wake = threading.Condition(self.lock)
        self.store = store
        self.settings = settings
        self.clock = clock
        self.random = randomness
        self.counters = Counters()
        self.role = messages.ROLE_FOLLOWER
        self.leader_id = ''
        self.commit_index = max(0, store.snapshot_index)
        self.applied_index = self.commit_index
        self.installing = False
        self.closed = False
        self.led_since_ms = NEVER_MS
        self.heard_ms = clock.now_ms()
        self.incarnation = f'{randomness.getrandbits(INCARNATION_BITS):x}'
        self.took_part = False
        self.election_deadline_ms = 0
        self.proposals: dict[int, Proposal] = {}
        self.settled: collections.deque[
            tuple[futures.Future, bytes | Exception]
        ] = collections.deque()
        self.role_changes: collections.deque[tuple[bool, int]] = (
            collections.deque()
        )
        self._configurations: list[tuple[int, messages.Configuration]] = [
            (0, messages.Configuration([]))
        ]
        self.defer_election()

    @property
    def replica_id(self) -> str:
        """This replica's identity."""
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
        """The index of the newest configuration."""
        return self._configurations[-1][0]

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts in quorums."""
        return self.replica_id in self.configuration.voter_ids()

    def reset_configurations(
        self, index: int, configuration: messages.Configuration
    ) -> None:
        """Starts from a snapshot's configuration and reads the log's."""
        self._configurations = [(index, configuration)]
        journal = self.store.journal
        self.note_configurations(
            journal.entries_between(
                max(index, journal.base_index), journal.last_index
            )
        )

    def note_configurations(self, entries: list[messages.Entry]) -> None:
        """Takes up the configurations among entries added to the log."""
        if not entries:
            return
        while self._configurations[-1][0] >= entries[0].index:
            self._configurations.pop()
        for entry in entries:
            if entry.kind == messages.KIND_CONFIGURATION:
                configuration = decode_configuration(entry.command)
                self._configurations.append((entry.index, configuration))
        self.peers_wake.notify_all()

    def configuration_at(self, index: int) -> messages.Configuration:
        """Returns the configuration in force at an index."""
        chosen = self._configurations[0][1]
        for position, configuration in self._configurations:
            if position <= index:
                chosen = configuration
        return chosen

    def prune_configurations(self, index: int) -> None:
        """Forgets configurations that a snapshot replaced."""
        while (
            len(self._configurations) > 1
            and self._configurations[1][0] <= index
        ):
            self._configurations.pop(0)

    def defer_election(self) -> None:
        """Waits for a leader for a random time from now on."""
        settings = self.settings
        self.election_deadline_ms = self.clock.now_ms() + self.random.randint(
            settings.election_min_ms, settings.election_max_ms
        )

    def defer_probe(self) -> None:
        """Waits for the answers to a probe or a vote, for a random time."""
        heartbeat_ms = self.settings.heartbeat_ms
        self.election_deadline_ms = self.clock.now_ms() + self.random.randint(
            heartbeat_ms, 2 * heartbeat_ms
        )

    def follow(self, term: int, leader_id: str) -> None:
        """Becomes a follower, of a known leader or of none yet."""
        if term > self.term:
            self.store.save_ballot(term, '')
        if self.role == messages.ROLE_LEADER:
            self._step_down()
        self.role = messages.ROLE_FOLLOWER
        self.leader_id = leader_id
        if leader_id:
            self.took_part = True
            self.heard_ms = self.clock.now_ms()
        self.defer_election()
        self.peers_wake.notify_all()

    def lead(self) -> None:
        """Becomes the leader of the current term."""
        self.role = messages.ROLE_LEADER
        self.took_part = True
        self.leader_id = self.replica_id
        self.led_since_ms = self.clock.now_ms()
        self.counters.elections_won += 1
        self.role_changes.append((True, self.term))
        LOG.info('leads in term %d', self.term)
        self.applier_wake.notify_all()
        self.peers_wake.notify_all()

    def all_voter_ids(self) -> set[str]:
        """Returns the voters of every configuration that may be in force."""
        return {
            voter_id
            for _index, configuration in self._configurations
            for voter_id in configuration.voter_ids()
        }

    def may_vote(
        self, proven_incarnation: str = '', released_term: int = 0
    ) -> bool:
        """Whether no leader can hold a lease that rests on this replica.

        :param proven_incarnation: of the process for which a candidate has
            proven that no lease is left from before its start
        :param released_term: a term whose leader gave up its lease
        """
        if self.role == messages.ROLE_LEADER:
            return False
        if released_term and released_term == self.term:
            return True
        if not self.took_part and proven_incarnation == self.incarnation:
            return True
        age_ms = self.clock.now_ms() - self.heard_ms
        return age_ms >= self.settings.election_min_ms

    def commit(self, index: int) -> None:
        """Raises the commit index."""
        if index > self.commit_index:
            self.commit_index = index
            self.applier_wake.notify_all()
            self.peers_wake.notify_all()

    def _step_down(self) -> None:
        self.counters.step_downs += 1
        # A vote at once would break the lease that this leader announced.
        self.heard_ms = self.clock.now_ms()
        self.role_changes.append((False, self.term))
        error = errors.ProposalUnknownError('leadership was lost')
        for index in list(self.proposals):
            if index > self.commit_index:
                proposal = self.proposals.pop(index)
                self.settled.append((proposal.future, error))
        LOG.info('leads no more since term %d', self.term)
        self.applier_wake.notify_all()


def encode_configuration(configuration: messages.Configuration) -> bytes:
    """Returns a configuration as the command of an entry."""
    return messages.pack_record(configuration)


def decode_configuration(command: bytes) -> messages.Configuration:
    """Reads what ``encode_configuration`` made."""
    return messages.Configuration.from_wire(messages.unpack_record(command))
