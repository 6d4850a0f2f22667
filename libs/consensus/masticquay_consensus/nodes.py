"""A replica with its threads, links and data folder."""

from concurrent import futures
import contextlib
import logging
import os
import pathlib
import random
import threading
import typing

from masticquay_consensus import changes
from masticquay_consensus import disks
from masticquay_consensus import errors
from masticquay_consensus import formations
from masticquay_consensus import messages
from masticquay_consensus import protocols
from masticquay_consensus import replicas
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
TICK_MS = 50
IDLE_WAIT_MS = 1_000
FORM_PAUSE_MIN_MS = 100
FORM_PAUSE_MAX_MS = 2_000
JOIN_TIMEOUT_S = 5

Voter = formations.Voter
FatalHook = typing.Callable[[BaseException], None]


def end_process(cause: BaseException) -> None:
    """Ends the process at once: what the disk holds is not known."""
    LOG.critical('storage failed: %s', cause)
    os._exit(EXIT_STORAGE_FAILED)


class Node:
    """A replica of the log; see ``protocols.ReplicatedLog``.

    :param voters: the replicas of a new group; without effect later on
    :param data_folder: a path, or a ``disks.Disk``
    :param links: makes links to other replicas, of websockets by default
    :param on_fatal: called when the disk or the state machine failed; the
        replica does nothing any more
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
        self._machine = state_machine
        self._secret = secret
        self._clock = clock
        self._random = random
        self._settings = settings or settings_module.Settings()
        self._links = links or self._dial
        self._on_fatal = on_fatal
        self._hooks: list[protocols.RoleHook] = []
        self._stack = contextlib.ExitStack()
        self._closed = threading.Event()
        self._threads: list[threading.Thread] = []
        self._peer_threads: dict[str, threading.Thread] = {}
        self._replica: replicas.Replica | None = None

    def start(self) -> None:
        """Opens the data folder, replays the log and starts the threads.

        :raises StorageError: when the stored data cannot be used
        """
        with contextlib.ExitStack() as stack:
            store = stores.Store(
                self._open_disk(), self._name, random.SystemRandom()
            )
            stack.callback(store.close)
            self._replica = replicas.Replica(
                store,
                self._machine,
                self._settings,
                self._clock,
                self._random,
            )
            for hook in self._hooks:
                self._replica.add_hook(hook)
            self._changes = changes.Changes(
                self._replica, self._links, self._clock, self._settings
            )
            self._change_worker = stack.enter_context(
                futures.ThreadPoolExecutor(1, f'change-{self._name}')
            )
            self._stack = stack.pop_all()
        self._serve()
        self._start_thread('log-writer', self._write)
        self._start_thread('log-applier', self._apply)
        self._start_thread('log-timer', self._tick)
        self._start_thread('log-formation', self._form)

    def close(self) -> None:
        """Stops the threads; open proposals fail as unknown."""
        self._closed.set()
        if self._replica is None:
            return
        self._wake_all()
        with self.replica.state.lock:
            threads = [*self._threads, *self._peer_threads.values()]
        for thread in threads:
            if thread is not threading.current_thread():
                thread.join(JOIN_TIMEOUT_S)
        self.replica.close()
        self._stack.close()

    def hand_over(self) -> bool:
        """Lets a follower lead at once instead of after a silence.

        :returns: whether one accepted; this replica leads no more then
        """
        request = self.replica.step_down()
        if request is None:
            return False
        state = self.replica.state
        with state.lock:
            member = state.configuration.member(request.member_id)
        if member is None:
            return False
        link = self._links(peers.Address.parse(member.address))
        try:
            answer = link.call(request.message, self._settings.call_timeout_ms)
        except wire_errors.WireError as cause:
            LOG.warning('lead not handed over: %s', cause)
            return False
        finally:
            link.close()
        LOG.info('lead handed over to %s: %s', member.name, answer.accepted)
        return answer.accepted

    @property
    def replica(self) -> replicas.Replica:
        """The replica, once started."""
        if self._replica is None:
            raise errors.ConsensusError('the node is not started')
        return self._replica

    def propose(self, command: bytes) -> 'futures.Future[bytes]':
        """Appends a command; ends with the state machine's answer."""
        return self.replica.propose(command)

    def is_leader(self) -> bool:
        """Whether this replica leads and holds its lease."""
        return self.replica.lease_remaining_ms() > 0

    def leader(self) -> messages.Member | None:
        """Returns the leader as far as known."""
        return self.replica.leader()

    def term(self) -> int:
        """Returns the current term; serves as a fencing number."""
        return self.replica.state.term

    def lease_remaining_ms(self) -> int:
        """Returns for how long this leader cannot be deposed, or 0."""
        return self.replica.lease_remaining_ms()

    def read_barrier(self) -> int:
        """Returns the index that a read here may rely on.

        :raises NotLeaderError: when this replica must not answer reads
        """
        state = self.replica.state
        index = self.replica.read_barrier()
        timeout_s = self._settings.call_timeout_ms / 1000
        with state.lock:
            applied = state.applier_wake.wait_for(
                lambda: state.applied_index >= index, timeout_s
            )
        if not applied:
            raise errors.NotLeaderError('')
        return index

    def add_replica(
        self, name: str, address: str
    ) -> 'futures.Future[messages.Configuration]':
        """Adds a replica, or replaces one of that name."""
        return self._change_worker.submit(self._changes.add, name, address)

    def remove_replica(
        self, name: str
    ) -> 'futures.Future[messages.Configuration]':
        """Removes a replica."""
        return self._change_worker.submit(self._changes.remove, name)

    def remove_identity(
        self, replica_id: str
    ) -> 'futures.Future[messages.Configuration]':
        """Removes one replica; another one of its name stays."""
        return self._change_worker.submit(
            self._changes.remove_identity, replica_id
        )

    def status(self) -> messages.LogStatus:
        """Returns what this replica knows of the group."""
        return self.replica.status()

    def counters(self) -> states.Counters:
        """Returns counts of events since the start."""
        return self.replica.counters()

    def on_role_change(self, hook: protocols.RoleHook) -> None:
        """Adds a hook, before ``start``."""
        self._hooks.append(hook)

    def _open_disk(self) -> disks.Disk:
        if isinstance(self._data_folder, (str, pathlib.Path)):
            return disks.OsDisk(pathlib.Path(self._data_folder))
        return self._data_folder

    def _serve(self) -> None:
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
        self, message: replicas.Addressed, link: peers.Connection
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
        state = self.replica.state
        with state.lock:
            formed = state.store.formed
            return messages.Identity(
                state.replica_id,
                self._name,
                state.configuration if formed else None,
            )

    def _form_group(
        self, message: messages.FormGroup, link: peers.Connection
    ) -> messages.Identity:
        if message.to_id != self.replica.state.replica_id:
            raise wire_errors.RemoteError(
                replicas.CODE_WRONG_IDENTITY, 'the disk was replaced'
            )
        try:
            self.replica.form(message.configuration)
        except errors.StorageError as cause:
            self._fail(cause)
            raise
        return self._identify(messages.Identify(), link)

    def _dial(self, address: peers.Address) -> peers.Peer:
        return dialers.WebsocketPeer(address, self._name, self._secret)

    def _start_thread(
        self, name: str, run: typing.Callable[..., None], *args: object
    ) -> threading.Thread:
        thread = threading.Thread(
            target=self._guard,
            args=(run, *args),
            name=f'{name}-{self._name}',
            daemon=True,
        )
        self._threads.append(thread)
        thread.start()
        return thread

    def _guard(self, run: typing.Callable[..., None], *args: object) -> None:
        try:
            run(*args)
        except Exception as cause:
            if not self._closed.is_set():
                self._fail(cause)

    def _fail(self, cause: BaseException) -> None:
        self._closed.set()
        self._wake_all()
        self._on_fatal(cause)

    def _write(self) -> None:
        state = self.replica.state
        while not self._closed.is_set():
            if self.replica.flush():
                continue
            with state.lock:
                if self._closed.is_set():
                    return
                formed = state.store.formed
                if not (formed and state.store.journal.has_pending):
                    state.writer_wake.wait(IDLE_WAIT_MS / 1000)

    def _apply(self) -> None:
        state = self.replica.state
        while not self._closed.is_set():
            if self.replica.apply():
                continue
            with state.lock:
                if self._closed.is_set():
                    return
                if not self.replica.has_work():
                    state.applier_wake.wait(IDLE_WAIT_MS / 1000)

    def _tick(self) -> None:
        self._watch_members()
        while not self._closed.wait(TICK_MS / 1000):
            self.replica.tick()
            self._watch_members()

    def _watch_members(self) -> None:
        """Starts a thread for each member that has none."""
        state = self.replica.state
        with state.lock:
            members = state.configuration.members
        for member in members:
            member_id = member.replica_id
            known = self._peer_threads.get(member_id)
            if member_id == state.replica_id or (known and known.is_alive()):
                continue
            self._peer_threads[member_id] = self._start_thread(
                f'log-peer-{member.name}', self._replicate, member
            )

    def _replicate(self, member: messages.Member) -> None:
        """Sends one request after the other to a member."""
        with contextlib.ExitStack() as stack:
            link = self._links(peers.Address.parse(member.address))
            stack.callback(link.close)
            while self._is_current(member):
                request = self.replica.wait_for_request(
                    member.replica_id, IDLE_WAIT_MS
                )
                if request is None:
                    continue
                try:
                    answer = link.call(
                        request.message, self._settings.call_timeout_ms
                    )
                except wire_errors.RemoteError as cause:
                    # For example the identity of a disk that was lost.
                    self.replica.take_failure(request, cause)
                    self._closed.wait(self._settings.heartbeat_ms / 1000)
                except wire_errors.WireError:
                    self.replica.take_failure(request)
                    self._closed.wait(TICK_MS / 1000)
                else:
                    self.replica.take_answer(request, answer)

    def _is_current(self, member: messages.Member) -> bool:
        if self._closed.is_set():
            return False
        state = self.replica.state
        with state.lock:
            found = state.configuration.member(member.replica_id)
        return found is not None and found.address == member.address

    def _form(self) -> None:
        formation = formations.Formation(
            self.replica,
            self._name,
            self._voters,
            self._links,
            self._settings,
        )
        pause_ms = FORM_PAUSE_MIN_MS
        while not self.replica.state.store.formed:
            if formation.attempt():
                return
            if self._closed.wait(pause_ms / 1000):
                return
            pause_ms = min(FORM_PAUSE_MAX_MS, pause_ms * 2)

    def _wake_all(self) -> None:
        if self._replica is None:
            return
        state = self._replica.state
        with state.lock:
            state.writer_wake.notify_all()
            state.applier_wake.notify_all()
            state.peers_wake.notify_all()
