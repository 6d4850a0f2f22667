"""The replicated state machine of control."""

import threading
import typing

from masticquay_control import commands
from masticquay_control import errors
from masticquay_control import intents
from masticquay_control import ledgers
from masticquay_control import rolls
from masticquay_control import views
from masticquay_membership import intent_messages
from masticquay_membership import messages as membership
from masticquay_membership import operator_messages
from masticquay_membership import usage_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages

# Subscribers that miss more withdrawals get the whole state instead.
MAX_DELTA_WITHDRAWALS = 4_000

Apply = typing.Callable[[int, int, messages.Message], messages.Message]


@messages.register
class MachineSnapshot(messages.Message):
    """The whole state at an index of the log."""

    __slots__ = (
        'stamp_ms',
        'change_index',
        'bundles',
        'views',
        'intents',
        'ledger',
        'endpoints',
        'fencing_number',
    )

    def __init__(
        self,
        stamp_ms: int,
        change_index: int,
        bundles: rolls.BundleSnapshot,
        views: views.ViewSnapshot,
        intents: list[intents.Intent],
        ledger: ledgers.LedgerSnapshot,
        endpoints: membership.EndpointsChange,
        fencing_number: int,
    ):
        self.stamp_ms = stamp_ms
        self.change_index = change_index
        self.bundles = bundles
        self.views = views
        self.intents = intents
        self.ledger = ledger
        self.endpoints = endpoints
        self.fencing_number = fencing_number


class ControlMachine:
    """Applies the log's commands; implements consensus ``StateMachine``.

    ``lock`` guards all state: whoever reads registers from another thread
    than the log's holds it.

    :param on_change: called, outside the lock, after each change that hosts
        must learn of
    """

    def __init__(
        self, on_change: typing.Callable[[], None] = lambda: None
    ) -> None:
        self.lock = threading.RLock()
        self.on_change = on_change
        self.bundles = rolls.BundleRegister()
        self.views = views.ViewRegister()
        self.intents = intents.IntentTable(self.views.is_live)
        self.ledger = ledgers.UsageLedger(self.views.is_live)
        self.endpoints = membership.EndpointsChange(0, [])
        self.fencing_number = 0
        self.change_index = 0
        self.stamp_ms = 0
        self._appliers: dict[type, Apply] = {
            operator_messages.RollBundle: self._roll,
            operator_messages.WithdrawKey: self._withdraw,
            membership.OpenSession: self._open_session,
            intent_messages.BeginIntent: self._begin_intent,
            intent_messages.FinishIntent: self._finish_intent,
            usage_messages.ReportUsage: self._report_usage,
            commands.ChangeView: self._change_view,
            commands.SetLeavingEndpoints: self._set_leaving,
            commands.BeginLeadership: self._begin_leadership,
        }

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one command and returns its packed answer."""
        record, body = _read(command)
        with self.lock:
            before = self.change_index
            self.stamp_ms = max(self.stamp_ms, record.stamp_ms)
            apply = self._appliers.get(type(body), _refuse)
            answer = apply(index, self.stamp_ms, body)
            changed = self.change_index != before
        if changed:
            self.on_change()
        return messages.pack(answer)

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        with self.lock:
            return messages.pack(
                MachineSnapshot(
                    self.stamp_ms,
                    self.change_index,
                    self.bundles.take_snapshot(),
                    self.views.take_snapshot(),
                    self.intents.take_snapshot(),
                    self.ledger.take_snapshot(),
                    self.endpoints,
                    self.fencing_number,
                )
            )

    def restore(self, data: bytes, index: int) -> None:
        """Replaces the whole state."""
        try:
            snapshot = messages.unpack(data)
        except wire_errors.MessageError as cause:
            raise errors.CorruptStateError(str(cause)) from cause
        with self.lock:
            self.stamp_ms = snapshot.stamp_ms
            self.change_index = snapshot.change_index
            self.bundles.restore(snapshot.bundles)
            self.views.restore(snapshot.views)
            self.intents.restore(snapshot.intents)
            self.ledger.restore(snapshot.ledger)
            self.endpoints = snapshot.endpoints
            self.fencing_number = snapshot.fencing_number
        self.on_change()

    def update_after(self, index: int) -> membership.StateUpdate | None:
        """Returns what a subscriber at an index lacks, if anything."""
        with self.lock:
            if index >= self.change_index:
                return None
            withdrawals = self.bundles.withdrawals_after(index)
            far_behind = len(withdrawals) > MAX_DELTA_WITHDRAWALS
            whole = index <= 0 or far_behind
            start = 0 if whole else index
            return membership.StateUpdate(
                start,
                self.change_index,
                whole,
                self.bundles.bundles_after(start),
                self.bundles.withdrawals_after(start),
                _after(start, self.views.current),
                _after(start, self.endpoints),
            )

    def _roll(
        self, index: int, stamp_ms: int, command: operator_messages.RollBundle
    ) -> messages.Message:
        return self._note_change(index, self.bundles.roll(index, command))

    def _withdraw(
        self, index: int, stamp_ms: int, command: operator_messages.WithdrawKey
    ) -> messages.Message:
        return self._note_change(index, self.bundles.withdraw(index, command))

    def _note_change(
        self, index: int, answer: messages.Message
    ) -> messages.Message:
        if isinstance(answer, operator_messages.CommandAccepted):
            self.change_index = max(self.change_index, answer.index)
        return answer

    def _open_session(
        self, index: int, stamp_ms: int, command: membership.OpenSession
    ) -> messages.Message:
        return self.views.open_session(command)

    def _begin_intent(
        self, index: int, stamp_ms: int, command: intent_messages.BeginIntent
    ) -> messages.Message:
        return self.intents.begin(stamp_ms, command)

    def _finish_intent(
        self, index: int, stamp_ms: int, command: intent_messages.FinishIntent
    ) -> messages.Message:
        return self.intents.finish(stamp_ms, command)

    def _report_usage(
        self, index: int, stamp_ms: int, command: usage_messages.ReportUsage
    ) -> messages.Message:
        return self.ledger.merge(stamp_ms, command)

    def _change_view(
        self, index: int, stamp_ms: int, command: commands.ChangeView
    ) -> messages.Message:
        answer = self.views.change(index, command)
        if isinstance(answer, messages.Done):
            self.change_index = index
            for host in command.put:
                self.ledger.add_source(stamp_ms, host.name, host.incarnation)
        return answer

    def _set_leaving(
        self, index: int, stamp_ms: int, command: commands.SetLeavingEndpoints
    ) -> messages.Message:
        if command.leaving != self.endpoints.leaving:
            self.endpoints = membership.EndpointsChange(index, command.leaving)
            self.change_index = index
        return messages.Done()

    def _begin_leadership(
        self, index: int, stamp_ms: int, command: commands.BeginLeadership
    ) -> messages.Message:
        self.fencing_number += 1
        return commands.LeadershipBegun(self.fencing_number)


def _refuse(
    index: int, stamp_ms: int, command: messages.Message
) -> messages.Message:
    return messages.Failure('unhandled', type(command).__name__)


def _after(start: int, change: typing.Any) -> list:
    return [change] if change.index > start else []


def _read(data: bytes) -> tuple[commands.Command, messages.Message]:
    try:
        record = messages.unpack(data)
        return record, messages.unpack(record.body)
    except (wire_errors.MessageError, AttributeError) as cause:
        raise errors.CorruptStateError(str(cause)) from cause
