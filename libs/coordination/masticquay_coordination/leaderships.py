"""What a replica does while it leads."""

import contextlib
import logging
import threading
import time
import typing

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import nodes
from masticquay_coordination import errors
from masticquay_coordination import orders
from masticquay_coordination import owners
from masticquay_coordination import ports
from masticquay_coordination import sessions
from masticquay_coordination import table_machines
from masticquay_routing import errors as routing_errors
from masticquay_routing import messages
from masticquay_routing import tables
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

LIST_INTERVAL_MS = 900
LIST_RETRY_MS = 300
PUBLICATION_WAIT_S = 1.0
ANNOUNCE_POLL_MS = 5
ANNOUNCE_LIMIT_MS = 2_000
# Beyond the lease of a holder of engine orders.
ORDER_MARGIN_MS = 1_500


class Term:
    """The parts of one leadership.

    :param table_version: of the table that the owner has taken up
    """

    __slots__ = (
        'number',
        'owner',
        'sessions',
        'since_ms',
        'first',
        'table_version',
    )

    def __init__(
        self,
        number: int,
        owner: owners.Owner,
        host_sessions: sessions.Sessions,
        since_ms: int,
        first: bool,
    ):
        self.number = number
        self.owner = owner
        self.sessions = host_sessions
        self.since_ms = since_ms
        self.first = first
        self.table_version = -1


class Leadership:
    """Serves entry hosts and runs the leader's duties.

    :param order_lease_ms: a new leader gives no order for that long, so
        that orders of an earlier one are over
    """

    def __init__(
        self,
        node: nodes.Node,
        machine: table_machines.TableMachine,
        reader: tables.TableReader,
        lister: ports.EndpointLister,
        order_giver: orders.OrderGiver,
        order_lease_ms: int,
        clock: clocks.Clock,
    ):
        self._node = node
        self._machine = machine
        self._reader = reader
        self._lister = lister
        self._orders = order_giver
        self._order_lease_ms = order_lease_ms
        self._clock = clock
        self._lock = threading.Lock()
        self._term: Term | None = None
        self._load_lock = threading.Lock()
        self._table_changed = threading.Event()
        self._searchers: dict[str, peers.Connection] = {}
        self._next_list_ms = 0
        self._list_failed = False
        self.list_wake = threading.Event()

    def register(self, listener: listeners.Listener) -> None:
        """Serves the messages of entry hosts."""
        listener.handle(messages.Renew, self._renew)
        listener.handle(messages.Admit, self._admit)
        listener.handle(messages.PrefillDone, self._finish_prefill)
        listener.handle(messages.Decoding, self._begin_decode)
        listener.handle(messages.Finished, self._finish)
        listener.handle(messages.EndpointTrouble, self._note_trouble)

    def change_role(self, leads: bool, term: int) -> None:
        """Begins or ends a leadership; a hook of the log."""
        with self._lock:
            ended, self._term = self._term, None
            if leads:
                self._term = self._begin(term)
        if ended is not None:
            ended.owner.fail_all()
            ended.sessions.end()
        if leads:
            threading.Thread(
                target=self._announce, args=(term,), daemon=True
            ).start()
        LOG.info(
            'leadership begins' if leads else 'leadership ends',
            extra={'term': term, 'table_version': self._machine.version},
        )
        self._next_list_ms = 0
        self.list_wake.set()

    def note_table(self) -> None:
        """Notes that a table was committed; a hook of the state machine."""
        self._table_changed.set()

    def run_publication(self) -> None:
        """Waits for a new table, takes it up and sends it to the hosts.

        A replica that starts applies many tables at once; only the newest
        is worth reading.
        """
        if not self._table_changed.wait(PUBLICATION_WAIT_S):
            return
        self._table_changed.clear()
        term = self._term
        if term is not None:
            self._load_table(term)
            term.sessions.publish_table()

    def run_tick(self) -> None:
        """Refuses what waited too long and drops silent hosts."""
        term = self._term
        if term is None:
            return
        for host in term.sessions.expire():
            term.owner.release_host(host)
        term.owner.pump()

    def run_list(self) -> None:
        """Reads the endpoint list when it is due."""
        term = self._term
        now_ms = self._clock.now_ms()
        if term is None or now_ms < self._next_list_ms:
            return
        if self._machine.stored is None or not self._node.is_leader():
            return
        self._next_list_ms = now_ms + LIST_INTERVAL_MS
        try:
            endpoints = self._lister.read()
        except errors.ListError as cause:
            if not self._list_failed:
                LOG.warning('endpoint list lost', extra={'cause': str(cause)})
            self._list_failed = True
            self._next_list_ms = now_ms + LIST_RETRY_MS
            return
        if self._list_failed:
            LOG.info('endpoint list regained')
        self._list_failed = False
        self._load_table(term)
        term.sessions.publish_endpoints(endpoints)
        term.owner.set_endpoints(endpoints)

    def run_report(self) -> None:
        """Logs the state of the pools."""
        term = self._term
        if term is not None:
            term.owner.log_pools()

    def run_orders(self) -> None:
        """Gives the orders that are due."""
        term = self._term
        if term is None or not self._may_order(term):
            return
        for order in term.owner.plan_orders():
            if not self._orders.give(order, term.number):
                term.owner.cancel_order(order)

    def gauges(self) -> dict[str, float]:
        """Returns figures for the metrics page."""
        term = self._term
        figures = {'leads': float(term is not None)}
        if term is not None:
            figures['hosts_in_touch'] = len(term.sessions.host_names)
            figures.update(term.owner.gauges())
        return figures

    def _begin(self, number: int) -> Term:
        first = self._node.replica.is_blank()
        term = Term(
            number,
            owners.Owner(number, self._clock, first),
            sessions.Sessions(number, self._machine, self._clock),
            self._clock.now_ms(),
            first,
        )
        self._load_table(term)
        return term

    def _load_table(self, term: Term) -> None:
        """Takes up the newest table unless that was done."""
        with self._load_lock:
            stored = self._machine.stored
            if stored is None or stored.version <= term.table_version:
                return
            try:
                term.owner.set_table(self._reader.read(stored.text()))
            except routing_errors.TableError:
                LOG.exception('a stored table is not readable')
            term.table_version = stored.version

    def _may_order(self, term: Term) -> bool:
        if term.first:
            return True
        age_ms = self._clock.now_ms() - term.since_ms
        return age_ms >= self._order_lease_ms + ORDER_MARGIN_MS

    def _announce(self, number: int) -> None:
        """Tells the hosts that look for a leader once this one serves."""
        limit_ms = self._clock.now_ms() + ANNOUNCE_LIMIT_MS
        while not self._serves():
            if self._clock.now_ms() > limit_ms:
                return
            time.sleep(ANNOUNCE_POLL_MS / 1000)
        with self._lock:
            links = list(self._searchers.values())
            self._searchers.clear()
        for link in links:
            with contextlib.suppress(wire_errors.WireError):
                link.notify(messages.LeaderChanged(number))

    def _serves(self) -> bool:
        try:
            self._current()
        except wire_errors.RemoteError:
            return False
        return True

    def _current(self) -> Term:
        term = self._term
        if term is not None:
            try:
                # Waits for nothing: a new leader serves once it has applied
                # what earlier leaders committed.
                index = self._node.replica.read_barrier()
                if self._node.replica.state.applied_index >= index:
                    return term
            except consensus_errors.NotLeaderError:
                pass
        leader = self._node.leader()
        raise wire_errors.RemoteError(
            messages.CODE_NOT_LEADER, leader.address if leader else ''
        )

    def _renew(
        self, renewal: messages.Renew, link: peers.Connection
    ) -> messages.Renewed:
        try:
            term = self._current()
        except wire_errors.RemoteError:
            with self._lock:
                self._searchers[renewal.host] = link
            raise
        if term.sessions.renew(renewal, link):
            term.owner.release_host(renewal.host)
        if renewal.running:
            term.owner.adopt(renewal.host, renewal.running)
        exhausted = term.owner.charge(renewal.usage)
        members = self._node.status().members
        controls = [member.member.address for member in members]
        return messages.Renewed(term.number, controls, exhausted)

    def _admit(
        self, request: messages.Admit, link: peers.Connection
    ) -> wire_messages.Message | typing.Any:
        return self._current().owner.admit(request)

    def _finish_prefill(
        self, done: messages.PrefillDone, link: peers.Connection
    ) -> None:
        if self._term is not None:
            self._term.owner.finish_prefill(done)

    def _begin_decode(
        self, begun: messages.Decoding, link: peers.Connection
    ) -> None:
        if self._term is not None:
            self._term.owner.begin_decode(begun)

    def _finish(
        self, finished: messages.Finished, link: peers.Connection
    ) -> None:
        if self._term is not None:
            self._term.owner.finish(finished)

    def _note_trouble(
        self, trouble: messages.EndpointTrouble, link: peers.Connection
    ) -> None:
        if self._term is None:
            return
        LOG.warning(
            'endpoint trouble',
            extra={
                'endpoint': trouble.endpoint_id,
                'entry_host': trouble.host,
                'reason': trouble.reason,
            },
        )
        self._term.owner.note_trouble(trouble)
