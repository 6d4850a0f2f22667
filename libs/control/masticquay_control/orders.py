"""Which orders engines need, and which of them may be given now."""

from masticquay_bundles import models

KIND_LOAD_VERSION = 'load-version'
KIND_LOAD_ADAPTER = 'load-adapter'
KIND_CHANGE_ROLE = 'change-role'

STATE_CURRENT = 'current'
STATE_RUNNING = 'running'
STATE_FAILED = 'failed'
STATE_HELD = 'held'
STATE_UNREACHABLE = 'unreachable'
STATE_UNKNOWN = ''

RETRY_MS = 5_000


class Order:
    """One order to one engine.

    :param order_id: the same for every leader, so that an order given by an
        earlier one is recognized
    """

    __slots__ = (
        'order_id',
        'kind',
        'model',
        'version',
        'adapter',
        'roles',
        'weights_bytes',
    )

    def __init__(
        self,
        order_id: str,
        kind: str,
        model: str,
        version: str,
        adapter: str = '',
        roles: list[str] | None = None,
        weights_bytes: int = 0,
    ):
        self.order_id = order_id
        self.kind = kind
        self.model = model
        self.version = version
        self.adapter = adapter
        self.roles = roles or []
        self.weights_bytes = weights_bytes


class EngineLoad:
    """What an engine reports of itself."""

    __slots__ = ('model', 'version', 'roles')

    def __init__(self, model: str, version: str, roles: list[str]):
        self.model = model
        self.version = version
        self.roles = roles


class EngineRecord:
    """What the leader knows of an engine.

    :param load: None until it answered, and while it does not
    :param order: the order under way
    :param adapters: adapters whose order is known to be done
    :param attempt: counts orders that ended without effect
    """

    __slots__ = (
        'name',
        'load',
        'order',
        'adapters',
        'attempt',
        'state',
        'polled_ms',
        'retry_ms',
    )

    def __init__(self, name: str):
        self.name = name
        self.load: EngineLoad | None = None
        self.order: Order | None = None
        self.adapters: set[str] = set()
        self.attempt = 0
        self.state = STATE_UNKNOWN
        self.polled_ms: int | None = None
        self.retry_ms = 0


class Stores:
    """Spreads loads over the weight stores, one at a time each."""

    def __init__(self) -> None:
        self._free_ms: dict[str, int] = {}

    def reserve(
        self, bundle: models.Bundle, weights_bytes: int, now_ms: int
    ) -> str | None:
        """Takes a store's whole rate for as long as a load needs.

        :returns: the address, empty without stores, None if all are taken
        """
        if not bundle.weight_stores or not weights_bytes:
            stores = bundle.weight_stores
            return stores[0].address if stores else ''
        free = [
            store
            for store in bundle.weight_stores
            if self._free_ms.get(store.address, 0) <= now_ms
        ]
        if not free:
            return None
        store = max(free, key=lambda found: found.rate_bytes_per_s)
        load_ms = 1_000 * weights_bytes // store.rate_bytes_per_s
        self._free_ms[store.address] = now_ms + load_ms
        return store.address

    def release(self, address: str, now_ms: int) -> None:
        """Gives a store's rate back before its time."""
        self._free_ms[address] = min(self._free_ms.get(address, 0), now_ms)

    def block(
        self, bundle: models.Bundle, weights_bytes: int, now_ms: int
    ) -> None:
        """Counts a load of an earlier leader, which any store may serve."""
        for store in bundle.weight_stores:
            load_ms = 1_000 * weights_bytes // store.rate_bytes_per_s
            end_ms = now_ms + load_ms
            known_ms = self._free_ms.get(store.address, 0)
            self._free_ms[store.address] = max(known_ms, end_ms)


def next_order(
    bundle: models.Bundle,
    bundle_index: int,
    endpoint: models.Endpoint,
    record: EngineRecord,
) -> Order | None:
    """Returns the first order that an engine needs, if any."""
    model = bundle.model(endpoint.model)
    load = record.load
    if model is None or load is None:
        return None
    suffix = f'{bundle_index}-{record.attempt}'
    if (load.model, load.version) != (model.name, model.version):
        return Order(
            f'{KIND_LOAD_VERSION}-{model.name}-{model.version}-{suffix}',
            KIND_LOAD_VERSION,
            model.name,
            model.version,
            weights_bytes=model.weights_bytes,
        )
    if sorted(load.roles) != sorted(endpoint.roles):
        roles = '-'.join(sorted(endpoint.roles))
        return Order(
            f'{KIND_CHANGE_ROLE}-{roles}-{suffix}',
            KIND_CHANGE_ROLE,
            model.name,
            model.version,
            roles=endpoint.roles,
        )
    for adapter in model.adapters:
        name = adapter_id(model, adapter)
        if name not in record.adapters:
            return Order(
                name,
                KIND_LOAD_ADAPTER,
                model.name,
                model.version,
                adapter=adapter,
            )
    return None


def adapter_id(model: models.Model, adapter: str) -> str:
    """Returns the order id of an adapter of a model version."""
    return f'{KIND_LOAD_ADAPTER}-{model.name}-{model.version}-{adapter}'


def keeps_minimum(
    bundle: models.Bundle,
    records: dict[str, EngineRecord],
    leaving: list[str],
    record: EngineRecord,
    order: Order,
) -> bool:
    """Whether enough engines go on serving while this one does not.

    Counted for each role that the engine serves now. Adapters are loaded
    beside the running work.
    """
    load = record.load
    if load is None or order.kind == KIND_LOAD_ADAPTER:
        return True
    model = bundle.model(load.model)
    minimum = model.minimum_endpoints if model is not None else 0
    others = [
        other.load
        for other in records.values()
        if other is not record
        and other.load is not None
        and not _is_out(other)
        and other.name not in leaving
        and other.load.model == load.model
    ]
    return all(
        sum(role in other.roles for other in others) >= minimum
        for role in load.roles
    )


def _is_out(record: EngineRecord) -> bool:
    order = record.order
    return order is not None and order.kind != KIND_LOAD_ADAPTER
