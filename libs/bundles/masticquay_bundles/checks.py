"""Checks of bundle files: the schema first, then names across sections."""

import collections.abc
import pathlib
import typing

from returns import result

from masticquay_bundles import documents
from masticquay_bundles import errors
from masticquay_bundles import models
from masticquay_bundles import schemas

Problems = list[errors.Problem]
CheckedBundle = result.Result[models.Bundle, Problems]


def check_file(path: pathlib.Path) -> CheckedBundle:
    """Reads and checks a bundle file.

    :returns: the bundle, or every fault found
    """
    try:
        document = documents.load_document(path)
    except errors.DocumentError as cause:
        return result.Failure(cause.problems)
    return check_document(document)


def check_text(text: str, file: str = '(text)') -> CheckedBundle:
    """Checks a bundle given as YAML text."""
    try:
        document = documents.parse_document(text, file)
    except errors.DocumentError as cause:
        return result.Failure(cause.problems)
    return check_document(document)


def check_document(document: documents.Document) -> CheckedBundle:
    """Checks a bundle that was read already."""
    problems = documents.check_schema(document, schemas.BUNDLE)
    if problems:
        return result.Failure(problems)
    checker = _CrossChecker(document)
    problems = checker.run()
    if problems:
        return result.Failure(problems)
    return result.Success(models.Bundle.from_wire(_normalize(document.value)))


def _normalize(value: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Fills in the defaults that depend on other keys."""
    filled = dict(value)
    filled.setdefault('models', [])
    filled.setdefault('services', [])
    routes = []
    for route in value['routes']:
        methods = ['GET', 'POST'] if route.get('service') else ['POST']
        defaults = {'methods': methods, 'idempotent': True}
        routes.append({**defaults, **route})
    filled['routes'] = routes
    return filled


class _CrossChecker:
    """Finds duplicates, dangling names and contradictions."""

    __slots__ = ('_document', '_value', '_problems')

    def __init__(self, document: documents.Document):
        self._document = document
        self._value = document.value
        self._problems: Problems = []

    def run(self) -> Problems:
        """Runs every check."""
        self._check_unique('approvers', 'name')
        self._check_unique('places', 'name')
        self._check_unique('workspaces', 'name')
        self._check_unique('keys', 'digest')
        self._check_unique('classes', 'name')
        self._check_unique('models', 'name')
        self._check_unique('endpoints', 'name')
        self._check_unique('endpoints', 'address')
        self._check_duplicate_services()
        self._check_approvals()
        self._check_keys()
        self._check_routes()
        self._check_endpoints()
        self._problems.sort(key=lambda problem: problem.line)
        return self._problems

    def _add(self, path: documents.Path, text: str) -> None:
        self._problems.append(self._document.problem(path, text))

    def _items(
        self, section: str
    ) -> collections.abc.Iterator[tuple[documents.Path, dict]]:
        for number, item in enumerate(self._value.get(section, [])):
            yield (section, number), item

    def _names(self, section: str) -> set[str]:
        return {item['name'] for _, item in self._items(section)}

    def _check_unique(self, section: str, key: str) -> None:
        first_lines: dict[str, int] = {}
        for path, item in self._items(section):
            value = item[key]
            if value in first_lines:
                self._add(
                    (*path, key),
                    f'{value} stands already in line {first_lines[value]}',
                )
                continue
            first_lines[value] = self._document.line_of((*path, key))

    def _check_duplicate_services(self) -> None:
        seen = set()
        for number, name in enumerate(self._value.get('services', [])):
            if name in seen:
                self._add(('services', number), f'{name} stands twice')
            seen.add(name)

    def _check_approvals(self) -> None:
        required = self._value['approvals_required']
        known = len(self._value['approvers'])
        if required > known:
            self._add(
                ('approvals_required',),
                f'{required} approvals of {known} approvers',
            )

    def _check_name(
        self, path: documents.Path, name: str, known: set[str], what: str
    ) -> None:
        if name not in known:
            self._add(path, f'no {what} {name} in this bundle')

    def _check_keys(self) -> None:
        workspaces = self._names('workspaces')
        for path, key in self._items('keys'):
            self._check_name(
                (*path, 'workspace'), key['workspace'], workspaces, 'workspace'
            )

    def _check_routes(self) -> None:
        seen: set[tuple] = set()
        for path, route in self._items('routes'):
            self._check_route_names(path, route)
            for method in route.get('methods', ['*']):
                identity = (route['path'], route.get('model', ''), method)
                if identity in seen:
                    self._add((*path, 'path'), 'the same route stands twice')
                seen.add(identity)

    def _check_route_names(self, path: documents.Path, route: dict) -> None:
        classes = self._names('classes')
        for number, name in enumerate(route['classes']):
            self._check_name(
                (*path, 'classes', number), name, classes, 'class'
            )
        workspaces = self._names('workspaces')
        for number, name in enumerate(route.get('workspaces', [])):
            self._check_name(
                (*path, 'workspaces', number), name, workspaces, 'workspace'
            )
        service = route.get('service')
        if service is not None:
            services = set(self._value.get('services', []))
            self._check_name((*path, 'service'), service, services, 'service')
        model = route.get('model')
        if model is not None:
            if service is not None:
                self._add((*path, 'model'), 'a route has a model or a service')
            self._check_name(
                (*path, 'model'), model, self._names('models'), 'model'
            )
        if not route.get('idempotent', True) and service is None:
            self._add(
                (*path, 'idempotent'), 'only a service route may be false'
            )
        if not route.get('idempotent', True) and route['access'] == 'open':
            self._add(
                (*path, 'access'), 'a non-idempotent route must be keyed'
            )

    def _check_endpoints(self) -> None:
        places = self._names('places')
        for path, endpoint in self._items('endpoints'):
            self._check_name(
                (*path, 'place'), endpoint['place'], places, 'place'
            )
            port = int(endpoint['address'].rpartition(':')[2])
            if not 0 < port < 65_536:
                self._add((*path, 'address'), f'{port} is no port')
            if endpoint['kind'] == models.KIND_ENGINE:
                self._check_engine(path, endpoint)
            else:
                self._check_service(path, endpoint)

    def _check_engine(self, path: documents.Path, endpoint: dict) -> None:
        if 'service' in endpoint:
            self._add((*path, 'service'), 'an engine has a model instead')
        if not endpoint.get('roles'):
            self._add(path, 'missing key roles')
        if 'model' not in endpoint:
            self._add(path, 'missing key model')
            return
        self._check_name(
            (*path, 'model'), endpoint['model'], self._names('models'), 'model'
        )

    def _check_service(self, path: documents.Path, endpoint: dict) -> None:
        for key in ('model', 'roles'):
            if key in endpoint:
                self._add((*path, key), 'only an engine has it')
        if 'service' not in endpoint:
            self._add(path, 'missing key service')
            return
        services = set(self._value.get('services', []))
        self._check_name(
            (*path, 'service'), endpoint['service'], services, 'service'
        )
