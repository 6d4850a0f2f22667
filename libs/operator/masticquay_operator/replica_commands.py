"""Commands that add, replace and remove control replicas."""

from masticquay_membership import operator_messages
from masticquay_operator import bases
from masticquay_operator import contexts
from masticquay_operator import errors
from masticquay_operator import reports
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers


class ReplicaAdd(bases.Command):
    """Adds a control replica, or replaces one that has lost its disk.

    A replacement has the name of the lost replica.
    """

    words = ('replica', 'add')
    usage = 'NAME IP:PORT'
    argument_count = 2
    description = 'add or replace a control replica; wait until it votes'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        name, address = arguments
        try:
            peers.Address.parse(address)
        except ValueError as cause:
            raise errors.UsageError(str(cause)) from cause
        return _change_replicas(
            context, operator_messages.AddReplica(name, address)
        )


class ReplicaRemove(bases.Command):
    """Removes a control replica from the Raft group."""

    words = ('replica', 'remove')
    usage = 'NAME'
    argument_count = 1
    description = 'remove a control replica from the Raft group'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        return _change_replicas(
            context, operator_messages.RemoveReplica(arguments[0])
        )


def make_replica_report(
    summary: dict[str, reports.Cell | list[str]],
    replicas: list[operator_messages.ReplicaStatus],
) -> reports.Report:
    """Returns a report with a row for each control replica.

    :param summary: single values by name, shown above the rows
    """
    return reports.Report(
        summary,
        ['replica', 'role', 'term', 'match_index', 'address'],
        [[r.name, r.role, r.term, r.match_index, r.address] for r in replicas],
    )


def _change_replicas(
    context: contexts.Context, message: wire_messages.Message
) -> reports.Report:
    """Sends a change of the replicas; control answers when it is complete."""
    context.show_progress('waiting for the change of the control replicas')
    changed = context.call(message, context.timeout_ms)
    return make_replica_report({}, changed.replicas)
