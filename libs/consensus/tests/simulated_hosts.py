"""Hosts of a simulation, with clocks that drift and disks that crash."""

import random

from masticquay_consensus import errors
from masticquay_consensus import messages
from masticquay_consensus import replicas
from masticquay_consensus import stores
from tests import faulty_disks
from tests import fleets


class DriftingClock:
    """A clock with a constant offset and rate error."""

    def __init__(self, simulation, rate, offset_ms):
        self._simulation = simulation
        self.rate = rate
        self._offset_ms = offset_ms

    def now_ms(self):
        return self._offset_ms + int(self._simulation.now_ms * self.rate)


class Host:
    """A disk and the replica that uses it, None while the host is crashed."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self.name = name
        self.disk = faulty_disks.FaultyDisk(simulation.random)
        self.replica = None
        self.replica_id = ''
        self.state_machine = None
        self.checked_index = 0
        rate = 1 + simulation.random.uniform(-0.03, 0.03)
        self.clock = DriftingClock(
            simulation, rate, simulation.random.randint(0, 10**6)
        )

    def start(self):
        try:
            self._start()
        except (faulty_disks.CrashError, errors.NoRoomError):
            # A process that finds no room for its start tries it again.
            self.crash()

    def _start(self):
        store = stores.Store(self.disk, self.name, self._simulation.random)
        self.replica_id = store.replica_id
        self.state_machine = fleets.RecordingStateMachine()
        self.replica = replicas.Replica(
            store,
            self.state_machine,
            self._simulation.settings,
            self.clock,
            random.Random(self._simulation.random.random()),
        )
        self.checked_index = 0

    @property
    def is_leading(self):
        return (
            self.replica is not None
            and self.replica.state.role == messages.ROLE_LEADER
        )

    def crash(self):
        self.disk.crash()
        self.replica = None

    def run(self, step, *args):
        """Calls a method of the replica, and returns its result.

        Returns None if the host is not running, or crashes during the call.
        """
        if self.replica is None:
            return None
        try:
            return step(*args)
        except faulty_disks.CrashError:
            self.crash()
            return None
