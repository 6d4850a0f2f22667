"""Commands that show usage, refusals, hosts and endpoints."""

import datetime

from masticquay_membership import operator_messages
from masticquay_membership import usage_messages
from masticquay_operator import bases
from masticquay_operator import contexts
from masticquay_operator import reports

SECONDS_PER_HOUR = 3_600


class Usage(bases.Command):
    """Shows usage by workspace, target, class and hour."""

    words = ('usage',)
    usage = '[--workspace=NAME] [--from_hour=TIME] [--to_hour=TIME]'
    description = (
        'show requests and tokens by workspace, target, class and hour'
    )

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        usage_report = _query_usage(context)
        rows: list[list[reports.Cell]] = [
            [
                entry.workspace,
                entry.target,
                entry.class_name,
                format_hour(entry.hour),
                entry.requests,
                entry.prompt_tokens,
                entry.output_tokens,
            ]
            for entry in usage_report.entries
            if entry.requests
        ]
        columns = [
            'workspace',
            'target',
            'class',
            'hour',
            'requests',
            'prompt_tokens',
            'output_tokens',
        ]
        return reports.Report(
            _summarize_gaps(usage_report), columns, sorted(rows)
        )


class Refusals(bases.Command):
    """Shows refusals by workspace, target, class, hour and reason.

    ``within_rate`` counts the refusals of requests that the workspace's rate
    limit would have allowed.
    """

    words = ('refusals',)
    usage = '[--workspace=NAME] [--from_hour=TIME] [--to_hour=TIME]'
    description = 'show refused requests by workspace, reason and hour'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        usage_report = _query_usage(context)
        refused = [entry for entry in usage_report.entries if entry.refusals]
        reasons = sorted({r for entry in refused for r in entry.refusals})
        rows = [_make_refusal_row(entry, reasons) for entry in refused]
        summary = _summarize_gaps(usage_report)
        summary['refused_within_rate'] = sum(
            entry.refused_within_rate for entry in refused
        )
        columns = ['workspace', 'target', 'class', 'hour']
        columns += ['refused', 'within_rate', *reasons]
        return reports.Report(summary, columns, sorted(rows))


class Hosts(bases.Command):
    """Shows the entry hosts of the current view."""

    words = ('hosts',)
    description = 'show the entry hosts that hold a lease'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        status = context.call(operator_messages.QueryStatus())
        rows: list[list[reports.Cell]] = [
            [
                host.name,
                host.place,
                host.caller_address,
                host.incarnation,
                'leaving' if host.leaving else 'live',
            ]
            for host in status.view.hosts
        ]
        summary: dict[str, reports.Cell | list[str]] = {
            'view': status.view.number,
            'adopted_view': status.adopted_view_number,
        }
        columns = ['host', 'place', 'address', 'incarnation', 'state']
        return reports.Report(summary, columns, sorted(rows))


class Endpoints(bases.Command):
    """Shows the endpoints of the newest accepted bundle."""

    words = ('endpoints',)
    description = 'show endpoints with model version and state of orders'

    def run(
        self, arguments: list[str], context: contexts.Context
    ) -> reports.Report:
        status = context.call(operator_messages.QueryStatus())
        rows: list[list[reports.Cell]] = [
            [e.name, e.state, e.version, e.order_state]
            for e in status.endpoints
        ]
        columns = ['endpoint', 'state', 'version', 'order']
        return reports.Report({}, columns, sorted(rows))


def format_hour(hour: int) -> str:
    """Formats an hour, in hours since 1970 in UTC, as ISO 8601."""
    time = datetime.datetime.fromtimestamp(
        hour * SECONDS_PER_HOUR, tz=datetime.UTC
    )
    return time.strftime('%Y-%m-%dT%H:00Z')


def parse_hour(text: str) -> int:
    """Returns the hour of an ISO 8601 time, in hours since 1970 in UTC.

    A time without a time zone is taken as UTC.

    :returns: the hour, 0 when the text is empty
    :raises ValueError: when the text is not an ISO 8601 time
    """
    if not text:
        return 0
    time = datetime.datetime.fromisoformat(text.replace('Z', '+00:00'))
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return int(time.timestamp()) // SECONDS_PER_HOUR


def _make_refusal_row(
    entry: usage_messages.UsageEntry, reasons: list[str]
) -> list[reports.Cell]:
    row: list[reports.Cell] = [
        entry.workspace,
        entry.target,
        entry.class_name,
        format_hour(entry.hour),
        sum(entry.refusals.values()),
        entry.refused_within_rate,
    ]
    return row + [entry.refusals.get(reason, 0) for reason in reasons]


def _query_usage(context: contexts.Context) -> usage_messages.UsageReport:
    return context.call(
        usage_messages.QueryUsage(
            context.workspace, context.from_hour, context.to_hour
        )
    )


def _summarize_gaps(
    usage_report: usage_messages.UsageReport,
) -> dict[str, reports.Cell | list[str]]:
    """Returns the gaps and the sum of their bounds on unreported tokens."""
    gaps = [f'{gap.host}/{gap.incarnation}' for gap in usage_report.gaps]
    missing = sum(gap.bound_tokens for gap in usage_report.gaps)
    return {'gaps': gaps, 'missing_tokens_at_most': missing}
