"""Applies committed entries, takes and installs snapshots."""

import typing

from masticquay_consensus import errors
from masticquay_consensus import followers
from masticquay_consensus import leaders
from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import states
from masticquay_consensus import stores

MAX_ENTRIES_PER_APPLY = 256
# When the log file is larger than this, a snapshot is taken early, and no
# entries that the snapshot covers stay in the log.
MAX_LOG_FILE_BYTES = 8 * 1024 * 1024
# The delay after a snapshot or a compaction for which the disk had no room.
ROOM_RETRY_MS = 250


class Applier:
    """The only component that calls the state machine.

    Calls the state machine, the callbacks of futures and the role hooks
    without holding the replica's lock.
    """

    def __init__(
        self,
        state: states.State,
        state_machine: protocols.StateMachine,
        follower: followers.Follower,
        leader: leaders.Leader,
    ):
        self._state = state
        self._store = state.store
        self._settings = state.settings
        self._state_machine = state_machine
        self._follower = follower
        self._leader = leader
        self._retry_ms = states.NEVER_MS
        # The index up to which the log is to be compacted, None for none.
        self._compaction_index: int | None = None
        self.role_hooks: list[protocols.RoleHook] = []

    def apply(self) -> bool:
        """Does all work that is due.

        Installs a snapshot that the leader sent, applies committed entries,
        completes proposals, calls role hooks, and takes a snapshot.

        What the disk has no room for is tried again later.

        :returns: whether anything was done
        """
        installed = self._try_to_store(self._install_snapshot)
        applied = self._apply_entries()
        delivered = self.deliver_completions()
        stored = self._try_to_store(self._take_snapshot_if_due)
        return installed or applied or delivered or stored

    def _try_to_store(self, step: typing.Callable[[], bool]) -> bool:
        now_ms = self._state.clock.now_ms()
        if now_ms < self._retry_ms:
            return False
        try:
            return step()
        except errors.NoRoomError:
            self._retry_ms = now_ms + ROOM_RETRY_MS
            return False

    @property
    def waits_for_room(self) -> bool:
        """Whether a snapshot or a compaction is tried again later."""
        return self._state.clock.now_ms() < self._retry_ms

    def has_work(self) -> bool:
        """Whether ``apply`` has anything to do but take a snapshot.

        Does not check whether a snapshot is due; each call of ``apply`` does.
        """
        state = self._state
        with state.lock:
            return bool(
                state.applied_index < state.commit_index
                or state.completions
                or state.role_changes
                or self._follower.received_snapshot()
            )

    def restore(self, snapshot: stores.Snapshot) -> None:
        """Restores the state machine from the stored snapshot."""
        with self._state.lock:
            self._state.reset_configurations(
                snapshot.index, snapshot.configuration
            )
        if snapshot.index:
            self._state_machine.restore(snapshot.data, snapshot.index)

    def _install_snapshot(self) -> bool:
        """Installs the snapshot that the leader sent, if it is complete.

        :returns: whether one was complete, even if it was not installed
        """
        state = self._state
        with state.lock:
            incoming = self._follower.received_snapshot()
            if incoming is None:
                return False
            snapshot = self._decode_snapshot(incoming)
            state.installing_snapshot = snapshot is not None
        if snapshot is not None:
            self._store_received(snapshot)
            self._state_machine.restore(snapshot.data, snapshot.index)
        with state.lock:
            if snapshot is not None:
                self._finish_install(snapshot)
            self._follower.incoming_snapshot = None
            answer = messages.SnapshotReceived(
                state.term, incoming.total_bytes if snapshot else 0
            )
        incoming.future.set_result(answer)
        return True

    def _decode_snapshot(
        self, incoming: followers.IncomingSnapshot
    ) -> stores.Snapshot | None:
        """Returns the received snapshot, None if it is corrupt or outdated."""
        try:
            snapshot = stores.Snapshot.from_bytes(bytes(incoming.data))
        except errors.DamagedStorageError:
            return None
        if snapshot.index <= self._state.commit_index:
            return None
        return snapshot

    def _store_received(self, snapshot: stores.Snapshot) -> None:
        """Stores a snapshot of the leader and drops the log before it.

        :raises NoRoomError: when the disk has no room for either; the state
            machine and the log are as before
        """
        try:
            self._store.save_snapshot(snapshot)
            with self._state.lock:
                self._store.raft_log.compact(snapshot.index, snapshot.term)
        except errors.NoRoomError:
            with self._state.lock:
                self._state.installing_snapshot = False
            raise

    def _finish_install(self, snapshot: stores.Snapshot) -> None:
        state = self._state
        state.reset_configurations(snapshot.index, snapshot.configuration)
        state.commit(snapshot.index)
        state.applied_index = snapshot.index
        state.installing_snapshot = False
        state.counters.snapshots_installed += 1

    def _apply_entries(self) -> bool:
        state = self._state
        with state.lock:
            if not self._store.formed:
                return False
            first = state.applied_index
            last = min(state.commit_index, first + MAX_ENTRIES_PER_APPLY)
            entries = self._store.raft_log.entries_between(first, last)
        if not entries:
            return False
        answers = [self._apply_entry(entry) for entry in entries]
        with state.lock:
            state.applied_index = last
            state.counters.entries_applied += len(entries)
            for entry, answer in zip(entries, answers, strict=True):
                self._complete_proposal(entry, answer)
            state.applier_condition.notify_all()
        return True

    def _apply_entry(self, entry: messages.Entry) -> bytes:
        if entry.kind != messages.KIND_COMMAND:
            return b''
        return self._state_machine.apply(entry.index, entry.command)

    def _complete_proposal(self, entry: messages.Entry, answer: bytes) -> None:
        proposal = self._state.proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            self._state.completions.append((proposal.future, answer))
        else:
            error = errors.ProposalUnknownError('leadership was lost')
            self._state.completions.append((proposal.future, error))

    def deliver_completions(self) -> bool:
        """Completes the futures of proposals and calls the role hooks.

        :returns: whether there were any
        """
        state = self._state
        with state.lock:
            completions = list(state.completions)
            state.completions.clear()
            changes = list(state.role_changes)
            state.role_changes.clear()
        for future, outcome in completions:
            if isinstance(outcome, Exception):
                future.set_exception(outcome)
            else:
                future.set_result(outcome)
        for leading, term in changes:
            for hook in self.role_hooks:
                hook(leading, term)
        return bool(completions or changes)

    def _take_snapshot_if_due(self) -> bool:
        """Takes a snapshot and compacts the log, if it has grown enough.

        :returns: whether a snapshot was taken
        :raises NoRoomError: when the disk has no room for it
        """
        self._compact()
        state = self._state
        with state.lock:
            if not self._store.formed:
                return False
            index = state.applied_index
            raft_log = self._store.raft_log
            entries_since_snapshot = index - self._store.snapshot_index
            log_is_large = (
                raft_log.size_bytes > MAX_LOG_FILE_BYTES
                and entries_since_snapshot > 0
            )
            if (
                entries_since_snapshot
                < self._settings.snapshot_interval_entries
                and not log_is_large
            ):
                if self._follower.received_snapshot() is None:
                    self._store.room.note_found(stores.SNAPSHOT_FILE)
                return False
            term = raft_log.term_at(index)
            configuration = state.configuration_at(index)
        data = self._state_machine.snapshot()
        self._store.save_snapshot(
            stores.Snapshot(index, term, configuration, data)
        )
        with state.lock:
            state.counters.snapshots_taken += 1
            state.prune_configurations(index)
            retained = 0 if log_is_large else self._settings.retained_entries
            retained_from = index - retained
            if not log_is_large and state.role == messages.ROLE_LEADER:
                retained_from = min(
                    retained_from, self._leader.snapshot_retention_index()
                )
            self._compaction_index = retained_from
        self._compact()
        return True

    def _compact(self) -> None:
        """Removes the entries from the log that a snapshot made obsolete.

        :raises NoRoomError: when the disk has no room for the new log; it is
            tried again then
        """
        if self._compaction_index is None:
            return
        with self._state.lock:
            raft_log = self._store.raft_log
            index = max(raft_log.base_index, self._compaction_index)
            raft_log.compact(index, raft_log.term_at(index))
        self._compaction_index = None
