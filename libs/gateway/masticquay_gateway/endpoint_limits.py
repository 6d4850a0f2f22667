"""Keeps this host's requests within the limits that endpoints name."""

from concurrent import futures
import logging
import random
import threading
import time
import typing

from masticquay_gateway import fleet_states
from masticquay_gateway import links
from masticquay_routing import endpoint_messages
from masticquay_routing import fleets
from masticquay_routing import named_limits
from masticquay_serving import counters
from masticquay_wire import errors as wire_errors

LOG = logging.getLogger(__name__)

ASK_TIMEOUT_MS = 150
# Without an answer, the leader is not asked again for this long.
UNANSWERED_PAUSE_MS = 300


class Permits(typing.Protocol):
    """The source of permits for requests to endpoints that name a limit."""

    @property
    def is_reachable(self) -> bool:
        """Whether it can be asked now."""

    def ask(
        self, limit: named_limits.LimitWord
    ) -> endpoint_messages.PermitAnswer | None:
        """Asks for one permit; returns None without an answer."""


class PermitSource:
    """Asks the leader for permits."""

    def __init__(self, host: str, link: links.ControlLink):
        self._host = host
        self._link = link

    @property
    def is_reachable(self) -> bool:
        """Whether there is a leader."""
        return self._link.is_leader_reachable

    def ask(
        self, limit: named_limits.LimitWord
    ) -> endpoint_messages.PermitAnswer | None:
        """Asks for one permit; returns None without an answer."""
        message = endpoint_messages.AskPermit(self._host, limit)
        future = self._link.submit(message, ASK_TIMEOUT_MS)
        try:
            return future.result(ASK_TIMEOUT_MS / 1000)
        except (wire_errors.WireError, futures.TimeoutError) as cause:
            LOG.warning(
                'no permit from the leader',
                extra={
                    'endpoint': limit.endpoint_id,
                    'cause': f'{type(cause).__name__}: {cause}',
                },
            )
            return None


class EndpointLimits:
    """The limits that endpoints name, and the permits to send to them.

    :param on_change: called when an endpoint names or ends a limit
    """

    def __init__(
        self,
        state: fleet_states.FleetState,
        registry: counters.Registry,
        permits: Permits,
        on_change: typing.Callable[[], None],
    ):
        self._state = state
        self._registry = registry
        self._permits = permits
        self._on_change = on_change
        self._lock = threading.Lock()
        self._host_limits = named_limits.HostLimits(random.Random())

    @property
    def _limits(self) -> named_limits.HostLimits:
        """The limits that are named, and those of endpoints that are cold."""
        self._host_limits.known.cold_rates = self._state.cold_rates
        return self._host_limits

    def record(
        self, endpoint: fleets.Endpoint, limit_per_s: float | None
    ) -> None:
        """Records the limit in an answer of an endpoint, None for none."""
        with self._lock:
            known = self._limits.known.get(endpoint.endpoint_id)
            if not self._limits.known.hear(endpoint, limit_per_s, _now_ms()):
                return
        LOG.info(
            'endpoint names no limit any more'
            if limit_per_s is None
            else 'endpoint names a limit',
            extra={
                'endpoint': endpoint.endpoint_id,
                'service': endpoint.service,
                'limit_per_s': limit_per_s,
                'previous_per_s': known.limit_per_s if known else None,
            },
        )
        self._on_change()

    def is_limited(self, endpoint: fleets.Endpoint) -> bool:
        """Whether an endpoint names a limit, or is cold."""
        return self._limits.known.get(endpoint.endpoint_id) is not None

    def full_ids(self, endpoints: list[fleets.Endpoint]) -> set[str]:
        """Returns the endpoints that surely have no room for a request."""
        limited = [e for e in endpoints if self.is_limited(e)]
        if not limited:
            return set()
        has_leader = self._permits.is_reachable
        host_count = self._state.host_count
        now_ms = _now_ms()
        with self._lock:
            full_ids = {
                e.endpoint_id
                for e in limited
                if self._limits.is_full(
                    e.endpoint_id, now_ms, host_count, has_leader
                )
            }
        for endpoint_id in full_ids:
            self._count_denied(endpoint_id)
        return full_ids

    def take(self, endpoint: fleets.Endpoint) -> bool:
        """Gets a permit for a request that is about to be sent.

        :returns: whether it may be sent; always if there is no limit
        """
        endpoint_id = endpoint.endpoint_id
        known = self._limits.known.get(endpoint_id)
        if known is None:
            return True
        now_ms = _now_ms()
        if self._permits.is_reachable:
            granted = self._ask(endpoint_id, now_ms)
        else:
            with self._lock:
                granted = self._limits.take_without_leader(
                    endpoint_id, now_ms, self._state.host_count
                )
        if not granted:
            self._count_denied(endpoint_id)
        return granted

    def has_room(self, endpoint_id: str, now_ms: int) -> bool:
        """Whether this host may place a request on an engine without a leader.

        :param now_ms: on the monotonic clock
        """
        with self._lock:
            return not self._limits.is_full(
                endpoint_id, now_ms, self._state.host_count, has_leader=False
            )

    def charge(self, endpoint_id: str, now_ms: int) -> None:
        """Counts a request that this host places without a leader."""
        with self._lock:
            self._limits.take_without_leader(
                endpoint_id, now_ms, self._state.host_count
            )

    def plan_return_ms(self, endpoints: list[fleets.Endpoint]) -> int:
        """Returns when a request that none of them has room for may return.

        :returns: 0 if one of them names no limit, or if there are none
        """
        with self._lock:
            return self._limits.plan_return_ms(
                endpoints, _now_ms(), self._state.host_count
            )

    def count_sent(self, endpoint: fleets.Endpoint, is_repeat: bool) -> None:
        """Counts a request to an endpoint if that names a limit."""
        if self.is_limited(endpoint):
            self._registry.count(
                'sent_to_limited',
                'endpoint',
                endpoint.endpoint_id,
                'attempt',
                'repeat' if is_repeat else 'first',
            )

    def report(self) -> list[named_limits.LimitWord]:
        """Returns what to tell the leader."""
        with self._lock:
            self._limits.known.apply_list(self._state.all_endpoints())
            return self._limits.known.words(_now_ms())

    def apply(self, words: list[named_limits.LimitWord]) -> None:
        """Applies what the leader knows."""
        now_ms = _now_ms()
        with self._lock:
            news = [w for w in words if self._limits.known.learn(w, now_ms)]
        for word in news:
            LOG.info(
                'limit of an endpoint learnt from the leader',
                extra={
                    'endpoint': word.endpoint_id,
                    'limit_per_s': word.limit_per_s,
                    'age_ms': word.age_ms,
                },
            )

    def _ask(self, endpoint_id: str, now_ms: int) -> bool:
        word = self._limits.known.to_word(endpoint_id, now_ms)
        answer = self._permits.ask(word)
        if answer is not None and answer.granted:
            return True
        wait_ms = answer.wait_ms if answer else UNANSWERED_PAUSE_MS
        return_ms = answer.return_ms if answer else UNANSWERED_PAUSE_MS
        with self._lock:
            self._limits.deny(endpoint_id, wait_ms, return_ms, _now_ms())
        return False

    def _count_denied(self, endpoint_id: str) -> None:
        self._registry.count(
            'endpoints_skipped', 'cause', 'limit', 'endpoint', endpoint_id
        )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
