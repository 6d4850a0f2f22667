"""The link of an entry host to the leader of control."""

from concurrent import futures
import contextlib
import logging
import threading
import time
import typing

from masticquay_gateway import fleet_states
from masticquay_routing import messages
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

RENEW_INTERVAL_MS = 400
RENEW_TIMEOUT_MS = 400
SEARCH_PAUSE_MS = 100
# Without a renewal for this long decisions are taken here.
TOUCH_LIMIT_MS = 850
MAX_CONTROLS = 16


class Identity:
    """Who this host is.

    :param address: ``ip:port`` for callers
    :param incarnation: differs after each start
    """

    __slots__ = ('name', 'address', 'place', 'incarnation')

    def __init__(self, name: str, address: str, place: str, incarnation: int):
        self.name = name
        self.address = address
        self.place = place
        self.incarnation = incarnation


class HostReport(typing.Protocol):
    """What a renewal says of this host."""

    def is_ready(self) -> bool:
        """Whether callers may use this host."""

    def take_usage(self) -> dict[str, float]:
        """Returns what ran since the last call, by workspace."""

    def running(self) -> list[messages.Running]:
        """Returns the placed requests that run here."""

    def note_exhausted(self, exhausted: dict[str, int]) -> None:
        """Takes up which workspaces are over their rate."""


class ControlLink:
    """Finds the leader, renews this host's session, receives updates.

    :param seeds: returns link addresses at which control may be found
    """

    def __init__(
        self,
        identity: Identity,
        secret: bytes,
        seeds: typing.Callable[[], list[str]],
        state: fleet_states.FleetState,
        report: HostReport,
    ):
        self._identity = identity
        self._secret = secret
        self._seeds = seeds
        self._state = state
        self._report = report
        self._peers: dict[str, dialers.WebsocketPeer] = {}
        self._controls: list[str] = []
        self._asked: dict[str, futures.Future] = {}
        self._leader: str | None = None
        self._term = 0
        self._renewed_s = float('-inf')
        self._wake = threading.Event()
        self._closed = False

    @property
    def in_touch(self) -> bool:
        """Whether the leader answered a short while ago."""
        return self.silence_ms < TOUCH_LIMIT_MS

    @property
    def silence_ms(self) -> float:
        """For how long no renewal was answered."""
        return (time.monotonic() - self._renewed_s) * 1000

    def start(self) -> None:
        """Renews in a thread of its own."""
        threading.Thread(target=self._run, name='control', daemon=True).start()

    def close(self) -> None:
        """Ends the thread and the links."""
        self._closed = True
        self._wake.set()
        for address in list(self._peers):
            self._drop(address)

    def renew_now(self) -> None:
        """Renews at once, since something changed here."""
        self._wake.set()

    def submit(
        self, message: wire_messages.Message, timeout_ms: int
    ) -> futures.Future:
        """Sends a call to the leader; fails at once when there is none."""
        leader = self._leader
        if leader is None:
            failed: futures.Future = futures.Future()
            failed.set_exception(wire_errors.PeerUnavailableError('no leader'))
            return failed
        return self._peer(leader).submit(message, timeout_ms)

    def notify(self, message: wire_messages.Message) -> None:
        """Tells the leader something; lost when there is none.

        What is lost is made good by the list of running requests that the
        next leader gets, or by the end of this host's session.
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
                LOG.exception('renewal failed')
            pause_ms = RENEW_INTERVAL_MS
            if self._leader is None:
                pause_ms = SEARCH_PAUSE_MS
            self._wake.wait(pause_ms / 1000)
            self._wake.clear()

    def _search(self) -> None:
        """Asks every known replica; one of them may lead.

        A replica that does not answer holds up no other: its call goes on
        while the others are asked again.
        """
        for address, asked in list(self._asked.items()):
            if asked.done():
                del self._asked[address]
                self._take_search_answer(address, asked)
        if self._leader is not None:
            self._asked.clear()
            return
        for address in self._candidates():
            if address in self._asked:
                continue
            asked = self._peer(address).submit(
                self._make_renewal([]), RENEW_TIMEOUT_MS
            )
            self._asked[address] = asked
            asked.add_done_callback(self._note_search_answer)

    def _candidates(self) -> list[str]:
        known = dict.fromkeys([*self._controls, *self._seeds()])
        return list(known)[:MAX_CONTROLS]

    def _note_search_answer(self, asked: futures.Future) -> None:
        """Goes on at once after an answer that says something new."""
        error = asked.exception()
        if error is None or _named_leader(error) not in ('', *self._controls):
            self._wake.set()

    def _take_search_answer(self, address: str, asked: futures.Future) -> None:
        error = asked.exception()
        if error is not None:
            self._note_other_leader(error)
        elif self._leader is None:
            self._leader = address
            self._take_renewed(asked.result())

    def _note_other_leader(self, error: BaseException) -> None:
        address = _named_leader(error)
        if address and address not in self._controls:
            self._controls.append(address)

    def _renew(self, leader: str) -> None:
        renewal = self._make_renewal([])
        try:
            answer = self._peer(leader).call(renewal, RENEW_TIMEOUT_MS)
        except wire_errors.WireError as cause:
            LOG.warning(
                'control leader lost',
                extra={
                    'leader': leader,
                    'term': self._term,
                    'cause': str(cause),
                },
            )
            self._leader = None
            if isinstance(cause, wire_errors.RemoteError):
                self._note_other_leader(cause)
            else:
                self._drop(leader)
            self._wake.set()
            return
        self._take_renewed(answer)

    def _take_renewed(self, answer: messages.Renewed) -> None:
        self._renewed_s = time.monotonic()
        self._controls = answer.controls[:MAX_CONTROLS]
        self._report.note_exhausted(answer.exhausted)
        if answer.term == self._term:
            return
        self._term = answer.term
        LOG.info(
            'control leader found',
            extra={'leader': self._leader, 'term': answer.term},
        )
        running = self._report.running()
        if running and self._leader:
            self._peer(self._leader).submit(
                self._make_renewal(running), RENEW_TIMEOUT_MS
            )

    def _make_renewal(self, running: list[messages.Running]) -> messages.Renew:
        identity = self._identity
        state = self._state
        searching = self._leader is None
        return messages.Renew(
            host=identity.name,
            incarnation=identity.incarnation,
            address=identity.address,
            place=identity.place,
            ready=self._report.is_ready(),
            table_version=state.table_version,
            endpoints_number=(
                state.endpoints_number
                if state.endpoints_term == self._term
                else 0
            ),
            hosts_number=(
                state.hosts_number if state.hosts_term == self._term else 0
            ),
            term=self._term,
            usage={} if searching else self._report.take_usage(),
            running=running,
        )

    def _peer(self, address: str) -> dialers.WebsocketPeer:
        peer = self._peers.get(address)
        if peer is None:
            peer = dialers.WebsocketPeer(
                peers.Address.parse(address),
                self._identity.name,
                self._secret,
                on_notice=self._take_notice,
            )
            self._peers[address] = peer
        return peer

    def _drop(self, address: str) -> None:
        """Closes a link that gave no answer; it may have gone silent."""
        peer = self._peers.pop(address, None)
        if peer is not None:
            threading.Thread(target=peer.close, daemon=True).start()

    def _take_notice(self, message: wire_messages.Message) -> None:
        if isinstance(message, messages.TableUpdate):
            first = self._state.table is None
            if self._state.take_table(message) and first:
                self._wake.set()
        elif isinstance(message, messages.EndpointUpdate):
            self._state.take_endpoints(message)
        elif isinstance(message, messages.HostUpdate):
            self._state.take_hosts(message)
        elif isinstance(message, messages.LeaderChanged):
            self._wake.set()


def _named_leader(error: BaseException) -> str:
    """Returns the leader's address in a replica's answer, if it knows."""
    if not isinstance(error, wire_errors.RemoteError):
        return ''
    is_address = error.code == messages.CODE_NOT_LEADER and ':' in error.detail
    return error.detail if is_address else ''
