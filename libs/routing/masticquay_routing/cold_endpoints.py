"""Endpoints that have just started, and the requests that they take.

A cold endpoint crashes under more requests a second than it is made for. The
list says how long one stays cold; one that starts during service counts as
cold for a while, whatever the list says.

Neither network nor clock is used: callers pass the time in milliseconds.
"""

import typing

from masticquay_routing import fleets
from masticquay_routing import tables

# The remaining time is rounded up to this step in lists, so that a list does
# not change each second.
STEP_MS = 30_000
Services = typing.Mapping[str, tables.Service]


class ColdStarts:
    """The starts of endpoints that were seen in successive lists."""

    __slots__ = ('_starts',)

    def __init__(self) -> None:
        # By id, the start that was listed and when it was first seen; None if
        # it was there from the first list.
        self._starts: dict[str, tuple[int, int | None]] | None = None

    def mark(
        self,
        endpoints: list[fleets.Endpoint],
        services: Services,
        now_ms: int,
    ) -> list[fleets.Endpoint]:
        """Returns the endpoints with the time for which each stays cold.

        It is 0 for services that have no limit for cold endpoints.
        """
        known = self._starts
        starts: dict[str, tuple[int, int | None]] = {}
        for endpoint in endpoints:
            start = (known or {}).get(endpoint.endpoint_id)
            if start is None or start[0] != endpoint.started_ms:
                seen_ms = None if known is None else now_ms
                start = (endpoint.started_ms, seen_ms)
            starts[endpoint.endpoint_id] = start
        self._starts = starts
        return [
            _with_cold_ms(e, self._remaining_ms(e, services, now_ms))
            for e in endpoints
        ]

    def _remaining_ms(
        self, endpoint: fleets.Endpoint, services: Services, now_ms: int
    ) -> int:
        service = services.get(endpoint.service)
        if service is None or not service.cold_rate_per_s:
            return 0
        _started_ms, seen_ms = (self._starts or {})[endpoint.endpoint_id]
        if seen_ms is None:
            return endpoint.cold_ms
        until_ms = seen_ms + service.cold_start_ms
        return max(endpoint.cold_ms, until_ms - now_ms)


def find_rates(
    endpoints: list[fleets.Endpoint], services: Services
) -> dict[str, float]:
    """Returns the requests a second that each cold endpoint takes, by id."""
    rates = {}
    for endpoint in endpoints:
        service = services.get(endpoint.service)
        if endpoint.cold_ms and service is not None:
            rates[endpoint.endpoint_id] = service.cold_rate_per_s
    return {i: rate_per_s for i, rate_per_s in rates.items() if rate_per_s}


def _with_cold_ms(
    endpoint: fleets.Endpoint, remaining_ms: int
) -> fleets.Endpoint:
    rounded_ms = -(-remaining_ms // STEP_MS) * STEP_MS
    if endpoint.cold_ms == rounded_ms:
        return endpoint
    fields = {name: getattr(endpoint, name) for name in endpoint.__slots__}
    return fleets.Endpoint(**{**fields, 'cold_ms': rounded_ms})
