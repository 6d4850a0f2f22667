"""One control replica: the log, its state machine and its services."""

import contextlib
import logging
import pathlib
import random
import threading
import typing

from masticquay_consensus import nodes
from masticquay_control import commands
from masticquay_control import forwarders
from masticquay_control import leases
from masticquay_control import machines
from masticquay_control import offices
from masticquay_control import services
from masticquay_control import watchers
from masticquay_wire import clocks
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

TICK_MS = 50


class ReplicaSettings:
    """What a control replica is told at its start.

    :param replicas: name and ``ip:port`` of the first voters
    """

    __slots__ = (
        'name',
        'place',
        'peer_address',
        'data_folder',
        'replicas',
        'secret',
        'seed',
    )

    def __init__(
        self,
        name: str,
        place: str,
        peer_address: peers.Address,
        data_folder: pathlib.Path,
        replicas: dict[str, str],
        secret: bytes,
        seed: int = 0,
    ):
        self.name = name
        self.place = place
        self.peer_address = peer_address
        self.data_folder = data_folder
        self.replicas = replicas
        self.secret = secret
        self.seed = seed


class Replica:
    """Owns all parts of a control replica and runs its leader's duties."""

    def __init__(
        self, settings: ReplicaSettings, clock: clocks.Clock | None = None
    ):
        self.settings = settings
        self.clock = clock or clocks.MonotonicClock()
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self._changing_view = False
        self.machine = machines.ControlMachine()
        self.listener = listeners.Listener(
            settings.peer_address, settings.name, settings.secret
        )
        self.log = self._make_log()
        self.leases = leases.LeaseTable(self.machine, self.clock)
        self.office = offices.Office(
            settings.name,
            self.log,
            self.machine,
            self.clock,
            self.leases.begin,
        )
        self.watchers = watchers.Watchers(self.machine)
        self.machine.on_change = self.watchers.notify_change
        self.forwarder = forwarders.Forwarder(
            settings.name, settings.secret, self.log
        )
        self.service = services.ControlService(
            self.log,
            self.machine,
            self.office,
            self.leases,
            self.watchers,
            self.forwarder,
            self._report_endpoints,
        )

    def start(self) -> None:
        """Opens the log, then serves.

        :raises ConsensusError: when the stored data cannot be used
        :raises OSError: when the address cannot be bound
        """
        with contextlib.ExitStack() as stack:
            self.service.register(self.listener)
            self.log.start()
            stack.callback(self.log.close)
            self.listener.start()
            stack.callback(self.listener.close)
            self.forwarder.start()
            stack.callback(self.forwarder.close)
            stack.callback(self.watchers.close)
            ticker = threading.Thread(
                target=self._run_ticks, name='ticks', daemon=True
            )
            ticker.start()
            stack.callback(ticker.join, 2)
            stack.callback(self._stopping.set)
            self._stack = stack.pop_all()

    def close(self) -> None:
        """Stops serving and closes the log."""
        self._stack.close()

    def _make_log(self) -> nodes.Node:
        settings = self.settings
        voters = [
            nodes.Voter(name, address)
            for name, address in settings.replicas.items()
        ]
        return nodes.Node(
            settings.name,
            str(settings.peer_address),
            voters,
            settings.data_folder,
            self.listener,
            self.machine,
            settings.secret,
            self.clock,
            random.Random(f'{settings.seed} {settings.name}'),
        )

    def _run_ticks(self) -> None:
        while not self._stopping.wait(TICK_MS / 1000):
            try:
                self._tick()
            except Exception:
                LOG.exception('a tick failed')

    def _tick(self) -> None:
        self.office.tick()
        if not self.office.acting() or self._changing_view:
            return
        change = self.leases.plan()
        if change is None:
            return
        self._changing_view = True
        pending = self.office.propose(change)
        pending.add_done_callback(
            lambda done: self._finish_view_change(change, done)
        )

    def _finish_view_change(
        self, change: commands.ChangeView, done: typing.Any
    ) -> None:
        if done.exception() is not None:
            self.leases.abandon()
        else:
            LOG.info(
                'view changed',
                extra={
                    'view_number': change.expected_number + 1,
                    'put': [host.name for host in change.put],
                    'removed': [removal.host for removal in change.removed],
                },
            )
        self._changing_view = False

    def _report_endpoints(self) -> list:
        return []
