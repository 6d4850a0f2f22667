"""Membership of the control group: replicas join and silent ones leave.

A replica outside the group asks the replicas that it knows to let it join. The
leader adds it as a learner and promotes it to voter once it has caught up. A
member that is silent for too long is removed while a majority still responds,
so that replicas on hosts that were replaced do not count in quorums forever.
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
# A restarted replica of a group waits this long for the leader before it asks
# to join.
LEADER_WAIT_MS = 2_500
# A silent member is removed after this time, or sooner if another replica has
# joined to replace it.
EVICT_AFTER_MS = 8_000
EVICT_REPLACED_AFTER_MS = 2_500
MIN_VOTERS = 3

Dial = typing.Callable[[peers.Address], peers.Peer]


class Joiner:
    """Sends join requests while this replica is outside the group.

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
        self._outside_group_ms = 0

    def run_once(self, interval_ms: int) -> None:
        """Asks to join if this replica has been outside for long enough.

        :param interval_ms: the time since the last call
        """
        if self._is_in_group():
            self._outside_group_ms = 0
            return
        self._outside_group_ms += interval_ms
        formed = self._node.replica.state.store.formed
        if formed and self._outside_group_ms < LEADER_WAIT_MS:
            return
        request = messages.JoinGroup(
            self._name, self._address, self._node.replica.state.replica_id
        )
        for address in self._candidates():
            if self._request_join(address, request):
                LOG.info('join request sent', extra={'asked': address})
                return

    def _is_in_group(self) -> bool:
        state = self._node.replica.state
        with state.lock:
            if not state.store.formed or not state.is_voter:
                return False
            return bool(state.leader_id)

    def _candidates(self) -> list[str]:
        members = self._node.status().members
        member_addresses = [member.member.address for member in members]
        addresses = dict.fromkeys([*self._seeds(), *member_addresses])
        return [a for a in addresses if a != self._address]

    def _request_join(self, address: str, request: messages.JoinGroup) -> bool:
        link = self._dial(peers.Address.parse(address))
        try:
            link.call(request, JOIN_CALL_TIMEOUT_MS)
        except wire_errors.WireError:
            return False
        finally:
            link.close()
        return True


class Membership:
    """Adds replicas to the group and removes silent ones, on the leader."""

    def __init__(self, node: nodes.Node, dial: Dial):
        self._node = node
        self._dial = dial
        self._lock = threading.Lock()
        self._pending_joins: dict[str, futures.Future] = {}
        self._pending_removal: futures.Future | None = None
        self._unused_replacements = 0

    def handle_join(
        self, request: messages.JoinGroup, link: peers.Connection
    ) -> futures.Future | None:
        """Starts adding a replica, or forwards the request to the leader."""
        leader = self._node.leader()
        if not self._node.is_leader():
            if leader is None or leader.address == request.address:
                raise wire_errors.RemoteError(
                    messages.CODE_NOT_LEADER, 'no leader is known'
                )
            return self._forward(leader, request)
        if self._is_voter(request.replica_id):
            return None
        with self._lock:
            pending = self._pending_joins.get(request.name)
            if pending is None or pending.done():
                LOG.info(
                    'adding replica to the group',
                    extra={
                        'replica': request.name,
                        'identity': request.replica_id,
                    },
                )
                pending = self._node.add_replica(request.name, request.address)
                pending.add_done_callback(self._finish_join)
                self._pending_joins[request.name] = pending
        return None

    def run_once(self) -> None:
        """Removes one silent member if that is safe."""
        if not self._node.is_leader():
            return
        if (
            self._pending_removal is not None
            and not self._pending_removal.done()
        ):
            return
        member = self._find_removable()
        if member is None:
            return
        LOG.warning(
            'removing silent replica from the group',
            extra={'replica': member.name, 'identity': member.replica_id},
        )
        self._pending_removal = self._node.remove_replica_by_id(
            member.replica_id
        )
        if member.voter:
            self._unused_replacements = max(0, self._unused_replacements - 1)

    def _forward(
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
            LOG.warning(
                'replica could not be added to the group',
                extra={'cause': str(cause)},
            )
            return
        self._unused_replacements += 1
        LOG.info(
            'replica added to the group',
            extra={'members': [m.name for m in configuration.members]},
        )

    def _find_removable(self) -> consensus_messages.Member | None:
        """Returns the longest silent member if its removal is safe.

        The removal of a voter must leave at least ``MIN_VOTERS`` voters, and
        a majority of them must be responsive.
        """
        replica = self._node.replica
        state = replica.state
        with state.lock:
            members = state.configuration.members
            silence_ms_by_id = {
                m.replica_id: (
                    0
                    if m.replica_id == state.replica_id
                    else replica.silence_ms(m.replica_id)
                )
                for m in members
            }
        voters = [m for m in members if m.voter]
        evict_after_ms = EVICT_AFTER_MS
        if self._unused_replacements:
            evict_after_ms = EVICT_REPLACED_AFTER_MS
        silent = [
            m
            for m in members
            if silence_ms_by_id[m.replica_id] >= evict_after_ms
        ]
        if not silent:
            return None
        longest_silent = max(
            silent, key=lambda m: silence_ms_by_id[m.replica_id]
        )
        responsive_voters = [v for v in voters if v not in silent]
        if longest_silent.voter and len(voters) - 1 < MIN_VOTERS:
            return None
        if (
            longest_silent.voter
            and len(responsive_voters) < (len(voters) - 1) // 2 + 1
        ):
            return None
        return longest_silent
