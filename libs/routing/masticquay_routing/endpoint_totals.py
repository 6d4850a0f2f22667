"""Comparison of an endpoint with the others of its service."""

import math
import typing

from masticquay_routing import messages

# An endpoint is slow if its requests take this many times as long as those of
# the others of its service; smaller differences are chance.
SLOW_FACTOR = 1.5
SLOW_MIN_REQUESTS = 5
# Failures beyond those of the other endpoints count from this many standard
# deviations on: all hosts avoid an endpoint at once, so chance must not do it.
FAILURE_DEVIATIONS = 2.0


class Totals:
    """Sums over the results of one or several endpoints."""

    __slots__ = ('succeeded', 'failed', 'latency_sum_ms')

    def __init__(self) -> None:
        self.succeeded = 0
        self.failed = 0
        self.latency_sum_ms = 0.0

    def add(self, report: messages.EndpointReport) -> None:
        """Adds one host's report."""
        self.succeeded += report.succeeded
        self.failed += report.failed + report.errors
        self.latency_sum_ms += report.latency_ms * report.succeeded

    def plus(self, other: typing.Self, sign: int = 1) -> 'Totals':
        """Returns the sum with, or the difference from, other totals."""
        result = Totals()
        result.succeeded = self.succeeded + sign * other.succeeded
        result.failed = self.failed + sign * other.failed
        result.latency_sum_ms = (
            self.latency_sum_ms + sign * other.latency_sum_ms
        )
        return result

    @property
    def count(self) -> int:
        """Number of requests."""
        return self.succeeded + self.failed

    @property
    def failure_rate(self) -> float:
        """Share of the requests that failed, 0 without requests."""
        return self.failed / self.count if self.count else 0.0

    @property
    def latency_ms(self) -> float:
        """Mean time of those that succeeded, 0 without any."""
        if not self.succeeded:
            return 0.0
        return self.latency_sum_ms / self.succeeded


def excess_failure_rate(own: Totals, others: Totals) -> float:
    """Returns how much more often an endpoint fails than the others.

    0 if that may be chance, or if there are no others to compare with.
    """
    if not own.count or not others.count:
        return 0.0
    pooled_rate = own.plus(others).failure_rate
    deviation = math.sqrt(pooled_rate * (1 - pooled_rate) / own.count)
    excess = own.failure_rate - others.failure_rate
    return max(0.0, excess - FAILURE_DEVIATIONS * deviation)


def expected_latency_ms(own: Totals, others: Totals) -> float:
    """Returns an endpoint's mean latency if it is slow, else the service's."""
    is_slow = (
        own.succeeded >= SLOW_MIN_REQUESTS
        and own.latency_ms >= SLOW_FACTOR * others.latency_ms
    )
    if is_slow and others.succeeded:
        return own.latency_ms
    return own.plus(others).latency_ms
