"""What is usual among the endpoints of a plain service.

An endpoint is judged by how it differs from the others of its service, so one
that is new or was not used for a while counts as one of them.
"""

import typing

# Latencies that differ by less than this factor or time count as equal.
NEAR_FACTOR = 1.5
NEAR_MS = 2.0
# Failure rates that exceed the usual one by less than this count as equal.
NEAR_FAILURE_RATE = 0.05


class Statistics(typing.Protocol):
    """What is known of one endpoint."""

    def known_latency_ms(self, now_ms: int) -> float | None:
        """Returns the latency as last seen, None if it was never seen."""

    def known_failure_rate(self, now_ms: int) -> float:
        """Returns the failure rate, less with its age."""


class Level:
    """The usual latency and failure rate, 0 if nothing is known.

    They are those of a good endpoint, as up to three in four may be worse.
    """

    __slots__ = ('latency_ms', 'failure_rate')

    def __init__(self, latency_ms: float, failure_rate: float):
        self.latency_ms = latency_ms
        self.failure_rate = failure_rate

    def round_latency_ms(self, latency_ms: float) -> float:
        """Returns the usual latency for one that hardly differs from it."""
        high_ms = max(self.latency_ms, latency_ms)
        low_ms = min(self.latency_ms, latency_ms)
        if high_ms - low_ms < NEAR_MS or high_ms < NEAR_FACTOR * low_ms:
            return self.latency_ms
        return latency_ms

    def excess_failure_rate(self, failure_rate: float) -> float:
        """Returns by how much a failure rate exceeds what is usual."""
        excess = failure_rate - self.failure_rate - NEAR_FAILURE_RATE
        return max(0.0, excess)


def find_level(statistics: typing.Iterable[Statistics], now_ms: int) -> Level:
    """Returns what is usual among the endpoints of a service."""
    latencies_ms = []
    failure_rates = []
    for endpoint in statistics:
        latency_ms = endpoint.known_latency_ms(now_ms)
        if latency_ms is not None:
            latencies_ms.append(latency_ms)
        failure_rates.append(endpoint.known_failure_rate(now_ms))
    return Level(_lower_quartile(latencies_ms), _lower_quartile(failure_rates))


def _lower_quartile(values: list[float]) -> float:
    return sorted(values)[len(values) // 4] if values else 0.0
