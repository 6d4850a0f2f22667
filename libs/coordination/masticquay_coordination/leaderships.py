"""The duties of the leader of the control group."""

import logging
import threading
import time

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import nodes
from masticquay_coordination import admissions
from masticquay_coordination import endpoint_limits
from masticquay_coordination import errors
from masticquay_coordination import host_messages
from masticquay_coordination import leader_terms
from masticquay_coordination import orders
from masticquay_coordination import owners
from masticquay_coordination import ports
from masticquay_coordination import request_watches
from masticquay_coordination import seekers
from masticquay_coordination import sessions
from masticquay_coordination import slot_services
from masticquay_coordination import table_machines
from masticquay_coordination import table_updates
from masticquay_coordination import version_stores
from masticquay_routing import cold_endpoints
from masticquay_routing import errors as routing_errors
from masticquay_routing import messages
from masticquay_routing import software_versions
from masticquay_routing import tables
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

# Interval at which the endpoint list is read.
LIST_INTERVAL_MS = 900
LIST_RETRY_MS = 300
TABLE_WAIT_S = 1.0
ANNOUNCE_POLL_MS = 5
ANNOUNCE_TIMEOUT_MS = 2_000
# Added to the lease under which an earlier leader sent orders to engines.
ORDER_LEASE_MARGIN_MS = 1_500


class Leadership:
    """Serves entry hosts and runs the leader's periodic tasks.

    :param order_lease_ms: the lease under which a leader sends orders; a new
        leader sends none until that of an earlier leader has expired
    """

    def __init__(
        self,
        node: nodes.Node,
        machine: table_machines.TableMachine,
        reader: tables.TableReader,
        lister: ports.EndpointLister,
        order_sender: orders.OrderSender,
        order_lease_ms: int,
        clock: clocks.Clock,
    ):
        self._node = node
        self._machine = machine
        self._reader = reader
        self._lister = lister
        self._order_sender = order_sender
        self._order_lease_ms = order_lease_ms
        self._clock = clock
        self._lock = threading.Lock()
        self._term: leader_terms.LeaderTerm | None = None
        self._table_lock = threading.Lock()
        self._view_lock = threading.Lock()
        self._list_lock = threading.RLock()
        self._table_changed = threading.Event()
        self._evacuations_changed = threading.Event()
        self._newest_table = table_updates.TableUpdates(machine)
        self._seekers = seekers.Seekers(
            self._newest_table,
            lambda: self._node.replica.state.has_caught_up,
            clock,
        )
        self._next_list_ms = 0
        self._list_read_failed = False
        self.list_requested = threading.Event()

    def register(self, listener: listeners.Listener) -> None:
        """Registers the handlers for messages of entry hosts."""
        host_messages.HostMessages(self).register(listener)

    def change_role(self, is_leader: bool, term: int) -> None:
        """Starts or ends a term as leader; called by the consensus node."""
        with self._lock:
            ended, self._term = self._term, None
            if is_leader:
                self._term = self._begin_term(term)
        if ended is not None:
            ended.end()
        if is_leader:
            # The delivery of the newest table begins with the term.
            self.notify_table_change()
            threading.Thread(
                target=self._announce_leadership, args=(term,), daemon=True
            ).start()
        LOG.info(
            'leadership started' if is_leader else 'leadership ended',
            extra={'term': term, 'table_version': self._machine.version},
        )
        self._next_list_ms = 0
        self.list_requested.set()

    def notify_table_change(self) -> None:
        """Wakes ``publish_new_table`` after the stored table changed."""
        self._table_changed.set()

    def publish_new_table(self) -> None:
        """Waits for a new table, applies it and sends it to the hosts.

        A replica that does not lead sends it to the hosts that look for the
        leader here. Of tables that come in quick succession, or that a replica
        applies from its log when it starts, only the newest is parsed and
        sent.
        """
        if not self._table_changed.wait(TABLE_WAIT_S):
            return
        self._table_changed.clear()
        term = self._term
        if term is not None:
            self._apply_newest_table(term)
            term.sessions.publish_table()
        self._seekers.publish_table()

    def wait_for_hosts(self, version: int, timeout_s: float) -> bool:
        """Waits until no host with a session lacks a version of the table.

        :returns: whether none does; false without a term as leader
        """
        term = self._term
        if term is None:
            return False
        return term.sessions.delivery.wait(version, timeout_s)

    def notify_evacuation(self) -> None:
        """Wakes ``publish_evacuations`` after the evacuated places changed."""
        self._evacuations_changed.set()

    def publish_evacuations(self) -> None:
        """Waits for a change of the evacuated places, applies and sends it.

        A replica that does not lead sends it to the hosts that look for the
        leader here.
        """
        if not self._evacuations_changed.wait(TABLE_WAIT_S):
            return
        self._evacuations_changed.clear()
        term = self._term
        if term is not None:
            self._publish_endpoints(term)
            term.sessions.publish_evacuations()
        self._seekers.publish_evacuations()

    def wait_for_evacuations(
        self, number: int, timeout_s: float
    ) -> list[str] | None:
        """Waits until no host with a session lacks a change of evacuations.

        :returns: the hosts that lack it; None if it was not sent to any, as
            there is no endpoint list yet, or no term as leader
        """
        term = self._term
        if term is None:
            return None
        delivery = term.sessions.evacuation_delivery
        if delivery.wait(number, timeout_s):
            return []
        return delivery.lacking() or None

    def expire_sessions(self) -> None:
        """Drops expired sessions, refuses overdue requests, lists hosts."""
        term = self._term
        if term is None:
            return
        for host in term.sessions.expire():
            term.release_host(host)
            with self._view_lock:
                term.fleet_view.drop_host(host)
        term.sessions.publish_hosts()
        term.admissions.expire()
        term.owner.place_waiting()
        term.slots.tick()

    def answer_slots(self) -> None:
        """Answers the hosts that wait for a slot and must hear by now."""
        term = self._term
        if term is not None:
            term.slots.answer_waiting()

    def refresh_endpoints(self) -> None:
        """Reads the endpoint list if it is due, and applies and sends it."""
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
            if not self._list_read_failed:
                LOG.warning(
                    'endpoint list could not be read',
                    extra={'cause': str(cause)},
                )
            self._list_read_failed = True
            self._next_list_ms = now_ms + LIST_RETRY_MS
            return
        if self._list_read_failed:
            LOG.info('endpoint list can be read again')
        self._list_read_failed = False
        self._apply_newest_table(term)
        if not version_stores.store_versions(
            self._node, self._machine, term, endpoints, now_ms
        ):
            self._next_list_ms = now_ms + LIST_RETRY_MS
            return
        with self._list_lock:
            term.listed = term.cold_starts.mark(
                endpoints, term.services, now_ms
            )
            term.leaving.apply_list(endpoints, now_ms)
        self._publish_endpoints(term)

    def _publish_endpoints(self, term: leader_terms.LeaderTerm) -> None:
        """Applies and sends the endpoint list with those known to leave.

        A new leader must have applied the evacuations that earlier ones
        stored: a list without them would let hosts use those endpoints again.
        """
        with self._list_lock:
            has_caught_up = term.has_caught_up or self._serves(term)
            if term.listed is None or not has_caught_up:
                return
            evacuated = self._machine.evacuations
            endpoints = evacuated.mark(term.leaving.mark(term.listed))
            with self._view_lock:
                term.fleet_view.set_endpoints(endpoints)
            stream_versions = self._possible_versions(term)
            # Hosts ask for permits as soon as they know of cold endpoints.
            term.limits.apply_list(endpoints)
            term.limits.set_cold(
                cold_endpoints.find_rates(endpoints, term.services)
            )
            term.sessions.publish_endpoints(
                endpoints, stream_versions, evacuated
            )
            term.slots.set_endpoints(endpoints)
            term.owner.set_endpoints(endpoints, stream_versions)
            term.admissions.begin()

    def add_leaving(
        self, renewal: messages.Renew, term: leader_terms.LeaderTerm
    ) -> None:
        """Tells all hosts of endpoints that told one host that they leave.

        An endpoint's word on itself is believed at once: an answer of another
        one at its address does not reach the host's report.
        """
        now_ms = self._clock.now_ms()
        with self._list_lock:
            started_ms_by_id = {
                e.endpoint_id: e.started_ms for e in term.listed or []
            }
            added = [
                report.endpoint_id
                for report in renewal.leaving
                if started_ms_by_id.get(report.endpoint_id)
                == report.started_ms
                and term.leaving.add(
                    report.endpoint_id,
                    report.started_ms,
                    now_ms - report.age_ms,
                )
            ]
        for endpoint_id in added:
            LOG.info(
                'endpoint says that it leaves',
                extra={'endpoint': endpoint_id, 'entry_host': renewal.host},
            )
        if added:
            self._publish_endpoints(term)

    def _possible_versions(
        self, term: leader_terms.LeaderTerm
    ) -> software_versions.Versions | None:
        if term.software_versions is None:
            return None
        return term.software_versions.possible(self._clock.now_ms())

    def log_pools(self) -> None:
        """Logs the state of the pools."""
        term = self._term
        if term is not None:
            term.owner.log_pools()

    def send_due_orders(self) -> None:
        """Sends due orders once those of an earlier leader have expired."""
        term = self._term
        if term is None or not self._may_send_orders(term):
            return
        for order in term.owner.plan_orders():
            if not self._order_sender.send(order, term.number):
                term.owner.cancel_order(order)

    def gauges(self) -> dict[str, float]:
        """Returns the gauges for the metrics."""
        term = self._term
        gauges = {'leads': float(term is not None)}
        if term is not None:
            gauges['hosts_in_touch'] = len(term.sessions.host_names)
            gauges['hosts_without_path'] = term.sessions.hosts_without_path
            gauges.update(term.owner.gauges())
            gauges.update(term.limits.gauges())
            gauges['cold_endpoints'] = term.limits.cold_count
            gauges.update(term.requests.gauges())
            gauges.update(term.slots.gauges())
        return gauges

    def _begin_term(self, number: int) -> leader_terms.LeaderTerm:
        first = self._node.replica.has_no_commands()
        limits = endpoint_limits.EndpointLimits(self._clock)
        owner = owners.Owner(number, self._clock, first, limits)
        term = leader_terms.LeaderTerm(
            number,
            owner,
            admissions.Admissions(owner, self._clock),
            sessions.Sessions(number, self._newest_table, self._clock),
            limits,
            request_watches.RequestWatch(self._clock),
            slot_services.SlotServices(self._clock),
            self._clock.now_ms(),
            first,
        )
        self._apply_newest_table(term)
        return term

    def _apply_newest_table(self, term: leader_terms.LeaderTerm) -> None:
        """Applies the newest table unless it was applied before."""
        with self._table_lock:
            stored = self._machine.stored
            if stored is None or stored.version <= term.table_version:
                return
            try:
                table = self._reader.read(stored.decompress())
                term.owner.set_table(table)
                term.services = table.services
            except routing_errors.TableError:
                LOG.exception('stored table is invalid')
            term.table_version = stored.version

    def _may_send_orders(self, term: leader_terms.LeaderTerm) -> bool:
        if term.first:
            return True
        age_ms = self._clock.now_ms() - term.started_ms
        return age_ms >= self._order_lease_ms + ORDER_LEASE_MARGIN_MS

    def _announce_leadership(self, number: int) -> None:
        """Notifies hosts that look for a leader once this one can serve."""
        deadline_ms = self._clock.now_ms() + ANNOUNCE_TIMEOUT_MS
        while not self._can_serve():
            if self._clock.now_ms() > deadline_ms:
                return
            time.sleep(ANNOUNCE_POLL_MS / 1000)
        term = self._term
        if term is not None:
            self._publish_endpoints(term)
        self._seekers.announce(messages.LeaderChanged(number))

    def _can_serve(self) -> bool:
        try:
            self.require_serving_term()
        except wire_errors.RemoteError:
            return False
        return True

    @property
    def term(self) -> leader_terms.LeaderTerm | None:
        """The present term as leader, None while another replica leads."""
        return self._term

    def require_serving_term(self) -> leader_terms.LeaderTerm:
        """Returns the present term once it can serve.

        :raises RemoteError: with the leader's address, if another one leads
        """
        term = self._term
        if term is not None and self._serves(term):
            return term
        leader = self._node.leader()
        raise wire_errors.RemoteError(
            messages.CODE_NOT_LEADER, leader.address if leader else ''
        )

    def _serves(self, term: leader_terms.LeaderTerm) -> bool:
        """Whether this leader has its lease and what earlier leaders stored.

        Entries of its own term that it has yet to apply change nothing for
        hosts: they get the table once it is applied.
        """
        try:
            index = self._node.replica.read_barrier()
        except consensus_errors.NotLeaderError:
            return False
        if not term.has_caught_up:
            if self._node.replica.state.applied_index < index:
                return False
            # Without its limits, any request would be within them.
            self._apply_newest_table(term)
            term.has_caught_up = True
        return True

    def add_seeker(
        self, renewal: messages.Renew, link: peers.Connection
    ) -> None:
        """Records a host that looks for the leader, and sends it the table.

        It is notified when this replica can serve.
        """
        self._seekers.add(renewal, link)

    def members(self) -> list[str]:
        """Returns the addresses of the control replicas."""
        return [m.member.address for m in self._node.status().members]

    def exchange_endpoint_views(
        self, term: leader_terms.LeaderTerm, renewal: messages.Renew
    ) -> list[messages.EndpointView]:
        """Records what a host saw of endpoints; returns what all hosts did."""
        now_ms = self._clock.now_ms()
        with self._view_lock:
            ejected = term.fleet_view.record(
                renewal.host, renewal.endpoint_reports, now_ms
            )
            views = term.fleet_view.views(now_ms)
        for endpoint_id in ejected:
            LOG.warning(
                'endpoint takes no connections of several hosts',
                extra={'endpoint': endpoint_id, 'entry_host': renewal.host},
            )
        return views
