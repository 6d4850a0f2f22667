"""Replicas over real links in one process, for tests."""

import contextlib
import pathlib
import random
import tempfile
import time

from masticquay_consensus import nodes
from masticquay_consensus import settings as settings_module
from masticquay_wire import clocks
from masticquay_wire import listeners
from masticquay_wire import peers

SECRET = b'fleet secret'
WAIT_S = 30


class Recorder:
    """A state machine that remembers its commands."""

    def __init__(self):
        self.commands = []
        self.restored_index = 0

    def apply(self, index, command):
        self.commands.append(command)
        return b'%d:' % len(self.commands) + command

    def snapshot(self):
        return b'\n'.join(self.commands)

    def restore(self, data, index):
        self.commands = data.split(b'\n') if data else []
        self.restored_index = index


class Fleet:
    """Nodes by name; each keeps its folder and address over restarts."""

    def __init__(self, names, settings=None, folder=None, links=None):
        self.stack = contextlib.ExitStack()
        self._folder = folder or self.stack.enter_context(
            tempfile.TemporaryDirectory()
        )
        self.settings = settings or settings_module.Settings(
            heartbeat_ms=50, election_min_ms=500, election_max_ms=900
        )
        self._links = links
        self.addresses = {}
        self.listeners = {}
        self.nodes = {}
        self.machines = {}
        for name in names:
            self.open_listener(name)
        self.voters = [
            nodes.Voter(name, str(self.addresses[name])) for name in names
        ]

    def open_listener(self, name):
        address = self.addresses.get(name, peers.Address('127.0.0.1', 0))
        listener = listeners.Listener(address, name, SECRET)
        listener.start()
        self.addresses[name] = listener.address
        self.listeners[name] = listener

    def folder(self, name):
        return pathlib.Path(self._folder) / name

    def start(self, *names, disk=None, **options):
        for name in names or list(self.addresses):
            if name not in self.listeners:
                self.open_listener(name)
            self.machines[name] = Recorder()
            node = nodes.Node(
                name,
                str(self.addresses[name]),
                self.voters,
                disk or self.folder(name),
                self.listeners[name],
                self.machines[name],
                SECRET,
                clocks.MonotonicClock(),
                random.Random(name),
                self.settings,
                links=self._links(name) if self._links else None,
                **options,
            )
            node.start()
            self.nodes[name] = node

    def stop(self, name):
        self.listeners.pop(name).close()
        self.nodes.pop(name).close()

    def close(self):
        for name in list(self.nodes):
            self.stop(name)
        for listener in self.listeners.values():
            listener.close()
        self.stack.close()

    def leader(self):
        return wait_for(self._find_leader)

    def _find_leader(self):
        for name, node in list(self.nodes.items()):
            if node.is_leader():
                return name
        return None

    def propose(self, command):
        """Proposes until a leader took the command; returns its answer."""

        def attempt():
            node = self.nodes[self.leader()]
            try:
                return node.propose(command).result(WAIT_S)
            except nodes.errors.NotLeaderError:
                return None

        return wait_for(attempt)


def wait_for(condition, timeout_s=WAIT_S):
    """Returns the first true value of a condition."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError('the condition was not met in time')
