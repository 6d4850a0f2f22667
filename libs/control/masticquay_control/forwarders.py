"""The way from a follower to the acting leader."""

from concurrent import futures
import contextlib
import logging
import threading

from masticquay_consensus import protocols
from masticquay_control import commands
from masticquay_control import leaderships
from masticquay_membership import messages as membership
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

FORWARD_TIMEOUT_MS = 1_300
RENEWAL_TIMEOUT_MS = 800
GATHER_MS = 30


class _Gathered:
    """A renewal that waits for the next aggregate."""

    __slots__ = ('renewal', 'answer')

    def __init__(self, renewal: membership.RenewSession):
        self.renewal = renewal
        self.answer: futures.Future = futures.Future()


class Forwarder:
    """Passes calls on to the leader, and renewals in aggregates."""

    def __init__(
        self,
        name: str,
        log: protocols.ReplicatedLog,
        links: protocols.LinkFactory,
    ):
        self._name = name
        self._links = links
        self._log = log
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._closed = False
        self._peers: dict[str, peers.Peer] = {}
        self._renewals: list[_Gathered] = []
        self._applied: dict[str, membership.ChangesApplied] = {}
        self.forwarded_count = 0

    def start(self) -> None:
        """Starts the thread that sends aggregates."""
        thread = threading.Thread(
            target=self._run, name='forward-renewals', daemon=True
        )
        thread.start()

    def close(self) -> None:
        """Closes the links to other replicas."""
        self._closed = True
        self._wake.set()
        with self._lock:
            closing = list(self._peers.values())
            self._peers.clear()
        for peer in closing:
            peer.close()

    def forward(self, message: messages.Message) -> futures.Future:
        """Passes a call on; the future ends with the leader's answer."""
        call = commands.Forward(messages.pack(message))
        return self._submit(call, FORWARD_TIMEOUT_MS)

    def renew(self, message: membership.RenewSession) -> futures.Future:
        """Passes a renewal on with the next aggregate."""
        gathered = _Gathered(message)
        with self._lock:
            self._renewals.append(gathered)
        self._wake.set()
        return gathered.answer

    def note_applied(self, message: membership.ChangesApplied) -> None:
        """Passes an acknowledgement on with the next aggregate."""
        with self._lock:
            self._applied[message.host] = message
        self._wake.set()

    def _run(self) -> None:
        while not self._closed:
            self._wake.wait()
            self._wake.clear()
            threading.Event().wait(GATHER_MS / 1000)
            with self._lock:
                renewals, self._renewals = self._renewals, []
                applied, self._applied = self._applied, {}
            if renewals or applied:
                self._try_send(renewals, list(applied.values()))

    def _try_send(
        self,
        renewals: list[_Gathered],
        applied: list[membership.ChangesApplied],
    ) -> None:
        try:
            self._send(renewals, applied)
        except Exception:
            LOG.exception('an aggregate was not sent')

    def _send(
        self,
        renewals: list[_Gathered],
        applied: list[membership.ChangesApplied],
    ) -> None:
        message = commands.RenewSessions(
            [gathered.renewal for gathered in renewals], applied
        )
        pending = self._submit(message, RENEWAL_TIMEOUT_MS)
        pending.add_done_callback(lambda done: _share(done, renewals))

    def _submit(
        self, message: messages.Message, timeout_ms: int
    ) -> futures.Future:
        answer: futures.Future = futures.Future()
        leader = self._log.leader()
        if leader is None or leader.name == self._name or self._closed:
            answer.set_exception(leaderships.no_leader_error())
            return answer
        self.forwarded_count += 1
        pending = self._peer(leader.address).submit(message, timeout_ms)
        pending.add_done_callback(lambda done: _pass_on(done, answer))
        return answer

    def _peer(self, address: str) -> peers.Peer:
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._links(peers.Address.parse(address))
                self._peers[address] = peer
            return peer


def _pass_on(done: futures.Future, answer: futures.Future) -> None:
    cause = done.exception()
    if cause is None:
        answer.set_result(done.result())
    elif isinstance(cause, wire_errors.RemoteError):
        answer.set_exception(cause)
    else:
        answer.set_exception(
            wire_errors.RemoteError(
                leaderships.CODE_UNCERTAIN, 'the leader did not answer'
            )
        )


def _share(done: futures.Future, renewals: list[_Gathered]) -> None:
    """Gives each renewal of an aggregate its own answer."""
    cause = done.exception()
    results = [] if cause is not None else done.result().results
    if cause is None and len(results) != len(renewals):
        cause = wire_errors.RemoteError('internal', 'answers are missing')
    for number, gathered in enumerate(renewals):
        with contextlib.suppress(futures.InvalidStateError):
            if cause is not None:
                gathered.answer.set_exception(cause)
                continue
            result = results[number]
            if result.granted is not None:
                gathered.answer.set_result(result.granted)
            else:
                gathered.answer.set_exception(
                    wire_errors.RemoteError(result.code, result.detail)
                )
