"""A replica's view of its group, for operators and health checks."""

from masticquay_consensus import leaders
from masticquay_consensus import messages
from masticquay_consensus import states


class Statuses:
    """Reports the status of a replica."""

    __slots__ = ('_state', '_leader')

    def __init__(self, state: states.State, leader: leaders.Leader):
        self._state = state
        self._leader = leader

    def report(self) -> messages.LogStatus:
        """Returns the present status."""
        state = self._state
        with state.lock:
            return messages.LogStatus(
                replica_id=state.replica_id,
                role=self._role_of(state.replica_id),
                term=state.term,
                commit_index=state.commit_index,
                applied_index=state.applied_index,
                snapshot_index=state.store.snapshot_index,
                members=[
                    messages.MemberStatus(
                        member,
                        self._role_of(member.replica_id),
                        self._match_index_of(member.replica_id),
                    )
                    for member in state.configuration.members
                ],
            )

    def _role_of(self, member_id: str) -> str:
        state = self._state
        member = state.configuration.member(member_id)
        if member is None or not member.voter:
            return messages.ROLE_LEARNER
        if member_id == state.leader_id:
            return messages.ROLE_LEADER
        if member_id == state.replica_id:
            return state.role
        return messages.ROLE_FOLLOWER

    def _match_index_of(self, member_id: str) -> int:
        if self._state.role != messages.ROLE_LEADER:
            return 0
        return self._leader.match_index(member_id)
