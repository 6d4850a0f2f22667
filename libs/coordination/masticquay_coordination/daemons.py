"""The control daemon, which runs one control replica."""

import contextlib
import logging
import os
import random
import threading
import time
import typing

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import nodes
from masticquay_consensus import settings as consensus_settings
from masticquay_coordination import evacuations
from masticquay_coordination import groups
from masticquay_coordination import leaderless_rates
from masticquay_coordination import leaderships
from masticquay_coordination import orders
from masticquay_coordination import ports
from masticquay_coordination import table_machines
from masticquay_coordination import tables
from masticquay_routing import tables as routing_tables
from masticquay_serving import clocks
from masticquay_serving import counters
from masticquay_wire import dialers
from masticquay_wire import duties
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

SESSION_CHECK_INTERVAL_MS = 100
LIST_CHECK_INTERVAL_MS = 100
# Hosts take a leader that answers 50 ms late for lost.
SLOT_INTERVAL_MS = 25
# Tables that are stored within this time are sent to the hosts as one.
TABLE_INTERVAL_MS = 100
EVACUATION_INTERVAL_MS = 10
ORDER_INTERVAL_MS = 300
REPORT_INTERVAL_MS = 1_000
COST_INTERVAL_MS = 5_000
MEMBERSHIP_INTERVAL_MS = 500
# Added to the interval of the leader's heartbeats: without one for so long, it
# may be lost.
HEARTBEAT_SLACK_MS = 100
HAND_OVER_TIMEOUT_MS = 400
HAND_OVER_POLL_MS = 10


class Settings:
    """The settings of a control replica.

    :param address: ``ip:port`` for links from other processes
    :param data_folder: the folder of the replicated log
    :param founders: addresses of the initial voters, only for the first start
        of the whole system; empty otherwise
    :param seeds: addresses of replicas to ask when joining the group
    :param secret: authenticates links
    :param order_lease_ms: see ``leaderships.Leadership``
    """

    __slots__ = (
        'name',
        'address',
        'data_folder',
        'founders',
        'seeds',
        'secret',
        'order_lease_ms',
    )

    def __init__(
        self,
        name: str,
        address: str,
        data_folder: str,
        founders: list[str],
        seeds: list[str],
        secret: bytes,
        order_lease_ms: int,
    ):
        self.name = name
        self.address = address
        self.data_folder = data_folder
        self.founders = founders
        self.seeds = seeds
        self.secret = secret
        self.order_lease_ms = order_lease_ms


class ControlDaemon:
    """One control replica.

    :param reader: parses operators' documents
    :param lister: reads the platform's endpoint list
    :param engine_orders: sends orders to engines
    :param log_settings: timing of the replicated log, None for the defaults
    """

    def __init__(
        self,
        settings: Settings,
        reader: routing_tables.TableReader,
        lister: ports.EndpointLister,
        engine_orders: ports.EngineOrders,
        log_settings: consensus_settings.Settings | None = None,
    ):
        self.settings = settings
        self._clock = clocks.BootClock()
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()
        self.machine = table_machines.TableMachine()
        self.listener = listeners.Listener(
            peers.Address.parse(settings.address),
            settings.address,
            settings.secret,
        )
        self.node = self._make_node(log_settings)
        order_sender = orders.OrderSender(
            self.node, settings.name, engine_orders, self._clock
        )
        self.leadership = leaderships.Leadership(
            self.node,
            self.machine,
            reader,
            lister,
            order_sender,
            settings.order_lease_ms,
            self._clock,
        )
        self.node.on_role_change(self.leadership.change_role)
        self.machine.on_change = self.leadership.notify_table_change
        self.machine.on_evacuation = self.leadership.notify_evacuation
        self.membership = groups.Membership(self.node, self._dial)
        self.joiner = groups.Joiner(
            self.node,
            settings.address,
            settings.address,
            lambda: self.settings.seeds,
            self._dial,
        )
        timing = log_settings or consensus_settings.Settings()
        self.rates = leaderless_rates.LeaderlessRates(
            self.node,
            self._clock,
            random.Random(),
            timing.heartbeat_ms + HEARTBEAT_SLACK_MS,
        )
        self.registry = counters.Registry()
        self.registry.set_gauge_reader(self._read_gauges)
        self.tables = tables.TableService(
            self.node,
            self.machine,
            reader,
            self.leadership.wait_for_hosts,
        )
        self.evacuations = evacuations.EvacuationService(
            self.node,
            self.machine,
            self.leadership.wait_for_evacuations,
        )

    def start(
        self, is_stopping: typing.Callable[[], bool] = lambda: False
    ) -> None:
        """Opens the log, listens and starts the periodic tasks.

        :param is_stopping: whether to end the wait for room on a full disk
        :raises NoRoomError: when that wait ended before there was room
        :raises ConsensusError: when the stored data is unusable
        :raises OSError: when the address cannot be bound
        """
        with contextlib.ExitStack() as stack:
            self.leadership.register(self.listener)
            self.rates.register(self.listener)
            self.listener.handle(
                groups.messages.JoinGroup, self.membership.handle_join
            )
            self.node.start(is_stopping)
            stack.callback(self.node.close)
            self.listener.start()
            stack.callback(self.listener.close)
            self._start_task(
                'ticks',
                SESSION_CHECK_INTERVAL_MS,
                self.leadership.expire_sessions,
            )
            self._start_task(
                'slots', SLOT_INTERVAL_MS, self.leadership.answer_slots
            )
            self._start_task(
                'tables',
                TABLE_INTERVAL_MS,
                self.leadership.publish_new_table,
            )
            self._start_task(
                'evacuations',
                EVACUATION_INTERVAL_MS,
                self.leadership.publish_evacuations,
            )
            self._start_task(
                'list',
                LIST_CHECK_INTERVAL_MS,
                self.leadership.refresh_endpoints,
            )
            self._start_task(
                'report', REPORT_INTERVAL_MS, self.leadership.log_pools
            )
            self._start_task(
                'rates', REPORT_INTERVAL_MS, self.rates.log_charges
            )
            self._start_task('costs', COST_INTERVAL_MS, self._log_costs)
            self._start_task(
                'orders', ORDER_INTERVAL_MS, self.leadership.send_due_orders
            )
            self._start_task(
                'membership', MEMBERSHIP_INTERVAL_MS, self.membership.run_once
            )
            self._start_task(
                'join',
                groups.JOIN_INTERVAL_MS,
                lambda: self.joiner.run_once(groups.JOIN_INTERVAL_MS),
            )
            stack.callback(self._stopping.set)
            self._stack = stack.pop_all()
        LOG.info(
            'control replica started',
            extra={
                'address': self.settings.address,
                'identity': self.node.replica.state.replica_id,
                'founders': self.settings.founders,
                'table_version': self.machine.version,
            },
        )

    def hand_over(self) -> None:
        """Transfers the leadership to another replica before this one stops.

        Returns once this replica knows the next leader and can tell the
        hosts, or after ``HAND_OVER_TIMEOUT_MS``.
        """
        deadline_ms = self._clock.now_ms() + HAND_OVER_TIMEOUT_MS
        # No replica has the whole log while an entry is on its way to them.
        while (
            not self.node.transfer_leadership()
            and self.node.is_leader()
            and self._clock.now_ms() < deadline_ms
        ):
            time.sleep(HAND_OVER_POLL_MS / 1000)
        while (
            self.node.leader() is None and self._clock.now_ms() < deadline_ms
        ):
            time.sleep(HAND_OVER_POLL_MS / 1000)

    def close(self) -> None:
        """Stops the daemon and closes the log."""
        self._stack.close()

    def _make_node(
        self, log_settings: consensus_settings.Settings | None
    ) -> nodes.Node:
        settings = self.settings
        seed = int.from_bytes(os.urandom(8), 'big')
        return nodes.Node(
            settings.address,
            settings.address,
            [nodes.Voter(address, address) for address in settings.founders],
            settings.data_folder,
            self.listener,
            self.machine,
            settings.secret,
            self._clock,
            random.Random(seed),
            log_settings,
        )

    def _read_gauges(self) -> dict[str, float]:
        """Returns the gauges of the replicated log and of the leadership.

        While the start waits for room on the disk there is only that one.
        """
        disk_full = {'log_disk_full': int(self.node.room.is_missing)}
        try:
            status = self.node.status()
        except consensus_errors.ConsensusError:
            return disk_full
        gauges = {
            **disk_full,
            'log_term': status.term,
            'log_commit_index': status.commit_index,
            'log_members': len(status.members),
            'table_version': self.machine.version,
            'evacuated_places': len(self.machine.evacuations.places),
            'cpu_ms': _cpu_ms(),
            **self.leadership.gauges(),
            **self.rates.gauges(),
            **self.listener.costs.gauges(),
        }
        log_counters = self.node.counters()
        for name in log_counters.__slots__:
            gauges[f'log_{name}'] = getattr(log_counters, name)
        return gauges

    def _log_costs(self) -> None:
        """Logs the processor time since the start, by type of message."""
        LOG.info(
            'processor time',
            extra={'cpu_ms': _cpu_ms(), **self.listener.costs.gauges()},
        )

    def _dial(self, address: peers.Address) -> peers.Peer:
        return dialers.WebsocketPeer(
            address, self.settings.address, self.settings.secret
        )

    def _start_task(
        self, name: str, interval_ms: int, task: typing.Callable[[], None]
    ) -> None:
        threading.Thread(
            target=self._run_task,
            args=(name, interval_ms, task),
            name=name,
            daemon=True,
        ).start()

    def _run_task(
        self, name: str, interval_ms: int, task: typing.Callable[[], None]
    ) -> None:
        duty = duties.Duty(name, task, self._count_failure)
        while not self._stopping.is_set():
            duty.run_once()
            time.sleep(interval_ms / 1000)

    def _count_failure(self, duty: str) -> None:
        self.registry.count('duty_failures', 'duty', duty)


def _cpu_ms() -> int:
    """Returns the processor time of this process since its start."""
    return time.process_time_ns() // 1_000_000
