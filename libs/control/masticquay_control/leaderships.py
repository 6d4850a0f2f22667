"""Leadership of the control group by this replica."""

from concurrent import futures
import logging
import threading
import typing

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import protocols
from masticquay_control import commands
from masticquay_control import state_machines
from masticquay_membership import messages as membership_messages
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages

LOG = logging.getLogger(__name__)

CODE_UNCERTAIN = 'uncertain'

Callback = typing.Callable[[], None]


class Leadership:
    """Tracks whether this replica is the acting leader; proposes commands.

    The leader of the log becomes the acting leader once its
    ``BeginLeadership`` command is applied; by then everything that earlier
    leaders committed is applied too.

    :param on_begin: called when a leadership begins, before this replica
        counts as the acting leader
    """

    def __init__(
        self,
        name: str,
        log: protocols.ReplicatedLog,
        state_machine: state_machines.ControlStateMachine,
        clock: clocks.Clock,
        on_begin: Callback,
    ):
        self._name = name
        self._log = log
        self._state_machine = state_machine
        self._clock = clock
        self._on_begin = on_begin
        self._lock = threading.Lock()
        self._requested_term = 0
        self._acting_term = 0
        self._fencing_number = 0
        self._base_stamp_ms = 0
        self._begin_ms = 0
        self.begun_count = 0

    def acting(self) -> bool:
        """Whether this replica is the acting leader and holds its lease."""
        acting_term = self._acting_term
        return (
            acting_term > 0
            and self._log.is_leader()
            and self._log.term() == acting_term
            and self._state_machine.fencing_number == self._fencing_number
        )

    @property
    def fencing_number(self) -> int:
        """The fencing number of the newest leadership of this replica."""
        return self._fencing_number

    @property
    def acting_ms(self) -> int:
        """The time in ms since this replica last became the acting leader."""
        return self._clock.now_ms() - self._begin_ms

    def lease_remaining_ms(self) -> int:
        """Returns the rest of this replica's leader lease in ms.

        :returns: 0 if this replica is not the acting leader
        """
        return self._log.lease_remaining_ms() if self.acting() else 0

    def tick(self) -> None:
        """Proposes to begin a leadership if this replica leads a new term."""
        if not self._log.is_leader():
            return
        term = self._log.term()
        with self._lock:
            if term == self._requested_term:
                return
            self._requested_term = term
        command = commands.BeginLeadership(self._name)
        reply = self._submit(command, self._state_machine.stamp_ms)
        reply.add_done_callback(lambda done: self._finish_begin(term, done))

    def propose(
        self, command: messages.Message
    ) -> 'futures.Future[messages.Message]':
        """Proposes a command as the acting leader.

        :returns: a future of the command's reply, set once the command is
            committed and applied; it fails with a RemoteError whose code is
            that of a Failure reply, ``no-leader`` (not committed) or
            ``uncertain`` (may be committed)
        """
        if not self.acting():
            return _failed_future(no_leader_error())
        elapsed_ms = self._clock.now_ms() - self._begin_ms
        return self._submit(command, self._base_stamp_ms + elapsed_ms)

    def _submit(
        self, command: messages.Message, stamp_ms: int
    ) -> 'futures.Future[messages.Message]':
        record = commands.Command(stamp_ms, messages.pack(command))
        reply: futures.Future = futures.Future()
        try:
            pending = self._log.propose(messages.pack(record))
        except consensus_errors.ConsensusError as cause:
            reply.set_exception(to_remote_error(cause))
            return reply
        pending.add_done_callback(lambda done: _set_reply(done, reply))
        return reply

    def _finish_begin(self, term: int, done: futures.Future) -> None:
        if done.exception() is not None:
            with self._lock:
                if self._requested_term == term:
                    self._requested_term = 0
            return
        with self._lock:
            if self._requested_term != term:
                return
            self._fencing_number = done.result().fencing_number
            self._base_stamp_ms = self._state_machine.stamp_ms
            self._begin_ms = self._clock.now_ms()
            self._on_begin()
            self._acting_term = term
            self.begun_count += 1
        LOG.info(
            'became the acting leader',
            extra={'fencing_number': self._fencing_number},
        )


def no_leader_error() -> wire_errors.RemoteError:
    """Returns the error for a call that needs the acting leader."""
    return wire_errors.RemoteError(
        membership_messages.CODE_NO_LEADER,
        'this replica is not the acting leader',
    )


def _failed_future(error: Exception) -> futures.Future:
    failed: futures.Future = futures.Future()
    failed.set_exception(error)
    return failed


def to_remote_error(cause: BaseException) -> wire_errors.RemoteError:
    """Converts an error of the log to the error reply to a call."""
    if isinstance(cause, consensus_errors.NotLeaderError):
        return no_leader_error()
    return wire_errors.RemoteError(CODE_UNCERTAIN, type(cause).__name__)


def _set_reply(done: futures.Future, reply: futures.Future) -> None:
    cause = done.exception()
    if cause is not None:
        reply.set_exception(to_remote_error(cause))
        return
    message = messages.unpack(done.result())
    if isinstance(message, messages.Failure):
        reply.set_exception(
            wire_errors.RemoteError(message.code, message.detail)
        )
        return
    reply.set_result(message)
