"""Orders that bring engines to the state that the bundle demands."""

from masticquay_bundles import models

KIND_LOAD_VERSION = 'load-version'
KIND_LOAD_ADAPTER = 'load-adapter'
KIND_CHANGE_ROLE = 'change-role'

# The progress of an engine towards the bundle.
STATE_CURRENT = 'current'  # it serves what the bundle demands
STATE_RUNNING = 'running'  # it executes an order
STATE_FAILED = 'failed'  # its last order failed
STATE_HELD = 'held'  # its order waits for other engines or a weight store
STATE_UNREACHABLE = 'unreachable'
STATE_UNKNOWN = ''

RETRY_DELAY_MS = 5_000


class Order:
    """An order to an engine.

    :param order_id: computed from the same inputs by every leader, so that a
        new leader recognizes an order of an earlier one
    :param kind: one of the ``KIND_*`` constants
    :param model: the model to load, or the one that the engine serves
    :param adapter: the adapter to load, empty for other kinds of orders
    :param roles: the new roles, empty for other kinds of orders
    :param weights_bytes: the size of the weights to load, 0 if none
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


class ServedModel:
    """The model and version that an engine serves, and its roles.

    :param roles: ``prefill``, ``decode`` or both
    """

    __slots__ = ('model', 'version', 'roles')

    def __init__(self, model: str, version: str, roles: list[str]):
        self.model = model
        self.version = version
        self.roles = roles


class EngineRecord:
    """What the leader knows of an engine, kept in memory only.

    :ivar served: what the engine serves; None while it does not respond
    :ivar order: the order that it is executing, None if there is none
    :ivar adapter_order_ids: ids of the orders by which it loaded adapters
    :ivar attempt: how many orders for this bundle it reported as done although
        it did not serve what they demanded; part of the next order's id
    :ivar state: one of the ``STATE_*`` constants
    :ivar polled_at_ms: when it was polled last; None makes a poll due
    :ivar retry_at_ms: the earliest time for the next order after a failure
    """

    __slots__ = (
        'name',
        'served',
        'order',
        'adapter_order_ids',
        'attempt',
        'state',
        'polled_at_ms',
        'retry_at_ms',
    )

    def __init__(self, name: str):
        self.name = name
        self.served: ServedModel | None = None
        self.order: Order | None = None
        self.adapter_order_ids: set[str] = set()
        self.attempt = 0
        self.state = STATE_UNKNOWN
        self.polled_at_ms: int | None = None
        self.retry_at_ms = 0


class StoreReservations:
    """Reserves the weight stores, so that each serves one engine at a time."""

    def __init__(self) -> None:
        self._reserved_until_ms: dict[str, int] = {}

    def reserve(
        self, bundle: models.Bundle, weights_bytes: int, now_ms: int
    ) -> str | None:
        """Reserves the fastest free store for the transfer of some weights.

        The reservation lasts for the transfer time at the store's full rate.
        Without weights (0 bytes), the first store is chosen and not reserved.

        :returns: the store's address, empty if the bundle has no stores, None
            if all stores are reserved
        """
        if not bundle.weight_stores or not weights_bytes:
            stores = bundle.weight_stores
            return stores[0].address if stores else ''
        free = [
            store
            for store in bundle.weight_stores
            if self._reserved_until_ms.get(store.address, 0) <= now_ms
        ]
        if not free:
            return None
        store = max(free, key=lambda found: found.rate_bytes_per_s)
        transfer_ms = 1_000 * weights_bytes // store.rate_bytes_per_s
        self._reserved_until_ms[store.address] = now_ms + transfer_ms
        return store.address

    def release(self, address: str, now_ms: int) -> None:
        """Ends the reservation of a store early."""
        self._reserved_until_ms[address] = min(
            self._reserved_until_ms.get(address, 0), now_ms
        )

    def reserve_all(
        self, bundle: models.Bundle, weights_bytes: int, now_ms: int
    ) -> None:
        """Reserves all stores for a transfer that an earlier leader ordered.

        This leader does not know which of them sends the weights.
        """
        for store in bundle.weight_stores:
            transfer_ms = 1_000 * weights_bytes // store.rate_bytes_per_s
            transfer_end_ms = now_ms + transfer_ms
            reserved_until_ms = self._reserved_until_ms.get(store.address, 0)
            self._reserved_until_ms[store.address] = max(
                reserved_until_ms, transfer_end_ms
            )


def next_order(
    bundle: models.Bundle,
    bundle_index: int,
    endpoint: models.Endpoint,
    record: EngineRecord,
) -> Order | None:
    """Returns the next order that an engine needs, or None.

    An engine that does not respond gets no order.

    :param bundle_index: the index of the bundle in the replicated log
    """
    model = bundle.model(endpoint.model)
    served = record.served
    if model is None or served is None:
        return None
    suffix = f'{bundle_index}-{record.attempt}'
    if (served.model, served.version) != (model.name, model.version):
        return Order(
            f'{KIND_LOAD_VERSION}-{model.name}-{model.version}-{suffix}',
            KIND_LOAD_VERSION,
            model.name,
            model.version,
            weights_bytes=model.weights_bytes,
        )
    if sorted(served.roles) != sorted(endpoint.roles):
        roles = '-'.join(sorted(endpoint.roles))
        return Order(
            f'{KIND_CHANGE_ROLE}-{roles}-{suffix}',
            KIND_CHANGE_ROLE,
            model.name,
            model.version,
            roles=endpoint.roles,
        )
    for adapter in model.adapters:
        order_id = adapter_order_id(model, adapter)
        if order_id not in record.adapter_order_ids:
            return Order(
                order_id,
                KIND_LOAD_ADAPTER,
                model.name,
                model.version,
                adapter=adapter,
            )
    return None


def adapter_order_id(model: models.Model, adapter: str) -> str:
    """Returns the id of the order to load an adapter of a model."""
    return f'{KIND_LOAD_ADAPTER}-{model.name}-{model.version}-{adapter}'


def keeps_minimum(
    bundle: models.Bundle,
    records: dict[str, EngineRecord],
    leaving: list[str],
    record: EngineRecord,
    order: Order,
) -> bool:
    """Whether enough other engines serve while this one executes an order.

    The model's minimum must be met for each role that this engine serves now.
    Loading an adapter does not interrupt serving.

    :param records: the records of all engines by endpoint name
    :param leaving: names of the leaving endpoints, which do not count
    """
    served = record.served
    if served is None or order.kind == KIND_LOAD_ADAPTER:
        return True
    model = bundle.model(served.model)
    minimum = model.minimum_endpoints if model is not None else 0
    others = [
        other.served
        for other in records.values()
        if other is not record
        and other.served is not None
        and not _is_out_of_service(other)
        and other.name not in leaving
        and other.served.model == served.model
    ]
    return all(
        sum(role in other.roles for other in others) >= minimum
        for role in served.roles
    )


def _is_out_of_service(record: EngineRecord) -> bool:
    order = record.order
    return order is not None and order.kind != KIND_LOAD_ADAPTER
