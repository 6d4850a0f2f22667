"""Elections: votes, and pre-votes, which messages call probes."""

from masticquay_consensus import messages
from masticquay_consensus import restart_proofs
from masticquay_consensus import states


class Elections:
    """The candidate role, and the handling of vote requests."""

    def __init__(
        self, state: states.State, restart_proof: restart_proofs.RestartProof
    ):
        self._state = state
        self._restart_proof = restart_proof
        self._probing = False
        self._released_term = 0
        self._asked: set[str] = set()
        self._granted: set[str] = set()

    def tick(self) -> bool:
        """Starts a pre-vote when the election timer has expired.

        Starts it at once, without waiting for the timer, when it is proven
        that no lease is left from before a restart of the whole group.

        :returns: whether this replica has won already, as the only voter
        """
        state = self._state
        if state.role == messages.ROLE_LEADER or state.installing_snapshot:
            return False
        if not state.is_voter or state.lacks_log_room:
            return False
        if self._restart_proof.claim_campaign():
            return self._campaign(probing=True)
        if state.clock.now_ms() < state.election_deadline_ms:
            return False
        return self._campaign(probing=True)

    def next_request(self, member_id: str) -> messages.RequestVote | None:
        """Returns the vote request to send to a voter, None if none is due."""
        state = self._state
        if state.role != messages.ROLE_CANDIDATE or member_id in self._asked:
            return None
        if member_id not in state.configuration.voter_ids():
            return None
        self._asked.add(member_id)
        return messages.RequestVote(
            to_id=member_id,
            from_id=state.replica_id,
            term=self._campaign_term(),
            last_index=state.store.raft_log.last_index,
            last_term=state.store.raft_log.last_term,
            probe=self._probing,
            proven_incarnation=self._restart_proof.proven_incarnation(
                member_id
            ),
            released_term=self._released_term,
        )

    def handle_failure(self, member_id: str) -> None:
        """Marks the request to a voter as not sent, so that it is retried."""
        self._asked.discard(member_id)

    def handle_vote(
        self,
        member_id: str,
        request: messages.RequestVote,
        vote: messages.Vote,
    ) -> bool:
        """Counts a vote.

        :returns: whether this vote wins the election
        """
        state = self._state
        if vote.term > state.term and not vote.granted:
            state.become_follower(vote.term, '')
            return False
        is_expected = (
            state.role == messages.ROLE_CANDIDATE
            and request.probe == self._probing
            and request.term == self._campaign_term()
        )
        if not is_expected or not vote.granted:
            return False
        self._granted.add(member_id)
        return self._count_votes()

    def handle(self, request: messages.RequestVote) -> messages.Vote:
        """Handles a vote request; a vote is durable before it is returned.

        :raises NoRoomError: when the disk has no room for the vote or the term
        """
        state = self._state
        may_vote = state.may_vote(
            request.proven_incarnation, request.released_term
        )
        if not may_vote or state.installing_snapshot:
            return messages.Vote(state.term, False)
        if request.probe:
            granted = request.term > state.term and self._is_up_to_date(
                request
            )
            return messages.Vote(state.term, granted)
        if request.term > state.term:
            state.become_follower(request.term, '')
        granted = (
            request.term == state.term
            and state.store.voted_for in ('', request.from_id)
            and self._is_up_to_date(request)
        )
        if granted:
            state.store.save_term_and_vote(state.term, request.from_id)
            state.took_part = True
            state.counters.votes_granted += 1
            state.reset_election_timer()
        return messages.Vote(state.term, granted)

    def handle_take_lead(
        self, request: messages.TakeLead
    ) -> messages.LeadOffered:
        """Starts an election at once, since the leader has stepped down.

        :returns: whether an election was started, which needs a follower that
            is a voter in the leader's term
        """
        state = self._state
        accepted = (
            request.term == state.term
            and state.role == messages.ROLE_FOLLOWER
            and state.is_voter
            and not state.installing_snapshot
            and not state.lacks_log_room
        )
        if accepted:
            self._released_term = request.term
            self._campaign(probing=False)
        return messages.LeadOffered(accepted)

    def _campaign(self, probing: bool) -> bool:
        """Starts a pre-vote or, in a new term, an election.

        :returns: whether this replica has won the election already
        :raises NoRoomError: when the disk has no room for the new term, which
            does not begin then
        """
        state = self._state
        if not probing:
            state.store.save_term_and_vote(state.term + 1, state.replica_id)
        state.role = messages.ROLE_CANDIDATE
        state.leader_id = ''
        state.reset_campaign_timer()
        self._probing = probing
        self._asked = {state.replica_id}
        self._granted = {state.replica_id}
        if probing:
            state.counters.probes += 1
        state.peers_condition.notify_all()
        return self._count_votes()

    def _count_votes(self) -> bool:
        """Returns whether a quorum has elected this replica.

        If a quorum supports it in a pre-vote, starts the election.
        """
        configuration = self._state.configuration
        votes = self._granted.intersection(configuration.voter_ids())
        if len(votes) < configuration.quorum_size():
            return False
        if self._probing:
            return self._campaign(probing=False)
        return True

    def _campaign_term(self) -> int:
        """Returns the term to request votes for.

        A pre-vote asks for the next term, without entering it.
        """
        return self._state.term + (1 if self._probing else 0)

    def _is_up_to_date(self, request: messages.RequestVote) -> bool:
        """Whether the candidate's log is at least as up to date as ours."""
        raft_log = self._state.store.raft_log
        return (request.last_term, request.last_index) >= (
            raft_log.last_term,
            raft_log.last_index,
        )
