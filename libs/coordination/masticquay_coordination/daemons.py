"""The control daemon: owns all parts of one replica and runs them."""

import contextlib
import logging
import os
import random
import threading
import time
import typing

from masticquay_consensus import nodes
from masticquay_consensus import settings as consensus_settings
from masticquay_coordination import groups
from masticquay_coordination import leaderships
from masticquay_coordination import orders
from masticquay_coordination import ports
from masticquay_coordination import table_machines
from masticquay_coordination import tables
from masticquay_routing import tables as routing_tables
from masticquay_serving import clocks
from masticquay_serving import counters
from masticquay_wire import dialers
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

TICK_MS = 100
LIST_TICK_MS = 100
ORDER_TICK_MS = 300
REPORT_INTERVAL_MS = 1_000
MEMBERSHIP_TICK_MS = 500
HAND_OVER_MS = 400
HAND_OVER_POLL_MS = 10


class Settings:
    """What a control replica is told at its start.

    :param address: ``ip:port`` for links of other processes
    :param founders: link addresses of the first voters; empty unless the
        whole system starts for the first time
    :param seeds: link addresses at which the group may be found
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

    :param reader: turns operators' documents into tables
    :param lister: reads the platform's endpoint list
    :param engine_orders: gives orders to engines
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
        giver = orders.OrderGiver(self.node, settings.name, engine_orders)
        self.leadership = leaderships.Leadership(
            self.node,
            self.machine,
            reader,
            lister,
            giver,
            settings.order_lease_ms,
            self._clock,
        )
        self.node.on_role_change(self.leadership.change_role)
        self.machine.on_change = self.leadership.note_table
        self.membership = groups.Membership(self.node, self._dial)
        self.joiner = groups.Joiner(
            self.node,
            settings.address,
            settings.address,
            lambda: self.settings.seeds,
            self._dial,
        )
        self.registry = counters.Registry()
        self.registry.gauges(self._gauges)
        self.tables = tables.TableService(self.node, self.machine, reader)

    def start(self) -> None:
        """Opens the log and serves.

        :raises ConsensusError: when the stored data cannot be used
        :raises OSError: when the address cannot be bound
        """
        with contextlib.ExitStack() as stack:
            self.leadership.register(self.listener)
            self.listener.handle(
                groups.messages.JoinGroup, self.membership.handle_join
            )
            self.node.start()
            stack.callback(self.node.close)
            self.listener.start()
            stack.callback(self.listener.close)
            self._start_duty('ticks', TICK_MS, self.leadership.run_tick)
            self._start_duty('tables', 0, self.leadership.run_publication)
            self._start_duty('list', LIST_TICK_MS, self.leadership.run_list)
            self._start_duty(
                'report', REPORT_INTERVAL_MS, self.leadership.run_report
            )
            self._start_duty(
                'orders', ORDER_TICK_MS, self.leadership.run_orders
            )
            self._start_duty(
                'membership', MEMBERSHIP_TICK_MS, self.membership.run_once
            )
            self._start_duty(
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
        """Lets another replica lead, before this one stops.

        Returns once the next leader is known here, so that hosts are told
        of it, or after ``HAND_OVER_MS``.
        """
        if not self.node.hand_over():
            return
        limit_ms = self._clock.now_ms() + HAND_OVER_MS
        while self.node.leader() is None and self._clock.now_ms() < limit_ms:
            time.sleep(HAND_OVER_POLL_MS / 1000)

    def close(self) -> None:
        """Stops serving and closes the log."""
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

    def _gauges(self) -> dict[str, float]:
        """Returns figures of the log and of the leadership."""
        status = self.node.status()
        figures = {
            'log_term': status.term,
            'log_commit_index': status.commit_index,
            'log_members': len(status.members),
            'table_version': self.machine.version,
            **self.leadership.gauges(),
        }
        counted = self.node.counters()
        for name in counted.__slots__:
            figures[f'log_{name}'] = getattr(counted, name)
        return figures

    def _dial(self, address: peers.Address) -> peers.Peer:
        return dialers.WebsocketPeer(
            address, self.settings.address, self.settings.secret
        )

    def _start_duty(
        self, name: str, interval_ms: int, duty: typing.Callable[[], None]
    ) -> None:
        threading.Thread(
            target=self._run_duty,
            args=(name, interval_ms, duty),
            name=name,
            daemon=True,
        ).start()

    def _run_duty(
        self, name: str, interval_ms: int, duty: typing.Callable[[], None]
    ) -> None:
        while not self._stopping.is_set():
            try:
                duty()
            except Exception:
                LOG.exception('a duty failed', extra={'duty': name})
            time.sleep(interval_ms / 1000)
