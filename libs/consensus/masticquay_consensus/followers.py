"""The replica as a follower: entries and snapshots from the leader."""

from concurrent import futures

from masticquay_consensus import errors
from masticquay_consensus import messages
from masticquay_consensus import states

AppendAnswer = messages.Appended | futures.Future
InstallAnswer = messages.SnapshotReceived | futures.Future


class Waiter:
    """An answer held back until entries are synced."""

    __slots__ = ('term', 'match_index', 'future')

    def __init__(self, term: int, match_index: int, future: futures.Future):
        self.term = term
        self.match_index = match_index
        self.future = future


class Transfer:
    """A snapshot that is arriving in chunks."""

    __slots__ = ('key', 'total_bytes', 'data', 'future')

    def __init__(self, key: tuple, total_bytes: int):
        self.key = key
        self.total_bytes = total_bytes
        self.data = bytearray()
        self.future: futures.Future = futures.Future()

    @property
    def complete(self) -> bool:
        """Whether every byte has arrived."""
        return len(self.data) >= self.total_bytes


class Follower:
    """Takes over what the leader sends."""

    def __init__(self, state: states.State):
        self._state = state
        self._waiters: list[Waiter] = []
        self.transfer: Transfer | None = None

    def handle_append(self, request: messages.AppendEntries) -> AppendAnswer:
        """Adds entries; the answer waits until they are synced."""
        state = self._state
        if request.term < state.term:
            return messages.Appended(state.term, False, state.commit_index)
        self._hear(request.term, request.from_id)
        if state.installing:
            return messages.Appended(state.term, False, state.commit_index)
        if not self._follows(request):
            hint = self._find_hint(request.previous_index)
            return messages.Appended(state.term, False, hint)
        self._add(request.entries)
        last = request.previous_index + len(request.entries)
        state.commit(min(request.commit_index, last))
        return self._answer_when_synced(last)

    def take_synced(self) -> list[tuple[futures.Future, messages.Appended]]:
        """Returns the answers that need not wait any longer."""
        state = self._state
        ready = []
        waiting = []
        for waiter in self._waiters:
            if waiter.term != state.term:
                answer = messages.Appended(
                    state.term, False, state.commit_index
                )
                ready.append((waiter.future, answer))
            elif state.store.journal.synced_index >= waiter.match_index:
                answer = messages.Appended(
                    state.term, True, waiter.match_index
                )
                ready.append((waiter.future, answer))
            else:
                waiting.append(waiter)
        self._waiters = waiting
        return ready

    def handle_install(
        self, request: messages.InstallSnapshot
    ) -> InstallAnswer:
        """Takes a chunk; the answer to the last waits for the restore."""
        state = self._state
        if request.term < state.term:
            return messages.SnapshotReceived(state.term, 0)
        self._hear(request.term, request.from_id)
        if request.last_index <= state.commit_index:
            return messages.SnapshotReceived(state.term, request.total_bytes)
        transfer = self._find_transfer(request)
        if request.offset_bytes == len(transfer.data):
            transfer.data += request.data
        if not transfer.complete:
            return messages.SnapshotReceived(state.term, len(transfer.data))
        state.applier_wake.notify_all()
        return transfer.future

    def take_transfer(self) -> Transfer | None:
        """Returns the snapshot to restore from, if one has arrived."""
        if self.transfer is None or not self.transfer.complete:
            return None
        return self.transfer

    def _hear(self, term: int, leader_id: str) -> None:
        state = self._state
        if (
            term > state.term
            or state.role != messages.ROLE_FOLLOWER
            or state.leader_id != leader_id
        ):
            state.follow(term, leader_id)
            return
        state.heard_ms = state.clock.now_ms()
        state.defer_election()

    def _follows(self, request: messages.AppendEntries) -> bool:
        """Whether the log holds the entry before the first sent one."""
        journal = self._state.store.journal
        if request.previous_index < journal.base_index:
            # Entries before the base are committed, so the leader has them.
            return True
        held = journal.term_at(request.previous_index)
        return held == request.previous_term

    def _find_hint(self, previous_index: int) -> int:
        """Returns an index from which the leader may try again."""
        state = self._state
        journal = state.store.journal
        if previous_index > journal.last_index:
            return journal.last_index
        conflicting = journal.term_at(previous_index)
        hint = previous_index - 1
        while (
            hint > state.commit_index and journal.term_at(hint) == conflicting
        ):
            hint -= 1
        return max(hint, state.commit_index)

    def _add(self, entries: list[messages.Entry]) -> None:
        state = self._state
        journal = state.store.journal
        for position, entry in enumerate(entries):
            if entry.index <= journal.base_index:
                continue
            if journal.term_at(entry.index) == entry.term:
                continue
            if entry.index <= state.commit_index:
                raise errors.StorageError(
                    f'committed entry {entry.index} would be replaced'
                )
            journal.append(entries[position:])
            state.note_configurations(entries[position:])
            state.writer_wake.notify_all()
            return

    def _answer_when_synced(self, index: int) -> AppendAnswer:
        state = self._state
        if state.store.journal.synced_index >= index:
            return messages.Appended(state.term, True, index)
        waiter = Waiter(state.term, index, futures.Future())
        self._waiters.append(waiter)
        return waiter.future

    def _find_transfer(self, request: messages.InstallSnapshot) -> Transfer:
        key = (
            request.from_id,
            request.term,
            request.last_index,
            request.last_term,
            request.total_bytes,
        )
        if self.transfer is None or self.transfer.key != key:
            self.transfer = Transfer(key, request.total_bytes)
        return self.transfer
