"""Elections: probes, votes, and the rules under which they are given."""

from masticquay_consensus import messages
from masticquay_consensus import roll_calls
from masticquay_consensus import states


class Elections:
    """This replica as a voter and as a candidate."""

    def __init__(self, state: states.State, roll_call: roll_calls.RollCall):
        self._state = state
        self._roll_call = roll_call
        self._probing = False
        self._released_term = 0
        self._asked: set[str] = set()
        self._granted: set[str] = set()

    def tick(self) -> bool:
        """Starts a probe when no leader was heard for long enough.

        Starts it at once when it is proven that no lease is left.

        :returns: whether this replica won at once, as the only voter
        """
        state = self._state
        if state.role == messages.ROLE_LEADER or state.installing:
            return False
        if not state.is_voter:
            return False
        if self._roll_call.take_turn():
            return self._campaign(probing=True)
        if state.clock.now_ms() < state.election_deadline_ms:
            return False
        return self._campaign(probing=True)

    def next_request(self, member_id: str) -> messages.RequestVote | None:
        """Returns the request to send to a voter, if there is one."""
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
            last_index=state.store.journal.last_index,
            last_term=state.store.journal.last_term,
            probe=self._probing,
            proven_incarnation=self._roll_call.proven_incarnation(member_id),
            released_term=self._released_term,
        )

    def take_failure(self, member_id: str) -> None:
        """Asks a voter again that gave no answer."""
        self._asked.discard(member_id)

    def take_vote(
        self,
        member_id: str,
        request: messages.RequestVote,
        vote: messages.Vote,
    ) -> bool:
        """Counts an answer.

        :returns: whether this replica has won the election now
        """
        state = self._state
        if vote.term > state.term and not vote.granted:
            state.follow(vote.term, '')
            return False
        current = (
            state.role == messages.ROLE_CANDIDATE
            and request.probe == self._probing
            and request.term == self._campaign_term()
        )
        if not current or not vote.granted:
            return False
        self._granted.add(member_id)
        return self._count()

    def handle(self, request: messages.RequestVote) -> messages.Vote:
        """Answers a candidate; a vote is synced before it is returned."""
        state = self._state
        may_vote = state.may_vote(
            request.proven_incarnation, request.released_term
        )
        if not may_vote or state.installing:
            return messages.Vote(state.term, False)
        if request.probe:
            granted = request.term > state.term and self._is_current(request)
            return messages.Vote(state.term, granted)
        if request.term > state.term:
            state.follow(request.term, '')
        granted = (
            request.term == state.term
            and state.store.voted_for in ('', request.from_id)
            and self._is_current(request)
        )
        if granted:
            state.store.save_ballot(state.term, request.from_id)
            state.took_part = True
            state.counters.votes_granted += 1
            state.defer_election()
        return messages.Vote(state.term, granted)

    def take_over(self, request: messages.TakeLead) -> messages.LeadOffered:
        """Asks for votes at once, since the leader has stepped down."""
        state = self._state
        accepted = (
            request.term == state.term
            and state.role == messages.ROLE_FOLLOWER
            and state.is_voter
            and not state.installing
        )
        if accepted:
            self._released_term = request.term
            self._campaign(probing=False)
        return messages.LeadOffered(accepted)

    def _campaign(self, probing: bool) -> bool:
        state = self._state
        state.role = messages.ROLE_CANDIDATE
        state.leader_id = ''
        state.defer_probe()
        self._probing = probing
        self._asked = {state.replica_id}
        self._granted = {state.replica_id}
        if probing:
            state.counters.probes += 1
        else:
            state.store.save_ballot(state.term + 1, state.replica_id)
        state.peers_wake.notify_all()
        return self._count()

    def _count(self) -> bool:
        configuration = self._state.configuration
        votes = self._granted.intersection(configuration.voter_ids())
        if len(votes) < configuration.quorum():
            return False
        if self._probing:
            return self._campaign(probing=False)
        return True

    def _campaign_term(self) -> int:
        return self._state.term + (1 if self._probing else 0)

    def _is_current(self, request: messages.RequestVote) -> bool:
        journal = self._state.store.journal
        return (request.last_term, request.last_index) >= (
            journal.last_term,
            journal.last_index,
        )
