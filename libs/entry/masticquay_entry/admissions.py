"""Authentication and authorization of requests under the bundle in force."""

from masticquay_bundles import models
from masticquay_entry import caller_requests
from masticquay_entry import refusals
from masticquay_entry import routes
from masticquay_membership import protocols


class Admission:
    """The route, workspace and class that a request was admitted under.

    Set once at admission; a later bundle does not change it.

    :param workspace: empty on an open route
    :param key_digest: empty on an open route
    """

    __slots__ = (
        'route_table',
        'route',
        'workspace',
        'service_class',
        'key_digest',
    )

    def __init__(
        self,
        route_table: routes.RouteTable,
        route: models.Route,
        workspace: str,
        service_class: models.ServiceClass,
        key_digest: str,
    ):
        self.route_table = route_table
        self.route = route
        self.workspace = workspace
        self.service_class = service_class
        self.key_digest = key_digest

    @property
    def keyed(self) -> bool:
        """Whether the route requires a key."""
        return self.route.access == models.ACCESS_KEYED


class Authorizer:
    """Authenticates and admits requests under the bundle in force."""

    def __init__(self, membership: protocols.Membership):
        self._membership = membership
        self._table: routes.RouteTable | None = None

    def current_table(self) -> routes.RouteTable:
        """Returns the route table of the bundle in force.

        :raises Refusal: while there is no bundle
        """
        bundle = self._membership.state().bundle
        if bundle is None:
            raise refusals.Refusal(
                503,
                'no-bundle',
                'no bundle is in force yet',
                retry_after_ms=1_000,
            )
        route_table = self._table
        if route_table is None or route_table.bundle is not bundle:
            route_table = self._table = routes.RouteTable(bundle)
        return route_table

    def admit(
        self,
        route_table: routes.RouteTable,
        route: models.Route,
        request: caller_requests.CallerRequest,
    ) -> Admission:
        """Returns the admission of a request, with its class and workspace.

        The key is checked only on a keyed route.

        :raises Refusal: when the request may not run
        """
        service_class = _choose_class(route_table, route, request.class_name)
        if route.access == models.ACCESS_OPEN:
            return Admission(route_table, route, '', service_class, '')
        workspace = self.authenticate(route_table, request.key_digest)
        if route.workspaces and workspace not in route.workspaces:
            raise refusals.Refusal(
                403, 'foreign-key', 'the key does not open this route'
            )
        return Admission(
            route_table, route, workspace, service_class, request.key_digest
        )

    def authenticate(
        self, route_table: routes.RouteTable, key_digest: str
    ) -> str:
        """Returns the workspace of a key.

        :raises Refusal: when the key is missing, unknown or withdrawn, or
            when this host holds no valid lease
        """
        if not self._membership.lease_valid():
            raise refusals.lease_lost()
        if not key_digest:
            raise refusals.Refusal(401, 'no-key', 'a key is needed')
        if key_digest in self._membership.state().withdrawn_key_digests:
            raise refusals.key_withdrawn()
        workspace = route_table.keys.get(key_digest)
        if workspace is None:
            raise refusals.Refusal(401, 'unknown-key', 'the key is unknown')
        return workspace

    def lookup_workspace(self, key_digest: str) -> str:
        """Returns the workspace of a key without authenticating it.

        For metrics and usage only. Empty when the key is unknown.
        """
        bundle = self._membership.state().bundle
        if bundle is None or not key_digest:
            return ''
        return self.current_table().keys.get(key_digest, '')

    def recheck_key(self, admission: Admission) -> None:
        """Checks lease and key of a keyed request again, before dispatch.

        :raises Refusal: when the lease was lost or the key was withdrawn
        """
        if not admission.keyed:
            return
        if not self._membership.lease_valid():
            raise refusals.lease_lost()
        if (
            admission.key_digest
            in self._membership.state().withdrawn_key_digests
        ):
            raise refusals.key_withdrawn()


def _choose_class(
    route_table: routes.RouteTable, route: models.Route, requested_name: str
) -> models.ServiceClass:
    name = requested_name or route.classes[0]
    if name not in route.classes:
        raise refusals.bad_request(
            'unknown-class', 'the route does not offer that class'
        )
    return route_table.classes[name]
