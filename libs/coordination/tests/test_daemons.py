"""Tests of control daemons that form, join and leave a group."""

import contextlib
import pathlib
import socket
import tempfile
import time
import unittest

from masticquay_consensus import settings as consensus_settings
from masticquay_coordination import daemons
from masticquay_coordination import errors
from masticquay_coordination import groups
from masticquay_routing import errors as routing_errors
from masticquay_routing import messages
from tests import fakes

TIMEOUT_S = 20.0
SECRET = b'secret'


def free_address():
    """Returns a free local address."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def wait_for(condition):
    """Waits until a condition is true; returns its value."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise AssertionError(
                'the condition is still false after the timeout'
            )
        time.sleep(0.02)


class ControlDaemonTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.seeds = [free_address() for _ in range(3)]
        self.daemons = {}
        self.lister = fakes.FakeLister()
        self.snapshot_interval_entries = 4_096
        self.engine_orders = fakes.FakeEngineOrders()

    def make(self, address, founders=(), disk='one'):
        return daemons.ControlDaemon(
            daemons.Settings(
                name=address,
                address=address,
                data_folder=str(self.folder / f'{address} {disk}'),
                founders=list(founders),
                seeds=self.seeds,
                secret=SECRET,
                order_lease_ms=500,
            ),
            fakes.VersionReader(),
            self.lister,
            self.engine_orders,
            consensus_settings.Settings(
                heartbeat_ms=100,
                election_min_ms=400,
                election_max_ms=700,
                snapshot_interval_entries=self.snapshot_interval_entries,
            ),
        )

    def start(self, address, founders=(), disk='one'):
        daemon = self.make(address, founders, disk)
        daemon.start()
        self.stack.callback(daemon.close)
        self.daemons[address] = daemon
        return daemon

    def start_group(self):
        for address in self.seeds:
            self.start(address, self.seeds)
        wait_for(self.leader)

    def leader(self):
        for daemon in self.daemons.values():
            if daemon.node.is_leader():
                return daemon
        return None

    def voter_addresses(self):
        leader = self.leader()
        if leader is None:
            return []
        return [
            m.member.address
            for m in leader.node.status().members
            if m.member.voter
        ]

    def put_table(self, version):
        """Stores a table of a version on the leader."""

        def try_put():
            leader = self.leader()
            if leader is None:
                return False
            try:
                leader.tables.put(str(version).encode())
            except errors.CoordinationError:
                return False
            return True

        wait_for(try_put)

    def read_table(self):
        """Returns the newest document from the leader."""
        documents = []

        def try_get():
            leader = self.leader()
            if leader is None:
                return False
            try:
                documents.append(leader.tables.get())
            except errors.CoordinationError:
                return False
            return True

        wait_for(try_get)
        return documents[-1]

    def test_leader_hands_over_before_it_stops(self):
        """No election timeout passes, so no replica starts a pre-vote."""
        self.start_group()
        self.put_table(1)
        first_leader = wait_for(self.leader)
        others = [d for d in self.daemons.values() if d is not first_leader]
        probes = [d.node.counters().probes for d in others]
        first_leader.hand_over()
        wait_for(lambda: any(d.node.is_leader() for d in others))
        self.assertFalse(first_leader.node.is_leader())
        self.assertEqual(probes, [d.node.counters().probes for d in others])
        self.put_table(2)

    # Guards against a stop without a hand-over, after which hosts wait for an
    # election: no replica had the whole log amid a write.
    def test_leader_hands_over_once_a_replica_has_the_whole_log(self):
        self.start_group()
        self.put_table(1)
        first_leader = wait_for(self.leader)
        transfer = first_leader.node.transfer_leadership
        outcomes = [False, False]
        first_leader.node.transfer_leadership = lambda: (
            outcomes.pop() if outcomes else transfer()
        )
        first_leader.hand_over()
        wait_for(lambda: self.leader() not in (None, first_leader))

    def test_gauge_of_a_full_disk_is_there_before_the_start(self):
        address = self.seeds[0]
        daemon = self.make(address)
        self.assertIn('masticquay_log_disk_full 0', daemon.registry.render())
        daemon.node.room.note_missing('start', OSError('full'))
        self.assertIn('masticquay_log_disk_full 1', daemon.registry.render())

    def test_replica_joins_a_group_that_is_being_formed(self):
        """The group size is not configured, so a fourth one may join."""
        fourth_address = free_address()
        self.start(fourth_address)
        self.start_group()
        wait_for(lambda: len(self.voter_addresses()) == 4)
        self.put_table(3)
        self.assertEqual(b'3', self.read_table())

    def test_replicas_without_founders_form_no_group(self):
        for address in self.seeds:
            self.start(address)
        time.sleep(1.0)
        self.assertIsNone(self.leader())

    def test_replica_with_lost_disk_joins_with_a_new_identity(self):
        self.start_group()
        self.put_table(3)
        restarted_address = next(
            a for a in self.seeds if not self.daemons[a].node.is_leader()
        )
        daemon = self.daemons.pop(restarted_address)
        old_replica_id = daemon.node.replica.state.replica_id
        daemon.close()
        self.start(restarted_address, disk='two')

        def is_replaced():
            leader = self.leader()
            if leader is None:
                return False
            voters = [
                m.member
                for m in leader.node.status().members
                if m.member.voter
            ]
            return len(voters) == 3 and all(
                v.replica_id != old_replica_id for v in voters
            )

        wait_for(is_replaced)
        # The group tolerates another loss right after the replacement.
        leader = wait_for(self.leader)
        second_address = next(
            a
            for a in self.seeds
            if a not in (restarted_address, leader.settings.address)
        )
        self.daemons.pop(second_address).close()
        self.put_table(4)
        self.assertEqual(b'4', self.read_table())

    def test_committed_table_survives_the_loss_of_the_leader(self):
        self.start_group()
        self.put_table(5)
        leader = wait_for(self.leader)
        self.daemons.pop(leader.settings.address).close()
        self.assertEqual(b'5', self.read_table())

    def test_table_survives_a_restart_of_all_replicas(self):
        self.start_group()
        self.put_table(6)
        for address in list(self.daemons):
            self.daemons.pop(address).close()
        for address in self.seeds:
            self.start(address)
        self.assertEqual(b'6', self.read_table())

    # Seen: a replica that started alone, with an old snapshot, gave the table
    # in it to a host without one, with keys that were withdrawn since.
    def test_host_without_a_table_gets_none_of_an_old_snapshot(self):
        self.snapshot_interval_entries = 1
        self.start_group()
        self.put_table(6)
        wait_for(
            lambda: all(
                d.machine.version == 6
                and d.node.replica.state.store.snapshot_index
                >= d.node.replica.state.applied_index
                for d in self.daemons.values()
            )
        )
        for address in list(self.daemons):
            self.daemons.pop(address).close()
        self.snapshot_interval_entries = 4_096
        for address in self.seeds:
            self.start(address)
        self.put_table(7)
        for address in list(self.daemons):
            self.daemons.pop(address).close()
        lone = self.start(self.seeds[0])
        self.assertEqual(6, lone.machine.version)
        link = fakes.FakeLink()
        renewal = fakes.make_renewal()
        lone.leadership.add_seeker(renewal, link)
        self.assertEqual([], link.notifications)
        for address in self.seeds[1:]:
            self.start(address)
        self.assertEqual(b'7', self.read_table())
        wait_for(lambda: lone.machine.version == 7)
        wait_for(
            lambda: (
                lone.leadership.add_seeker(renewal, link) or link.notifications
            )
        )
        update = link.last(messages.TableUpdate)
        self.assertEqual(7, update.version)

    def test_older_and_invalid_tables_are_ignored(self):
        self.start_group()
        self.put_table(6)
        self.put_table(5)
        self.assertEqual(b'6', self.read_table())
        with self.assertRaises(routing_errors.TableError):
            wait_for(self.leader).tables.put(b'bad')

    def test_minority_neither_reads_nor_stores(self):
        self.start_group()
        self.put_table(6)
        leader = wait_for(self.leader)
        for address in self.seeds:
            if address != leader.settings.address:
                self.daemons.pop(address).close()
        wait_for(lambda: not leader.node.is_leader())
        with self.assertRaises(errors.NotServingError):
            leader.tables.get()
        with self.assertRaises(errors.CoordinationError):
            leader.tables.put(b'7')

    def test_replaced_host_is_removed_from_the_voters(self):
        """A host is replaced by an empty one at another address."""
        self.start_group()
        fourth_address = free_address()
        self.start(fourth_address)
        wait_for(lambda: len(self.voter_addresses()) == 4)
        stopped_address = next(
            a for a in self.seeds if not self.daemons[a].node.is_leader()
        )
        self.daemons.pop(stopped_address).close()
        wait_for(lambda: stopped_address not in self.voter_addresses())
        self.assertEqual(3, len(self.voter_addresses()))

    def test_group_does_not_shrink_below_three_voters(self):
        self.start_group()
        stopped_address = next(
            a for a in self.seeds if not self.daemons[a].node.is_leader()
        )
        self.daemons.pop(stopped_address).close()
        membership = wait_for(self.leader).membership
        membership._unused_replacements = 1
        time.sleep(groups.EVICT_REPLACED_AFTER_MS / 1000 + 1)
        self.assertEqual(3, len(self.voter_addresses()))
