"""Grouping of a bundle's endpoints into pools."""

from masticquay_bundles import models
from masticquay_scheduling import settings as scheduling_settings


class PoolPlan:
    """The endpoints of one pool.

    :param target: name of the model or service
    :param place: the data centre near which the owner is chosen
    :param kv_bytes_per_token: KV cache size of the model, 0 for a service
    """

    __slots__ = (
        'name',
        'target',
        'place',
        'is_service',
        'endpoints',
        'kv_bytes_per_token',
    )

    def __init__(
        self,
        name: str,
        target: str,
        place: str,
        is_service: bool,
        endpoints: list[models.Endpoint],
        kv_bytes_per_token: int = 0,
    ):
        self.name = name
        self.target = target
        self.place = place
        self.is_service = is_service
        self.endpoints = endpoints
        self.kv_bytes_per_token = kv_bytes_per_token


class PoolMap:
    """All pools of a bundle.

    The endpoints of a target in a region form one pool, as long as they are
    at most ``max_pool_endpoints``: a single queue leaves the fewest slots
    idle. The pool belongs to the place with the most endpoints. With more
    endpoints each place has its own pool, split into shards if needed.
    """

    def __init__(
        self,
        bundle: models.Bundle | None,
        settings: scheduling_settings.SchedulingSettings,
    ):
        self.plans: dict[str, PoolPlan] = {}
        self._by_target: dict[str, list[PoolPlan]] = {}
        if bundle is None:
            return
        self._max_endpoints = settings.max_pool_endpoints
        self._regions = {p.name: p.region for p in bundle.places}
        self._models = {model.name: model for model in bundle.models}
        groups: dict[tuple[str, str], list[models.Endpoint]] = {}
        for endpoint in bundle.endpoints:
            target = endpoint.model or endpoint.service
            region = self._regions.get(endpoint.place, '')
            groups.setdefault((target, region), []).append(endpoint)
        for (target, _), endpoints in sorted(groups.items()):
            self._plan_region(target, endpoints)

    def find(self, target: str, place: str) -> list[PoolPlan]:
        """Returns the pools of a target, nearest to a place first."""
        plans = self._by_target.get(target, [])
        if len(plans) < 2:
            return list(plans)
        region = self._regions.get(place, '')

        def distance(plan: PoolPlan) -> int:
            if plan.place == place:
                return 0
            return 1 if self._regions.get(plan.place, '') == region else 2

        return sorted(plans, key=distance)

    def _plan_region(
        self, target: str, endpoints: list[models.Endpoint]
    ) -> None:
        by_place: dict[str, list[models.Endpoint]] = {}
        for endpoint in endpoints:
            by_place.setdefault(endpoint.place, []).append(endpoint)
        if len(endpoints) <= self._max_endpoints:
            main_place = max(sorted(by_place), key=lambda p: len(by_place[p]))
            self._add(f'{target}@{main_place}', target, main_place, endpoints)
            return
        for place, members in sorted(by_place.items()):
            self._plan_place(target, place, members)

    def _plan_place(
        self, target: str, place: str, endpoints: list[models.Endpoint]
    ) -> None:
        if len(endpoints) <= self._max_endpoints:
            self._add(f'{target}@{place}', target, place, endpoints)
            return
        count = -(-len(endpoints) // self._max_endpoints)
        # Sorting by role first spreads each role evenly over the shards.
        ordered = sorted(endpoints, key=lambda e: (sorted(e.roles), e.name))
        for shard in range(count):
            name = f'{target}@{place}#{shard}'
            self._add(name, target, place, ordered[shard::count])

    def _add(
        self,
        name: str,
        target: str,
        place: str,
        endpoints: list[models.Endpoint],
    ) -> None:
        model = self._models.get(target)
        plan = PoolPlan(
            name,
            target,
            place,
            endpoints[0].kind == models.KIND_SERVICE,
            endpoints,
            model.kv_bytes_per_token if model else 0,
        )
        self.plans[name] = plan
        self._by_target.setdefault(target, []).append(plan)
