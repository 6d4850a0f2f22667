"""Admission: who calls, by which route, under which bundle."""

from masticquay_bundles import models
from masticquay_entry import callers
from masticquay_entry import refusals
from masticquay_entry import routes
from masticquay_membership import protocols


class Admission:
    """A request's rights, fixed when it was admitted.

    :param workspace: empty on an open route
    """

    __slots__ = (
        'table',
        'route',
        'workspace',
        'service_class',
        'key_digest',
    )

    def __init__(
        self,
        table: routes.RouteTable,
        route: models.Route,
        workspace: str,
        service_class: models.ServiceClass,
        key_digest: str,
    ):
        self.table = table
        self.route = route
        self.workspace = workspace
        self.service_class = service_class
        self.key_digest = key_digest

    @property
    def keyed(self) -> bool:
        """Whether the request depends on a key."""
        return self.route.access == models.ACCESS_KEYED


class Gate:
    """Admits requests under the bundle in force."""

    def __init__(self, membership: protocols.Membership):
        self._membership = membership
        self._table: routes.RouteTable | None = None

    def table(self) -> routes.RouteTable:
        """Returns the table of the bundle in force.

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
        table = self._table
        if table is None or table.bundle is not bundle:
            table = self._table = routes.RouteTable(bundle)
        return table

    def admit(
        self,
        table: routes.RouteTable,
        route: models.Route,
        request: callers.CallerRequest,
    ) -> Admission:
        """Checks the key of a request and chooses its class.

        :raises Refusal: when the request may not run
        """
        service_class = _choose_class(table, route, request.class_name)
        if route.access == models.ACCESS_OPEN:
            return Admission(table, route, '', service_class, '')
        workspace = self.find_workspace(table, request.key_digest)
        if route.workspaces and workspace not in route.workspaces:
            raise refusals.Refusal(
                403, 'foreign-key', 'the key does not open this route'
            )
        return Admission(
            table, route, workspace, service_class, request.key_digest
        )

    def find_workspace(self, table: routes.RouteTable, digest: str) -> str:
        """Returns the workspace of a key.

        :raises Refusal: when the key opens nothing now
        """
        if not self._membership.lease_valid():
            raise refusals.lease_lost()
        if not digest:
            raise refusals.Refusal(401, 'no-key', 'a key is needed')
        if digest in self._membership.state().withdrawn:
            raise refusals.withdrawn()
        workspace = table.keys.get(digest)
        if workspace is None:
            raise refusals.Refusal(401, 'unknown-key', 'the key is unknown')
        return workspace

    def workspace_of(self, digest: str) -> str:
        """Returns whose key it is, empty when nobody's; grants nothing."""
        bundle = self._membership.state().bundle
        if bundle is None or not digest:
            return ''
        return self.table().keys.get(digest, '')

    def recheck(self, admission: Admission) -> None:
        """Checks, right before dispatch, that the key still stands.

        :raises Refusal: when it does not
        """
        if not admission.keyed:
            return
        if not self._membership.lease_valid():
            raise refusals.lease_lost()
        if admission.key_digest in self._membership.state().withdrawn:
            raise refusals.withdrawn()


def _choose_class(
    table: routes.RouteTable, route: models.Route, wanted: str
) -> models.ServiceClass:
    name = wanted or route.classes[0]
    if name not in route.classes:
        raise refusals.bad_request(
            'unknown-class', 'the route does not offer that class'
        )
    return table.classes[name]
