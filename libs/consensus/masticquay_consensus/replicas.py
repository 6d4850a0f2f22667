"""One replica: the steps that the threads of a node, or a test, run."""

from concurrent import futures
import random

from masticquay_consensus import appliers
from masticquay_consensus import elections
from masticquay_consensus import errors
from masticquay_consensus import followers
from masticquay_consensus import leaders
from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import roll_calls
from masticquay_consensus import settings as settings_module
from masticquay_consensus import states
from masticquay_consensus import stores
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages

CODE_WRONG_IDENTITY = 'wrong-identity'
CODE_NOT_FORMED = 'not-formed'

Addressed = (
    messages.AskStart
    | messages.RequestVote
    | messages.TakeLead
    | messages.AppendEntries
    | messages.InstallSnapshot
)


class Replica:
    """A replica that belongs to a group, or waits to be taken into one.

    Every public method may be called by any thread, but ``flush`` by one
    thread at a time and ``apply`` by one at a time.
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
        self._roll_call = roll_calls.RollCall(self.state)
        self._elections = elections.Elections(self.state, self._roll_call)
        self._follower = followers.Follower(self.state)
        self._leader = leaders.Leader(self.state)
        self._applier = appliers.Applier(
            self.state, state_machine, self._follower, self._leader
        )
        if store.formed:
            self._applier.restore(
                stores.Snapshot.from_bytes(store.read_snapshot())
            )

    def form(self, configuration: messages.Configuration) -> None:
        """Makes this replica a member of a new group, or of a known one."""
        with self.state.lock:
            if self._store.formed:
                return
            self._store.form(configuration)
            self.state.reset_configurations(0, configuration)
            # A new identity has never supported a lease.
            self.state.heard_ms = states.NEVER_MS

    def add_hook(self, hook: protocols.RoleHook) -> None:
        """Adds a hook for changes of the role."""
        self._applier.hooks.append(hook)

    def tick(self) -> None:
        """Checks the election timer, or the lease of a leader."""
        with self.state.lock:
            if not self._store.formed:
                return
            if self.state.role == messages.ROLE_LEADER:
                self._leader.tick()
            elif self._elections.tick():
                self._leader.begin()

    def handle(
        self, message: Addressed
    ) -> wire_messages.Message | futures.Future:
        """Answers another replica.

        :raises RemoteError: when the message is for another identity
        """
        with self.state.lock:
            if message.to_id != self.state.replica_id:
                raise wire_errors.RemoteError(
                    CODE_WRONG_IDENTITY, f'this is {self.state.replica_id}'
                )
            if isinstance(message, messages.AskStart):
                return self._report_start()
            self.form(messages.Configuration([]))
            if isinstance(message, messages.RequestVote):
                return self._elections.handle(message)
            if isinstance(message, messages.TakeLead):
                return self._elections.take_over(message)
            if isinstance(message, messages.AppendEntries):
                return self._follower.handle_append(message)
            return self._follower.handle_install(message)

    def next_request(self, member_id: str) -> states.Outgoing | None:
        """Returns what to send to another member now, if anything."""
        state = self.state
        with state.lock:
            if state.role == messages.ROLE_LEADER:
                message = self._leader.next_request(member_id)
            else:
                message = self._elections.next_request(member_id)
                message = message or self._roll_call.next_request(member_id)
            if message is None:
                return None
            return states.Outgoing(member_id, message, state.clock.now_ms())

    def wait_for_request(
        self, member_id: str, timeout_ms: int
    ) -> states.Outgoing | None:
        """Returns the next request to a member, or None after a while."""
        state = self.state
        with state.lock:
            request = self.next_request(member_id)
            if request is not None:
                return request
            if state.role == messages.ROLE_LEADER:
                due_ms = self._leader.due_in_ms(member_id)
                timeout_ms = min(timeout_ms, due_ms)
            state.peers_wake.wait(timeout_ms / 1000)
            return self.next_request(member_id)

    def take_answer(
        self, request: states.Outgoing, answer: wire_messages.Message
    ) -> None:
        """Takes the answer to a request."""
        with self.state.lock:
            if isinstance(answer, messages.Vote):
                won = self._elections.take_vote(
                    request.member_id, request.message, answer
                )
                if won:
                    self._leader.begin()
            elif isinstance(answer, messages.StartReport):
                self._roll_call.take_report(
                    request.member_id, request.message, answer
                )
                self.tick()
            elif isinstance(answer, messages.Appended):
                self._leader.take_appended(request, answer)
            elif isinstance(answer, messages.SnapshotReceived):
                self._leader.take_received(request, answer)

    def take_failure(
        self,
        request: states.Outgoing,
        error: wire_errors.RemoteError | None = None,
    ) -> None:
        """Notes that a request got no answer.

        :param error: what the process at the address answered instead
        """
        with self.state.lock:
            if not isinstance(request.message, messages.AskStart):
                self._elections.take_failure(request.member_id)
                return
            self._roll_call.take_failure(request.member_id)
            if error is not None and error.code == CODE_WRONG_IDENTITY:
                self._roll_call.take_absence(
                    request.member_id, request.message, error.detail
                )
                self.tick()

    def propose(self, command: bytes) -> 'futures.Future[bytes]':
        """Appends a command; see ``protocols.ReplicatedLog``."""
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
        """Appends a configuration that differs in one member.

        Fails with ReplicaChangeError while another change is not committed.
        """
        future: futures.Future = futures.Future()
        future.set_running_or_notify_cancel()
        with self.state.lock:
            pending = self.state.configuration_index > self.state.commit_index
            leading = self.state.role == messages.ROLE_LEADER
            if leading and (pending or not self._leader.has_committed()):
                future.set_exception(
                    errors.ReplicaChangeError('another change is under way')
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
        """Syncs the entries added since the last call.

        :returns: whether there were any
        :raises StorageError: when they may not be durable
        """
        state = self.state
        with state.lock:
            if not self._store.formed or not self._store.journal.has_pending:
                return False
            journal = self._store.journal
            batch = journal.take_pending()
        journal.flush(batch)
        with state.lock:
            journal.mark_flushed(batch)
            self._leader.advance_commit()
            answers = self._follower.take_synced()
        for future, answer in answers:
            future.set_result(answer)
        return True

    def apply(self) -> bool:
        """Applies committed entries and takes or installs snapshots.

        :returns: whether anything was done
        """
        return self._applier.apply()

    def step_down(self) -> states.Outgoing | None:
        """Gives up the lead and its lease, if a follower can take over.

        Nothing may rest on the lease any more, wherever it was announced.

        :returns: what to send to that follower, None when this replica does
            not lead, or nobody has the whole log
        """
        state = self.state
        with state.lock:
            if state.role != messages.ROLE_LEADER:
                return None
            successor_id = self._leader.successor_id()
            if not successor_id:
                return None
            request = messages.TakeLead(successor_id, state.term)
            state.follow(state.term, '')
            return states.Outgoing(successor_id, request, state.clock.now_ms())

    def close(self) -> None:
        """Gives up the lead; open proposals fail as unknown.

        No other step may run any more.
        """
        state = self.state
        with state.lock:
            state.closed = True
            if state.role == messages.ROLE_LEADER:
                state.follow(state.term, '')
            error = errors.ProposalUnknownError('the replica was closed')
            for proposal in state.proposals.values():
                state.settled.append((proposal.future, error))
            state.proposals.clear()
        self._applier.settle()

    def has_work(self) -> bool:
        """Whether ``apply`` has something to do."""
        return self._applier.has_work()

    def is_synced(self, member_id: str) -> bool:
        """Whether a member has synced everything committed so far."""
        with self.state.lock:
            match_index = self._leader.match_index(member_id)
            return match_index >= self.state.commit_index

    def silence_ms(self, member_id: str) -> int:
        """Returns for how long a member has not answered this leader."""
        state = self.state
        with state.lock:
            since_ms = max(
                self._leader.acked_ms(member_id), state.led_since_ms
            )
            return max(0, state.clock.now_ms() - since_ms)

    def lease_remaining_ms(self) -> int:
        """Returns for how long this leader cannot be deposed, or 0."""
        state = self.state
        with state.lock:
            if state.role != messages.ROLE_LEADER:
                return 0
            end_ms = self._leader.lease_end_ms()
            return max(0, end_ms - state.clock.now_ms())

    def read_barrier(self) -> int:
        """Returns the index up to which reads must wait for ``apply``.

        :raises NotLeaderError: when this replica must not answer reads
        """
        with self.state.lock:
            if not self.lease_remaining_ms():
                raise errors.NotLeaderError(self.leader_address())
            if not self._leader.has_committed():
                raise errors.NotLeaderError('')
            return self.state.commit_index

    def is_blank(self) -> bool:
        """Whether this log holds no command, committed or not.

        Tells a group's first leader from one that has not applied yet what
        earlier leaders committed.
        """
        with self.state.lock:
            journal = self._store.journal
            if self._store.snapshot_index:
                return False
            entries = journal.entries_between(
                journal.base_index, journal.last_index
            )
            return all(e.kind != messages.KIND_COMMAND for e in entries)

    def leader_address(self) -> str:
        """Returns the leader's address, empty when unknown."""
        member = self.leader()
        return member.address if member else ''

    def leader(self) -> messages.Member | None:
        """Returns the leader as far as known."""
        with self.state.lock:
            return self.state.configuration.member(self.state.leader_id)

    def counters(self) -> states.Counters:
        """Returns the counts up to now."""
        with self.state.lock:
            counted = self.state.counters.copy()
            if self._store.formed:
                counted.syncs = self._store.journal.sync_count
            return counted

    def status(self) -> messages.LogStatus:
        """Returns what this replica knows of the group."""
        state = self.state
        with state.lock:
            return messages.LogStatus(
                replica_id=state.replica_id,
                role=self._role_of(state.replica_id),
                term=state.term,
                commit_index=state.commit_index,
                applied_index=state.applied_index,
                snapshot_index=self._store.snapshot_index,
                members=[
                    messages.MemberStatus(
                        member,
                        self._role_of(member.replica_id),
                        self._match_of(member.replica_id),
                    )
                    for member in state.configuration.members
                ],
            )

    def _report_start(self) -> messages.StartReport:
        """Answers a roll call, once this replica knows its group.

        A vote asked of it before would make it a member that does not know
        the voters.
        """
        if not self._store.formed:
            raise wire_errors.RemoteError(
                CODE_NOT_FORMED, 'the group is being formed'
            )
        return self._roll_call.report()

    def _append(
        self, kind: int, command: bytes, future: futures.Future
    ) -> errors.ConsensusError | None:
        state = self.state
        with state.lock:
            if state.closed or state.role != messages.ROLE_LEADER:
                return errors.NotLeaderError(self.leader_address())
            if len(state.proposals) >= self._settings.max_open_proposals:
                return errors.ConsensusError('too many open proposals')
            entry = self._leader.append(kind, command)
            state.proposals[entry.index] = states.Proposal(entry.term, future)
            return None

    def _role_of(self, member_id: str) -> str:
        state = self.state
        member = state.configuration.member(member_id)
        if member is None or not member.voter:
            return messages.ROLE_LEARNER
        if member_id == state.leader_id:
            return messages.ROLE_LEADER
        if member_id == state.replica_id:
            return state.role
        return messages.ROLE_FOLLOWER

    def _match_of(self, member_id: str) -> int:
        if self.state.role != messages.ROLE_LEADER:
            return 0
        return self._leader.match_index(member_id)
