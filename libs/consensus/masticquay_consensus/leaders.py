"""The leader role: replication, commit index and lease."""

from masticquay_consensus import messages
from masticquay_consensus import states
from masticquay_consensus import stores

# If a replica that is sent a snapshot has not answered for this long, the log
# entries that it needs after the snapshot may be compacted.
SNAPSHOT_IDLE_LIMIT_MS = 10_000

Request = messages.AppendEntries | messages.InstallSnapshot


class Progress:
    """The replication progress of one other replica.

    ``next_index`` is the first index to send. ``match_index`` is the last
    index that the replica is known to have synced. ``acked_ms`` is when the
    latest request that it answered was created; a lease counts from then, not
    from the answer. ``sent_ms`` and ``sent_commit_index`` belong to the latest
    request to it. ``snapshot`` is set while it is sent a snapshot.
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
        self.snapshot: OutgoingSnapshot | None = None


class OutgoingSnapshot:
    """A snapshot that is being sent to a replica.

    :param data: the encoded snapshot
    """

    __slots__ = ('index', 'term', 'data', 'offset_bytes')

    def __init__(self, data: bytes):
        snapshot = stores.Snapshot.from_bytes(data)
        self.index = snapshot.index
        self.term = snapshot.term
        self.data = data
        self.offset_bytes = 0


class Leader:
    """Replicates the log while this replica is the leader."""

    def __init__(self, state: states.State):
        self._state = state
        self._progress: dict[str, Progress] = {}

    def begin(self) -> None:
        """Becomes the leader and appends an empty entry of the new term.

        A leader can commit entries of earlier terms only together with one of
        its own term.
        """
        self._progress = {}
        self._state.become_leader()
        self.append(messages.KIND_EMPTY, b'')

    def append(self, kind: int, command: bytes) -> messages.Entry:
        """Appends an entry to the log and returns it."""
        state = self._state
        index = state.store.raft_log.last_index + 1
        entry = messages.Entry(index, state.term, kind, command)
        state.store.raft_log.append([entry])
        state.record_configurations([entry])
        state.writer_condition.notify_all()
        state.peers_condition.notify_all()
        return entry

    def tick(self) -> None:
        """Steps down if the lease has ended.

        A new leader has the duration of a lease to get the answers of a
        quorum.
        """
        state = self._state
        settings = state.settings
        lease_ms = settings.election_min_ms - settings.drift_margin_ms
        limit_ms = max(self.lease_end_ms(), state.leader_since_ms + lease_ms)
        if state.clock.now_ms() >= limit_ms:
            state.become_follower(state.term, '')

    def lease_end_ms(self) -> int:
        """Returns when the lease ends, on the clock of this replica.

        A quorum grants no vote until then. The lease starts at the oldest
        ``acked_ms`` in the quorum of voters with the newest ones, where this
        replica counts as having answered just now.
        """
        state = self._state
        settings = state.settings
        voters = state.configuration.voter_ids()
        now_ms = state.clock.now_ms()
        acked = sorted(
            (
                now_ms
                if voter == state.replica_id
                else self._progress_of(voter).acked_ms
                for voter in voters
            ),
            reverse=True,
        )
        oldest_ms = acked[state.configuration.quorum_size() - 1]
        return oldest_ms + settings.election_min_ms - settings.drift_margin_ms

    def successor_id(self) -> str:
        """Returns the voter to hand leadership to, empty if there is none.

        Chooses among the voters that have synced the whole log the one whose
        latest answered request is the newest.
        """
        state = self._state
        last_index = state.store.raft_log.last_index
        candidates = [
            voter
            for voter in state.configuration.voter_ids()
            if voter != state.replica_id
            and self._progress_of(voter).match_index == last_index
        ]
        return max(candidates, key=self.acked_ms, default='')

    def match_index(self, member_id: str) -> int:
        """Returns the last index that a member is known to have synced."""
        if member_id == self._state.replica_id:
            return self._state.store.raft_log.synced_index
        return self._progress_of(member_id).match_index

    def acked_ms(self, member_id: str) -> int:
        """Returns when the latest request that a member answered was created.

        Returns ``states.NEVER_MS`` if it has answered none.
        """
        return self._progress_of(member_id).acked_ms

    def has_committed_own_term(self) -> bool:
        """Whether an entry of this term is committed."""
        state = self._state
        raft_log = state.store.raft_log
        return raft_log.term_at(state.commit_index) == state.term

    def next_request(self, member_id: str) -> Request | None:
        """Returns the request to send to a member now, None if none is due."""
        state = self._state
        raft_log = state.store.raft_log
        progress = self._progress_of(member_id)
        if progress.snapshot or progress.next_index <= raft_log.base_index:
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
            previous_term=raft_log.term_at(previous),
            entries=raft_log.entries_from(
                progress.next_index, state.settings.append_batch_bytes
            ),
            commit_index=state.commit_index,
        )

    def next_heartbeat_in_ms(self, member_id: str) -> int:
        """Returns in how many milliseconds a heartbeat to a member is due."""
        state = self._state
        progress = self._progress_of(member_id)
        age_ms = state.clock.now_ms() - progress.sent_ms
        return max(0, state.settings.heartbeat_ms - age_ms)

    def handle_appended(
        self, request: states.OutgoingRequest, answer: messages.Appended
    ) -> None:
        """Updates a member's progress and the commit index.

        If the log of the member did not match, the next request starts at an
        earlier index and is due at once.
        """
        progress = self._accept_answer(request, answer.term)
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

    def handle_snapshot_received(
        self,
        request: states.OutgoingRequest,
        answer: messages.SnapshotReceived,
    ) -> None:
        """Updates the progress of a snapshot that is sent to a member."""
        progress = self._accept_answer(request, answer.term)
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

    def snapshot_retention_index(self) -> int:
        """Returns the index after which log entries must be retained.

        A member that is being sent a snapshot needs the entries after it.
        Otherwise it would need another snapshot as soon as it has this one.
        """
        state = self._state
        oldest_ms = state.clock.now_ms() - SNAPSHOT_IDLE_LIMIT_MS
        return min(
            (
                progress.snapshot.index
                for progress in self._progress.values()
                if progress.snapshot and progress.acked_ms > oldest_ms
            ),
            default=state.store.raft_log.last_index,
        )

    def advance_commit(self) -> None:
        """Raises the commit index to what a quorum of voters has synced.

        Only an entry of the current term is committed by counting replicas;
        all entries before it are committed with it. A leader that is no longer
        a voter steps down once the configuration that removes it is committed.
        """
        state = self._state
        if state.role != messages.ROLE_LEADER:
            return
        voters = state.configuration.voter_ids()
        matches = sorted((self.match_index(v) for v in voters), reverse=True)
        index = matches[state.configuration.quorum_size() - 1]
        if index <= state.commit_index:
            return
        if state.store.raft_log.term_at(index) != state.term:
            return
        state.commit(index)
        state.note_commits(index)
        if state.configuration_index <= index and not state.is_voter:
            state.become_follower(state.term, '')

    def _progress_of(self, member_id: str) -> Progress:
        found = self._progress.get(member_id)
        if found is None:
            found = Progress(self._state.store.raft_log.last_index)
            self._progress[member_id] = found
        return found

    def _is_due(self, progress: Progress) -> bool:
        state = self._state
        if progress.next_index <= state.store.raft_log.last_index:
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
            progress.snapshot = OutgoingSnapshot(data)
        snapshot = progress.snapshot
        start = snapshot.offset_bytes
        end = start + state.settings.snapshot_chunk_bytes
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

    def _accept_answer(
        self, request: states.OutgoingRequest, term: int
    ) -> Progress | None:
        """Returns the member's progress if the answer belongs to this term.

        Steps down if the answer has a higher term.
        """
        state = self._state
        if term > state.term:
            state.become_follower(term, '')
            return None
        if state.role != messages.ROLE_LEADER:
            return None
        if request.message.term != state.term or term != state.term:
            return None
        progress = self._progress_of(request.member_id)
        progress.acked_ms = max(progress.acked_ms, request.sent_ms)
        return progress
