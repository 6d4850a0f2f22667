"""State of one request in the entry host."""

import time

from masticquay_endpoints import interrupts
from masticquay_gateway import attempts
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_routing import regions as regions_module
from masticquay_routing import tables
from masticquay_serving import replies
from masticquay_serving import requests

# Subtracted from the time limit so that the response arrives within it.
RESPONSE_MARGIN_MS = 15


class Job:
    """An accepted request and the routing table that applies to it.

    ``tried_ids`` holds the ids of endpoints not to use for further attempts,
    ``attempts`` what is proven about the attempts made.

    :param workspace: None for a request without a valid key
    :param service: name of the service chosen for it
    :param interrupt: fires when the caller disconnects
    :param regions: of the places of endpoints and peers
    """

    __slots__ = (
        'request',
        'call',
        'reply',
        'table',
        'route',
        'workspace',
        'service',
        'interrupt',
        'tried_ids',
        'attempts',
        'regions',
    )

    def __init__(
        self,
        request: requests.Request,
        call: ports.Call,
        reply: replies.Reply,
        table: tables.Table,
        route: tables.Route,
        workspace: tables.Workspace | None,
        service: str,
        interrupt: interrupts.Interrupt,
        regions: regions_module.Regions = regions_module.NO_REGIONS,
    ):
        self.request = request
        self.call = call
        self.reply = reply
        self.table = table
        self.route = route
        self.workspace = workspace
        self.service = service
        self.interrupt = interrupt
        self.regions = regions
        self.tried_ids: set[str] = set()
        self.attempts = attempts.AttemptRecord()

    @property
    def workspace_name(self) -> str | None:
        """The workspace's name, None without a workspace."""
        return self.workspace.name if self.workspace else None

    @property
    def first_call_id(self) -> str:
        """The id of the request under which the caller's stream began."""
        if self.call.resumes_stream:
            return self.call.first_call_id
        return self.call.call_id

    @property
    def priority(self) -> int:
        """The workspace's priority if it has one, else the route's."""
        workspace = self.workspace
        if workspace is not None and workspace.priority is not None:
            return workspace.priority
        return self.route.priority

    def allows_place(self, place: str) -> bool:
        """Whether the request may be run in a place, or go through it."""
        allowed = self._allowed_regions
        return not allowed or self.regions.allows(place, allowed)

    @property
    def _allowed_regions(self) -> list[list[str]]:
        owners = [self.route, self.workspace]
        return [
            owner.allowed_regions
            for owner in owners
            if owner is not None and owner.allowed_regions
        ]

    def barred_ids(self, endpoints: list[fleets.Endpoint]) -> set[str]:
        """Returns the endpoints that are in no allowed region."""
        allowed = self._allowed_regions
        if not allowed:
            return set()
        return {
            e.endpoint_id
            for e in endpoints
            if not self.regions.allows(e.place, allowed)
        }

    @property
    def elapsed_ms(self) -> float:
        """Time since the first byte of the request arrived."""
        return (time.monotonic() - self.request.started_s) * 1000

    @property
    def remaining_ms(self) -> int:
        """Time until the response must be sent; negative if it is late."""
        limit_ms = self.route.timeout_ms
        deadline_ms = self.call.deadline_ms
        if deadline_ms is not None:
            limit_ms = min(limit_ms, deadline_ms)
        return int(limit_ms - self.elapsed_ms) - RESPONSE_MARGIN_MS

    def endpoint_context(
        self, last_event_id: str | None = None
    ) -> ports.RequestContext:
        """Returns the context to send to an endpoint with the request."""
        return ports.RequestContext(
            self.workspace_name, max(1, self.remaining_ms), last_event_id
        )
