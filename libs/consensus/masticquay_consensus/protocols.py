"""Interfaces between the replicated log and the code that uses it."""

from concurrent import futures
import typing

from masticquay_consensus import messages
from masticquay_wire import peers

# Requests that name the replica and the group that they are for.
AddressedRequest = (
    messages.AskStart
    | messages.RequestVote
    | messages.TakeLead
    | messages.AppendEntries
    | messages.InstallSnapshot
)


class StateMachine(typing.Protocol):
    """A deterministic state machine to which committed commands are applied.

    Methods are called by one thread at a time. Commands are applied in the
    order of the log.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one committed command.

        :param index: the log index of the command. It is higher than that of
            the previous command, but not always by one, since other entries
            may lie between them.
        :returns: the result for the proposer
        """

    def snapshot(self) -> bytes:
        """Returns the serialized state after the last applied command."""

    def restore(self, data: bytes, index: int) -> None:
        """Replaces the state with that of a snapshot.

        :param index: the last log index that the snapshot covers
        """


RoleHook = typing.Callable[[bool, int], None]
"""Called as ``hook(is_leader, term)`` when leadership is gained or lost.

The term is the current one. If a leader steps down because it finds a higher
term, that is the higher one.

Hooks run in order in a thread of the node; they may propose a command but
must not wait for its result.
"""

LinkFactory = typing.Callable[[peers.Address], peers.Peer]
"""Creates the client side of a link to another replica."""


class ReplicatedLog(typing.Protocol):
    """One replica of the log; implemented by ``nodes.Node``.

    ``Node(name, address, voters, data_folder, listener, state_machine,
    secret, clock, random, settings)`` registers its handlers on the given
    ``listeners.Listener``, which the caller starts and closes.
    """

    def start(
        self, is_stopping: typing.Callable[[], bool] = lambda: False
    ) -> None:
        """Opens the data folder, restores the snapshot, starts the threads.

        Later entries of the log are applied once a leader has committed them.
        Waits while the disk has no room for what a start must store.

        :param is_stopping: whether to end that wait
        :raises NoRoomError: when the wait ended before there was room
        :raises StorageError: when the stored data cannot be used
        """

    def close(self) -> None:
        """Stops the threads.

        Pending proposals fail with ProposalUnknownError.
        """

    def propose(self, command: bytes) -> 'futures.Future[bytes]':
        """Appends a command.

        :returns: a future, which completes with the state machine's result
            once the command is synced by a quorum and applied here. It fails
            with NotLeaderError if nothing was appended, with ConsensusError
            if the command is too large or too many proposals are pending, or
            with ProposalUnknownError.
        """

    def is_leader(self) -> bool:
        """Whether this replica is the leader and holds a valid lease."""

    def leader(self) -> messages.Member | None:
        """Returns the known leader, or None."""

    def term(self) -> int:
        """Returns the current Raft term, which serves as a fencing number."""

    def lease_remaining_ms(self) -> int:
        """Returns in how many milliseconds this leader's lease ends.

        Returns 0 if this replica holds no lease.
        """

    def read_barrier(self) -> int:
        """Waits until reads from the local state machine are linearizable.

        :returns: the commit index at the time of the call; every command up
            to it has been applied here
        :raises NotLeaderError: when this replica has no lease, has not yet
            committed an entry in its term, or does not apply the entries in
            time
        """

    def add_replica(
        self, name: str, address: str
    ) -> 'futures.Future[messages.Configuration]':
        """Adds a replica as a learner, and promotes it once it is in sync.

        An earlier replica of the same name with another identity is removed
        afterwards. The future fails with NotLeaderError, ReplicaChangeError
        or ProposalUnknownError.
        """

    def remove_replica(
        self, name: str
    ) -> 'futures.Future[messages.Configuration]':
        """Removes all replicas with a name.

        The future fails with the same errors as that of ``add_replica``.
        """

    def status(self) -> messages.LogStatus:
        """Returns this replica's view of the group."""

    def on_role_change(self, hook: RoleHook) -> None:
        """Registers a hook for gained and lost leadership.

        Must be called before ``start``.
        """
