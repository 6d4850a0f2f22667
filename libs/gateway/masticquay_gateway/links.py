"""The link of an entry host to the control leader."""

from concurrent import futures
import contextlib
import logging
import random
import threading
import time
import typing

from masticquay_gateway import fleet_states
from masticquay_gateway import host_reports
from masticquay_gateway import leader_hints
from masticquay_gateway import renewal_makers
from masticquay_routing import endpoint_changes
from masticquay_routing import messages
from masticquay_routing import renewals
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

# Without an answer for this long, the host looks for another leader.
RENEW_TIMEOUT_MS = 400
# A late answer counts for this long, and the link stays open: to open another
# one costs a busy leader more than to answer. After it the link counts as
# dead.
LATE_RENEWAL_TIMEOUT_MS = 1_200
SEARCH_INTERVAL_MS = 100
# A search that takes longer repeats less often: the next leader notifies the
# hosts that asked it, and many hosts that search would keep replicas busy.
LONG_SEARCH_INTERVAL_MS = 250
QUICK_SEARCH_ROUNDS = 5
# A search starts with this many replicas that respond, and asks another one
# after each further number of rounds. A new link costs a replica more than a
# renewal, and all hosts search at once while the replicas elect a leader.
SEARCH_FANOUT = 2
ROUNDS_PER_FURTHER_REPLICA = 3
MAX_REPLICAS = 16


class _PendingRenewal:
    """A renewal that has no answer yet.

    :param usage_number: the number of the usage in it, 0 for none
    """

    __slots__ = ('answer', 'usage_number')

    def __init__(self, answer: futures.Future, usage_number: int):
        self.answer = answer
        self.usage_number = usage_number


class ControlLink:
    """Finds the leader, renews this host's session and receives updates.

    :param seeds: returns link addresses of control replicas to contact first
    :param state: updated with what the leader sends
    :param report: the source of the contents of renewals
    """

    def __init__(
        self,
        identity: host_reports.Identity,
        secret: bytes,
        seeds: typing.Callable[[], list[str]],
        state: fleet_states.FleetState,
        report: host_reports.HostReport,
    ):
        self._identity = identity
        self._renewals = renewal_makers.RenewalMaker(identity, state, report)
        self._secret = secret
        self._seeds = seeds
        self._state = state
        self._report = report
        self._peers: dict[str, dialers.WebsocketPeer] = {}
        self._replica_addresses: list[str] = []
        self._pending_renewals: dict[str, _PendingRenewal] = {}
        self._leader: str | None = None
        self._term = 0
        self._must_report_streams = True
        self._search_rounds = 0
        self._search_order: list[str] = []
        self._responding: set[str] = set()
        self._named_leader = ''
        self._renewed_s = float('-inf')
        self._lost_s = time.monotonic()
        self._renew_interval_ms = renewals.MIN_INTERVAL_MS
        self._leader_found = threading.Event()
        self._wake = threading.Event()
        self._closed = False

    @property
    def is_leader_reachable(self) -> bool:
        """Whether a renewal has succeeded recently."""
        timeout_ms = renewals.leader_timeout_ms(self._renew_interval_ms)
        return self.since_renewal_ms < timeout_ms

    @property
    def since_renewal_ms(self) -> float:
        """Time since the last successful renewal, infinite before it."""
        return (time.monotonic() - self._renewed_s) * 1000

    @property
    def leader_lost_ms(self) -> int:
        """When the leader was lost, or this host started, in monotonic ms."""
        return int(self._lost_s * 1000)

    @property
    def responding_replicas(self) -> list[str]:
        """Addresses of the replicas that answered since the leader's loss."""
        return list(self._responding)

    def wait_for_leader(self, timeout_ms: int) -> bool:
        """Waits until a leader is known that has answered a renewal.

        :returns: whether there is one
        """
        return self._leader_found.wait(timeout_ms / 1000)

    def start(self) -> None:
        """Starts the thread that finds the leader and renews."""
        threading.Thread(target=self._run, name='control', daemon=True).start()

    def close(self) -> None:
        """Ends the thread and closes the connections to all replicas."""
        self._closed = True
        self._wake.set()
        for address in list(self._peers):
            self._close_peer(address)

    def renew_now(self) -> None:
        """Triggers a renewal at once, after a change of this host's state."""
        self._wake.set()

    def submit(
        self, message: wire_messages.Message, timeout_ms: int
    ) -> futures.Future:
        """Sends a request to the leader without waiting for the response.

        :returns: a future for the response, already failed if no leader is
            known
        """
        leader = self._leader
        if leader is None:
            failed: futures.Future = futures.Future()
            failed.set_exception(wire_errors.PeerUnavailableError('no leader'))
            return failed
        return self._peer(leader).submit(message, timeout_ms)

    def submit_to(
        self, address: str, message: wire_messages.Message, timeout_ms: int
    ) -> futures.Future:
        """Sends a request to a replica that need not be the leader."""
        return self._peer(address).submit(message, timeout_ms)

    def notify(self, message: wire_messages.Message) -> None:
        """Sends a notice, which is a message without response, to the leader.

        It is lost if no leader is known or the connection fails. Each renewal
        says which requests have not ended, and the first one over a new link
        repeats what else the leader must know.
        """
        leader = self._leader
        if leader is None:
            return
        with contextlib.suppress(wire_errors.WireError):
            self._peer(leader).notify(message)

    def _run(self) -> None:
        while not self._closed:
            try:
                if self._leader is None:
                    self._search()
                else:
                    self._renew(self._leader)
            except Exception:
                LOG.exception('unexpected error in the renewal loop')
            self._wake.wait(self._pause_ms() / 1000)
            self._wake.clear()

    def _pause_ms(self) -> int:
        """Returns the time until the next renewal or round of a search."""
        if self._leader is not None:
            return self._renew_interval_ms
        if self._search_rounds > QUICK_SEARCH_ROUNDS:
            return LONG_SEARCH_INTERVAL_MS
        return SEARCH_INTERVAL_MS

    def _begin_search(self) -> None:
        self._lost_s = time.monotonic()
        self._leader_found.clear()
        # Notices that were sent to the leader meanwhile may be lost.
        self._must_report_streams = True
        self._state.report_leaving_again()
        self._search_rounds = 0
        self._search_order = []
        self._responding.clear()
        self._named_leader = ''

    def _search(self) -> None:
        """Sends a renewal to some replicas to find the leader.

        Each names the leader once it knows it. A replica that does not
        respond does not delay the search: its renewal stays pending while
        another one is asked in its place.
        """
        self._search_rounds += 1
        for address, pending in list(self._pending_renewals.items()):
            if pending.answer.done():
                del self._pending_renewals[address]
                self._handle_search_response(address, pending)
        if self._leader is not None:
            self._pending_renewals.clear()
            return
        for address in self._addresses_to_ask():
            pending = self._send_renewal(address)
            self._await_search_response(address, pending)

    def _send_renewal(self, address: str) -> _PendingRenewal:
        renew = self._renewals.make(self._term, self._leader is None, [])
        answer = self._peer(address).submit(renew, LATE_RENEWAL_TIMEOUT_MS)
        return _PendingRenewal(answer, renew.usage_number)

    def _await_search_response(
        self, address: str, pending: _PendingRenewal
    ) -> None:
        self._pending_renewals[address] = pending
        pending.answer.add_done_callback(self._on_search_response)

    def _addresses_to_ask(self) -> list[str]:
        """Returns the replicas that get a renewal in this round."""
        known = self._candidate_addresses()
        new = [a for a in known if a not in self._search_order]
        random.shuffle(new)
        self._search_order += new
        wanted = SEARCH_FANOUT
        wanted += self._search_rounds // ROUNDS_PER_FURTHER_REPLICA
        asked = [a for a in self._search_order if a in self._responding]
        if self._named_leader:
            asked.insert(0, self._named_leader)
        others = [
            a
            for a in self._search_order
            if a not in asked and a not in self._pending_renewals
        ]
        asked += others[: max(0, wanted - len(asked))]
        return [
            a for a in dict.fromkeys(asked) if a not in self._pending_renewals
        ]

    def _candidate_addresses(self) -> list[str]:
        known = dict.fromkeys([*self._replica_addresses, *self._seeds()])
        return list(known)[:MAX_REPLICAS]

    def _on_search_response(self, answer: futures.Future) -> None:
        """Wakes the search if the leader or a newly named leader is found.

        Otherwise the search continues after ``SEARCH_INTERVAL_MS``.
        """
        error = answer.exception()
        if error is None or leader_hints.find_leader(error) not in (
            '',
            *self._replica_addresses,
        ):
            self._wake.set()

    def _handle_search_response(
        self, address: str, pending: _PendingRenewal
    ) -> None:
        error = pending.answer.exception()
        if error is not None:
            self._responding.discard(address)
            if isinstance(error, wire_errors.RemoteError):
                self._responding.add(address)
            elif isinstance(error, wire_errors.CallTimeoutError):
                self._close_silent_peer(address)
            if address == self._named_leader:
                self._named_leader = ''
            self._remember_leader(error)
        elif self._leader is None:
            self._leader = address
            self._report.confirm_usage(pending.usage_number)
            self._handle_renewed(pending.answer.result())

    def _remember_leader(self, error: BaseException) -> None:
        address = leader_hints.find_leader(error)
        if not address:
            return
        self._named_leader = address
        if address not in self._replica_addresses:
            self._replica_addresses.append(address)

    def _renew(self, leader: str) -> None:
        pending = self._send_renewal(leader)
        try:
            renewed = pending.answer.result(RENEW_TIMEOUT_MS / 1000)
        except futures.TimeoutError:
            self._lose_leader(leader, 'no answer within the timeout')
            self._await_search_response(leader, pending)
            return
        except wire_errors.WireError as cause:
            self._lose_leader(leader, str(cause))
            if isinstance(cause, wire_errors.RemoteError):
                self._remember_leader(cause)
            else:
                self._close_peer(leader)
            return
        self._report.confirm_usage(pending.usage_number)
        self._handle_renewed(renewed)

    def _lose_leader(self, leader: str, cause: str) -> None:
        """Begins to look for a leader."""
        LOG.warning(
            'control leader lost',
            extra={
                'leader': leader,
                'term': self._term,
                'cause': cause,
                'table_version': self._state.table_version,
            },
        )
        self._leader = None
        self._begin_search()
        self._wake.set()

    def _handle_renewed(self, renewed: messages.Renewed) -> None:
        self._renewed_s = time.monotonic()
        self._renew_interval_ms = renewed.renew_interval_ms
        self._leader_found.set()
        self._replica_addresses = renewed.controls[:MAX_REPLICAS]
        self._report.set_exhausted(renewed.exhausted)
        self._report.apply_endpoint_views(renewed.endpoint_views)
        self._report.apply_limits(renewed.limits)
        self._report.apply_scarce(renewed.scarce_services)
        self._report.apply_suspects(renewed.suspects)
        self._report.keep_origins(renewed.origins)
        if renewed.term == self._term and not self._must_report_streams:
            self._report.set_quarantined_prompts(renewed.quarantined)
            return
        # A new leader gets to know what hosts refuse before it replaces it.
        self._must_report_streams = False
        self._term = renewed.term
        LOG.info(
            'control leader found',
            extra={
                'leader': self._leader,
                'term': renewed.term,
                'search_rounds': self._search_rounds,
                'table_version': self._state.table_version,
            },
        )
        running = self._report.running_requests()
        origins = self._report.recent_origins()
        quarantined = self._report.quarantined_prompts()
        if (running or origins or quarantined) and self._leader:
            self._peer(self._leader).submit(
                self._renewals.make(
                    self._term, False, running, origins, quarantined
                ),
                RENEW_TIMEOUT_MS,
            )
        for report in self._report.recent_ends():
            self.notify(report)

    def _peer(self, address: str) -> dialers.WebsocketPeer:
        peer = self._peers.get(address)
        if peer is None:
            peer = dialers.WebsocketPeer(
                peers.Address.parse(address),
                self._identity.name,
                self._secret,
                on_notice=lambda notice: self._handle_notice(address, notice),
                on_connect=lambda: self._handle_new_link(address),
            )
            self._peers[address] = peer
        return peer

    def _close_peer(self, address: str) -> None:
        """Closes a connection in a thread, as closing a dead one may block."""
        peer = self._peers.pop(address, None)
        if peer is not None:
            threading.Thread(target=peer.close, daemon=True).start()

    def _close_silent_peer(self, address: str) -> None:
        """Closes an open link on which no answer came.

        A link that is being opened is not begun anew.
        """
        peer = self._peers.get(address)
        if peer is not None and peer.connected:
            self._close_peer(address)

    def _handle_new_link(self, address: str) -> None:
        """Has the leader told again what was lost with the earlier link."""
        if address == self._leader:
            self._must_report_streams = True
            self._state.report_leaving_again()

    def _handle_notice(
        self, address: str, message: wire_messages.Message
    ) -> None:
        if isinstance(message, messages.TableUpdate):
            is_first = self._state.table is None
            if self._state.apply_table(message, address) and is_first:
                self._wake.set()
        elif isinstance(message, endpoint_changes.EndpointMessage):
            number = self._state.evacuations_number
            self._state.apply_endpoint_message(message)
            if self._state.evacuations_number != number:
                # Operators' orders wait until hosts confirm them.
                self._wake.set()
        elif isinstance(message, messages.HostUpdate):
            self._state.apply_hosts(message)
        elif isinstance(message, messages.LeaderChanged):
            self._wake.set()
