"""Records of a bundle, the fleet configuration that operators declare."""

from masticquay_wire import messages
from masticquay_wire import records

CLASS_URGENT = 'prompt'
CLASS_STANDARD = 'standard'
CLASS_DEFERRED = 'deferred'

ACCESS_OPEN = 'open'
ACCESS_KEYED = 'keyed'

ROLE_PREFILL = 'prefill'
ROLE_DECODE = 'decode'

KIND_ENGINE = 'engine'
KIND_SERVICE = 'service'

WITHDRAWAL_CUT = 'cut'
WITHDRAWAL_FINISH = 'finish'


class Workspace(records.Record):
    """A customer, with its rate limit and its weight in the fair queue.

    The rate limit counts prompt and output tokens.

    :param host_count: how many entry hosts its callers are offered
    """

    __slots__ = (
        'name',
        'rate_tokens_per_s',
        'burst_tokens',
        'weight',
        'host_count',
    )

    def __init__(
        self,
        name: str,
        rate_tokens_per_s: int,
        burst_tokens: int,
        weight: int = 1,
        host_count: int = 3,
    ):
        self.name = name
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens
        self.weight = weight
        self.host_count = host_count


class Key(records.Record):
    """A caller's API key, stored as its SHA-256 digest in hex."""

    __slots__ = ('digest', 'workspace', 'label')

    def __init__(self, digest: str, workspace: str, label: str = ''):
        self.digest = digest
        self.workspace = workspace
        self.label = label


class ServiceClass(records.Record):
    """A class of requests with its latency targets.

    :param kind: ``prompt`` (urgent: served first, with reserved headroom),
        ``standard`` or ``deferred``
    :param deadline_ms: maximum time from arrival to the last byte
    :param max_wait_ms: maximum time in a queue
    """

    __slots__ = (
        'name',
        'kind',
        'first_token_target_ms',
        'between_tokens_target_ms',
        'deadline_ms',
        'max_wait_ms',
    )

    def __init__(
        self,
        name: str,
        kind: str,
        first_token_target_ms: int,
        between_tokens_target_ms: int,
        deadline_ms: int,
        max_wait_ms: int,
    ):
        self.name = name
        self.kind = kind
        self.first_token_target_ms = first_token_target_ms
        self.between_tokens_target_ms = between_tokens_target_ms
        self.deadline_ms = deadline_ms
        self.max_wait_ms = max_wait_ms


class Model(records.Record):
    """A model and the version that its endpoints should serve.

    :param minimum_endpoints: how many endpoints must keep serving while
        others load another version
    :param adapters: adapters that each endpoint should load
    """

    __slots__ = (
        'name',
        'version',
        'weights_bytes',
        'kv_bytes_per_token',
        'minimum_endpoints',
        'adapters',
    )

    def __init__(
        self,
        name: str,
        version: str,
        weights_bytes: int = 0,
        kv_bytes_per_token: int = 1,
        minimum_endpoints: int = 1,
        adapters: list[str] | None = None,
    ):
        self.name = name
        self.version = version
        self.weights_bytes = weights_bytes
        self.kv_bytes_per_token = kv_bytes_per_token
        self.minimum_endpoints = minimum_endpoints
        self.adapters = adapters or []


class Route(records.Record):
    """An HTTP path that callers may use.

    A route with a ``service`` forwards to that service. Any other route
    serves ``model``, or every model when ``model`` is empty. A path that
    ends in ``/`` also serves every path below it.

    :param access: ``open``, or ``keyed`` when callers need an API key
    :param idempotent: whether a call may be sent again when its outcome is
        unknown; otherwise it is sent at most once
    :param classes: allowed classes; the first is the default
    :param workspaces: workspaces whose keys are accepted, empty for all
    :param on_withdrawal: whether withdrawing a key cuts its running
        requests (``cut``) or lets dispatched ones finish (``finish``)
    """

    __slots__ = (
        'path',
        'methods',
        'access',
        'idempotent',
        'classes',
        'model',
        'service',
        'workspaces',
        'on_withdrawal',
    )

    def __init__(
        self,
        path: str,
        methods: list[str],
        access: str,
        idempotent: bool,
        classes: list[str],
        model: str = '',
        service: str = '',
        workspaces: list[str] | None = None,
        on_withdrawal: str = WITHDRAWAL_CUT,
    ):
        self.path = path
        self.methods = methods
        self.access = access
        self.idempotent = idempotent
        self.classes = classes
        self.model = model
        self.service = service
        self.workspaces = workspaces or []
        self.on_withdrawal = on_withdrawal


class Endpoint(records.Record):
    """A back end: an engine that runs a model, or a plain service.

    :param address: its address, as ``ip:port``
    :param place: the data centre that it runs in
    :param slots: how many requests it runs at once
    :param pieces: KV cache size, in blocks of ``piece_tokens`` tokens
    :param link_bytes_per_s: bandwidth of its link for KV transfers
    :param checks_fencing: whether it rejects orders with a stale fencing
        number
    :param checks_orderer: whether it rejects orders from all senders but its
        configured orderer
    """

    __slots__ = (
        'name',
        'kind',
        'address',
        'place',
        'roles',
        'model',
        'service',
        'slots',
        'pieces',
        'piece_tokens',
        'link_bytes_per_s',
        'checks_fencing',
        'checks_orderer',
    )

    def __init__(
        self,
        name: str,
        kind: str,
        address: str,
        place: str,
        slots: int,
        roles: list[str] | None = None,
        model: str = '',
        service: str = '',
        pieces: int = 4_000,
        piece_tokens: int = 16,
        link_bytes_per_s: int = 1_000_000_000,
        checks_fencing: bool = False,
        checks_orderer: bool = False,
    ):
        self.name = name
        self.kind = kind
        self.address = address
        self.place = place
        self.roles = roles or []
        self.model = model
        self.service = service
        self.slots = slots
        self.pieces = pieces
        self.piece_tokens = piece_tokens
        self.link_bytes_per_s = link_bytes_per_s
        self.checks_fencing = checks_fencing
        self.checks_orderer = checks_orderer


class WeightStore(records.Record):
    """A store that engines load weights from, with its total bandwidth."""

    __slots__ = ('address', 'rate_bytes_per_s')

    def __init__(self, address: str, rate_bytes_per_s: int):
        self.address = address
        self.rate_bytes_per_s = rate_bytes_per_s


class Approver(records.Record):
    """A person who may sign bundles, with an Ed25519 public key in hex."""

    __slots__ = ('name', 'public_key')

    def __init__(self, name: str, public_key: str):
        self.name = name
        self.public_key = public_key


class Place(records.Record):
    """A data centre and its region."""

    __slots__ = ('name', 'region')

    def __init__(self, name: str, region: str):
        self.name = name
        self.region = region


class Bundle(records.Record):
    """One version of the complete fleet configuration.

    :param approvals_required: signatures needed to replace this bundle
    :param platform_list: address of the platform's list of endpoints, empty
        for none
    """

    __slots__ = (
        'version',
        'approvals_required',
        'approvers',
        'places',
        'workspaces',
        'keys',
        'classes',
        'models',
        'services',
        'routes',
        'endpoints',
        'weight_stores',
        'platform_list',
    )

    def __init__(
        self,
        version: int,
        approvals_required: int,
        approvers: list[Approver],
        places: list[Place],
        workspaces: list[Workspace],
        keys: list[Key],
        classes: list[ServiceClass],
        models: list[Model],
        services: list[str],
        routes: list[Route],
        endpoints: list[Endpoint],
        weight_stores: list[WeightStore] | None = None,
        platform_list: str = '',
    ):
        self.version = version
        self.approvals_required = approvals_required
        self.approvers = approvers
        self.places = places
        self.workspaces = workspaces
        self.keys = keys
        self.classes = classes
        self.models = models
        self.services = services
        self.routes = routes
        self.endpoints = endpoints
        self.weight_stores = weight_stores or []
        self.platform_list = platform_list

    def workspace(self, name: str) -> Workspace | None:
        """Returns a workspace by name, None when it is not declared."""
        return next((w for w in self.workspaces if w.name == name), None)

    def service_class(self, name: str) -> ServiceClass | None:
        """Returns a class by name, None when it is not declared."""
        return next((c for c in self.classes if c.name == name), None)

    def model(self, name: str) -> Model | None:
        """Returns a model by name, None when it is not declared."""
        return next((m for m in self.models if m.name == name), None)

    def region_of(self, place: str) -> str:
        """Returns the region of a place, empty when it is not declared."""
        return next((p.region for p in self.places if p.name == place), '')


class Signature(records.Record):
    """An approver's signature over a bundle's digest."""

    __slots__ = ('approver', 'signature')

    def __init__(self, approver: str, signature: bytes):
        self.approver = approver
        self.signature = signature


@messages.register
class SignedBundle(messages.Message):
    """A bundle and its approvers' signatures."""

    __slots__ = ('bundle', 'signatures')

    def __init__(self, bundle: Bundle, signatures: list[Signature]):
        self.bundle = bundle
        self.signatures = signatures
