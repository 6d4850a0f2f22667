"""Forwards calls from a follower to the acting leader."""

from concurrent import futures
import contextlib
import logging
import threading

from masticquay_consensus import protocols
from masticquay_control import commands
from masticquay_control import leaderships
from masticquay_membership import messages as membership_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

FORWARD_TIMEOUT_MS = 1_300
# Shorter than the host waits: it then hears why from a replica that works,
# and does not take it for one that is lost.
RENEWAL_TIMEOUT_MS = 600
BATCH_DELAY_MS = 30


class _QueuedRenewal:
    """A renewal that waits for the next batch."""

    __slots__ = ('renewal', 'reply')

    def __init__(self, renewal: membership_messages.RenewSession):
        self.renewal = renewal
        self.reply: futures.Future = futures.Future()


class Forwarder:
    """Forwards calls to the leader, and renewals in batches.

    :param renewal_link_factory: makes links whose calls fail once the link is
        lost: a host should hear at once that its renewal reaches no leader
    """

    def __init__(
        self,
        name: str,
        log: protocols.ReplicatedLog,
        link_factory: protocols.LinkFactory,
        renewal_link_factory: protocols.LinkFactory,
    ):
        self._name = name
        self._log = log
        self._links = _LeaderLinks(link_factory, leaderships.CODE_UNCERTAIN)
        self._renewal_links = _LeaderLinks(
            renewal_link_factory, membership_messages.CODE_NO_LEADER
        )
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._closed = False
        self._renewals: list[_QueuedRenewal] = []
        self._applied: dict[str, membership_messages.ChangesApplied] = {}
        self.forwarded_count = 0

    def start(self) -> None:
        """Starts the thread that sends the batches."""
        thread = threading.Thread(
            target=self._run, name='forward-renewals', daemon=True
        )
        thread.start()

    def close(self) -> None:
        """Stops the thread and closes the links to other replicas."""
        self._closed = True
        self._wake.set()
        self._links.close()
        self._renewal_links.close()

    def forward(self, message: messages.Message) -> futures.Future:
        """Forwards a call.

        :returns: a future of the leader's reply; it fails with the leader's
            RemoteError, or one with the code ``no-leader`` (not sent) or
            ``uncertain`` (sent, no reply)
        """
        call = commands.Forward(messages.pack(message))
        return self._submit(self._links, call, FORWARD_TIMEOUT_MS)

    def renew(
        self, message: membership_messages.RenewSession
    ) -> futures.Future:
        """Forwards a renewal with the next batch.

        :returns: a future of the leader's reply, which fails as in
            ``forward``, and with ``no-leader`` also if the link to the leader
            was lost
        """
        queued = _QueuedRenewal(message)
        with self._lock:
            self._renewals.append(queued)
        self._wake.set()
        return queued.reply

    def forward_applied(
        self, message: membership_messages.ChangesApplied
    ) -> None:
        """Forwards an acknowledgement with the next batch.

        Only the newest acknowledgement of each host is sent.
        """
        with self._lock:
            self._applied[message.host] = message
        self._wake.set()

    def _run(self) -> None:
        while not self._closed:
            self._wake.wait()
            self._wake.clear()
            threading.Event().wait(BATCH_DELAY_MS / 1000)
            with self._lock:
                renewals, self._renewals = self._renewals, []
                applied, self._applied = self._applied, {}
            if renewals or applied:
                self._try_send(renewals, list(applied.values()))

    def _try_send(
        self,
        renewals: list[_QueuedRenewal],
        applied: list[membership_messages.ChangesApplied],
    ) -> None:
        try:
            self._send(renewals, applied)
        except Exception:
            LOG.exception('could not forward a batch of renewals')

    def _send(
        self,
        renewals: list[_QueuedRenewal],
        applied: list[membership_messages.ChangesApplied],
    ) -> None:
        message = commands.RenewSessions(
            [queued.renewal for queued in renewals], applied
        )
        pending = self._submit(
            self._renewal_links, message, RENEWAL_TIMEOUT_MS
        )
        pending.add_done_callback(
            lambda done: _distribute_results(done, renewals)
        )

    def _submit(
        self,
        links: '_LeaderLinks',
        message: messages.Message,
        timeout_ms: int,
    ) -> futures.Future:
        reply: futures.Future = futures.Future()
        leader = self._log.leader()
        if leader is None or leader.name == self._name or self._closed:
            reply.set_exception(leaderships.no_leader_error())
            return reply
        self.forwarded_count += 1
        pending = links.get(leader.address).submit(message, timeout_ms)
        pending.add_done_callback(
            lambda done: _relay_reply(done, reply, links.lost_code)
        )
        return reply


class _LeaderLinks:
    """The links to the replicas that have been the leader.

    :param lost_code: the failure code of calls whose link was lost
    """

    def __init__(self, link_factory: protocols.LinkFactory, lost_code: str):
        self.lost_code = lost_code
        self._link_factory = link_factory
        self._lock = threading.Lock()
        self._peers: dict[str, peers.Peer] = {}

    def get(self, address: str) -> peers.Peer:
        """Returns the link to an address; makes it if there is none."""
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._link_factory(peers.Address.parse(address))
                self._peers[address] = peer
            return peer

    def close(self) -> None:
        """Closes all links."""
        with self._lock:
            open_peers = list(self._peers.values())
            self._peers.clear()
        for peer in open_peers:
            peer.close()


def _relay_reply(
    done: futures.Future, reply: futures.Future, lost_code: str
) -> None:
    cause = done.exception()
    if cause is None:
        reply.set_result(done.result())
    elif isinstance(cause, wire_errors.RemoteError):
        reply.set_exception(cause)
    elif isinstance(cause, wire_errors.PeerUnavailableError):
        reply.set_exception(
            wire_errors.RemoteError(
                lost_code, 'the link to the leader is lost'
            )
        )
    else:
        reply.set_exception(
            wire_errors.RemoteError(
                leaderships.CODE_UNCERTAIN, 'the leader did not reply'
            )
        )


def _distribute_results(
    done: futures.Future, renewals: list[_QueuedRenewal]
) -> None:
    """Distributes the results of a batch to its renewals."""
    cause = done.exception()
    results = [] if cause is not None else done.result().results
    if cause is None and len(results) != len(renewals):
        cause = wire_errors.RemoteError(
            'internal', 'the leader returned a wrong number of results'
        )
    for number, queued in enumerate(renewals):
        with contextlib.suppress(futures.InvalidStateError):
            if cause is not None:
                queued.reply.set_exception(cause)
                continue
            result = results[number]
            if result.granted is not None:
                queued.reply.set_result(result.granted)
            else:
                queued.reply.set_exception(
                    wire_errors.RemoteError(result.code, result.detail)
                )
