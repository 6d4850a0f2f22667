"""Validation of routing tables.

The operator receives the texts of the errors in the response.
"""

from masticquay_routing import errors
from masticquay_routing import tables


def check(table: tables.Table) -> None:
    """Validates a table.

    :raises TableError: for the first part that is invalid
    """
    _check_unique_prefixes(table.routes)
    for route in table.routes:
        _check_route(route, table.services)
    _check_unique_keys(table.workspaces or [])


def _check_unique_prefixes(routes: list[tables.Route]) -> None:
    seen = set()
    for route in routes:
        host_prefix = (route.host.lower(), route.prefix)
        if host_prefix in seen:
            raise errors.TableError(
                f'routes.{route.name}', 'host and prefix are taken'
            )
        seen.add(host_prefix)


def _check_route(
    route: tables.Route, services: dict[str, tables.Service]
) -> None:
    key = f'routes.{route.name}'
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        raise errors.TableError(key, 'the prefix lacks a slash')
    if route.timeout_ms <= 0:
        raise errors.TableError(key, 'the timeout is not above 0')
    for target in route.targets:
        if target.service not in services:
            raise errors.TableError(key, f'no service {target.service!r}')
        if target.weight < 0:
            raise errors.TableError(key, 'a weight is below 0')
    if sum(target.weight for target in route.targets) <= 0:
        raise errors.TableError(key, 'the weights add up to 0')


def _check_unique_keys(workspaces: list[tables.Workspace]) -> None:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace.name)
            if owner != workspace.name:
                raise errors.TableError(
                    f'workspaces.{workspace.name}',
                    f'a key belongs to {owner!r} too',
                )
