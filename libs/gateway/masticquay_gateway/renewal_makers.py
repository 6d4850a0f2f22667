"""Makes the renewals in which a host tells the leader of itself."""

from masticquay_gateway import fleet_states
from masticquay_gateway import host_reports
from masticquay_gateway import usages
from masticquay_routing import messages
from masticquay_routing import stream_origins


class RenewalMaker:
    """Makes renewals of one host's session.

    :param report: the source of their contents
    """

    __slots__ = ('_identity', '_state', '_report')

    def __init__(
        self,
        identity: host_reports.Identity,
        state: fleet_states.FleetState,
        report: host_reports.HostReport,
    ):
        self._identity = identity
        self._state = state
        self._report = report

    def make(
        self,
        term: int,
        is_searching: bool,
        running: list[messages.Running],
        origins: list[stream_origins.StreamOrigin] | None = None,
        quarantined: dict[str, int] | None = None,
    ) -> messages.Renew:
        """Returns a renewal.

        :param term: of the leader that answered last
        :param is_searching: whether replicas get it that may not lead
        """
        identity = self._identity
        state = self._state
        usage = usages.UsageReport(0, {})
        if not is_searching:
            usage = self._report.report_usage()
        return messages.Renew(
            host=identity.name,
            incarnation=identity.incarnation,
            address=identity.address,
            place=identity.place,
            ready=self._report.is_ready(),
            table_version=state.table_version,
            endpoints_number=(
                state.endpoints_number if state.endpoints_term == term else 0
            ),
            hosts_number=(
                state.hosts_number if state.hosts_term == term else 0
            ),
            term=term,
            usage=usage.costs,
            usage_number=usage.number,
            slots=self._report.held_slots(),
            running=running,
            endpoint_reports=(
                [] if is_searching else self._report.collect_endpoint_reports()
            ),
            origins=origins,
            quarantined=quarantined,
            leaving=[] if is_searching else state.report_leaving(),
            limits=[] if is_searching else self._report.report_limits(),
            reaches_endpoints=self._report.reaches_endpoints(),
            link_address=identity.link_address,
            held=self._report.held_requests(),
            reads_endpoint_changes=True,
        )
