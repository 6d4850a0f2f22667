"""One control replica: the log, its state machine and its services."""

import contextlib
import logging
import pathlib
import random
import threading
import typing

from masticquay_consensus import nodes
from masticquay_consensus import protocols
from masticquay_consensus import settings as consensus_settings
from masticquay_control import commands
from masticquay_control import forwarders
from masticquay_control import leaderships
from masticquay_control import leases
from masticquay_control import machines
from masticquay_control import order_runs
from masticquay_control import platforms
from masticquay_control import services
from masticquay_control import watchers
from masticquay_membership import operator_messages
from masticquay_wire import clocks
from masticquay_wire import dialers
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

TICK_MS = 50
JOIN_TIMEOUT_S = 2
ORDER_INTERVAL_MS = 250


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
    """Owns all parts of a control replica and runs its leader's duties.

    :param links: makes links to other replicas, of websockets by default
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        clock: clocks.Clock | None = None,
        links: protocols.LinkFactory | None = None,
        log_settings: consensus_settings.Settings | None = None,
    ):
        self.settings = settings
        self._log_settings = log_settings
        self._links = links or self._dial
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
        self.leadership = leaderships.Leadership(
            settings.name,
            self.log,
            self.machine,
            self.clock,
            self.leases.begin,
        )
        self.watchers = watchers.Watchers(self.machine)
        self.machine.on_change = self.watchers.notify_change
        self.forwarder = forwarders.Forwarder(
            settings.name, self.log, self._links
        )
        self.platform = platforms.PlatformList()
        self.orders = order_runs.OrderRunner(
            self.machine, self.leadership, self.clock
        )
        self.service = services.ControlService(
            self.log,
            self.machine,
            self.leadership,
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
            stack.callback(self.orders.close)
            self._start_duty(stack, 'ticks', TICK_MS, self._tick)
            self._start_duty(
                stack, 'orders', ORDER_INTERVAL_MS, self._give_orders
            )
            self._start_duty(
                stack,
                'platform',
                platforms.POLL_INTERVAL_MS,
                self._follow_platform,
            )
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
            self._log_settings,
            self._links,
        )

    def _dial(self, address: peers.Address) -> peers.Peer:
        settings = self.settings
        return dialers.WebsocketPeer(address, settings.name, settings.secret)

    def _start_duty(
        self,
        stack: contextlib.ExitStack,
        name: str,
        interval_ms: int,
        duty: typing.Callable[[], None],
    ) -> None:
        thread = threading.Thread(
            target=self._run_duty,
            args=[interval_ms, duty],
            name=name,
            daemon=True,
        )
        thread.start()
        stack.callback(thread.join, JOIN_TIMEOUT_S)

    def _run_duty(
        self, interval_ms: int, duty: typing.Callable[[], None]
    ) -> None:
        while not self._stopping.wait(interval_ms / 1000):
            try:
                duty()
            except Exception:
                LOG.exception('a duty failed')

    def _tick(self) -> None:
        self.leadership.tick()
        if not self.leadership.acting() or self._changing_view:
            return
        change = self.leases.plan()
        if change is None:
            return
        self._changing_view = True
        pending = self.leadership.propose(change)
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

    def _give_orders(self) -> None:
        if self.leadership.acting():
            self.orders.run_once()

    def _follow_platform(self) -> None:
        """Reads the platform list; commits which endpoints leave."""
        bundle = self.machine.bundles.bundle
        if bundle is None or not self.leadership.acting():
            return
        leaving = self.platform.poll(bundle)
        if leaving is None or leaving == self.machine.endpoints.leaving:
            return
        self.leadership.propose(commands.SetLeavingEndpoints(leaving))

    def _report_endpoints(self) -> list[operator_messages.EndpointStatus]:
        bundle = self.machine.bundles.bundle
        if bundle is None:
            return []
        return [
            order_runs.describe(
                self.orders.report(endpoint.name),
                self.platform.state_of(endpoint.name),
            )
            for endpoint in bundle.endpoints
        ]
