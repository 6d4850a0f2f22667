"""What the replicated log asks of its user, and offers to it."""

from concurrent import futures
import typing

from masticquay_consensus import messages
from masticquay_wire import peers


class StateMachine(typing.Protocol):
    """The deterministic state that the committed commands build.

    Methods are called by one thread at a time, in the order of the log.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one committed command.

        :param index: the command's place in the log; rises, with gaps
        :returns: the answer for the proposer
        """

    def snapshot(self) -> bytes:
        """Returns the whole state after the last applied command."""

    def restore(self, data: bytes, index: int) -> None:
        """Replaces the state by that of a snapshot.

        :param index: the last log index that the snapshot contains
        """


RoleHook = typing.Callable[[bool, int], None]
"""Called with whether this replica leads now, and the term.

Hooks run in order in a thread of the node; they may propose but must not
wait for the proposal.
"""

LinkFactory = typing.Callable[[peers.Address], peers.Peer]
"""Makes the sending side of a link to another replica."""


class ReplicatedLog(typing.Protocol):
    """One replica of the log, as ``nodes.Node`` implements it.

    ``Node(name, address, voters, data_folder, listener, state_machine,
    secret, clock, random, settings)`` registers its handlers on the given
    ``listeners.Listener``, which its owner starts and closes.
    """

    def start(self) -> None:
        """Opens the data folder, replays the log and starts the threads.

        :raises StorageError: when the stored data cannot be used
        """

    def close(self) -> None:
        """Stops the threads; open proposals fail as unknown."""

    def propose(self, command: bytes) -> 'futures.Future[bytes]':
        """Appends a command.

        :returns: ends with the state machine's answer once the command is
            synced by a quorum and applied here; fails with NotLeaderError
            (nothing was appended) or ProposalUnknownError
        """

    def is_leader(self) -> bool:
        """Whether this replica leads and holds its lease."""

    def leader(self) -> messages.Member | None:
        """Returns the leader (``name``, ``address``) as far as known."""

    def term(self) -> int:
        """Returns the current term; serves as a fencing number."""

    def lease_remaining_ms(self) -> int:
        """Returns for how long this leader cannot be deposed, or 0."""

    def read_barrier(self) -> int:
        """Returns the index that a read here may rely on.

        Every command committed before the call is applied at this index.

        :raises NotLeaderError: when this replica has no lease, or has not
            yet applied what earlier leaders committed
        """

    def add_replica(
        self, name: str, address: str
    ) -> 'futures.Future[messages.Configuration]':
        """Adds a replica as a learner and makes it a voter once it synced.

        A voter of the same name with another identity is removed then.
        Fails with NotLeaderError, ReplicaChangeError or
        ProposalUnknownError.
        """

    def remove_replica(
        self, name: str
    ) -> 'futures.Future[messages.Configuration]':
        """Removes a replica; fails as ``add_replica`` does."""

    def status(self) -> messages.LogStatus:
        """Returns what this replica knows of the group."""

    def on_role_change(self, hook: RoleHook) -> None:
        """Adds a hook, before ``start``."""
