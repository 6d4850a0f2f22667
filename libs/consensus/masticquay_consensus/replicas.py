"""One replica, without threads: ``nodes.Node`` or a test drives it."""

from concurrent import futures
import contextlib
import random

from masticquay_consensus import appliers
from masticquay_consensus import elections
from masticquay_consensus import errors
from masticquay_consensus import followers
from masticquay_consensus import leaders
from masticquay_consensus import log_writers
from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import restart_proofs
from masticquay_consensus import settings as settings_module
from masticquay_consensus import states
from masticquay_consensus import statuses
from masticquay_consensus import stores
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages

CODE_WRONG_IDENTITY = 'wrong-identity'
CODE_NOT_FORMED = 'not-formed'


class Replica:
    """A replica that is a member of a group or waits to be added to one.

    All public methods are thread-safe, except that only one thread at a time
    may call ``flush``, and only one ``apply``.
    """

    def __init__(
        self,
        store: stores.Store,
        state_machine: protocols.StateMachine,
        settings: settings_module.Settings,
        clock: clocks.Clock,
        randomness: random.Random,
    ):
        self._store = store
        self._settings = settings
        self.state = states.State(store, settings, clock, randomness)
        self._restart_proof = restart_proofs.RestartProof(self.state)
        self._elections = elections.Elections(self.state, self._restart_proof)
        self._follower = followers.Follower(self.state)
        self._leader = leaders.Leader(self.state)
        self._log_writer = log_writers.LogWriter(
            self.state, self._follower, self._leader
        )
        self._statuses = statuses.Statuses(self.state, self._leader)
        self._applier = appliers.Applier(
            self.state, state_machine, self._follower, self._leader
        )
        if store.formed:
            self._applier.restore(
                stores.Snapshot.from_bytes(store.read_snapshot())
            )

    def join_group(self, configuration: messages.Configuration) -> None:
        """Makes this replica a member of a group, unless it is one already.

        A member that does not know the others yet learns them.

        :param configuration: the members of the group; empty while they are
            unknown
        """
        with self.state.lock:
            if self._store.formed:
                if configuration.members and not self.knows_members:
                    self._learn_members(configuration)
                return
            self._store.join_group(configuration)
            self.state.reset_configurations(0, configuration)
            # A replica with a new identity has never acknowledged a leader,
            # so it may vote at once.
            self.state.leader_contact_ms = states.NEVER_MS

    @property
    def knows_members(self) -> bool:
        """Whether this replica belongs to a group whose members it knows."""
        return bool(self.state.configuration.members)

    def _learn_members(self, configuration: messages.Configuration) -> None:
        """Takes the members with which the group was formed.

        A request of one of them has arrived before the configuration. Their
        log may have entries already, which come after it.
        """
        if self._store.snapshot_index:
            return
        self._store.save_founders(configuration)
        self.state.reset_configurations(0, configuration)

    def add_role_hook(self, hook: protocols.RoleHook) -> None:
        """Registers a hook for gained and lost leadership."""
        self._applier.role_hooks.append(hook)

    def tick(self) -> None:
        """Checks the election timer or, as a leader, the lease."""
        with self.state.lock:
            if not self._store.formed:
                return
            with contextlib.suppress(errors.NoRoomError):
                self._log_writer.check_room()
                if self.state.role == messages.ROLE_LEADER:
                    self._leader.tick()
                elif self._elections.tick():
                    self._leader.begin()

    def handle(
        self, message: protocols.AddressedRequest
    ) -> wire_messages.Message | futures.Future:
        """Handles a request of another replica.

        Any request but AskStart makes this replica a member of a group whose
        configuration it does not know yet: only members send such requests.

        :returns: the answer, or a future that completes with it
        :raises RemoteError: when the message is for another identity, or
            AskStart arrives before this replica is a member of a group, or
            when the disk is full
        """
        try:
            return self._handle(message)
        except errors.NoRoomError as cause:
            raise wire_errors.RemoteError(
                log_writers.CODE_NO_ROOM, str(cause)
            ) from cause

    def _handle(
        self, message: protocols.AddressedRequest
    ) -> wire_messages.Message | futures.Future:
        with self.state.lock:
            if message.to_id != self.state.replica_id:
                raise wire_errors.RemoteError(
                    CODE_WRONG_IDENTITY, f'this is {self.state.replica_id}'
                )
            if isinstance(message, messages.AskStart):
                return self._report_start()
            self.join_group(messages.Configuration([]))
            if isinstance(message, messages.RequestVote):
                return self._elections.handle(message)
            if isinstance(message, messages.TakeLead):
                return self._elections.handle_take_lead(message)
            if isinstance(message, messages.AppendEntries):
                return self._follower.handle_append(message)
            return self._follower.handle_install(message)

    def next_request(self, member_id: str) -> states.OutgoingRequest | None:
        """Returns the request to send to a member now, None if none is due."""
        state = self.state
        with state.lock:
            if state.role == messages.ROLE_LEADER:
                message = self._leader.next_request(member_id)
            else:
                message = self._elections.next_request(member_id)
                message = message or self._restart_proof.next_request(
                    member_id
                )
            if message is None:
                return None
            return states.OutgoingRequest(
                member_id, message, state.clock.now_ms()
            )

    def wait_for_request(
        self, member_id: str, timeout_ms: int
    ) -> states.OutgoingRequest | None:
        """Returns the next request to a member, None after a timeout.

        May return None early; the caller then calls again.
        """
        state = self.state
        with state.lock:
            request = self.next_request(member_id)
            if request is not None:
                return request
            if state.role == messages.ROLE_LEADER:
                due_ms = self._leader.next_heartbeat_in_ms(member_id)
                timeout_ms = min(timeout_ms, due_ms)
            state.peers_condition.wait(timeout_ms / 1000)
            return self.next_request(member_id)

    def handle_answer(
        self, request: states.OutgoingRequest, answer: wire_messages.Message
    ) -> None:
        """Handles the answer to a request.

        Without room for a term that it brings, it counts as lost.
        """
        with self.state.lock, contextlib.suppress(errors.NoRoomError):
            if isinstance(answer, messages.Vote):
                won = self._elections.handle_vote(
                    request.member_id, request.message, answer
                )
                if won:
                    self._leader.begin()
            elif isinstance(answer, messages.StartReport):
                self._restart_proof.handle_report(
                    request.member_id, request.message, answer
                )
                self.tick()
            elif isinstance(answer, messages.Appended):
                self._leader.handle_appended(request, answer)
            elif isinstance(answer, messages.SnapshotReceived):
                self._leader.handle_snapshot_received(request, answer)

    def handle_failure(
        self,
        request: states.OutgoingRequest,
        error: wire_errors.RemoteError | None = None,
    ) -> None:
        """Handles a request that failed.

        :param error: the error that the process at the address answered with;
            None if there was no answer
        """
        with self.state.lock:
            if not isinstance(request.message, messages.AskStart):
                self._elections.handle_failure(request.member_id)
                return
            self._restart_proof.handle_failure(request.member_id)
            if error is not None and error.code == CODE_WRONG_IDENTITY:
                self._restart_proof.handle_replaced_voter(
                    request.member_id, request.message, error.detail
                )
                self.tick()

    def propose(self, command: bytes) -> 'futures.Future[bytes]':
        """Proposes a command; see ``protocols.ReplicatedLog.propose``."""
        future: futures.Future = futures.Future()
        future.set_running_or_notify_cancel()
        if len(command) > self._settings.max_command_bytes:
            future.set_exception(
                errors.ConsensusError('the command is too large')
            )
            return future
        error = self._append(messages.KIND_COMMAND, command, future)
        if error is not None:
            future.set_exception(error)
        return future

    def propose_configuration(
        self, configuration: messages.Configuration
    ) -> futures.Future:
        """Proposes a configuration that differs in one member.

        The future fails with ReplicaChangeError while another change is
        uncommitted, or this leader has no entry of its term committed.
        """
        future: futures.Future = futures.Future()
        future.set_running_or_notify_cancel()
        with self.state.lock:
            pending = self.state.configuration_index > self.state.commit_index
            leading = self.state.role == messages.ROLE_LEADER
            if leading and (
                pending or not self._leader.has_committed_own_term()
            ):
                future.set_exception(
                    errors.ReplicaChangeError('another change is in progress')
                )
                return future
            error = self._append(
                messages.KIND_CONFIGURATION,
                states.encode_configuration(configuration),
                future,
            )
        if error is not None:
            future.set_exception(error)
        return future

    def flush(self) -> bool:
        """Syncs the entries appended since the last call.

        Then raises the commit index, as a leader, and answers the requests
        that waited for the sync.

        Entries for which the disk has no room stay to be synced; requests
        that waited for them are refused.

        :returns: whether entries were synced
        :raises StorageError: when the entries may not be durable
        """
        return self._log_writer.flush()

    def apply(self) -> bool:
        """Does the work of ``appliers.Applier.apply``.

        :returns: whether there was anything to do
        """
        return self._applier.apply()

    def step_down(self) -> states.OutgoingRequest | None:
        """Gives up leadership and the lease, if a follower can take over.

        From then on, nothing may rely on this leader's lease, since the
        successor does not wait until it expires.

        :returns: the request to send to that follower; None when this
            replica is not the leader or no follower has the whole log
        """
        state = self.state
        with state.lock:
            if state.role != messages.ROLE_LEADER:
                return None
            successor_id = self._leader.successor_id()
            if not successor_id:
                return None
            request = messages.TakeLead(successor_id, state.term)
            state.become_follower(state.term, '')
            return states.OutgoingRequest(
                successor_id, request, state.clock.now_ms()
            )

    def close(self) -> None:
        """Gives up leadership.

        The threads that drive the replica must have ended. Pending proposals
        fail with ProposalUnknownError, later ones with NotLeaderError.
        """
        state = self.state
        with state.lock:
            state.closed = True
            if state.role == messages.ROLE_LEADER:
                state.become_follower(state.term, '')
            error = errors.ProposalUnknownError('the replica was closed')
            for proposal in state.proposals.values():
                state.completions.append((proposal.future, error))
            state.proposals.clear()
        self._applier.deliver_completions()

    def has_work(self) -> bool:
        """Whether ``apply`` has anything to do but take a snapshot."""
        return self._applier.has_work()

    @property
    def waits_for_room(self) -> bool:
        """Whether ``apply`` waits before it tries again to store something."""
        return self._applier.waits_for_room

    def is_synced(self, member_id: str) -> bool:
        """Whether a member has synced all entries that are committed here."""
        with self.state.lock:
            match_index = self._leader.match_index(member_id)
            return match_index >= self.state.commit_index

    def silence_ms(self, member_id: str) -> int:
        """Returns for how many milliseconds a member has not answered.

        Counts from the start of this replica's leadership at the earliest.
        """
        state = self.state
        with state.lock:
            since_ms = max(
                self._leader.acked_ms(member_id), state.leader_since_ms
            )
            return max(0, state.clock.now_ms() - since_ms)

    def lease_remaining_ms(self) -> int:
        """Returns in how many milliseconds this leader's lease ends.

        Returns 0 if this replica holds no lease.
        """
        state = self.state
        with state.lock:
            if state.role != messages.ROLE_LEADER:
                return 0
            end_ms = self._leader.lease_end_ms()
            return max(0, end_ms - state.clock.now_ms())

    def read_barrier(self) -> int:
        """Returns the index that must be applied before a linearizable read.

        :raises NotLeaderError: when this replica must not serve reads
        """
        with self.state.lock:
            if not self.lease_remaining_ms():
                raise errors.NotLeaderError(self.leader_address())
            if not self._leader.has_committed_own_term():
                raise errors.NotLeaderError('')
            return self.state.commit_index

    def has_no_commands(self) -> bool:
        """Whether the log holds no command, committed or not.

        Distinguishes the first leader of a new group from a leader that has
        not yet applied what earlier leaders committed.
        """
        with self.state.lock:
            raft_log = self._store.raft_log
            if self._store.snapshot_index:
                return False
            entries = raft_log.entries_between(
                raft_log.base_index, raft_log.last_index
            )
            return all(e.kind != messages.KIND_COMMAND for e in entries)

    def leader_address(self) -> str:
        """Returns the address of the leader, empty if unknown."""
        member = self.leader()
        return member.address if member else ''

    def leader(self) -> messages.Member | None:
        """Returns the known leader, or None."""
        with self.state.lock:
            return self.state.configuration.member(self.state.leader_id)

    def counters(self) -> states.Counters:
        """Returns a copy of the event counts since the process started."""
        with self.state.lock:
            counters = self.state.counters.copy()
            if self._store.formed:
                counters.syncs = self._store.raft_log.sync_count
            counters.writes_without_room = self._store.room.refused_writes
            return counters

    def status(self) -> messages.LogStatus:
        """Returns this replica's view of the group."""
        return self._statuses.report()

    def _report_start(self) -> messages.StartReport:
        """Answers AskStart.

        :raises RemoteError: until this replica is a member of a group. After
            an earlier answer, a vote request could arrive before FormGroup,
            and this replica would join without knowing the voters.
        """
        if not self._store.formed:
            raise wire_errors.RemoteError(
                CODE_NOT_FORMED, 'the group is being formed'
            )
        return self._restart_proof.report()

    def _append(
        self, kind: int, command: bytes, future: futures.Future
    ) -> errors.ConsensusError | None:
        """Appends a proposed entry; returns an error if it was rejected."""
        state = self.state
        with state.lock:
            if state.closed or state.role != messages.ROLE_LEADER:
                return errors.NotLeaderError(self.leader_address())
            if len(state.proposals) >= self._settings.max_pending_proposals:
                return errors.ConsensusError('too many open proposals')
            entry = self._leader.append(kind, command)
            state.proposals[entry.index] = states.Proposal(entry.term, future)
            return None
