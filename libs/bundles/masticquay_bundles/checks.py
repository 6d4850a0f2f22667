"""Checks of bundle files: first the schema, then consistency."""

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

    :returns: the bundle, or every problem found
    """
    try:
        document = documents.load_document(path)
    except errors.DocumentError as cause:
        return result.Failure(cause.problems)
    return check_document(document)


def check_text(text: str, file: str = '(text)') -> CheckedBundle:
    """Checks a bundle given as YAML text.

    :param file: the file name to show in problems
    :returns: the bundle, or every problem found
    """
    try:
        document = documents.parse_document(text, file)
    except errors.DocumentError as cause:
        return result.Failure(cause.problems)
    return check_document(document)


def check_document(document: documents.Document) -> CheckedBundle:
    """Checks a bundle that has been parsed.

    Consistency is checked only when the schema is satisfied.

    :returns: the bundle, or every problem found
    """
    problems = documents.check_schema(document, schemas.BUNDLE)
    if problems:
        return result.Failure(problems)
    checker = _ConsistencyChecker(document)
    problems = checker.run()
    if problems:
        return result.Failure(problems)
    return result.Success(
        models.Bundle.from_wire(_fill_defaults(document.value))
    )


def _fill_defaults(value: dict[str, typing.Any]) -> dict[str, typing.Any]:
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


class _ConsistencyChecker:
    """Finds duplicates, undefined references and contradictory keys."""

    __slots__ = ('_document', '_value', '_problems')

    def __init__(self, document: documents.Document):
        self._document = document
        self._value = document.value
        self._problems: Problems = []

    def run(self) -> Problems:
        """Runs every check and returns the problems, sorted by line."""
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

    def _add_problem(self, path: documents.KeyPath, message: str) -> None:
        self._problems.append(self._document.make_problem(path, message))

    def _items(
        self, section: str
    ) -> collections.abc.Iterator[tuple[documents.KeyPath, dict]]:
        for index, item in enumerate(self._value.get(section, [])):
            yield (section, index), item

    def _names(self, section: str) -> set[str]:
        return {item['name'] for _, item in self._items(section)}

    def _check_unique(self, section: str, key: str) -> None:
        first_lines: dict[str, int] = {}
        for path, item in self._items(section):
            value = item[key]
            if value in first_lines:
                self._add_problem(
                    (*path, key),
                    f'{value} is already used in line {first_lines[value]}',
                )
                continue
            first_lines[value] = self._document.line_of((*path, key))

    def _check_duplicate_services(self) -> None:
        seen = set()
        for index, name in enumerate(self._value.get('services', [])):
            if name in seen:
                self._add_problem(
                    ('services', index), f'duplicate service {name}'
                )
            seen.add(name)

    def _check_approvals(self) -> None:
        required = self._value['approvals_required']
        available = len(self._value['approvers'])
        if required > available:
            self._add_problem(
                ('approvals_required',),
                f'{required} exceeds the number of approvers ({available})',
            )

    def _check_reference(
        self, path: documents.KeyPath, name: str, defined: set[str], kind: str
    ) -> None:
        if name not in defined:
            self._add_problem(path, f'no {kind} {name} in this bundle')

    def _check_keys(self) -> None:
        workspaces = self._names('workspaces')
        for path, key in self._items('keys'):
            self._check_reference(
                (*path, 'workspace'), key['workspace'], workspaces, 'workspace'
            )

    def _check_routes(self) -> None:
        seen: set[tuple] = set()
        for path, route in self._items('routes'):
            self._check_route(path, route)
            for method in route.get('methods', ['*']):
                route_key = (route['path'], route.get('model', ''), method)
                if route_key in seen:
                    self._add_problem(
                        (*path, 'path'),
                        'another route has the same path, model and method',
                    )
                seen.add(route_key)

    def _check_route(self, path: documents.KeyPath, route: dict) -> None:
        classes = self._names('classes')
        for index, name in enumerate(route['classes']):
            self._check_reference(
                (*path, 'classes', index), name, classes, 'class'
            )
        workspaces = self._names('workspaces')
        for index, name in enumerate(route.get('workspaces', [])):
            self._check_reference(
                (*path, 'workspaces', index), name, workspaces, 'workspace'
            )
        service = route.get('service')
        if service is not None:
            services = set(self._value.get('services', []))
            self._check_reference(
                (*path, 'service'), service, services, 'service'
            )
        model = route.get('model')
        if model is not None:
            if service is not None:
                self._add_problem(
                    (*path, 'model'), 'not allowed together with service'
                )
            self._check_reference(
                (*path, 'model'), model, self._names('models'), 'model'
            )
        if not route.get('idempotent', True) and service is None:
            self._add_problem(
                (*path, 'idempotent'),
                'only a route with a service may be non-idempotent',
            )
        if not route.get('idempotent', True) and route['access'] == 'open':
            self._add_problem(
                (*path, 'access'), 'a non-idempotent route must be keyed'
            )

    def _check_endpoints(self) -> None:
        places = self._names('places')
        for path, endpoint in self._items('endpoints'):
            self._check_reference(
                (*path, 'place'), endpoint['place'], places, 'place'
            )
            port = int(endpoint['address'].rpartition(':')[2])
            if not 0 < port < 65_536:
                self._add_problem(
                    (*path, 'address'), f'{port} is not a valid port'
                )
            if endpoint['kind'] == models.KIND_ENGINE:
                self._check_engine(path, endpoint)
            else:
                self._check_service(path, endpoint)

    def _check_engine(self, path: documents.KeyPath, endpoint: dict) -> None:
        if 'service' in endpoint:
            self._add_problem((*path, 'service'), 'not allowed for an engine')
        if not endpoint.get('roles'):
            self._add_problem(path, 'missing key roles')
        if 'model' not in endpoint:
            self._add_problem(path, 'missing key model')
            return
        self._check_reference(
            (*path, 'model'), endpoint['model'], self._names('models'), 'model'
        )

    def _check_service(self, path: documents.KeyPath, endpoint: dict) -> None:
        for key in ('model', 'roles'):
            if key in endpoint:
                self._add_problem((*path, key), 'only allowed for an engine')
        if 'service' not in endpoint:
            self._add_problem(path, 'missing key service')
            return
        services = set(self._value.get('services', []))
        self._check_reference(
            (*path, 'service'), endpoint['service'], services, 'service'
        )
