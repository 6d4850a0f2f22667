"""Commands that add, replace and remove control replicas."""

from masticquay_membership import operator_messages
from masticquay_operator import bases
from masticquay_operator import contexts
from masticquay_operator import errors
from masticquay_operator import reports
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers


class ReplicaAdd(bases.Command):
    """Adds a replica, or replaces one of that name whose disk was lost."""

    words = ('replica', 'add')
    usage = 'NAME IP:PORT'
    argument_count = 2
    description = 'add or replace a control replica; ends when it votes'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        name, address = arguments
        try:
            peers.Address.parse(address)
        except ValueError as cause:
            raise errors.UsageError(str(cause)) from cause
        return _change(context, operator_messages.AddReplica(name, address))


class ReplicaRemove(bases.Command):
    """Removes a replica from the control group."""

    words = ('replica', 'remove')
    usage = 'NAME'
    argument_count = 1
    description = 'remove a control replica from the group'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        return _change(context, operator_messages.RemoveReplica(arguments[0]))


def list_replicas(
    facts: dict[str, reports.Cell | list[str]],
    replicas: list[operator_messages.ReplicaStatus],
) -> reports.Report:
    """Returns a report with a row for each replica."""
    return reports.Report(
        facts,
        ['replica', 'role', 'term', 'match_index', 'address'],
        [[r.name, r.role, r.term, r.match_index, r.address] for r in replicas],
    )


def _change(
    context: contexts.Context, message: wire_messages.Message
) -> reports.Report:
    context.show_progress('the change is under way')
    changed = context.call(message, context.timeout_ms)
    return list_replicas({}, changed.replicas)
