"""Roll calls: proof that a restart of the whole group left no lease.

A replica that starts grants no vote for ``election_min_ms``, since its former
process may have supported a leader's lease. When every voter's process began
anew, no process is left that could hold one, and the group need not wait.

The proof takes two rounds of questions to every voter. The second begins when
the first is complete; each voter must give the same incarnation in both and
must not have led, followed or voted since its start. Then:

* a leader from before the first round ended is one of the voters; its process
  says so in the second round, or has ended, and its lease with it;
* a leader from after it holds a lease by answers of a quorum, each given by a
  process that has followed it since, or by one that started later.

A voter whose address answers under another identity has lost its disk, and
its process has ended with it: nothing else can listen there. It counts as
answered, but can give no vote.

A voter therefore accepts the proof only for its very incarnation, and only
while it has not taken part. That it has not voted either keeps a second
candidate from deposing one that has just won.
"""

import logging

from masticquay_consensus import messages
from masticquay_consensus import states

LOG = logging.getLogger(__name__)


class RollCall:
    """Asks every voter about its start, and reports this replica's own."""

    def __init__(self, state: states.State):
        self._state = state
        self._round_number = 0
        self._asked: set[str] = set()
        self._reports: dict[str, messages.StartReport] = {}
        self._earlier: dict[str, str] | None = None
        self._proven: dict[str, str] = {}
        self._is_over = False
        self._has_had_turn = False

    def report(self) -> messages.StartReport:
        """Returns what this replica's process has seen."""
        state = self._state
        return messages.StartReport(
            incarnation=state.incarnation,
            took_part=state.took_part,
            last_index=state.store.journal.last_index,
            last_term=state.store.journal.last_term,
        )

    def next_request(self, member_id: str) -> messages.AskStart | None:
        """Returns the question to send to a voter, if there is one."""
        if self._is_over or self._state.took_part or not self._state.is_voter:
            return None
        if member_id in self._asked:
            return None
        if member_id not in self._state.all_voter_ids():
            return None
        self._asked.add(member_id)
        return messages.AskStart(member_id, self._round_number)

    def take_failure(self, member_id: str) -> None:
        """Asks a voter again that gave no answer."""
        self._asked.discard(member_id)

    def take_report(
        self,
        member_id: str,
        request: messages.AskStart,
        report: messages.StartReport,
    ) -> None:
        """Counts an answer."""
        if self._is_over or request.round_number != self._round_number:
            return
        if report.took_part:
            # A leader has been there; it is heard soon, or waited out.
            self._is_over = True
            LOG.info('roll call ends: voter %s took part before', member_id)
            return
        self._reports[member_id] = report
        state = self._state
        if self._reports.keys() >= state.all_voter_ids() - {state.replica_id}:
            self._finish_round()

    def take_absence(
        self, member_id: str, request: messages.AskStart, found: str
    ) -> None:
        """Counts a voter that is gone, as its address tells.

        :param found: what answers there
        """
        report = messages.StartReport(f'gone, {found}', False, 0, 0)
        self.take_report(member_id, request, report)

    def proven_incarnation(self, member_id: str) -> str:
        """Returns for which process of a voter the proof holds, if any."""
        return self._proven.get(member_id, '')

    def take_turn(self) -> bool:
        """Whether to campaign now, once, thanks to the proof.

        Only a replica whose log no voter's log exceeds does so.
        """
        state = self._state
        if not self._proven or self._has_had_turn or state.took_part:
            return False
        self._has_had_turn = True
        journal = state.store.journal
        own_last = (journal.last_term, journal.last_index)
        return all(
            (report.last_term, report.last_index) <= own_last
            for report in self._reports.values()
        )

    def _finish_round(self) -> None:
        incarnations = {
            member_id: report.incarnation
            for member_id, report in self._reports.items()
        }
        if incarnations == self._earlier:
            self._proven = incarnations
            self._is_over = True
            LOG.info(
                'roll call: no lease is left, say %s', sorted(self._proven)
            )
            return
        self._earlier = incarnations
        self._round_number += 1
        self._asked = set()
        self._reports = {}
        self._state.peers_wake.notify_all()
