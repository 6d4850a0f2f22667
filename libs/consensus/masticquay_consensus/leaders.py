"""The replica as a leader: replication, commitment and the lease."""

from masticquay_consensus import messages
from masticquay_consensus import states
from masticquay_consensus import stores

TRANSFER_PAUSE_LIMIT_MS = 10_000

Request = messages.AppendEntries | messages.InstallSnapshot


class Progress:
    """How far one other replica is.

    :param acked_ms: when the newest request that it answered was made
    """

    __slots__ = (
        'next_index',
        'match_index',
        'acked_ms',
        'sent_ms',
        'sent_commit_index',
        'snapshot',
    )

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.acked_ms = states.NEVER_MS
        self.sent_ms = states.NEVER_MS
        self.sent_commit_index = 0
        self.snapshot: SnapshotProgress | None = None


class SnapshotProgress:
    """A snapshot on its way to a replica."""

    __slots__ = ('index', 'term', 'data', 'offset_bytes')

    def __init__(self, data: bytes):
        snapshot = stores.Snapshot.from_bytes(data)
        self.index = snapshot.index
        self.term = snapshot.term
        self.data = data
        self.offset_bytes = 0


class Leader:
    """Replicates the log while this replica leads."""

    def __init__(self, state: states.State):
        self._state = state
        self._progress: dict[str, Progress] = {}

    def begin(self) -> None:
        """Takes the lead, with an entry of the new term."""
        self._progress = {}
        self._state.lead()
        self.append(messages.KIND_EMPTY, b'')

    def append(self, kind: int, command: bytes) -> messages.Entry:
        """Adds an entry to the log."""
        state = self._state
        index = state.store.journal.last_index + 1
        entry = messages.Entry(index, state.term, kind, command)
        state.store.journal.append([entry])
        state.note_configurations([entry])
        state.writer_wake.notify_all()
        state.peers_wake.notify_all()
        return entry

    def tick(self) -> None:
        """Steps down when no quorum answered for the time of a lease."""
        state = self._state
        settings = state.settings
        grace_ms = settings.election_min_ms - settings.drift_margin_ms
        limit_ms = max(self.lease_end_ms(), state.led_since_ms + grace_ms)
        if state.clock.now_ms() >= limit_ms:
            state.follow(state.term, '')

    def lease_end_ms(self) -> int:
        """Returns until when a quorum grants no vote."""
        state = self._state
        settings = state.settings
        voters = state.configuration.voter_ids()
        now_ms = state.clock.now_ms()
        acked = sorted(
            (
                now_ms
                if voter == state.replica_id
                else self._find(voter).acked_ms
                for voter in voters
            ),
            reverse=True,
        )
        oldest_ms = acked[state.configuration.quorum() - 1]
        return oldest_ms + settings.election_min_ms - settings.drift_margin_ms

    def successor_id(self) -> str:
        """Returns a voter that has synced the whole log, empty for none."""
        state = self._state
        last_index = state.store.journal.last_index
        ready = [
            voter
            for voter in state.configuration.voter_ids()
            if voter != state.replica_id
            and self._find(voter).match_index == last_index
        ]
        return max(ready, key=self.acked_ms, default='')

    def match_index(self, member_id: str) -> int:
        """Returns the last index that a member is known to have synced."""
        if member_id == self._state.replica_id:
            return self._state.store.journal.synced_index
        return self._find(member_id).match_index

    def acked_ms(self, member_id: str) -> int:
        """Returns when the last answered request to a member was sent."""
        return self._find(member_id).acked_ms

    def has_committed(self) -> bool:
        """Whether an entry of this term is committed."""
        state = self._state
        journal = state.store.journal
        return journal.term_at(state.commit_index) == state.term

    def next_request(self, member_id: str) -> Request | None:
        """Returns what to send to a member now, if anything."""
        state = self._state
        journal = state.store.journal
        progress = self._find(member_id)
        if progress.snapshot or progress.next_index <= journal.base_index:
            progress.sent_ms = state.clock.now_ms()
            return self._next_chunk(member_id, progress)
        if not self._is_due(progress):
            return None
        progress.sent_ms = state.clock.now_ms()
        progress.sent_commit_index = state.commit_index
        previous = progress.next_index - 1
        return messages.AppendEntries(
            to_id=member_id,
            from_id=state.replica_id,
            term=state.term,
            previous_index=previous,
            previous_term=journal.term_at(previous),
            entries=journal.entries_from(
                progress.next_index, state.settings.batch_bytes
            ),
            commit_index=state.commit_index,
        )

    def due_in_ms(self, member_id: str) -> int:
        """Returns the time until the next heartbeat to a member."""
        state = self._state
        progress = self._find(member_id)
        age_ms = state.clock.now_ms() - progress.sent_ms
        return max(0, state.settings.heartbeat_ms - age_ms)

    def take_appended(
        self, request: states.Outgoing, answer: messages.Appended
    ) -> None:
        """Notes how far a member is, and commits what a quorum has."""
        progress = self._take_term(request, answer.term)
        if progress is None:
            return
        message = request.message
        if answer.matched:
            last = message.previous_index + len(message.entries)
            progress.match_index = max(progress.match_index, last)
            progress.next_index = max(progress.next_index, last + 1)
            self.advance_commit()
        elif message.previous_index == progress.next_index - 1:
            progress.next_index = max(
                progress.match_index + 1,
                min(answer.match_index + 1, message.previous_index),
            )
            progress.sent_ms = states.NEVER_MS

    def take_received(
        self, request: states.Outgoing, answer: messages.SnapshotReceived
    ) -> None:
        """Notes how much of a snapshot has arrived."""
        progress = self._take_term(request, answer.term)
        if progress is None or progress.snapshot is None:
            return
        snapshot = progress.snapshot
        if request.message.last_index != snapshot.index:
            return
        snapshot.offset_bytes = answer.received_bytes
        if answer.received_bytes >= len(snapshot.data):
            progress.snapshot = None
            progress.match_index = max(progress.match_index, snapshot.index)
            progress.next_index = progress.match_index + 1
            self.advance_commit()

    def transfer_floor(self) -> int:
        """Returns the lowest index after which a member needs entries.

        Entries behind a snapshot that is under way are kept, or the member
        would need the next snapshot when it has this one.
        """
        state = self._state
        oldest_ms = state.clock.now_ms() - TRANSFER_PAUSE_LIMIT_MS
        return min(
            (
                progress.snapshot.index
                for progress in self._progress.values()
                if progress.snapshot and progress.acked_ms > oldest_ms
            ),
            default=state.store.journal.last_index,
        )

    def advance_commit(self) -> None:
        """Commits the entries of this term that a quorum has synced."""
        state = self._state
        if state.role != messages.ROLE_LEADER:
            return
        voters = state.configuration.voter_ids()
        matches = sorted((self.match_index(v) for v in voters), reverse=True)
        index = matches[state.configuration.quorum() - 1]
        if index <= state.commit_index:
            return
        if state.store.journal.term_at(index) != state.term:
            return
        state.commit(index)
        if state.configuration_index <= index and not state.is_voter:
            state.follow(state.term, '')

    def _find(self, member_id: str) -> Progress:
        found = self._progress.get(member_id)
        if found is None:
            found = Progress(self._state.store.journal.last_index)
            self._progress[member_id] = found
        return found

    def _is_due(self, progress: Progress) -> bool:
        state = self._state
        if progress.next_index <= state.store.journal.last_index:
            return True
        if progress.sent_commit_index < state.commit_index:
            return True
        age_ms = state.clock.now_ms() - progress.sent_ms
        return age_ms >= state.settings.heartbeat_ms

    def _next_chunk(
        self, member_id: str, progress: Progress
    ) -> messages.InstallSnapshot:
        state = self._state
        if progress.snapshot is None:
            data = state.store.read_snapshot()
            progress.snapshot = SnapshotProgress(data)
        snapshot = progress.snapshot
        start = snapshot.offset_bytes
        end = start + state.settings.chunk_bytes
        return messages.InstallSnapshot(
            to_id=member_id,
            from_id=state.replica_id,
            term=state.term,
            last_index=snapshot.index,
            last_term=snapshot.term,
            offset_bytes=start,
            total_bytes=len(snapshot.data),
            data=snapshot.data[start:end],
        )

    def _take_term(
        self, request: states.Outgoing, term: int
    ) -> Progress | None:
        """Returns the member's progress if the answer is of this term."""
        state = self._state
        if term > state.term:
            state.follow(term, '')
            return None
        if state.role != messages.ROLE_LEADER:
            return None
        if request.message.term != state.term or term != state.term:
            return None
        progress = self._find(request.member_id)
        progress.acked_ms = max(progress.acked_ms, request.sent_ms)
        return progress
