"""A control replica: the log, its state machine and the service."""

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
from masticquay_control import platform_lists
from masticquay_control import reconcilers
from masticquay_control import services
from masticquay_control import state_machines
from masticquay_control import watchers
from masticquay_membership import operator_messages
from masticquay_wire import clocks
from masticquay_wire import dialers
from masticquay_wire import duties
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

TICK_INTERVAL_MS = 50
THREAD_JOIN_TIMEOUT_S = 2
RECONCILE_INTERVAL_MS = 250


class ReplicaSettings:
    """The settings of a control replica.

    :param place: the replica's data centre
    :param peer_address: where hosts, operators and other replicas connect
    :param replicas: the initial voters: addresses (``ip:port``) by name
    :param secret: the fleet's shared secret
    :param seed: seeds the random number generator of the log
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
    """A control replica; as the acting leader it also runs periodic tasks.

    :param link_factory: makes the links to other replicas; by default, these
        are websockets
    :param log_settings: settings of the log, its defaults if None
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        clock: clocks.Clock | None = None,
        link_factory: protocols.LinkFactory | None = None,
        log_settings: consensus_settings.Settings | None = None,
    ):
        self.settings = settings
        self._log_settings = log_settings
        self._link_factory = link_factory or self._dial
        self.clock = clock or clocks.MonotonicClock()
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self._view_change_pending = False
        self.state_machine = state_machines.ControlStateMachine()
        self.listener = listeners.Listener(
            settings.peer_address, settings.name, settings.secret
        )
        self.log = self._make_log()
        self.leases = leases.LeaseTable(self.state_machine, self.clock)
        self.leadership = leaderships.Leadership(
            settings.name,
            self.log,
            self.state_machine,
            self.clock,
            self.leases.begin,
        )
        self.watchers = watchers.Watchers(self.state_machine)
        self.state_machine.on_change = self.watchers.notify_change
        self.forwarder = forwarders.Forwarder(
            settings.name,
            self.log,
            self._link_factory,
            link_factory or self._dial_for_renewals,
        )
        self.platform_list = platform_lists.PlatformList()
        self.reconciler = reconcilers.EngineReconciler(
            self.state_machine, self.leadership, self.clock
        )
        self.service = services.ControlService(
            self.log,
            self.state_machine,
            self.leadership,
            self.leases,
            self.watchers,
            self.forwarder,
            self._list_endpoint_statuses,
        )

    def start(
        self, is_stopping: typing.Callable[[], bool] = lambda: False
    ) -> None:
        """Opens the log, then starts to serve.

        :param is_stopping: whether to end the wait for room on a full disk
        :raises ConsensusError: when the log or snapshot on disk is unusable
        :raises OSError: when the address cannot be bound
        """
        with contextlib.ExitStack() as stack:
            self.service.register(self.listener)
            self.log.start(is_stopping)
            stack.callback(self.log.close)
            self.listener.start()
            stack.callback(self.listener.close)
            self.forwarder.start()
            stack.callback(self.forwarder.close)
            stack.callback(self.watchers.close)
            stack.callback(self.reconciler.close)
            self._start_periodic(stack, 'ticks', TICK_INTERVAL_MS, self._tick)
            self._start_periodic(
                stack, 'orders', RECONCILE_INTERVAL_MS, self._reconcile_engines
            )
            self._start_periodic(
                stack,
                'platform',
                platform_lists.POLL_INTERVAL_MS,
                self._poll_platform_list,
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
            self.state_machine,
            settings.secret,
            self.clock,
            random.Random(f'{settings.seed} {settings.name}'),
            self._log_settings,
            self._link_factory,
        )

    def _dial(self, address: peers.Address) -> peers.Peer:
        settings = self.settings
        return dialers.WebsocketPeer(address, settings.name, settings.secret)

    def _dial_for_renewals(self, address: peers.Address) -> peers.Peer:
        settings = self.settings
        return dialers.WebsocketPeer(
            address, settings.name, settings.secret, resend=False
        )

    def _start_periodic(
        self,
        stack: contextlib.ExitStack,
        name: str,
        interval_ms: int,
        task: typing.Callable[[], None],
    ) -> None:
        thread = threading.Thread(
            target=duties.Duty(name, task).run,
            args=[self._stopping, interval_ms / 1000],
            name=name,
            daemon=True,
        )
        thread.start()
        stack.callback(thread.join, THREAD_JOIN_TIMEOUT_S)

    def _tick(self) -> None:
        """Begins a leadership if needed and proposes view changes."""
        self.leadership.tick()
        if not self.leadership.acting() or self._view_change_pending:
            return
        change = self.leases.plan_view_change()
        if change is None:
            return
        self._view_change_pending = True
        pending = self.leadership.propose(change)
        pending.add_done_callback(
            lambda done: self._finish_view_change(change, done)
        )

    def _finish_view_change(
        self, change: commands.ChangeView, done: typing.Any
    ) -> None:
        if done.exception() is not None:
            self.leases.cancel_view_change()
        else:
            LOG.info(
                'view changed',
                extra={
                    'view_number': change.expected_number + 1,
                    'put': [host.name for host in change.put],
                    'removed': [removal.host for removal in change.removed],
                },
            )
        self._view_change_pending = False

    def _reconcile_engines(self) -> None:
        if self.leadership.acting():
            self.reconciler.reconcile()

    def _poll_platform_list(self) -> None:
        """Fetches the platform list and commits the leaving endpoints."""
        bundle = self.state_machine.bundles.bundle
        if bundle is None or not self.leadership.acting():
            return
        leaving = self.platform_list.poll(bundle)
        if leaving is None or leaving == self.state_machine.endpoints.leaving:
            return
        self.leadership.propose(commands.SetLeavingEndpoints(leaving))

    def _list_endpoint_statuses(
        self,
    ) -> list[operator_messages.EndpointStatus]:
        bundle = self.state_machine.bundles.bundle
        if bundle is None:
            return []
        return [
            reconcilers.endpoint_status(
                self.reconciler.engine_record(endpoint.name),
                self.platform_list.state_of(endpoint.name),
            )
            for endpoint in bundle.endpoints
        ]
