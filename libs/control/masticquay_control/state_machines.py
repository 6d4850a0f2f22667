"""The replicated state machine of control."""

import threading
import typing

from masticquay_control import bundle_registries
from masticquay_control import commands
from masticquay_control import errors
from masticquay_control import intents
from masticquay_control import ledgers
from masticquay_control import views
from masticquay_membership import intent_messages
from masticquay_membership import messages as membership_messages
from masticquay_membership import operator_messages
from masticquay_membership import usage_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages

# A subscriber that lacks more withdrawals than this gets the full state.
MAX_DELTA_WITHDRAWALS = 4_000

# Takes the log index, logical time in ms and command; returns the reply.
Applier = typing.Callable[[int, int, messages.Message], messages.Message]


@messages.register
class MachineSnapshot(messages.Message):
    """The full state of the state machine at a log index.

    :param stamp_ms: logical time, see ``commands.Command``
    :param change_index: the index of the last change that hosts must apply
    :param endpoints: the endpoints that the platform lists as leaving
    :param fencing_number: the number of leaderships begun so far
    """

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
        bundles: bundle_registries.BundleSnapshot,
        views: views.ViewSnapshot,
        intents: list[intents.Intent],
        ledger: ledgers.LedgerSnapshot,
        endpoints: membership_messages.EndpointsChange,
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


class ControlStateMachine:
    """Applies committed commands; implements consensus ``StateMachine``.

    ``lock`` guards all state. Threads other than the log's must hold it to
    read the state.

    :param on_change: called, without the lock, after each change that must be
        pushed to the hosts
    """

    def __init__(
        self, on_change: typing.Callable[[], None] = lambda: None
    ) -> None:
        self.lock = threading.RLock()
        self.on_change = on_change
        self.bundles = bundle_registries.BundleRegistry()
        self.views = views.ViewRegistry()
        self.intents = intents.IntentTable(self.views.is_live)
        self.ledger = ledgers.UsageLedger(self.views.is_live)
        self.endpoints = membership_messages.EndpointsChange(0, [])
        self.fencing_number = 0
        self.change_index = 0
        self.stamp_ms = 0
        self._appliers: dict[type, Applier] = {
            operator_messages.RollBundle: self._roll_bundle,
            operator_messages.WithdrawKey: self._withdraw_key,
            membership_messages.OpenSession: self._open_session,
            intent_messages.BeginIntent: self._begin_intent,
            intent_messages.FinishIntent: self._finish_intent,
            usage_messages.ReportUsage: self._report_usage,
            commands.ChangeView: self._change_view,
            commands.SetLeavingEndpoints: self._set_leaving_endpoints,
            commands.BeginLeadership: self._begin_leadership,
        }

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one command and returns its encoded reply.

        :raises CorruptStateError: when the command cannot be decoded
        """
        record, body = _decode(command)
        with self.lock:
            previous_index = self.change_index
            self.stamp_ms = max(self.stamp_ms, record.stamp_ms)
            apply = self._appliers.get(type(body), _reject_unknown)
            reply = apply(index, self.stamp_ms, body)
            changed = self.change_index != previous_index
        if changed:
            self.on_change()
        return messages.pack(reply)

    def snapshot(self) -> bytes:
        """Returns the encoded state."""
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
        """Replaces the state with that of a snapshot.

        :raises CorruptStateError: when the snapshot cannot be decoded
        """
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

    def update_after(
        self, index: int
    ) -> membership_messages.StateUpdate | None:
        """Returns the changes after a log index, or None if there are none.

        The update holds the full state if the index is 0, or if more than
        ``MAX_DELTA_WITHDRAWALS`` withdrawals follow it.
        """
        with self.lock:
            if index >= self.change_index:
                return None
            withdrawals = self.bundles.withdrawals_after(index)
            too_many = len(withdrawals) > MAX_DELTA_WITHDRAWALS
            full = index <= 0 or too_many
            start = 0 if full else index
            return membership_messages.StateUpdate(
                start,
                self.change_index,
                full,
                self.bundles.bundles_after(start),
                self.bundles.withdrawals_after(start),
                _list_if_after(start, self.views.current),
                _list_if_after(start, self.endpoints),
            )

    def _roll_bundle(
        self, index: int, stamp_ms: int, command: operator_messages.RollBundle
    ) -> messages.Message:
        return self._record_change(index, self.bundles.roll(index, command))

    def _withdraw_key(
        self, index: int, stamp_ms: int, command: operator_messages.WithdrawKey
    ) -> messages.Message:
        return self._record_change(
            index, self.bundles.withdraw(index, command)
        )

    def _record_change(
        self, index: int, reply: messages.Message
    ) -> messages.Message:
        """Makes the index of an accepted command the newest change."""
        if isinstance(reply, operator_messages.CommandAccepted):
            self.change_index = max(self.change_index, reply.index)
        return reply

    def _open_session(
        self,
        index: int,
        stamp_ms: int,
        command: membership_messages.OpenSession,
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
        reply = self.views.change(index, command)
        if isinstance(reply, messages.Done):
            self.change_index = index
            for host in command.put:
                self.ledger.add_source(stamp_ms, host.name, host.incarnation)
        return reply

    def _set_leaving_endpoints(
        self, index: int, stamp_ms: int, command: commands.SetLeavingEndpoints
    ) -> messages.Message:
        if command.leaving != self.endpoints.leaving:
            self.endpoints = membership_messages.EndpointsChange(
                index, command.leaving
            )
            self.change_index = index
        return messages.Done()

    def _begin_leadership(
        self, index: int, stamp_ms: int, command: commands.BeginLeadership
    ) -> messages.Message:
        self.fencing_number += 1
        return commands.LeadershipBegun(self.fencing_number)


def _reject_unknown(
    index: int, stamp_ms: int, command: messages.Message
) -> messages.Message:
    return messages.Failure('unhandled', type(command).__name__)


def _list_if_after(start: int, change: typing.Any) -> list:
    return [change] if change.index > start else []


def _decode(data: bytes) -> tuple[commands.Command, messages.Message]:
    try:
        record = messages.unpack(data)
        return record, messages.unpack(record.body)
    except (wire_errors.MessageError, AttributeError) as cause:
        raise errors.CorruptStateError(str(cause)) from cause
