"""The limits that endpoints name, on the leader."""

import logging
import threading

from masticquay_routing import endpoint_messages
from masticquay_routing import fleets
from masticquay_routing import named_limits
from masticquay_routing import shared_limits
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)


class EndpointLimits:
    """Shares limits out between the hosts and the leader's placements.

    :ivar cold_count: number of endpoints that are limited as they are cold
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._limits = shared_limits.SharedLimits()
        self.cold_count = 0

    def exchange(
        self, host: str, words: list[named_limits.LimitWord]
    ) -> list[named_limits.LimitWord]:
        """Records the limits that a host knows; returns all known ones."""
        now_ms = self._clock.now_ms()
        with self._lock:
            news = self._limits.record(words, now_ms)
            known = self._limits.words(now_ms)
        _log(news, host)
        return known

    def give_permit(
        self, ask: endpoint_messages.AskPermit
    ) -> endpoint_messages.PermitAnswer:
        """Permits a request to an endpoint that names a limit, or not yet."""
        now_ms = self._clock.now_ms()
        with self._lock:
            news = self._limits.record([ask.limit], now_ms)
            permit = self._limits.take(ask.limit.endpoint_id, now_ms)
        _log(news, ask.host)
        return endpoint_messages.PermitAnswer(
            permit.granted, permit.wait_ms, permit.return_ms
        )

    def has_room(self, endpoint_id: str, now_ms: int) -> bool:
        """Whether a request may be placed on an engine now."""
        if not self._limits:
            return True
        with self._lock:
            return self._limits.has_room(endpoint_id, now_ms)

    def charge(self, endpoint_id: str, now_ms: int, count: int = 1) -> None:
        """Counts requests that are sent to an engine."""
        if self._limits:
            with self._lock:
                self._limits.charge(endpoint_id, now_ms, count)

    def apply_list(self, endpoints: list[fleets.Endpoint]) -> None:
        """Drops the limits of endpoints that are gone or started again."""
        with self._lock:
            self._limits.apply_list(endpoints)

    def set_cold(self, rates: dict[str, float]) -> None:
        """Limits the requests a second to cold endpoints, by id."""
        self.cold_count = len(rates)
        with self._lock:
            changed = self._limits.set_cold(rates, self._clock.now_ms())
        for endpoint_id in changed:
            LOG.info(
                'endpoint is cold'
                if endpoint_id in rates
                else 'endpoint is cold no longer',
                extra={
                    'endpoint': endpoint_id,
                    'limit_per_s': rates.get(endpoint_id),
                },
            )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges for the metrics."""
        return {'limits_in_force': len(self._limits)}


def _log(news: list[named_limits.LimitWord], host: str) -> None:
    for word in news:
        LOG.info(
            'limit of an endpoint changed',
            extra={
                'endpoint': word.endpoint_id,
                'limit_per_s': word.limit_per_s,
                'entry_host': host,
                'age_ms': word.age_ms,
            },
        )
