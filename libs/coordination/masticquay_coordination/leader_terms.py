"""State of the leader of the control group during one term."""

from masticquay_coordination import admissions
from masticquay_coordination import endpoint_limits
from masticquay_coordination import owners
from masticquay_coordination import request_watches
from masticquay_coordination import sessions
from masticquay_coordination import slot_services
from masticquay_routing import cold_endpoints
from masticquay_routing import endpoint_notices
from masticquay_routing import fleet_views
from masticquay_routing import fleets
from masticquay_routing import software_versions
from masticquay_routing import tables


class LeaderTerm:
    """The state of the leader during one term.

    ``table_version`` is the version of the table that was applied last.
    ``software_versions`` and ``listed``, the platform's last list, are
    None until the first list of the term. ``leaving`` holds what hosts heard
    from the endpoints themselves. ``services`` are those of the table.
    ``has_caught_up`` is true once the leader
    has applied what earlier leaders committed.

    :param first: whether the group has had no leader before
    """

    __slots__ = (
        'number',
        'owner',
        'admissions',
        'sessions',
        'started_ms',
        'first',
        'table_version',
        'fleet_view',
        'software_versions',
        'listed',
        'leaving',
        'limits',
        'requests',
        'slots',
        'has_caught_up',
        'services',
        'cold_starts',
    )

    def __init__(
        self,
        number: int,
        owner: owners.Owner,
        term_admissions: admissions.Admissions,
        host_sessions: sessions.Sessions,
        limits: endpoint_limits.EndpointLimits,
        requests: request_watches.RequestWatch,
        slots: slot_services.SlotServices,
        started_ms: int,
        first: bool,
    ):
        self.number = number
        self.owner = owner
        self.admissions = term_admissions
        self.sessions = host_sessions
        self.limits = limits
        self.requests = requests
        self.slots = slots
        self.started_ms = started_ms
        self.first = first
        self.table_version = -1
        self.has_caught_up = False
        self.services: dict[str, tables.Service] = {}
        self.cold_starts = cold_endpoints.ColdStarts()
        self.fleet_view = fleet_views.FleetView()
        self.software_versions: software_versions.SoftwareVersions | None = (
            None
        )
        self.listed: list[fleets.Endpoint] | None = None
        self.leaving = endpoint_notices.LeavingEndpoints()

    def release_host(self, host: str) -> None:
        """Drops all requests of a host that restarted or lost its session."""
        self.admissions.release_host(host)
        self.slots.release_host(host)

    def end(self) -> None:
        """Fails all that waits, and tells the hosts."""
        self.admissions.fail_all()
        self.slots.fail_all()
        self.sessions.delivery.end()
        self.sessions.evacuation_delivery.end()
        self.sessions.announce_end()
