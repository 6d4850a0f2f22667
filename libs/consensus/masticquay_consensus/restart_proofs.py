"""Proof that a restart of the whole group left no lease.

A replica that starts grants no vote for ``election_min_ms``, since its former
process may have supported a leader's lease. When the processes of all voters
have restarted, no process is left that could hold a lease, and the group need
not wait.

The proof takes two rounds in which a replica asks every other voter for a
report. The second round starts when the first is complete. In both, each voter
must report the same incarnation, and must not have been a leader, followed a
leader or voted for another replica since its start. Then a vote that relies on
the proof violates no lease:

* A leader elected before the end of the first round is one of the voters. Its
  process reports in the second round that it took part, or it has ended, and
  its lease with it.
* A leader elected later holds its lease by the answers of a quorum. Each voter
  of that quorum rejects the proof: its process has followed that leader in the
  meantime, or another process with a new incarnation has taken its place.

A voter whose address answers under another identity has lost its disk, and its
process has ended, since no other process can listen on that address. It counts
as having reported, but cannot vote.

A voter accepts the proof only for its current incarnation, and only
until it takes part. A vote counts as taking part, so that no second candidate
can use the proof to depose one that has just won.
"""

import logging

from masticquay_consensus import messages
from masticquay_consensus import states

LOG = logging.getLogger(__name__)


class RestartProof:
    """Collects the reports of all voters, and reports on this replica."""

    def __init__(self, state: states.State):
        self._state = state
        self._round_number = 0
        self._asked: set[str] = set()
        self._reports: dict[str, messages.StartReport] = {}
        # The incarnations that the voters reported in the previous round.
        self._previous_round: dict[str, str] | None = None
        # The incarnations of the voters for which the proof holds.
        self._proven: dict[str, str] = {}
        self._is_done = False
        self._has_campaigned = False

    def report(self) -> messages.StartReport:
        """Returns the report on this replica's process."""
        state = self._state
        return messages.StartReport(
            incarnation=state.incarnation,
            took_part=state.took_part,
            last_index=state.store.raft_log.last_index,
            last_term=state.store.raft_log.last_term,
        )

    def next_request(self, member_id: str) -> messages.AskStart | None:
        """Returns the request to send to a voter, None if none is due."""
        if self._is_done or self._state.took_part or not self._state.is_voter:
            return None
        if member_id in self._asked:
            return None
        if member_id not in self._state.all_voter_ids():
            return None
        self._asked.add(member_id)
        return messages.AskStart(member_id, self._round_number)

    def handle_failure(self, member_id: str) -> None:
        """Marks the request to a voter as not sent, so that it is retried."""
        self._asked.discard(member_id)

    def handle_report(
        self,
        member_id: str,
        request: messages.AskStart,
        report: messages.StartReport,
    ) -> None:
        """Handles the report of a voter, unless it is of an earlier round.

        Abandons the proof if the voter's process has taken part in the group.
        """
        if self._is_done or request.round_number != self._round_number:
            return
        if report.took_part:
            # The group has had a leader since the restart. This replica
            # hears from it soon, or waits for the election timeout.
            self._is_done = True
            LOG.info(
                'restart proof abandoned: voter %s already took part in the '
                'group',
                member_id,
            )
            return
        self._reports[member_id] = report
        state = self._state
        if self._reports.keys() >= state.all_voter_ids() - {state.replica_id}:
            self._finish_round()

    def handle_replaced_voter(
        self, member_id: str, request: messages.AskStart, error_text: str
    ) -> None:
        """Handles a voter whose address answers under another identity.

        :param error_text: the error that the process there answered with; it
            names that identity and takes the place of an incarnation
        """
        report = messages.StartReport(f'gone, {error_text}', False, 0, 0)
        self.handle_report(member_id, request, report)

    def proven_incarnation(self, member_id: str) -> str:
        """Returns the incarnation of a voter for which the proof holds.

        Returns an empty string if there is no proof.
        """
        return self._proven.get(member_id, '')

    def claim_campaign(self) -> bool:
        """Returns whether to start a pre-vote now because of the proof.

        Returns true at most once, and only if no reported log is more up to
        date than this replica's.
        """
        state = self._state
        if not self._proven or self._has_campaigned or state.took_part:
            return False
        self._has_campaigned = True
        raft_log = state.store.raft_log
        own_last = (raft_log.last_term, raft_log.last_index)
        return all(
            (report.last_term, report.last_index) <= own_last
            for report in self._reports.values()
        )

    def _finish_round(self) -> None:
        """Starts the next round, or ends the proof.

        The proof is complete once two successive rounds report the same
        incarnations.
        """
        incarnations = {
            member_id: report.incarnation
            for member_id, report in self._reports.items()
        }
        if incarnations == self._previous_round:
            self._proven = incarnations
            self._is_done = True
            LOG.info(
                'restart proof complete: no lease is left from before the '
                'restart; voters %s have reported',
                sorted(self._proven),
            )
            return
        self._previous_round = incarnations
        self._round_number += 1
        self._asked = set()
        self._reports = {}
        self._state.peers_condition.notify_all()
