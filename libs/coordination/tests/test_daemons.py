"""Tests of whole control replicas: founding, joining, losing disks."""

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
from tests import fakes

TIMEOUT_S = 20.0
SECRET = b'secret'


def free_address():
    """Returns an address on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def wait_for(condition):
    """Waits until a condition holds."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError('the condition did not come true')
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
        self.orders = fakes.FakeOrders()

    def start(self, address, founders=(), disk='one'):
        daemon = daemons.ControlDaemon(
            daemons.Settings(
                name=address,
                address=address,
                data_folder=str(self.folder / f'{address} {disk}'),
                founders=list(founders),
                seeds=self.seeds,
                secret=SECRET,
                order_lease_ms=500,
            ),
            fakes.NumberReader(),
            self.lister,
            self.orders,
            consensus_settings.Settings(
                heartbeat_ms=100, election_min_ms=400, election_max_ms=700
            ),
        )
        daemon.start()
        self.stack.callback(daemon.close)
        self.daemons[address] = daemon
        return daemon

    def found(self):
        for address in self.seeds:
            self.start(address, self.seeds)
        wait_for(self.leader)

    def leader(self):
        for daemon in self.daemons.values():
            if daemon.node.is_leader():
                return daemon
        return None

    def members(self):
        leader = self.leader()
        if leader is None:
            return []
        return [
            m.member.address
            for m in leader.node.status().members
            if m.member.voter
        ]

    def put(self, version):
        """Stores a version on whichever replica leads."""

        def stored():
            leader = self.leader()
            if leader is None:
                return False
            try:
                leader.tables.put(str(version).encode())
            except errors.CoordinationError:
                return False
            return True

        wait_for(stored)

    def read(self):
        """Returns what the leader reads."""
        found = []

        def served():
            leader = self.leader()
            if leader is None:
                return False
            try:
                found.append(leader.tables.get())
            except errors.CoordinationError:
                return False
            return True

        wait_for(served)
        return found[-1]

    def test_leader_that_stops_hands_over(self):
        """No replica waits for a silence first: nobody probes."""
        self.found()
        self.put(1)
        first = self.leader()
        others = [d for d in self.daemons.values() if d is not first]
        probes = [d.node.counters().probes for d in others]
        first.hand_over()
        wait_for(lambda: any(d.node.is_leader() for d in others))
        self.assertFalse(first.node.is_leader())
        self.assertEqual(probes, [d.node.counters().probes for d in others])
        self.put(2)

    def test_founded_once_and_joined_by_others(self):
        """Nobody is told how many there are; others start at once."""
        extra = free_address()
        self.start(extra)
        self.found()
        wait_for(lambda: len(self.members()) == 4)
        self.put(3)
        self.assertEqual(b'3', self.read())

    def test_empty_disk_joins_and_never_founds(self):
        for address in self.seeds:
            self.start(address)
        time.sleep(1.0)
        self.assertIsNone(self.leader())

    def test_lost_disk_joins_under_a_new_identity(self):
        self.found()
        self.put(3)
        lost = next(
            a for a in self.seeds if not self.daemons[a].node.is_leader()
        )
        daemon = self.daemons.pop(lost)
        identity = daemon.node.replica.state.replica_id
        daemon.close()
        self.start(lost, disk='two')

        def replaced():
            leader = self.leader()
            if leader is None:
                return False
            voters = [
                m.member
                for m in leader.node.status().members
                if m.member.voter
            ]
            return len(voters) == 3 and all(
                v.replica_id != identity for v in voters
            )

        wait_for(replaced)
        # The second loss right after the repair.
        leader = self.leader()
        other = next(
            a for a in self.seeds if a not in (lost, leader.settings.address)
        )
        self.daemons.pop(other).close()
        self.put(4)
        self.assertEqual(b'4', self.read())

    def test_acknowledged_table_outlives_the_loss_of_the_leader(self):
        self.found()
        self.put(5)
        leader = self.leader()
        self.daemons.pop(leader.settings.address).close()
        self.assertEqual(b'5', self.read())

    def test_all_killed_at_once_come_back_with_everything(self):
        self.found()
        self.put(6)
        for address in list(self.daemons):
            self.daemons.pop(address).close()
        for address in self.seeds:
            self.start(address)
        self.assertEqual(b'6', self.read())

    def test_older_and_invalid_tables_change_nothing(self):
        self.found()
        self.put(6)
        self.put(5)
        self.assertEqual(b'6', self.read())
        with self.assertRaises(routing_errors.TableError):
            self.leader().tables.put(b'bad')

    def test_minority_neither_reads_nor_stores(self):
        self.found()
        self.put(6)
        leader = self.leader()
        for address in self.seeds:
            if address != leader.settings.address:
                self.daemons.pop(address).close()
        wait_for(lambda: not leader.node.is_leader())
        with self.assertRaises(errors.NotServingError):
            leader.tables.get()
        with self.assertRaises(errors.CoordinationError):
            leader.tables.put(b'7')

    def test_replaced_host_counts_no_more(self):
        """A host goes for good, an empty one comes at another address."""
        self.found()
        fourth = free_address()
        self.start(fourth)
        wait_for(lambda: len(self.members()) == 4)
        gone = next(
            a for a in self.seeds if not self.daemons[a].node.is_leader()
        )
        self.daemons.pop(gone).close()
        wait_for(lambda: gone not in self.members())
        self.assertEqual(3, len(self.members()))

    def test_group_is_not_shrunk_below_three(self):
        self.found()
        gone = next(
            a for a in self.seeds if not self.daemons[a].node.is_leader()
        )
        self.daemons.pop(gone).close()
        membership = self.leader().membership
        membership._replacements = 1
        time.sleep(groups.EVICT_REPLACED_AFTER_MS / 1000 + 1)
        self.assertEqual(3, len(self.members()))
