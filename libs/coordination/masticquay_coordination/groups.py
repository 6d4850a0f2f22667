"""Membership of the control group: who joins and who is removed.

A replica that belongs to no group asks known replicas to be taken in. The
leader adds it as a learner and makes it a voter once it is synced. A voter
that has been silent for long is removed while enough others answer, so that
hosts that were replaced for good do not count in quorums for ever.
"""

from concurrent import futures
import logging
import threading
import typing

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import messages as consensus_messages
from masticquay_consensus import nodes
from masticquay_routing import messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

JOIN_INTERVAL_MS = 400
JOIN_CALL_TIMEOUT_MS = 600
# A restarted replica that knows its group waits for the leader first.
LEADER_PATIENCE_MS = 2_500
EVICT_AFTER_MS = 8_000
EVICT_REPLACED_AFTER_MS = 2_500
MIN_VOTERS = 3

Dial = typing.Callable[[peers.Address], peers.Peer]


class Joiner:
    """Asks to be taken into the group while this replica is in none.

    :param seeds: returns the ``ip:port`` of replicas to ask
    """

    def __init__(
        self,
        node: nodes.Node,
        name: str,
        address: str,
        seeds: typing.Callable[[], list[str]],
        dial: Dial,
    ):
        self._node = node
        self._name = name
        self._address = address
        self._seeds = seeds
        self._dial = dial
        self._outside_ms = 0

    def run_once(self, interval_ms: int) -> None:
        """Asks once if this replica has been outside for long enough."""
        if self._is_inside():
            self._outside_ms = 0
            return
        self._outside_ms += interval_ms
        formed = self._node.replica.state.store.formed
        if formed and self._outside_ms < LEADER_PATIENCE_MS:
            return
        request = messages.JoinGroup(
            self._name, self._address, self._node.replica.state.replica_id
        )
        for address in self._candidates():
            if self._ask(address, request):
                LOG.info('asked to join', extra={'asked': address})
                return

    def _is_inside(self) -> bool:
        state = self._node.replica.state
        with state.lock:
            if not state.store.formed or not state.is_voter:
                return False
            return bool(state.leader_id)

    def _candidates(self) -> list[str]:
        members = self._node.status().members
        known = [member.member.address for member in members]
        addresses = dict.fromkeys([*self._seeds(), *known])
        return [a for a in addresses if a != self._address]

    def _ask(self, address: str, request: messages.JoinGroup) -> bool:
        link = self._dial(peers.Address.parse(address))
        try:
            link.call(request, JOIN_CALL_TIMEOUT_MS)
        except wire_errors.WireError:
            return False
        finally:
            link.close()
        return True


class Membership:
    """The leader's side: takes replicas in and removes silent ones."""

    def __init__(self, node: nodes.Node, dial: Dial):
        self._node = node
        self._dial = dial
        self._lock = threading.Lock()
        self._joining: dict[str, futures.Future] = {}
        self._removing: futures.Future | None = None
        self._replacements = 0

    def handle_join(
        self, request: messages.JoinGroup, link: peers.Connection
    ) -> futures.Future | None:
        """Starts taking a replica in, or passes the request on."""
        leader = self._node.leader()
        if not self._node.is_leader():
            if leader is None or leader.address == request.address:
                raise wire_errors.RemoteError(
                    messages.CODE_NOT_LEADER, 'no leader is known'
                )
            return self._pass_on(leader, request)
        if self._is_voter(request.replica_id):
            return None
        with self._lock:
            pending = self._joining.get(request.name)
            if pending is None or pending.done():
                LOG.info(
                    'replica joins',
                    extra={
                        'replica': request.name,
                        'identity': request.replica_id,
                    },
                )
                pending = self._node.add_replica(request.name, request.address)
                pending.add_done_callback(self._finish_join)
                self._joining[request.name] = pending
        return None

    def run_once(self) -> None:
        """Removes one silent replica if that is safe."""
        if not self._node.is_leader():
            return
        if self._removing is not None and not self._removing.done():
            return
        member = self._find_silent()
        if member is None:
            return
        LOG.warning(
            'silent replica removed from the group',
            extra={'replica': member.name, 'identity': member.replica_id},
        )
        self._removing = self._node.remove_identity(member.replica_id)
        if member.voter:
            self._replacements = max(0, self._replacements - 1)

    def _pass_on(
        self,
        leader: consensus_messages.Member,
        request: messages.JoinGroup,
    ) -> futures.Future:
        link = self._dial(peers.Address.parse(leader.address))
        pending = link.submit(request, JOIN_CALL_TIMEOUT_MS)
        pending.add_done_callback(
            lambda done: threading.Thread(
                target=link.close, daemon=True
            ).start()
        )
        return pending

    def _is_voter(self, replica_id: str) -> bool:
        state = self._node.replica.state
        with state.lock:
            member = state.configuration.member(replica_id)
        return member is not None and member.voter

    def _finish_join(self, done: futures.Future) -> None:
        try:
            configuration = done.result()
        except consensus_errors.ConsensusError as cause:
            LOG.warning('join failed', extra={'cause': str(cause)})
            return
        self._replacements += 1
        LOG.info(
            'replica joined',
            extra={'members': [m.name for m in configuration.members]},
        )

    def _find_silent(self) -> consensus_messages.Member | None:
        """Returns a silent member that the group can do without."""
        replica = self._node.replica
        state = replica.state
        with state.lock:
            members = state.configuration.members
            silences = {
                m.replica_id: (
                    0
                    if m.replica_id == state.replica_id
                    else replica.silence_ms(m.replica_id)
                )
                for m in members
            }
        voters = [m for m in members if m.voter]
        limit_ms = EVICT_AFTER_MS
        if self._replacements:
            limit_ms = EVICT_REPLACED_AFTER_MS
        silent = [m for m in members if silences[m.replica_id] >= limit_ms]
        if not silent:
            return None
        chosen = max(silent, key=lambda m: silences[m.replica_id])
        answering = [v for v in voters if v not in silent]
        if chosen.voter and len(voters) - 1 < MIN_VOTERS:
            return None
        if chosen.voter and len(answering) < (len(voters) - 1) // 2 + 1:
            return None
        return chosen
