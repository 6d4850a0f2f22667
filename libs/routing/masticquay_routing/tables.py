"""The routing table: routes, services, workspaces and caller limits."""

import enum
import typing


class RouteKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class Target:
    """A service that a route may choose, with its weight."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route:
    """Where requests of one host and path prefix go, and under what terms.

    :param timeout_ms: the longest time a caller is kept waiting
    :param target_ms: the time within which an answer counts fully
    :param priority: 0 is the most urgent
    :param attempts: endpoints that one request may be sent to
    :param open: whether requests need no key
    :param model: whether its services are model engines
    :param resumable: whether a stream may go on at another endpoint
    :param gap_ms: the longest pause in a stream that counts as on time
    :param patience_ms: a pause after which callers abandon a stream, also
        before its first event
    """

    __slots__ = (
        'name',
        'host',
        'prefix',
        'kind',
        'timeout_ms',
        'target_ms',
        'priority',
        'targets',
        'attempts',
        'open',
        'model',
        'resumable',
        'gap_ms',
        'patience_ms',
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        kind: RouteKind,
        timeout_ms: int,
        target_ms: int,
        priority: int,
        targets: list[Target],
        attempts: int = 1,
        open: bool = False,
        model: bool = False,
        resumable: bool = False,
        gap_ms: int = 0,
        patience_ms: int = 10_000,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.timeout_ms = timeout_ms
        self.target_ms = target_ms
        self.priority = priority
        self.targets = targets
        self.attempts = attempts
        self.open = open
        self.model = model
        self.resumable = resumable
        self.gap_ms = gap_ms
        self.patience_ms = patience_ms

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may run again."""
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, draw: float) -> str:
        """Returns a service by the weights.

        :param draw: a random number from 0 up to but not including 1
        """
        total = sum(target.weight for target in self.targets)
        position = draw * total
        for target in self.targets:
            position -= target.weight
            if position < 0:
                return target.service
        return self.targets[-1].service


class Engine:
    """What the model engines of a service can hold.

    :param slots: requests that run at once
    :param memory_tokens: tokens that fit into an engine's memory
    :param handle_ttl_ms: how long a prefilled prompt waits to be taken
    :param role_switch_ms: how long a change of role takes
    """

    __slots__ = ('slots', 'memory_tokens', 'handle_ttl_ms', 'role_switch_ms')

    def __init__(
        self,
        slots: int,
        memory_tokens: int,
        handle_ttl_ms: int,
        role_switch_ms: int,
    ):
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.handle_ttl_ms = handle_ttl_ms
        self.role_switch_ms = role_switch_ms


class Service:
    """A service behind the routes.

    :param max_connections: that an endpoint takes from all hosts together
    :param engine: None for a plain service
    """

    __slots__ = ('name', 'health_path', 'max_connections', 'engine')

    def __init__(
        self,
        name: str,
        health_path: str,
        max_connections: int,
        engine: Engine | None,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.engine = engine


class Workspace:
    """Who may send, and how much.

    :param priority: goes before that of the route, if set
    :param counts_tokens: whether rate and burst are in tokens
    :param plain_tokens: what a request without a token count costs
    :param rate_per_s: 0 for no limit
    """

    __slots__ = (
        'name',
        'keys',
        'priority',
        'counts_tokens',
        'plain_tokens',
        'rate_per_s',
        'burst',
    )

    def __init__(
        self,
        name: str,
        keys: list[str],
        priority: int | None = None,
        counts_tokens: bool = False,
        plain_tokens: int = 1,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
    ):
        self.name = name
        self.keys = keys
        self.priority = priority
        self.counts_tokens = counts_tokens
        self.plain_tokens = plain_tokens
        self.rate_per_s = rate_per_s
        self.burst = burst

    def cost(self, tokens: int | None) -> int:
        """Returns what a request takes from the rate.

        :param tokens: its tokens, None when it declares none
        """
        if not self.counts_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


class CallerLimits:
    """What callers may send, and how long they may take.

    Serves as the limits of an HTTP server, too.
    """

    __slots__ = (
        'max_header_bytes',
        'max_body_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
    )

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        header_timeout_ms: int,
        idle_timeout_ms: int,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class Table:
    """One version of all routes, services, workspaces and limits."""

    __slots__ = (
        'version',
        'routes',
        'services',
        'workspaces',
        'limits',
        '_by_host',
        '_by_key',
    )

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        workspaces: list[Workspace] | None,
        limits: CallerLimits,
    ):
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.workspaces = workspaces
        self.limits = limits
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._by_key = {
            key: workspace
            for workspace in workspaces or []
            for key in workspace.keys
        }

    @property
    def keyed(self) -> bool:
        """Whether routes that are not open ask for a key."""
        return self.workspaces is not None

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Returns the workspace that holds a key."""
        return self._by_key.get(key)

    def workspace(self, name: str) -> Workspace | None:
        """Returns a workspace by its name."""
        for workspace in self.workspaces or []:
            if workspace.name == name:
                return workspace
        return None


class TableReader(typing.Protocol):
    """Turns an operator's document into a table."""

    def read(self, document: bytes) -> Table:
        """Reads and checks a document.

        :raises TableError: when it is no valid table
        """
