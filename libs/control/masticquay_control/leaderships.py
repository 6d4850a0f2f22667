"""The leadership of this replica, and proposals made under it."""

from concurrent import futures
import logging
import threading
import typing

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import protocols
from masticquay_control import commands
from masticquay_control import machines
from masticquay_membership import messages as membership
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages

LOG = logging.getLogger(__name__)

CODE_UNCERTAIN = 'uncertain'

Hook = typing.Callable[[], None]


class Leadership:
    """Whether this replica acts as leader, and since when.

    A leader acts once its ``BeginLeadership`` command is applied: all
    that earlier leaders committed is applied then too.

    :param on_taken: called when the leadership has begun, before it is used
    """

    def __init__(
        self,
        name: str,
        log: protocols.ReplicatedLog,
        machine: machines.ControlMachine,
        clock: clocks.Clock,
        on_taken: Hook,
    ):
        self._name = name
        self._log = log
        self._machine = machine
        self._clock = clock
        self._on_taken = on_taken
        self._lock = threading.Lock()
        self._asked_term = 0
        self._held_term = 0
        self._fencing_number = 0
        self._stamp_base_ms = 0
        self._taken_ms = 0
        self.taken_count = 0

    def acting(self) -> bool:
        """Whether this replica leads, holds its lease and may act."""
        held_term = self._held_term
        return (
            held_term > 0
            and self._log.is_leader()
            and self._log.term() == held_term
            and self._machine.fencing_number == self._fencing_number
        )

    @property
    def fencing_number(self) -> int:
        """The fencing number of this leadership."""
        return self._fencing_number

    @property
    def held_ms(self) -> int:
        """For how long this replica has led."""
        return self._clock.now_ms() - self._taken_ms

    def lease_remaining_ms(self) -> int:
        """Returns for how long this leader cannot be deposed, or 0."""
        return self._log.lease_remaining_ms() if self.acting() else 0

    def tick(self) -> None:
        """Begins to lead when this replica has come to lead."""
        if not self._log.is_leader():
            return
        term = self._log.term()
        with self._lock:
            if term == self._asked_term:
                return
            self._asked_term = term
        command = commands.BeginLeadership(self._name)
        answer = self._submit(command, self._machine.stamp_ms)
        answer.add_done_callback(lambda done: self._finish(term, done))

    def propose(
        self, command: messages.Message
    ) -> 'futures.Future[messages.Message]':
        """Commits a command; the future ends with its answer.

        It fails with a RemoteError: the command's own refusal, ``no-leader``
        (not committed) or ``uncertain``.
        """
        if not self.acting():
            return _failed(no_leader_error())
        elapsed_ms = self._clock.now_ms() - self._taken_ms
        return self._submit(command, self._stamp_base_ms + elapsed_ms)

    def _submit(
        self, command: messages.Message, stamp_ms: int
    ) -> 'futures.Future[messages.Message]':
        record = commands.Command(stamp_ms, messages.pack(command))
        answer: futures.Future = futures.Future()
        try:
            pending = self._log.propose(messages.pack(record))
        except consensus_errors.ConsensusError as cause:
            answer.set_exception(turn_error(cause))
            return answer
        pending.add_done_callback(lambda done: _settle(done, answer))
        return answer

    def _finish(self, term: int, done: futures.Future) -> None:
        if done.exception() is not None:
            with self._lock:
                if self._asked_term == term:
                    self._asked_term = 0
            return
        with self._lock:
            if self._asked_term != term:
                return
            self._fencing_number = done.result().fencing_number
            self._stamp_base_ms = self._machine.stamp_ms
            self._taken_ms = self._clock.now_ms()
            self._on_taken()
            self._held_term = term
            self.taken_count += 1
        LOG.info(
            'began to lead', extra={'fencing_number': self._fencing_number}
        )


def no_leader_error() -> wire_errors.RemoteError:
    """Says that this replica cannot answer, and nothing was done."""
    return wire_errors.RemoteError(
        membership.CODE_NO_LEADER, 'this replica does not lead'
    )


def _failed(error: Exception) -> futures.Future:
    failed: futures.Future = futures.Future()
    failed.set_exception(error)
    return failed


def turn_error(cause: BaseException) -> wire_errors.RemoteError:
    """Turns an error of the log into the answer to a call."""
    if isinstance(cause, consensus_errors.NotLeaderError):
        return no_leader_error()
    return wire_errors.RemoteError(CODE_UNCERTAIN, type(cause).__name__)


def _settle(done: futures.Future, answer: futures.Future) -> None:
    cause = done.exception()
    if cause is not None:
        answer.set_exception(turn_error(cause))
        return
    message = messages.unpack(done.result())
    if isinstance(message, messages.Failure):
        answer.set_exception(
            wire_errors.RemoteError(message.code, message.detail)
        )
        return
    answer.set_result(message)
