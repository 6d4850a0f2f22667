"""The follower role: receives entries and snapshots from the leader."""

from concurrent import futures

from masticquay_consensus import errors
from masticquay_consensus import messages
from masticquay_consensus import states

AppendAnswer = messages.Appended | futures.Future
InstallAnswer = messages.SnapshotReceived | futures.Future


class PendingAnswer:
    """An answer to AppendEntries that waits until the entries are synced.

    :param term: the term of the request
    :param match_index: the index up to which the log must be synced
    :param future: completes with the answer
    """

    __slots__ = ('term', 'match_index', 'future')

    def __init__(self, term: int, match_index: int, future: futures.Future):
        self.term = term
        self.match_index = match_index
        self.future = future


class IncomingSnapshot:
    """A snapshot that is being received in chunks.

    :param key: identifies the snapshot and the leader that sends it
    :param total_bytes: the length of the encoded snapshot
    """

    __slots__ = ('key', 'total_bytes', 'data', 'future')

    def __init__(self, key: tuple, total_bytes: int):
        self.key = key
        self.total_bytes = total_bytes
        self.data = bytearray()
        self.future: futures.Future = futures.Future()

    @property
    def complete(self) -> bool:
        """Whether all bytes have arrived."""
        return len(self.data) >= self.total_bytes


class Follower:
    """Handles the leader's requests."""

    def __init__(self, state: states.State):
        self._state = state
        self._pending_answers: list[PendingAnswer] = []
        self.incoming_snapshot: IncomingSnapshot | None = None

    def handle_append(self, request: messages.AppendEntries) -> AppendAnswer:
        """Appends the entries of a leader.

        :returns: the answer, or a future that completes with it once the
            entries are synced
        :raises NoRoomError: when the disk has no room for the entries
        :raises StorageError: when an entry conflicts with a committed one
        """
        state = self._state
        if request.term < state.term:
            return messages.Appended(state.term, False, state.commit_index)
        self._record_leader_contact(request.term, request.from_id)
        if state.installing_snapshot:
            return messages.Appended(state.term, False, state.commit_index)
        if not self._matches_log(request):
            retry_index = self._find_retry_index(request.previous_index)
            return messages.Appended(state.term, False, retry_index)
        self._append_new(request.entries)
        last = request.previous_index + len(request.entries)
        state.commit(min(request.commit_index, last))
        if request.commit_index <= last:
            state.note_commits(request.commit_index)
        return self._answer_when_synced(last)

    def pop_synced_answers(
        self,
    ) -> list[tuple[futures.Future, messages.Appended]]:
        """Removes and returns the answers that are due, with their futures.

        An answer is due once its entries are synced. If the term has changed,
        it is due at once, as a rejection.
        """
        state = self._state
        ready = []
        waiting = []
        for pending in self._pending_answers:
            if pending.term != state.term:
                answer = messages.Appended(
                    state.term, False, state.commit_index
                )
                ready.append((pending.future, answer))
            elif state.store.raft_log.synced_index >= pending.match_index:
                answer = messages.Appended(
                    state.term, True, pending.match_index
                )
                ready.append((pending.future, answer))
            else:
                waiting.append(pending)
        self._pending_answers = waiting
        return ready

    def pop_all_answers(self) -> list[futures.Future]:
        """Removes and returns the futures of all answers that wait."""
        waiting = [pending.future for pending in self._pending_answers]
        self._pending_answers = []
        return waiting

    def handle_install(
        self, request: messages.InstallSnapshot
    ) -> InstallAnswer:
        """Receives a chunk of a snapshot.

        :returns: the answer; for the last chunk a future, which completes with
            the answer once the snapshot is installed or rejected
        """
        state = self._state
        if request.term < state.term:
            return messages.SnapshotReceived(state.term, 0)
        self._record_leader_contact(request.term, request.from_id)
        if request.last_index <= state.commit_index:
            return messages.SnapshotReceived(state.term, request.total_bytes)
        incoming = self._incoming_snapshot_for(request)
        if request.offset_bytes == len(incoming.data):
            incoming.data += request.data
        if not incoming.complete:
            return messages.SnapshotReceived(state.term, len(incoming.data))
        state.applier_condition.notify_all()
        return incoming.future

    def received_snapshot(self) -> IncomingSnapshot | None:
        """Returns the incoming snapshot, None if parts of it are missing."""
        if (
            self.incoming_snapshot is None
            or not self.incoming_snapshot.complete
        ):
            return None
        return self.incoming_snapshot

    def _record_leader_contact(self, term: int, leader_id: str) -> None:
        """Records that the leader was heard from and follows it."""
        state = self._state
        if (
            term > state.term
            or state.role != messages.ROLE_FOLLOWER
            or state.leader_id != leader_id
        ):
            state.become_follower(term, leader_id)
            return
        state.leader_contact_ms = state.clock.now_ms()
        state.reset_election_timer()

    def _matches_log(self, request: messages.AppendEntries) -> bool:
        """Whether the log holds the entry before the ones in the request."""
        raft_log = self._state.store.raft_log
        if request.previous_index < raft_log.base_index:
            # Entries before the base are committed, so they match the
            # leader's.
            return True
        previous_term = raft_log.term_at(request.previous_index)
        return previous_term == request.previous_term

    def _find_retry_index(self, previous_index: int) -> int:
        """Returns the index after which the leader should retry.

        Skips the whole conflicting term, to save round trips.
        """
        state = self._state
        raft_log = state.store.raft_log
        if previous_index > raft_log.last_index:
            return raft_log.last_index
        conflicting_term = raft_log.term_at(previous_index)
        retry_index = previous_index - 1
        while (
            retry_index > state.commit_index
            and raft_log.term_at(retry_index) == conflicting_term
        ):
            retry_index -= 1
        return max(retry_index, state.commit_index)

    def _append_new(self, entries: list[messages.Entry]) -> None:
        """Appends the entries that are not in the log yet."""
        state = self._state
        raft_log = state.store.raft_log
        for position, entry in enumerate(entries):
            if entry.index <= raft_log.base_index:
                continue
            if raft_log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= state.commit_index:
                raise errors.StorageError(
                    "the leader's entry conflicts with the follower's at the "
                    f'committed index {entry.index}'
                )
            self._require_room()
            raft_log.append(entries[position:])
            state.record_configurations(entries[position:])
            state.writer_condition.notify_all()
            return

    def _answer_when_synced(self, index: int) -> AppendAnswer:
        """Returns the answer, or its future if the log is not yet synced."""
        state = self._state
        if state.store.raft_log.synced_index >= index:
            return messages.Appended(state.term, True, index)
        self._require_room()
        pending = PendingAnswer(state.term, index, futures.Future())
        self._pending_answers.append(pending)
        return pending.future

    def _require_room(self) -> None:
        if self._state.lacks_log_room:
            raise errors.NoRoomError('the disk has no room for the log')

    def _incoming_snapshot_for(
        self, request: messages.InstallSnapshot
    ) -> IncomingSnapshot:
        """Returns the snapshot that a chunk belongs to.

        Discards what was received before if the chunk is of another snapshot,
        or comes from another leader or in another term.
        """
        key = (
            request.from_id,
            request.term,
            request.last_index,
            request.last_term,
            request.total_bytes,
        )
        if self.incoming_snapshot is None or self.incoming_snapshot.key != key:
            self.incoming_snapshot = IncomingSnapshot(key, request.total_bytes)
        return self.incoming_snapshot
