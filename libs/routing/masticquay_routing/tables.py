"""The routing table: routes, services, workspaces and caller limits."""

import enum
import typing


class RouteKind(enum.Enum):
    """How a request may be retried.

    An ``IDEMPOTENT`` request may be sent again even if an earlier attempt may
    have run. A ``ONCE`` or ``STREAM`` request may not.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class Target:
    """A service that a route sends requests to, with its weight."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route:
    """The services for one host and path prefix, and the limits that apply.

    :param timeout_ms: how long a caller waits for the answer at most
    :param target_ms: the latency target; a later answer misses it
    :param priority: 0 is the most urgent
    :param attempts: the maximum number of endpoints that one request is sent
        to
    :param is_public: whether requests need no key
    :param is_model: whether its services run model engines
    :param resumable: whether a broken stream may resume at another endpoint
    :param max_pause_ms: the longest pause between two events of a stream that
        still meets the latency target
    :param abandon_after_ms: the pause after which callers abandon a stream,
        also while they wait for its first event
    :param allowed_regions: those whose endpoints may run its requests, empty
        for all
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
        'is_public',
        'is_model',
        'resumable',
        'max_pause_ms',
        'abandon_after_ms',
        'allowed_regions',
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
        is_public: bool = False,
        is_model: bool = False,
        resumable: bool = False,
        max_pause_ms: int = 0,
        abandon_after_ms: int = 10_000,
        allowed_regions: typing.Sequence[str] = (),
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
        self.is_public = is_public
        self.is_model = is_model
        self.resumable = resumable
        self.max_pause_ms = max_pause_ms
        self.abandon_after_ms = abandon_after_ms
        self.allowed_regions = list(allowed_regions)

    @property
    def retryable(self) -> bool:
        """Whether a request may be sent again although it may have run."""
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, draw: float) -> str:
        """Returns a service chosen at random, in proportion to the weights.

        :param draw: a random number in [0, 1)
        """
        total = sum(target.weight for target in self.targets)
        position = draw * total
        for target in self.targets:
            position -= target.weight
            if position < 0:
                return target.service
        return self.targets[-1].service


class Engine:
    """The capacity of each model engine of a service.

    :param slots: the requests that an engine runs at once
    :param memory_tokens: the tokens that fit into its KV cache memory
    :param handle_ttl_ms: how long a prefill engine keeps a prefilled prompt
        for a decode engine to fetch
    :param role_switch_ms: how long an engine takes to change its role
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
    """A service that routes send requests to.

    :param max_connections: the connections that an endpoint accepts from all
        hosts together
    :param engine: None for a service without model engines
    :param cold_rate_per_s: the requests a second that an endpoint takes while
        it is cold, 0 for no limit
    :param cold_start_ms: how long an endpoint is cold after its start
    """

    __slots__ = (
        'name',
        'health_path',
        'max_connections',
        'engine',
        'cold_rate_per_s',
        'cold_start_ms',
    )

    def __init__(
        self,
        name: str,
        health_path: str,
        max_connections: int,
        engine: Engine | None,
        cold_rate_per_s: float = 0.0,
        cold_start_ms: int = 0,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.engine = engine
        self.cold_rate_per_s = cold_rate_per_s
        self.cold_start_ms = cold_start_ms


class Workspace:
    """The API keys and the rate limit of one workspace.

    :param priority: overrides the priority of the route; None to keep it
    :param counts_tokens: whether rate and burst count tokens instead of
        requests
    :param default_tokens: the cost of a request that declares no tokens
    :param rate_per_s: 0 for no limit
    :param burst: the capacity of the token bucket
    :param allowed_regions: as for a route; both bind
    """

    __slots__ = (
        'name',
        'allowed_regions',
        'keys',
        'priority',
        'counts_tokens',
        'default_tokens',
        'rate_per_s',
        'burst',
    )

    def __init__(
        self,
        name: str,
        keys: list[str],
        priority: int | None = None,
        counts_tokens: bool = False,
        default_tokens: int = 1,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
        allowed_regions: typing.Sequence[str] = (),
    ):
        self.name = name
        self.allowed_regions = list(allowed_regions)
        self.keys = keys
        self.priority = priority
        self.counts_tokens = counts_tokens
        self.default_tokens = default_tokens
        self.rate_per_s = rate_per_s
        self.burst = burst

    def cost(self, tokens: int | None) -> int:
        """Returns the cost of a request against the rate limit.

        :param tokens: the tokens of the request, None if it declares none
        """
        if not self.counts_tokens:
            return 1
        return self.default_tokens if tokens is None else tokens


class CallerLimits:
    """Size limits and timeouts for callers' requests.

    Also used as the limits of the HTTP server.
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
        '_routes_by_host',
        '_workspaces_by_key',
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
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._routes_by_host.setdefault(route.host.lower(), []).append(
                route
            )
        self._workspaces_by_key = {
            key: workspace
            for workspace in workspaces or []
            for key in workspace.keys
        }

    @property
    def requires_keys(self) -> bool:
        """Whether routes require a key unless they are public."""
        return self.workspaces is not None

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, if any."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_by_key(self, key: str) -> Workspace | None:
        """Returns the workspace that an API key belongs to."""
        return self._workspaces_by_key.get(key)

    def workspace(self, name: str) -> Workspace | None:
        """Returns a workspace by its name."""
        for workspace in self.workspaces or []:
            if workspace.name == name:
                return workspace
        return None


class TableReader(typing.Protocol):
    """Parses the configuration documents that operators store."""

    def read(self, document: bytes) -> Table:
        """Parses and validates a document.

        :raises TableError: when it is not a valid table
        """
