"""Writes the log, and goes on after the disk was full."""

from masticquay_consensus import errors
from masticquay_consensus import followers
from masticquay_consensus import leaders
from masticquay_consensus import messages
from masticquay_consensus import raft_logs
from masticquay_consensus import states
from masticquay_consensus import stores
from masticquay_wire import errors as wire_errors

CODE_NO_ROOM = 'no-room'
# A leader whose disk is full steps down when it holds more commands than this
# that it has not stored. Until then the others' disks suffice.
MAX_UNSTORED_BYTES = 8 * 1024 * 1024
# The interval at which a term and vote that found no room are stored again.
ROOM_CHECK_MS = 200


class LogWriter:
    """Syncs appended entries and answers the requests that wait for it."""

    __slots__ = (
        '_state',
        '_store',
        '_follower',
        '_leader',
        '_next_room_check_ms',
    )

    def __init__(
        self,
        state: states.State,
        follower: followers.Follower,
        leader: leaders.Leader,
    ):
        self._state = state
        self._store = state.store
        self._follower = follower
        self._leader = leader
        self._next_room_check_ms = states.NEVER_MS

    def flush(self) -> bool:
        """Does the work of ``replicas.Replica.flush``."""
        state = self._state
        with state.lock:
            if not self._store.formed or not self._store.raft_log.has_pending:
                return False
            raft_log = self._store.raft_log
            batch = raft_log.take_pending()
        try:
            raft_log.flush(batch)
        except errors.NoRoomError as cause:
            self._keep_unstored(batch, cause)
            return False
        with state.lock:
            raft_log.mark_flushed(batch)
            self._leader.advance_commit()
            answers = self._follower.pop_synced_answers()
        for future, answer in answers:
            future.set_result(answer)
        return True

    def check_room(self) -> None:
        """Stores term and vote again if there was no room for them.

        Nothing else would show that there is room for them again.

        :raises NoRoomError: when there still is none
        """
        if not self._store.room.is_missing_for(stores.VOTE_FILE):
            return
        now_ms = self._state.clock.now_ms()
        if now_ms >= self._next_room_check_ms:
            self._next_room_check_ms = now_ms + ROOM_CHECK_MS
            self._store.save_term_and_vote(
                self._store.term, self._store.voted_for
            )

    def _keep_unstored(
        self, batch: raft_logs.Batch, cause: errors.NoRoomError
    ) -> None:
        """Keeps a batch for which there was no room, and refuses answers."""
        state = self._state
        with state.lock:
            raft_log = self._store.raft_log
            raft_log.restore_pending(batch)
            refused = self._follower.pop_all_answers()
            if (
                state.role == messages.ROLE_LEADER
                and raft_log.pending_bytes > MAX_UNSTORED_BYTES
            ):
                state.become_follower(state.term, '')
        error = wire_errors.RemoteError(CODE_NO_ROOM, str(cause))
        for future in refused:
            future.set_exception(error)
