"""Load balancing among the endpoints of a service without model engines."""

import random
import threading
import typing

from masticquay_routing import endpoint_statistics
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import service_levels

# Added to the cost of an endpoint in another data centre.
OTHER_PLACE_COST_MS = 3.0
# Why an endpoint is skipped, in metrics.
CAUSE_EJECTED = 'ejected'
CAUSE_FULL = 'full'
CAUSE_COLD = 'cold'
COLD_RANK = 0
WARM_RANK = -1


class Chooser:
    """Chooses the endpoint with the lowest expected cost.

    :param place: the data centre of this host
    :param count_skip: called with the cause and the endpoint's id when others
        are preferred to an endpoint that is ejected or full
    """

    def __init__(
        self,
        place: str,
        randomness: random.Random,
        count_skip: typing.Callable[[str, str], None] | None = None,
    ):
        self._place = place
        self._random = randomness
        self._count_skip = count_skip
        self._lock = threading.Lock()
        self._statistics: dict[
            str, endpoint_statistics.EndpointStatistics
        ] = {}

    def statistics(
        self, endpoint_id: str
    ) -> endpoint_statistics.EndpointStatistics:
        """Returns the statistics of an endpoint."""
        with self._lock:
            found = self._statistics.get(endpoint_id)
            if found is None:
                found = self._statistics[endpoint_id] = (
                    endpoint_statistics.EndpointStatistics()
                )
            return found

    def drop_unlisted(self, endpoints: list[fleets.Endpoint]) -> None:
        """Drops the statistics of endpoints that are no longer listed."""
        listed_ids = {endpoint.endpoint_id for endpoint in endpoints}
        with self._lock:
            for endpoint_id in list(self._statistics):
                statistics = self._statistics[endpoint_id]
                if endpoint_id not in listed_ids and not statistics.in_flight:
                    del self._statistics[endpoint_id]

    def ejected_ids(
        self, endpoints: list[fleets.Endpoint], now_ms: int
    ) -> set[str]:
        """Returns the endpoints that this host or the fleet has ejected."""
        ejected_ids = set()
        for endpoint in endpoints:
            statistics = self.statistics(endpoint.endpoint_id)
            if statistics.is_ejected(now_ms) or statistics.is_ejected_by_fleet(
                now_ms
            ):
                ejected_ids.add(endpoint.endpoint_id)
        return ejected_ids

    def full_ids(
        self, endpoints: list[fleets.Endpoint], now_ms: int
    ) -> set[str]:
        """Returns the endpoints that have just refused this host.

        Empty if all have, as any of them may be the next with room.
        """
        full_ids = {
            e.endpoint_id
            for e in endpoints
            if self.statistics(e.endpoint_id).is_full(now_ms)
        }
        if len(full_ids) == len(endpoints):
            return set()
        if self._count_skip is not None:
            for endpoint_id in full_ids:
                self._count_skip(CAUSE_FULL, endpoint_id)
        return full_ids

    def collect_reports(self) -> list[messages.EndpointReport]:
        """Returns the reports on the endpoints used since the last call."""
        with self._lock:
            statistics = list(self._statistics.items())
        reports = [s.collect(endpoint_id) for endpoint_id, s in statistics]
        return [report for report in reports if report is not None]

    def apply_views(
        self, views: list[messages.EndpointView], now_ms: int
    ) -> None:
        """Applies what all hosts together know of the endpoints in use."""
        for view in views:
            self.statistics(view.endpoint_id).apply_view(view, now_ms)

    def choose(
        self,
        endpoints: list[fleets.Endpoint],
        tried: set[str],
        now_ms: int,
        repeatable: bool = True,
    ) -> fleets.Endpoint | None:
        """Returns the endpoint with the lowest cost that was not tried yet.

        Endpoints that are full or ejected are used only if there are no
        others; see ``_rank``.

        :param repeatable: whether the request may run more than once
        """
        usable = [
            endpoint
            for endpoint in endpoints
            if not endpoint.leaving and endpoint.endpoint_id not in tried
        ]
        if not usable:
            return None
        ranks = {
            e.endpoint_id: self._rank(e, now_ms, repeatable) for e in usable
        }
        best_rank = min(ranks.values())
        candidates = [e for e in usable if ranks[e.endpoint_id] == best_rank]
        if len(candidates) < len(usable):
            self._count_skips(ranks, best_rank, now_ms)
        self._random.shuffle(candidates)
        usual = service_levels.find_level(
            [self.statistics(e.endpoint_id) for e in endpoints], now_ms
        )
        return min(candidates, key=lambda e: self._cost(e, now_ms, usual))

    def _count_skips(
        self, ranks: dict[str, int], best_rank: int, now_ms: int
    ) -> None:
        if self._count_skip is None:
            return
        for endpoint_id, rank in ranks.items():
            if rank == best_rank:
                continue
            cause = CAUSE_EJECTED
            if rank == COLD_RANK:
                cause = CAUSE_COLD
            elif self.statistics(endpoint_id).is_full(now_ms):
                cause = CAUSE_FULL
            self._count_skip(cause, endpoint_id)

    def _rank(
        self, endpoint: fleets.Endpoint, now_ms: int, repeatable: bool
    ) -> int:
        """Returns how readily an endpoint is used; the lowest comes first.

        Of those that work, a cold one comes last.

        A request that may be repeated rather goes to an endpoint that loses
        part of its responses than to one that may refuse it; any other rather
        is refused than lost. An endpoint that does not react is the last.
        """
        statistics = self.statistics(endpoint.endpoint_id)
        is_ejected = statistics.is_ejected(now_ms)
        if statistics.is_ejected_by_fleet(now_ms):
            return 3
        if is_ejected and statistics.unreachable:
            return 3
        if is_ejected:
            return 1 if repeatable else 2
        if statistics.is_full(now_ms):
            return 2 if repeatable else 1
        return COLD_RANK if endpoint.cold_ms else WARM_RANK

    def _cost(
        self,
        endpoint: fleets.Endpoint,
        now_ms: int,
        usual: service_levels.Level,
    ) -> float:
        statistics = self.statistics(endpoint.endpoint_id)
        cost = statistics.cost_ms(endpoint.slots, now_ms, usual)
        if endpoint.place != self._place:
            cost += OTHER_PLACE_COST_MS
        return cost
