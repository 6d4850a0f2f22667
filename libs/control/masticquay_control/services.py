"""What a control replica answers to hosts, operators and replicas."""

from concurrent import futures
import typing

from masticquay_consensus import protocols
from masticquay_control import changers
from masticquay_control import commands
from masticquay_control import forwarders
from masticquay_control import leaderships
from masticquay_control import leases
from masticquay_control import machines
from masticquay_control import watchers
from masticquay_membership import intent_messages
from masticquay_membership import messages as membership
from masticquay_membership import operator_messages
from masticquay_membership import usage_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

PROPOSED = (
    membership.OpenSession,
    operator_messages.RollBundle,
    operator_messages.WithdrawKey,
    intent_messages.BeginIntent,
    intent_messages.FinishIntent,
    usage_messages.ReportUsage,
)

EndpointReport = typing.Callable[[], list[operator_messages.EndpointStatus]]


class ControlService:
    """Answers calls: as the acting leader itself, else by forwarding.

    :param report_endpoints: what orders and the platform list know
    """

    def __init__(
        self,
        log: protocols.ReplicatedLog,
        machine: machines.ControlMachine,
        leadership: leaderships.Leadership,
        lease_table: leases.LeaseTable,
        watcher_set: watchers.Watchers,
        forwarder: forwarders.Forwarder,
        report_endpoints: EndpointReport,
    ):
        self._log = log
        self._machine = machine
        self._leadership = leadership
        self._leases = lease_table
        self._watchers = watcher_set
        self._forwarder = forwarder
        self._report_endpoints = report_endpoints
        self._changer = changers.ReplicaChanger(log)
        self._queries: dict[type, typing.Callable] = {
            operator_messages.QueryProgress: self._query_progress,
            operator_messages.QueryStatus: self._query_status,
            operator_messages.QueryBundle: self._query_bundle,
            usage_messages.QueryUsage: self._query_usage,
            membership.CloseSession: self._close_session,
            operator_messages.AddReplica: self._changer.add,
            operator_messages.RemoveReplica: self._changer.remove,
        }

    def register(self, listener: listeners.Listener) -> None:
        """Sets the handlers of a listener."""
        for message_type in (*PROPOSED, *self._queries):
            listener.handle(message_type, self._answer_or_forward)
        listener.handle(membership.RenewSession, self._renew)
        listener.handle(membership.ChangesApplied, self._note_applied)
        listener.handle(membership.Subscribe, self._subscribe)
        listener.handle(commands.Forward, self._answer_forwarded)
        listener.handle(commands.RenewSessions, self._renew_sessions)

    def _answer_or_forward(
        self, message: messages.Message, link: peers.Connection
    ) -> messages.Message | futures.Future:
        if self._leadership.acting():
            return self._answer(message)
        return self._forwarder.forward(message)

    def _answer_forwarded(
        self, message: commands.Forward, link: peers.Connection
    ) -> messages.Message | futures.Future:
        if not self._leadership.acting():
            raise leaderships.no_leader_error()
        return self._answer(messages.unpack(message.body))

    def _answer(
        self, message: messages.Message
    ) -> messages.Message | futures.Future:
        if isinstance(message, PROPOSED):
            return self._leadership.propose(message)
        query = self._queries.get(type(message))
        if query is None:
            raise wire_errors.RemoteError('unhandled', type(message).__name__)
        answer = query(message)
        if not self._leadership.acting():
            raise leaderships.no_leader_error()
        return answer

    def _renew(
        self, message: membership.RenewSession, link: peers.Connection
    ) -> messages.Message | futures.Future:
        if not self._leadership.acting():
            return self._forwarder.renew(message)
        return self._renew_here(message)

    def _renew_here(
        self, message: membership.RenewSession
    ) -> membership.SessionRenewed:
        answer = self._leases.renew(message)
        if not self._leadership.acting():
            raise leaderships.no_leader_error()
        return answer

    def _renew_sessions(
        self, message: commands.RenewSessions, link: peers.Connection
    ) -> messages.Message:
        if not self._leadership.acting():
            raise leaderships.no_leader_error()
        for applied in message.applied:
            self._leases.note_applied(applied)
        return commands.SessionsRenewed(
            [self._renew_result(renewal) for renewal in message.renewals]
        )

    def _renew_result(
        self, renewal: membership.RenewSession
    ) -> commands.RenewalResult:
        try:
            return commands.RenewalResult(self._renew_here(renewal))
        except wire_errors.RemoteError as cause:
            return commands.RenewalResult(None, cause.code, cause.detail)

    def _note_applied(
        self, message: membership.ChangesApplied, link: peers.Connection
    ) -> None:
        if self._leadership.acting():
            self._leases.note_applied(message)
        else:
            self._forwarder.note_applied(message)

    def _subscribe(
        self, message: membership.Subscribe, link: peers.Connection
    ) -> None:
        self._watchers.subscribe(link, message.applied_index)

    def _query_progress(
        self, message: operator_messages.QueryProgress
    ) -> operator_messages.Progress:
        return self._leases.progress(message.index)

    def _query_bundle(
        self, message: operator_messages.QueryBundle
    ) -> messages.Message:
        with self._machine.lock:
            current = self._machine.bundles.current
        if current is None:
            raise wire_errors.RemoteError('no-bundle', 'none was rolled yet')
        return current.signed

    def _query_usage(
        self, message: usage_messages.QueryUsage
    ) -> usage_messages.UsageReport:
        with self._machine.lock:
            return self._machine.ledger.report(message)

    def _close_session(
        self, message: membership.CloseSession
    ) -> messages.Message:
        self._leases.give_up(message)
        return messages.Done()

    def _query_status(
        self, message: operator_messages.QueryStatus
    ) -> operator_messages.FleetStatus:
        replicas = changers.list_replicas(self._log)
        endpoints = self._report_endpoints()
        adopted = self._leases.adopted_view_number()
        with self._machine.lock:
            bundles = self._machine.bundles
            return operator_messages.FleetStatus(
                replicas,
                self._machine.views.view,
                adopted,
                bundles.version,
                bundles.digest,
                bundles.current.index if bundles.current else 0,
                self._log.status().commit_index,
                bundles.withdrawn_count,
                endpoints,
            )
