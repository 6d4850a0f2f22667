"""A search of interleavings of the first start of a group."""

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
SETTLE_ROUNDS = 12
MAX_NESTED = 3
FIRST_PORT = 7_000


class Host:
    """One founder: its disk, and its replica while it runs."""

    def __init__(self, world, number):
        self.world = world
        self.name = f'127.0.0.1:{FIRST_PORT + number}'
        self.disk = faulty_disks.FaultyDisk(world.random)
        self.replica = None
        self.trying = None
        self.start()

    def start(self):
        store = stores.Store(self.disk, self.name, self.world.random)
        self.replica = replicas.Replica(
            store,
            fleets.Recorder(),
            self.world.settings,
            clocks.ManualClock(),
            random.Random(0),
        )

    def restart(self):
        self.disk.crash()
        self.start()

    def wipe(self):
        self.disk = faulty_disks.FaultyDisk(self.world.random)
        self.start()

    @property
    def replica_id(self):
        return self.replica.state.replica_id

    @property
    def formed(self):
        return self.replica.state.store.formed

    def attempt(self):
        """Tries to form; other hosts act between its calls.

        One process makes one attempt at a time.
        """
        replica = self.replica
        if self.trying is replica:
            return
        self.trying = replica
        formation = formations.Formation(
            replica,
            self.name,
            self.world.voters,
            lambda address: Link(self.world, self, replica, address),
            self.world.settings,
        )
        try:
            formation.attempt()
        except HostGoneError:
            return
        finally:
            if self.trying is replica:
                self.trying = None

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
        self.replica.form(message.configuration)
        return self.handle(messages.Identify())


class HostGoneError(Exception):
    """The process that made a call has ended meanwhile."""


class Link:
    """Delivers calls at once, or not at all, with events in between."""

    def __init__(self, world, caller, replica, address):
        self.world = world
        self.caller = caller
        self.replica = replica
        self.target = world.by_name[str(address)]

    def call(self, message, timeout_ms):
        self.world.disturb()
        if self.world.is_lost():
            raise wire_errors.PeerUnavailableError('request lost')
        answer = self.target.handle(message)
        self.world.disturb()
        if self.caller.replica is not self.replica:
            raise HostGoneError
        if self.world.is_lost():
            raise wire_errors.PeerUnavailableError('answer lost')
        return answer

    def close(self):
        pass


class World:
    """Founders that start at once, and what happens to them."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.settings = settings_module.Settings()
        self.faulty = True
        self.nested = 0
        count = self.random.choice((3, 3, 5))
        self.by_name = {}
        self.hosts = [Host(self, n) for n in range(count)]
        self.by_name = {host.name: host for host in self.hosts}
        self.voters = [formations.Voter(h.name, h.name) for h in self.hosts]
        self.wiped = set()
        self.established = None

    def run(self):
        for _step in range(STEPS):
            self.random.choice(self.hosts).attempt()
            self.disturb()
        self.faulty = False
        for _round in range(SETTLE_ROUNDS):
            for host in self.hosts:
                if not host.formed:
                    host.attempt()
                self.check()

    def is_lost(self):
        return self.faulty and self.random.random() < 0.1

    def disturb(self):
        """Lets another host act, restart or lose its disk."""
        if not self.faulty or self.nested >= MAX_NESTED:
            return
        self.nested += 1
        chance = self.random.random()
        host = self.random.choice(self.hosts)
        if chance < 0.4:
            host.attempt()
        elif chance < 0.46:
            host.restart()
        elif chance < 0.48 and not self.wiped:
            self.wiped.add(host.name)
            host.wipe()
        self.nested -= 1
        self.check()

    def check(self):
        """No two groups at once, and none beside one that had a quorum.

        A configuration that was lost with the only disk that held it has
        decided nothing; another may follow.
        """
        formed = [host for host in self.hosts if host.formed]
        groups = set()
        for host in formed:
            ids = frozenset(host.replica.state.configuration.voter_ids())
            assert host.replica_id in ids, 'formed without itself'
            groups.add(ids)
        assert len(groups) <= 1, 'two groups were founded'
        if len(formed) > len(self.hosts) // 2:
            self.established = self.established or next(iter(groups))
        if self.established:
            assert groups <= {self.established}, 'another group was founded'

    def serves(self):
        """Whether a majority of the one group is there."""
        formed = [host for host in self.hosts if host.formed]
        return len(formed) > len(self.hosts) // 2


class FormationTest(unittest.TestCase):
    def test_one_group_is_founded_whatever_the_order(self):
        """Starts in any order, lost messages, restarts, one lost disk."""
        wiped = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                world = World(seed)
                world.run()
                self.assertTrue(world.serves())
                wiped += bool(world.wiped)
        # The search must meet lost disks.
        self.assertGreater(wiped, SEEDS / 10)

    def test_every_order_of_first_attempts(self):
        for order in itertools.permutations(range(3)):
            with self.subTest(order=order):
                world = World(0)
                world.faulty = False
                for number in (*order, *order):
                    world.hosts[number].attempt()
                world.check()
                self.assertTrue(world.serves())
