"""Tests of replicas whose disks are full for a time."""

import random
import unittest

from masticquay_consensus import errors
from masticquay_consensus import log_writers
from masticquay_consensus import messages
from masticquay_consensus import raft_logs
from masticquay_consensus import replicas
from masticquay_consensus import settings
from masticquay_consensus import stores
from masticquay_wire import clocks
from tests import fault_profiles
from tests import faulty_disks
from tests import simulations

SEEDS = 90
# Writes before a disk is full; enough for two snapshots.
WRITES = 30
STEPS_FULL = 60
# The log, the last snapshot and what replaces both.
DISK_BYTES = 24 * 1024 * 1024
CHANGE_BYTES = 400_000


class OneFullDiskTest(unittest.TestCase):
    """One disk is full, at each write of a group without other faults."""

    def start(self, seed=1):
        self.simulation = simulations.Simulation(seed, 4)
        self.simulation.faults_enabled = False
        self.run_steps(until=lambda: self.leader() is not None)
        self.run_steps(20)

    def leader(self):
        for host in self.simulation.hosts:
            if host.is_leading and host.replica.lease_remaining_ms():
                return host
        return None

    def follower(self):
        voters = self.simulation.hosts[:3]
        return next(h for h in voters if not h.is_leading)

    def run_steps(self, steps=1_000, until=None):
        for _step in range(steps):
            if until and until():
                return
            self.simulation.step()
            self.simulation.propose()
        self.assertIsNone(until, 'the condition was not met')

    def fill(self, host, writes):
        """Fills a disk after some writes, for some steps."""
        host.disk.writes_to_full = writes
        self.run_steps(until=lambda: host.disk.full)
        self.run_steps(STEPS_FULL)

    def assert_goes_on(self, replicas):
        """Checks that no process ended, and that all commands are there."""
        simulation = self.simulation
        for host in simulation.hosts:
            host.disk.make_room()
        self.run_steps(20)
        simulation.stop_faults()
        simulation.converge()
        self.assertEqual(replicas, [h.replica for h in simulation.hosts])
        acknowledged = len(simulation.acknowledged)
        self.run_steps(20)
        self.assertGreater(len(simulation.acknowledged), acknowledged)

    # Before, a full disk ended the process.
    def test_group_goes_on_while_and_after_one_disk_was_full(self):
        refused = set()
        for choose in (self.leader, self.follower):
            for writes in range(WRITES):
                with self.subTest(choose=choose.__name__, writes=writes):
                    self.start(writes)
                    replicas = [h.replica for h in self.simulation.hosts]
                    host = choose()
                    host.disk.writes_to_full = writes
                    self.run_steps(until=lambda h=host: h.disk.full)
                    acknowledged = len(self.simulation.acknowledged)
                    self.run_steps(STEPS_FULL)
                    self.assertGreater(
                        len(self.simulation.acknowledged), acknowledged + 5
                    )
                    refused.update(host.disk.refused)
                    self.assert_goes_on(replicas)
        self.assertLessEqual(
            {raft_logs.FILE_NAME, stores.SNAPSHOT_FILE}, refused
        )

    def test_group_elects_after_the_disk_of_a_voter_was_full(self):
        for writes in range(4):
            with self.subTest(writes=writes):
                self.start(writes)
                leader, voter = self.leader(), self.follower()
                voter.disk.writes_to_full = writes
                leader.crash()
                self.run_steps(400)
                self.assertIsNone(self.leader())
                self.assertIn(stores.VOTE_FILE, voter.disk.refused)
                # A vote that was given is on the disk.
                stored = stores.Store(voter.disk, voter.name, random)
                state = voter.replica.state
                self.assertEqual(
                    (stored.term, stored.voted_for),
                    (state.store.term, state.store.voted_for),
                )
                voter.disk.make_room()
                self.run_steps(until=lambda: self.leader() is not None)
                acknowledged = len(self.simulation.acknowledged)
                self.run_steps(60)
                self.assertGreater(
                    len(self.simulation.acknowledged), acknowledged
                )
                leader.start()
                self.simulation.stop_faults()
                self.simulation.converge()

    def test_voter_without_room_for_its_log_leaves_the_lead_to_others(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                self.start(seed)
                leader, voter = self.leader(), self.follower()
                voter.disk.full_names = (raft_logs.FILE_NAME,)
                voter.disk.full = True
                self.simulation.propose()
                for _step in range(20):
                    self.simulation.step()
                self.assertTrue(voter.replica.state.lacks_log_room)
                leader.crash()
                voter.replica.state.election_deadline_ms = 0
                self.run_steps(until=lambda: self.leader() is not None)
                self.assertNotIn(self.leader(), (voter, leader))
                self.assertIn(raft_logs.FILE_NAME, voter.disk.refused)
                voter.disk.make_room()
                self.run_steps(20)
                leader.start()
                self.simulation.stop_faults()
                self.simulation.converge()

    def test_log_is_compacted_once_there_is_room_without_more_commands(self):
        self.start()
        leader = self.leader()
        store = leader.replica.state.store
        self.run_steps(
            until=lambda: (
                leader.replica.state.applied_index - store.snapshot_index > 6
            )
        )
        leader.disk.full_names = (raft_logs.FILE_NAME,)
        leader.disk.full = True
        snapshot_index = store.snapshot_index
        self.run_steps(until=lambda: store.snapshot_index > snapshot_index)
        base_index = store.raft_log.base_index
        leader.disk.make_room()
        for _step in range(200):
            self.simulation.step()
        self.assertGreater(store.raft_log.base_index, base_index)

    def test_replica_joins_once_the_disk_of_any_has_room(self):
        refused = set()
        for choose in (self.leader, self.follower, self.joiner):
            for writes in range(12):
                with self.subTest(choose=choose.__name__, writes=writes):
                    self.start(writes)
                    replicas = [h.replica for h in self.simulation.hosts]
                    host = choose()
                    host.disk.writes_to_full = writes
                    self.propose_joiner(voter=False)
                    self.run_steps(STEPS_FULL)
                    host.disk.make_room()
                    refused.update(host.disk.refused)
                    self.propose_joiner(voter=True)
                    self.assert_goes_on(replicas)
                    self.assertTrue(self.joiner().replica.state.is_voter)
        self.assertIn(stores.SNAPSHOT_FILE, refused)

    def joiner(self):
        return self.simulation.hosts[3]

    def propose_joiner(self, voter):
        """Makes the fourth host a learner or a voter."""
        joiner = self.joiner()
        member = messages.Member(joiner.replica_id, joiner.name, '', voter)

        def is_done():
            leader = self.leader()
            if leader is None:
                return False
            state = leader.replica.state
            others = [
                m
                for m in state.configuration.members
                if m.replica_id != joiner.replica_id
            ]
            if len(others) < len(state.configuration.members) and (
                state.configuration.member(joiner.replica_id).voter == voter
            ):
                return state.configuration_index <= state.commit_index
            leader.replica.propose_configuration(
                messages.Configuration([*others, member])
            )
            return False

        self.run_steps(until=is_done)

    def test_leader_that_cannot_store_much_steps_down(self):
        self.start()
        leader = self.leader()
        leader.disk.full = True
        command = bytes(log_writers.MAX_UNSTORED_BYTES // 4)
        for _command in range(5):
            leader.replica.propose(command)
        self.run_steps(until=lambda: self.leader() not in (None, leader))
        leader.disk.make_room()
        self.run_steps(200)
        index = leader.replica.state.applied_index
        self.assertGreater(
            index, self.leader().replica.state.applied_index - 10
        )


class LastValueMachine:
    """A state machine that keeps the last command."""

    def __init__(self):
        self.value = b''

    def apply(self, index, command):
        self.value = command
        return b''

    def snapshot(self):
        return self.value

    def restore(self, data, index):
        self.value = data


class SizeTest(unittest.TestCase):
    # Hosts of the users' platform have disks of 128 MB.
    def test_many_large_changes_fit_on_a_small_disk(self):
        disk = faulty_disks.FaultyDisk(random.Random(1))
        disk.capacity_bytes = DISK_BYTES
        store = stores.Store(disk, 'a', random)
        replica = replicas.Replica(
            store,
            LastValueMachine(),
            settings.Settings(),
            clocks.MonotonicClock(),
            random.Random(1),
        )
        replica.join_group(
            messages.Configuration(
                [messages.Member(store.replica_id, 'a', '', True)]
            )
        )
        replica.state.election_deadline_ms = 0
        replica.tick()
        for _change in range(400):
            future = replica.propose(bytes(CHANGE_BYTES))
            replica.flush()
            while replica.apply():
                pass
            self.assertEqual(b'', future.result(0))
        self.assertEqual([], disk.refused)


class FullDisksTest(unittest.TestCase):
    def test_replicas_keep_raft_invariants_while_disks_are_full(self):
        commands = emptied = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = simulations.run_seed(
                    seed, profiles=fault_profiles.FULL_DISK_PROFILES
                )
                commands += len(simulation.acknowledged)
                emptied += simulation.emptied_count
        self.assertGreater(commands, 10 * SEEDS)
        self.assertGreater(emptied, SEEDS)

    def test_group_can_be_joined_after_any_write_found_no_room(self):
        configuration = messages.Configuration(
            [messages.Member('1', 'a', '', True)]
        )
        refused = set()
        for writes in range(6):
            with self.subTest(writes=writes):
                disk = faulty_disks.FaultyDisk(random.Random(1))
                disk.writes_to_full = writes
                try:
                    store = stores.Store(disk, 'a', random)
                    store.join_group(configuration)
                except errors.NoRoomError:
                    refused.update(disk.refused)
                disk.make_room()
                store = stores.Store(disk, 'a', random)
                store.join_group(configuration)
                self.assertTrue(stores.Store(disk, 'a', random).formed)
        self.assertEqual(
            {
                stores.IDENTITY_FILE,
                raft_logs.FILE_NAME,
                stores.VOTE_FILE,
                stores.SNAPSHOT_FILE,
            },
            refused,
        )
