"""A replicated log of one replica, for development."""

from concurrent import futures
import os
import pathlib
import threading

import cbor2

from masticquay_consensus import messages as consensus
from masticquay_consensus import protocols

LOG_FILE = 'single.log'
LEASE_MS = 3_600_000


class SingleLog:
    """Commits each command once it is synced to the only disk."""

    def __init__(
        self,
        name: str,
        address: str,
        data_folder: pathlib.Path,
        state_machine: protocols.StateMachine,
    ):
        self._member = consensus.Member(name, name, address, True)
        self._path = data_folder / LOG_FILE
        self._machine = state_machine
        self._lock = threading.Lock()
        self._index = 0
        self._file = None

    def start(self) -> None:
        """Replays the file and opens it for appending."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        self._path.touch()
        with self._path.open('rb') as stored:
            while stored.peek(1):
                self._apply(cbor2.load(stored))
        self._file = self._path.open('ab')

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None

    def propose(self, command: bytes) -> 'futures.Future[bytes]':
        """Appends, syncs and applies a command."""
        done: futures.Future = futures.Future()
        with self._lock:
            self._file.write(cbor2.dumps(command))
            self._file.flush()
            os.fsync(self._file.fileno())
            answer = self._apply(command)
        done.set_result(answer)
        return done

    def _apply(self, command: bytes) -> bytes:
        self._index += 1
        return self._machine.apply(self._index, command)

    def is_leader(self) -> bool:
        """Whether the log is open."""
        return self._file is not None

    def leader(self) -> consensus.Member | None:
        """Returns this replica."""
        return self._member

    def term(self) -> int:
        """Returns the only term."""
        return 1

    def lease_remaining_ms(self) -> int:
        """Returns a long time: nobody else can lead."""
        return LEASE_MS if self.is_leader() else 0

    def read_barrier(self) -> int:
        """Returns the last index."""
        return self._index

    def status(self) -> consensus.LogStatus:
        """Returns the state of the only replica."""
        member = consensus.MemberStatus(
            self._member, consensus.ROLE_LEADER, self._index
        )
        return consensus.LogStatus(
            self._member.replica_id,
            consensus.ROLE_LEADER,
            1,
            self._index,
            self._index,
            0,
            [member],
        )

    def on_role_change(self, hook: protocols.RoleHook) -> None:
        """Does nothing: the role never changes."""
