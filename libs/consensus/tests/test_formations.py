"""Tests of formation, with seeded interleavings of messages and faults."""

import itertools
import random
import unittest

from masticquay_consensus import formations
from masticquay_consensus import messages
from masticquay_consensus import replicas
from masticquay_consensus import settings as settings_module
from masticquay_consensus import stores
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from tests import faulty_disks
from tests import fleets

SEEDS = 400
STEPS = 40
FAULT_FREE_ROUNDS = 12
MAX_NESTING_DEPTH = 3
FIRST_PORT = 7_000


class Host:
    """An initial voter: its disk and its replica."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.name = f'127.0.0.1:{FIRST_PORT + number}'
        self.disk = faulty_disks.FaultyDisk(simulation.random)
        self.replica = None
        self.attempting_replica = None
        self.start()

    def start(self):
        store = stores.Store(self.disk, self.name, self.simulation.random)
        self.replica = replicas.Replica(
            store,
            fleets.RecordingStateMachine(),
            self.simulation.settings,
            clocks.ManualClock(),
            random.Random(0),
        )

    def restart(self):
        self.disk.crash()
        self.start()

    def wipe(self):
        self.disk = faulty_disks.FaultyDisk(self.simulation.random)
        self.start()

    @property
    def replica_id(self):
        return self.replica.state.replica_id

    @property
    def formed(self):
        return self.replica.state.store.formed

    def attempt(self):
        """Attempts to form the group; other hosts act between its calls.

        A process makes one attempt at a time.
        """
        replica = self.replica
        if self.attempting_replica is replica:
            return
        self.attempting_replica = replica
        formation = formations.Formation(
            replica,
            self.name,
            self.simulation.voters,
            lambda address: SimulatedLink(
                self.simulation, self, replica, address
            ),
            self.simulation.settings,
        )
        try:
            formation.attempt()
        except ProcessEndedError:
            return
        finally:
            if self.attempting_replica is replica:
                self.attempting_replica = None

    def handle(self, message):
        if isinstance(message, messages.Identify):
            configuration = self.replica.state.configuration
            return messages.Identity(
                self.replica_id,
                self.name,
                configuration if self.formed else None,
            )
        if message.to_id != self.replica_id:
            raise wire_errors.RemoteError('wrong-identity', 'replaced')
        self.replica.join_group(message.configuration)
        return self.handle(messages.Identify())


class ProcessEndedError(Exception):
    """The process that made a call ended before the answer."""


class SimulatedLink:
    """Delivers or loses calls; other hosts act before and after delivery."""

    def __init__(self, simulation, caller, replica, address):
        self.simulation = simulation
        self.caller = caller
        self.replica = replica
        self.target = simulation.host_by_name[str(address)]

    def call(self, message, timeout_ms):
        self.simulation.interleave()
        if self.simulation.is_message_lost():
            raise wire_errors.PeerUnavailableError('request lost')
        answer = self.target.handle(message)
        self.simulation.interleave()
        if self.caller.replica is not self.replica:
            raise ProcessEndedError
        if self.simulation.is_message_lost():
            raise wire_errors.PeerUnavailableError('answer lost')
        return answer

    def close(self):
        pass


class Simulation:
    """Initial voters that start at the same time, with faults."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.settings = settings_module.Settings()
        self.faults_enabled = True
        self.nesting_depth = 0
        count = self.random.choice((3, 3, 5))
        self.host_by_name = {}
        self.hosts = [Host(self, n) for n in range(count)]
        self.host_by_name = {host.name: host for host in self.hosts}
        self.voters = [formations.Voter(h.name, h.name) for h in self.hosts]
        self.wiped = set()
        self.quorum_group = None

    def run(self):
        for _step in range(STEPS):
            self.random.choice(self.hosts).attempt()
            self.interleave()
        self.faults_enabled = False
        for _round in range(FAULT_FREE_ROUNDS):
            for host in self.hosts:
                if not host.formed:
                    host.attempt()
                self.check()

    def is_message_lost(self):
        return self.faults_enabled and self.random.random() < 0.1

    def interleave(self):
        """Lets a random host attempt formation, restart or lose its disk."""
        if not self.faults_enabled or self.nesting_depth >= MAX_NESTING_DEPTH:
            return
        self.nesting_depth += 1
        chance = self.random.random()
        host = self.random.choice(self.hosts)
        if chance < 0.4:
            host.attempt()
        elif chance < 0.46:
            host.restart()
        elif chance < 0.48 and not self.wiped:
            self.wiped.add(host.name)
            host.wipe()
        self.nesting_depth -= 1
        self.check()

    def check(self):
        """Checks that at most one group exists.

        Once a majority has formed a group, no other may ever exist. Before
        that, a group may be lost with the only disk that held its
        configuration; the voters may then form another group.
        """
        formed = [host for host in self.hosts if host.formed]
        groups = set()
        for host in formed:
            ids = frozenset(host.replica.state.configuration.voter_ids())
            assert host.replica_id in ids, (
                'a replica formed a group without itself'
            )
            groups.add(ids)
        assert len(groups) <= 1, 'two groups were formed'
        if len(formed) > len(self.hosts) // 2:
            self.quorum_group = self.quorum_group or next(iter(groups))
        if self.quorum_group:
            assert groups <= {self.quorum_group}, (
                'another group was formed after a majority had formed one'
            )

    def has_formed_majority(self):
        """Whether a majority of the voters belongs to the group."""
        formed = [host for host in self.hosts if host.formed]
        return len(formed) > len(self.hosts) // 2


class FormationTest(unittest.TestCase):
    def test_one_group_is_formed_under_faults_in_every_seed(self):
        """The faults are lost messages, restarts and at most one lost disk.

        The order of the voters' attempts is random.
        """
        wiped = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run()
                self.assertTrue(simulation.has_formed_majority())
                wiped += bool(simulation.wiped)
        # Enough of the seeds must include a lost disk.
        self.assertGreater(wiped, SEEDS / 10)

    def test_one_group_is_formed_for_every_order_of_attempts(self):
        for order in itertools.permutations(range(3)):
            with self.subTest(order=order):
                simulation = Simulation(0)
                simulation.faults_enabled = False
                for number in (*order, *order):
                    simulation.hosts[number].attempt()
                simulation.check()
                self.assertTrue(simulation.has_formed_majority())


class EarlyVoteTest(unittest.TestCase):
    # Guards against a group without a leader: the first voter that had the
    # configuration was elected by two that had not, and was then cut off.
    def test_voter_that_voted_before_it_had_the_configuration_takes_it(self):
        simulation = Simulation(0)
        voter, candidate = simulation.hosts[:2]
        configuration = messages.Configuration(
            [
                messages.Member(h.replica_id, h.name, h.name, True)
                for h in simulation.hosts
            ]
        )
        voter.replica.handle(
            messages.RequestVote(
                voter.replica_id, candidate.replica_id, 1, 0, 0, False
            )
        )
        voter.replica.join_group(configuration)
        self.assertEqual(
            configuration.voter_ids(),
            voter.replica.state.configuration.voter_ids(),
        )
