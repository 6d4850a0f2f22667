"""A replica with its threads, links and data folder."""

from concurrent import futures
import contextlib
import logging
import os
import pathlib
import random
import threading
import typing

from masticquay_consensus import disks
from masticquay_consensus import errors
from masticquay_consensus import formations
from masticquay_consensus import founders
from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import replica_changes
from masticquay_consensus import replicas
from masticquay_consensus import rooms
from masticquay_consensus import senders
from masticquay_consensus import settings as settings_module
from masticquay_consensus import states
from masticquay_consensus import stores
from masticquay_wire import clocks
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

EXIT_STORAGE_FAILED = 1
# The interval at which timers and the member list are checked.
TICK_MS = 50
# How long an idle thread waits for a notification before it checks for work.
IDLE_WAIT_MS = 1_000
# The interval at which a write that found no room is tried again.
ROOM_RETRY_MS = 100
FORMATION_RETRY_MIN_MS = 100
FORMATION_RETRY_MAX_MS = 2_000
THREAD_JOIN_TIMEOUT_S = 5

Voter = founders.Voter
FatalHook = typing.Callable[[BaseException], None]


def end_process(cause: BaseException) -> None:
    """Exits the process at once, since the durable state is unknown."""
    LOG.critical('storage or state machine failed; exiting: %s', cause)
    os._exit(EXIT_STORAGE_FAILED)


class Node:
    """A replica of the log; see ``protocols.ReplicatedLog``.

    ``room`` tells whether its disk is full.

    :param address: the ``ip:port`` at which other replicas reach this one
    :param voters: the initial voters of a new group; ignored once this replica
        is a member of a group
    :param data_folder: a path, or a ``disks.Disk``
    :param secret: the fleet secret, for links to other replicas
    :param links: creates links to other replicas; over websockets by default
    :param on_fatal: called when the disk or the state machine failed, after
        which the replica does nothing more; a full disk is not fatal
    """

    def __init__(
        self,
        name: str,
        address: str,
        voters: list[Voter],
        data_folder: 'pathlib.Path | str | disks.Disk',
        listener: listeners.Listener,
        state_machine: protocols.StateMachine,
        secret: bytes,
        clock: clocks.Clock,
        random: random.Random,
        settings: settings_module.Settings | None = None,
        links: protocols.LinkFactory | None = None,
        on_fatal: FatalHook = end_process,
    ):
        self._name = name
        self._address = address
        self._voters = voters
        self._data_folder = data_folder
        self._listener = listener
        self._state_machine = state_machine
        self._secret = secret
        self._clock = clock
        self._random = random
        self._settings = settings or settings_module.Settings()
        self._link_factory = links or self._dial
        self._on_fatal = on_fatal
        self._role_hooks: list[protocols.RoleHook] = []
        self._stack = contextlib.ExitStack()
        self._closed = threading.Event()
        self.room = rooms.Room()
        self._threads: list[threading.Thread] = []
        self._peer_threads: dict[str, threading.Thread] = {}
        self._replica: replicas.Replica | None = None
        self._founder: founders.Founder | None = None

    def start(
        self, is_stopping: typing.Callable[[], bool] = lambda: False
    ) -> None:
        """Opens the folder and starts; see ``protocols.ReplicatedLog``."""
        rooms.wait_for_room(self._open, self.room, is_stopping, ROOM_RETRY_MS)
        self._register_handlers()
        self._start_thread('log-writer', self._run_writer)
        self._start_thread('log-applier', self._run_applier)
        self._start_thread('log-timer', self._run_timer)
        self._start_thread('log-formation', self._run_formation)

    def _open(self) -> None:
        """Opens the data folder and restores the snapshot."""
        with contextlib.ExitStack() as stack:
            disk = self._open_disk()
            stack.callback(disk.close)
            store = stores.Store(
                disk, self._name, random.SystemRandom(), self.room
            )
            stack.callback(store.close)
            self._replica = replicas.Replica(
                store,
                self._state_machine,
                self._settings,
                self._clock,
                self._random,
            )
            self._founder = founders.Founder(
                self._replica,
                self._name,
                founders.keep_voters(store, self._voters),
            )
            for hook in self._role_hooks:
                self._replica.add_role_hook(hook)
            self._changer = replica_changes.ReplicaChanger(
                self._replica, self._link_factory, self._clock, self._settings
            )
            self._change_worker = stack.enter_context(
                futures.ThreadPoolExecutor(1, f'change-{self._name}')
            )
            self._stack = stack.pop_all()

    def close(self) -> None:
        """Stops the threads.

        Pending proposals fail with ProposalUnknownError.
        """
        self._closed.set()
        if self._replica is None:
            return
        self._notify_threads()
        with self.replica.state.lock:
            threads = [*self._threads, *self._peer_threads.values()]
        for thread in threads:
            if thread is not threading.current_thread():
                thread.join(THREAD_JOIN_TIMEOUT_S)
        self.replica.close()
        self._stack.close()

    def transfer_leadership(self) -> bool:
        """Transfers leadership to a follower, if one has the whole log.

        The follower starts an election at once, instead of waiting for the
        election timeout. This replica may have stepped down even if the
        follower did not accept.

        :returns: whether a follower has started an election
        """
        request = self.replica.step_down()
        if request is None:
            return False
        state = self.replica.state
        with state.lock:
            member = state.configuration.member(request.member_id)
        if member is None:
            return False
        link = self._link_factory(peers.Address.parse(member.address))
        try:
            answer = link.call(request.message, self._settings.call_timeout_ms)
        except wire_errors.WireError as cause:
            LOG.warning('leadership transfer failed: %s', cause)
            return False
        finally:
            link.close()
        LOG.info(
            'leadership transfer to %s: accepted=%s',
            member.name,
            answer.accepted,
        )
        return answer.accepted

    @property
    def replica(self) -> replicas.Replica:
        """The replica.

        :raises ConsensusError: when the node has not been started
        """
        if self._replica is None:
            raise errors.ConsensusError('the node is not started')
        return self._replica

    def propose(self, command: bytes) -> 'futures.Future[bytes]':
        """Proposes a command; see ``protocols.ReplicatedLog.propose``."""
        return self.replica.propose(command)

    def is_leader(self) -> bool:
        """Whether this replica is the leader and holds a valid lease."""
        return self.replica.lease_remaining_ms() > 0

    def leader(self) -> messages.Member | None:
        """Returns the known leader, or None."""
        return self.replica.leader()

    def term(self) -> int:
        """Returns the current Raft term, which serves as a fencing number."""
        return self.replica.state.term

    def lease_remaining_ms(self) -> int:
        """Returns in how many milliseconds this leader's lease ends.

        Returns 0 if this replica holds no lease.
        """
        return self.replica.lease_remaining_ms()

    def read_barrier(self) -> int:
        """Waits until reads from the local state machine are linearizable.

        :returns: the commit index at the time of the call
        :raises NotLeaderError: when this replica must not serve reads, or has
            not applied the committed entries within the call timeout
        """
        state = self.replica.state
        index = self.replica.read_barrier()
        timeout_s = self._settings.call_timeout_ms / 1000
        with state.lock:
            applied = state.applier_condition.wait_for(
                lambda: state.applied_index >= index, timeout_s
            )
        if not applied:
            raise errors.NotLeaderError('')
        return index

    def add_replica(
        self, name: str, address: str
    ) -> 'futures.Future[messages.Configuration]':
        """Adds a replica, or replaces the one with the same name.

        See ``protocols.ReplicatedLog.add_replica``.
        """
        return self._change_worker.submit(self._changer.add, name, address)

    def remove_replica(
        self, name: str
    ) -> 'futures.Future[messages.Configuration]':
        """Removes all replicas with a name.

        See ``protocols.ReplicatedLog.remove_replica``.
        """
        return self._change_worker.submit(self._changer.remove, name)

    def remove_replica_by_id(
        self, replica_id: str
    ) -> 'futures.Future[messages.Configuration]':
        """Removes the replica with an identity, not others of its name.

        The future fails with the same errors as that of ``add_replica``.
        """
        return self._change_worker.submit(
            self._changer.remove_replica_by_id, replica_id
        )

    def status(self) -> messages.LogStatus:
        """Returns this replica's view of the group."""
        return self.replica.status()

    def counters(self) -> states.Counters:
        """Returns event counts since the process started."""
        return self.replica.counters()

    def on_role_change(self, hook: protocols.RoleHook) -> None:
        """Registers a hook for gained and lost leadership.

        Must be called before ``start``.
        """
        self._role_hooks.append(hook)

    def _open_disk(self) -> disks.Disk:
        if isinstance(self._data_folder, (str, pathlib.Path)):
            return disks.OsDisk(pathlib.Path(self._data_folder))
        return self._data_folder

    def _register_handlers(self) -> None:
        listener = self._listener
        listener.handle(messages.Identify, self._identify)
        listener.handle(messages.FormGroup, self._form_group)
        for message_type in (
            messages.AskStart,
            messages.RequestVote,
            messages.TakeLead,
            messages.AppendEntries,
            messages.InstallSnapshot,
        ):
            listener.handle(message_type, self._handle)

    def _handle(
        self, message: protocols.AddressedRequest, link: peers.Connection
    ) -> peers.Answer:
        if self._closed.is_set():
            raise wire_errors.RemoteError('closing', 'the replica is closing')
        try:
            return self.replica.handle(message)
        except errors.StorageError as cause:
            self._fail(cause)
            raise

    def _identify(
        self, message: messages.Identify, link: peers.Connection
    ) -> messages.Identity:
        return self._founder.identify(message)

    def _form_group(
        self, message: messages.FormGroup, link: peers.Connection
    ) -> messages.Identity:
        try:
            return self._founder.form_group(message)
        except errors.StorageError as cause:
            self._fail(cause)
            raise

    def _dial(self, address: peers.Address) -> peers.Peer:
        return dialers.WebsocketPeer(address, self._name, self._secret)

    def _start_thread(
        self, name: str, run: typing.Callable[[], None]
    ) -> threading.Thread:
        thread = threading.Thread(
            target=self._run_guarded,
            args=(run,),
            name=f'{name}-{self._name}',
            daemon=True,
        )
        self._threads.append(thread)
        thread.start()
        return thread

    def _run_guarded(self, run: typing.Callable[[], None]) -> None:
        """Runs the function of a thread; treats an exception as fatal."""
        try:
            run()
        except Exception as cause:
            if not self._closed.is_set():
                self._fail(cause)

    def _fail(self, cause: BaseException) -> None:
        """Stops the threads and reports a fatal error."""
        self._closed.set()
        self._notify_threads()
        self._on_fatal(cause)

    def _run_writer(self) -> None:
        state = self.replica.state
        while not self._closed.is_set():
            if self.replica.flush():
                continue
            if state.lacks_log_room:
                self._closed.wait(ROOM_RETRY_MS / 1000)
                continue
            with state.lock:
                if self._closed.is_set():
                    return
                formed = state.store.formed
                if not (formed and state.store.raft_log.has_pending):
                    state.writer_condition.wait(IDLE_WAIT_MS / 1000)

    def _run_applier(self) -> None:
        state = self.replica.state
        while not self._closed.is_set():
            if self.replica.apply():
                continue
            with state.lock:
                if self._closed.is_set():
                    return
                if not self.replica.has_work():
                    state.applier_condition.wait(IDLE_WAIT_MS / 1000)
                elif self.replica.waits_for_room:
                    state.applier_condition.wait(ROOM_RETRY_MS / 1000)

    def _run_timer(self) -> None:
        self._start_peer_threads()
        while not self._closed.wait(TICK_MS / 1000):
            self.replica.tick()
            self._start_peer_threads()

    def _start_peer_threads(self) -> None:
        """Starts a sender thread for each other member that has none."""
        state = self.replica.state
        with state.lock:
            members = state.configuration.members
        for member in members:
            member_id = member.replica_id
            known = self._peer_threads.get(member_id)
            if member_id == state.replica_id or (known and known.is_alive()):
                continue
            sender = senders.Sender(
                self.replica,
                member,
                self._link_factory,
                self._settings,
                self._closed,
            )
            self._peer_threads[member_id] = self._start_thread(
                f'log-peer-{member.name}', sender.run
            )

    def _run_formation(self) -> None:
        formation = formations.Formation(
            self.replica,
            self._name,
            self._founder,
            self._link_factory,
            self._settings,
        )
        retry_ms = FORMATION_RETRY_MIN_MS
        while not self.replica.knows_members:
            if formation.attempt():
                return
            if self._closed.wait(retry_ms / 1000):
                return
            retry_ms = min(FORMATION_RETRY_MAX_MS, retry_ms * 2)

    def _notify_threads(self) -> None:
        if self._replica is None:
            return
        state = self._replica.state
        with state.lock:
            state.writer_condition.notify_all()
            state.applier_condition.notify_all()
            state.peers_condition.notify_all()
