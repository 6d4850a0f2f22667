"""Handlers of calls from hosts, operators and other replicas."""

from concurrent import futures
import typing

from masticquay_consensus import protocols
from masticquay_control import commands
from masticquay_control import forwarders
from masticquay_control import leaderships
from masticquay_control import leases
from masticquay_control import replica_changers
from masticquay_control import state_machines
from masticquay_control import watchers
from masticquay_membership import intent_messages
from masticquay_membership import messages as membership_messages
from masticquay_membership import operator_messages
from masticquay_membership import usage_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

# The acting leader proposes these calls to the log.
PROPOSED_TYPES = (
    membership_messages.OpenSession,
    operator_messages.RollBundle,
    operator_messages.WithdrawKey,
    intent_messages.BeginIntent,
    intent_messages.FinishIntent,
    usage_messages.ReportUsage,
)

ListEndpointStatuses = typing.Callable[
    [], list[operator_messages.EndpointStatus]
]


class ControlService:
    """Handles calls from hosts, operators and other replicas.

    A replica that is not the acting leader forwards the calls of hosts and
    operators to it, except ``Subscribe``, which every replica handles itself.
    ``Forward`` and ``RenewSessions`` come from other replicas; a replica that
    is not the acting leader refuses them.

    :param list_endpoint_statuses: returns the status of all endpoints
    """

    def __init__(
        self,
        log: protocols.ReplicatedLog,
        state_machine: state_machines.ControlStateMachine,
        leadership: leaderships.Leadership,
        lease_table: leases.LeaseTable,
        watcher_set: watchers.Watchers,
        forwarder: forwarders.Forwarder,
        list_endpoint_statuses: ListEndpointStatuses,
    ):
        self._log = log
        self._state_machine = state_machine
        self._leadership = leadership
        self._leases = lease_table
        self._watchers = watcher_set
        self._forwarder = forwarder
        self._list_endpoint_statuses = list_endpoint_statuses
        self._changer = replica_changers.ReplicaChanger(log)
        self._handlers: dict[type, typing.Callable] = {
            operator_messages.QueryProgress: self._query_progress,
            operator_messages.QueryStatus: self._query_status,
            operator_messages.QueryBundle: self._query_bundle,
            usage_messages.QueryUsage: self._query_usage,
            membership_messages.CloseSession: self._close_session,
            operator_messages.AddReplica: self._changer.add,
            operator_messages.RemoveReplica: self._changer.remove,
        }

    def register(self, listener: listeners.Listener) -> None:
        """Registers the handlers with a listener."""
        for message_type in (*PROPOSED_TYPES, *self._handlers):
            listener.handle(message_type, self._handle_or_forward)
        listener.handle(membership_messages.RenewSession, self._renew)
        listener.handle(
            membership_messages.ChangesApplied, self._handle_applied
        )
        listener.handle(membership_messages.Subscribe, self._subscribe)
        listener.handle(commands.Forward, self._handle_forwarded)
        listener.handle(commands.RenewSessions, self._renew_sessions)

    def _handle_or_forward(
        self, message: messages.Message, link: peers.Connection
    ) -> messages.Message | futures.Future:
        if self._leadership.acting():
            return self._handle(message)
        return self._forwarder.forward(message)

    def _handle_forwarded(
        self, message: commands.Forward, link: peers.Connection
    ) -> messages.Message | futures.Future:
        if not self._leadership.acting():
            raise leaderships.no_leader_error()
        return self._handle(messages.unpack(message.body))

    def _handle(
        self, message: messages.Message
    ) -> messages.Message | futures.Future:
        if isinstance(message, PROPOSED_TYPES):
            return self._leadership.propose(message)
        handler = self._handlers.get(type(message))
        if handler is None:
            raise wire_errors.RemoteError('unhandled', type(message).__name__)
        reply = handler(message)
        # A reply may be outdated if the leadership ended in the meantime.
        if not self._leadership.acting():
            raise leaderships.no_leader_error()
        return reply

    def _renew(
        self, message: membership_messages.RenewSession, link: peers.Connection
    ) -> messages.Message | futures.Future:
        if not self._leadership.acting():
            return self._forwarder.renew(message)
        return self._renew_locally(message)

    def _renew_locally(
        self, message: membership_messages.RenewSession
    ) -> membership_messages.SessionRenewed:
        reply = self._leases.renew(message)
        if not self._leadership.acting():
            raise leaderships.no_leader_error()
        return reply

    def _renew_sessions(
        self, message: commands.RenewSessions, link: peers.Connection
    ) -> messages.Message:
        if not self._leadership.acting():
            raise leaderships.no_leader_error()
        for applied in message.applied:
            self._leases.record_applied(applied)
        return commands.SessionsRenewed(
            [self._renewal_result(renewal) for renewal in message.renewals]
        )

    def _renewal_result(
        self, renewal: membership_messages.RenewSession
    ) -> commands.RenewalResult:
        try:
            return commands.RenewalResult(self._renew_locally(renewal))
        except wire_errors.RemoteError as cause:
            return commands.RenewalResult(None, cause.code, cause.detail)

    def _handle_applied(
        self,
        message: membership_messages.ChangesApplied,
        link: peers.Connection,
    ) -> None:
        if self._leadership.acting():
            self._leases.record_applied(message)
        else:
            self._forwarder.forward_applied(message)

    def _subscribe(
        self, message: membership_messages.Subscribe, link: peers.Connection
    ) -> None:
        self._watchers.subscribe(link, message.applied_index)

    def _query_progress(
        self, message: operator_messages.QueryProgress
    ) -> operator_messages.Progress:
        return self._leases.progress(message.index)

    def _query_bundle(
        self, message: operator_messages.QueryBundle
    ) -> messages.Message:
        with self._state_machine.lock:
            current = self._state_machine.bundles.current
        if current is None:
            raise wire_errors.RemoteError(
                'no-bundle', 'no bundle has been rolled out'
            )
        return current.signed

    def _query_usage(
        self, message: usage_messages.QueryUsage
    ) -> usage_messages.UsageReport:
        with self._state_machine.lock:
            return self._state_machine.ledger.report(message)

    def _close_session(
        self, message: membership_messages.CloseSession
    ) -> messages.Message:
        self._leases.release(message)
        return messages.Done()

    def _query_status(
        self, message: operator_messages.QueryStatus
    ) -> operator_messages.FleetStatus:
        replicas = replica_changers.list_replicas(self._log)
        endpoints = self._list_endpoint_statuses()
        adopted = self._leases.adopted_view_number()
        with self._state_machine.lock:
            bundles = self._state_machine.bundles
            return operator_messages.FleetStatus(
                replicas,
                self._state_machine.views.view,
                adopted,
                bundles.version,
                bundles.digest,
                bundles.current.index if bundles.current else 0,
                self._log.status().commit_index,
                bundles.withdrawn_count,
                endpoints,
            )
