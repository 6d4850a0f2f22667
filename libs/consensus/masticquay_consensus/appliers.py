"""Applies committed entries, and takes and installs snapshots."""

from masticquay_consensus import errors
from masticquay_consensus import followers
from masticquay_consensus import leaders
from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import states
from masticquay_consensus import stores

MAX_APPLIED_AT_ONCE = 256
SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024


class Applier:
    """The only user of the state machine.

    The state machine, futures and hooks run without the replica's lock.
    """

    def __init__(
        self,
        state: states.State,
        machine: protocols.StateMachine,
        follower: followers.Follower,
        leader: leaders.Leader,
    ):
        self._state = state
        self._store = state.store
        self._settings = state.settings
        self._machine = machine
        self._follower = follower
        self._leader = leader
        self.hooks: list[protocols.RoleHook] = []

    def apply(self) -> bool:
        """Applies committed entries and takes or installs snapshots.

        :returns: whether anything was done
        """
        installed = self._install()
        applied = self._apply_entries()
        settled = self.settle()
        compacted = self._snapshot_if_due()
        return installed or applied or settled or compacted

    def has_work(self) -> bool:
        """Whether ``apply`` has something to do."""
        state = self._state
        with state.lock:
            return bool(
                state.applied_index < state.commit_index
                or state.settled
                or state.role_changes
                or self._follower.take_transfer()
            )

    def restore(self, snapshot: stores.Snapshot) -> None:
        """Starts from the stored snapshot."""
        with self._state.lock:
            self._state.reset_configurations(
                snapshot.index, snapshot.configuration
            )
        if snapshot.index:
            self._machine.restore(snapshot.data, snapshot.index)

    def _install(self) -> bool:
        state = self._state
        with state.lock:
            transfer = self._follower.take_transfer()
            if transfer is None:
                return False
            snapshot = self._read_transfer(transfer)
            state.installing = snapshot is not None
        if snapshot is not None:
            self._store.save_snapshot(snapshot)
            self._machine.restore(snapshot.data, snapshot.index)
        with state.lock:
            if snapshot is not None:
                self._finish_install(snapshot)
            self._follower.transfer = None
            answer = messages.SnapshotReceived(
                state.term, transfer.total_bytes if snapshot else 0
            )
        transfer.future.set_result(answer)
        return True

    def _read_transfer(
        self, transfer: followers.Transfer
    ) -> stores.Snapshot | None:
        """Reads an arrived snapshot, unless it is damaged or old."""
        try:
            snapshot = stores.Snapshot.from_bytes(bytes(transfer.data))
        except errors.DamagedStorageError:
            return None
        if snapshot.index <= self._state.commit_index:
            return None
        return snapshot

    def _finish_install(self, snapshot: stores.Snapshot) -> None:
        state = self._state
        self._store.journal.compact(snapshot.index, snapshot.term)
        state.reset_configurations(snapshot.index, snapshot.configuration)
        state.commit(snapshot.index)
        state.applied_index = snapshot.index
        state.installing = False
        state.counters.snapshots_installed += 1

    def _apply_entries(self) -> bool:
        state = self._state
        with state.lock:
            if not self._store.formed:
                return False
            first = state.applied_index
            last = min(state.commit_index, first + MAX_APPLIED_AT_ONCE)
            entries = self._store.journal.entries_between(first, last)
        if not entries:
            return False
        answers = [self._apply_entry(entry) for entry in entries]
        with state.lock:
            state.applied_index = last
            state.counters.entries_applied += len(entries)
            for entry, answer in zip(entries, answers, strict=True):
                self._settle_proposal(entry, answer)
            state.applier_wake.notify_all()
        return True

    def _apply_entry(self, entry: messages.Entry) -> bytes:
        if entry.kind != messages.KIND_COMMAND:
            return b''
        return self._machine.apply(entry.index, entry.command)

    def _settle_proposal(self, entry: messages.Entry, answer: bytes) -> None:
        proposal = self._state.proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            self._state.settled.append((proposal.future, answer))
        else:
            error = errors.ProposalUnknownError('leadership was lost')
            self._state.settled.append((proposal.future, error))

    def settle(self) -> bool:
        """Ends futures and calls hooks, outside the lock."""
        state = self._state
        with state.lock:
            settled = list(state.settled)
            state.settled.clear()
            changes = list(state.role_changes)
            state.role_changes.clear()
        for future, outcome in settled:
            if isinstance(outcome, Exception):
                future.set_exception(outcome)
            else:
                future.set_result(outcome)
        for leading, term in changes:
            for hook in self.hooks:
                hook(leading, term)
        return bool(settled or changes)

    def _snapshot_if_due(self) -> bool:
        state = self._state
        with state.lock:
            if not self._store.formed:
                return False
            index = state.applied_index
            journal = self._store.journal
            age_entries = index - self._store.snapshot_index
            large = journal.size_bytes > SNAPSHOT_LOG_BYTES and age_entries
            if age_entries < self._settings.snapshot_entries and not large:
                return False
            term = journal.term_at(index)
            configuration = state.configuration_at(index)
        data = self._machine.snapshot()
        self._store.save_snapshot(
            stores.Snapshot(index, term, configuration, data)
        )
        with state.lock:
            state.counters.snapshots_taken += 1
            state.prune_configurations(index)
            retained = 0 if large else self._settings.retained_entries
            kept_from = index - retained
            if not large and state.role == messages.ROLE_LEADER:
                kept_from = min(kept_from, self._leader.transfer_floor())
            base_index = max(journal.base_index, kept_from)
            journal.compact(base_index, journal.term_at(base_index))
        return True
