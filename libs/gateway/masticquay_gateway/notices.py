"""What endpoints say of themselves, as this host heard it."""

import logging
import random
import threading
import time
import typing

from masticquay_gateway import endpoint_limits
from masticquay_gateway import errors
from masticquay_gateway import fleet_states
from masticquay_gateway import ports
from masticquay_routing import endpoint_notices
from masticquay_routing import fleets
from masticquay_routing import slot_messages
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

CAUSE_LEAVING = 'leaving'
CAUSE_EVACUATED = 'evacuated'
CAUSE_PAUSING = 'pausing'
# Retry-After when all endpoints of a service leave: others are listed then.
ALL_LEAVING_RETRY_MS = 1_000


class EndpointNotices:
    """Records the notices in all answers, and withholds requests by them.

    :param on_leaving: called when an endpoint says for the first time that it
        leaves
    :param limits: told of the limits that endpoints name
    :param on_pause: called when an endpoint begins to want no requests
    """

    def __init__(
        self,
        protocol: ports.EndpointProtocol,
        state: fleet_states.FleetState,
        registry: counters.Registry,
        on_leaving: typing.Callable[[], None],
        limits: endpoint_limits.EndpointLimits,
        on_pause: typing.Callable[[fleets.Endpoint], None] = lambda _: None,
    ):
        self._protocol = protocol
        self._state = state
        self._registry = registry
        self._on_leaving = on_leaving
        self._on_pause = on_pause
        self._lock = threading.Lock()
        self._pauses = endpoint_notices.Pauses(random.Random())
        self._limits = limits

    def record(
        self,
        endpoint: fleets.Endpoint,
        status: int,
        headers: ports.Headers,
        has_run: bool,
    ) -> None:
        """Records the notice in an answer of an endpoint.

        :param has_run: whether the endpoint ran the request; only then does a
            notice that is missing say something
        """
        notice = self._protocol.parse_notice(status, headers)
        if has_run or notice.limit_per_s is not None:
            self._limits.record(endpoint, notice.limit_per_s)
        if notice.pause_ms:
            self._record_pause(endpoint, notice.pause_ms)
        if notice.is_leaving and self._state.record_leaving(endpoint):
            LOG.info(
                'endpoint says that it leaves',
                extra={
                    'endpoint': endpoint.endpoint_id,
                    'service': endpoint.service,
                },
            )
            self._on_leaving()

    def is_withheld(self, endpoint: fleets.Endpoint) -> bool:
        """Whether an endpoint may get no new request from this host now."""
        cause = self._cause(endpoint)
        if cause:
            self._count_skipped(endpoint, cause)
        return bool(cause)

    def require_usable(self, endpoint: fleets.Endpoint) -> None:
        """Checks what an endpoint said since it was chosen.

        To be called after each wait between the choice and the first byte.

        :raises WithheldError: if it leaves or wants a pause
        """
        if self.is_withheld(endpoint):
            raise errors.WithheldError(
                f'{endpoint.endpoint_id} leaves or wants a pause'
            )

    def is_pausing(self, endpoint: fleets.Endpoint) -> bool:
        """Whether an endpoint wants no requests at all from this host."""
        return bool(self.pause_ms(endpoint))

    def pause_ms(self, endpoint: fleets.Endpoint) -> int:
        """Returns for how long an endpoint wants no requests of this host."""
        with self._lock:
            return self._pauses.remaining_ms(endpoint.endpoint_id, _now_ms())

    def pauses(self) -> list[slot_messages.Pause]:
        """Returns the pauses that this host keeps, for the leader."""
        now_ms = _now_ms()
        with self._lock:
            return [
                slot_messages.Pause(
                    endpoint_id,
                    self._pauses.remaining_ms(endpoint_id, now_ms),
                )
                for endpoint_id in sorted(self._pauses.ids(now_ms))
            ]

    def takes_releases(self, endpoint: fleets.Endpoint) -> bool:
        """Whether an endpoint may get requests that no caller waits for."""
        if endpoint.place in self._state.evacuated_places:
            return False
        is_limited = self._limits.is_limited(endpoint)
        return not is_limited and not self.is_pausing(endpoint)

    def withheld_ids(self, service: str) -> set[str]:
        """Returns the endpoints of a service that may get no new request."""
        withheld = set()
        for endpoint in self._state.endpoints(service):
            cause = self._cause(endpoint)
            if cause:
                withheld.add(endpoint.endpoint_id)
                self._count_skipped(endpoint, cause)
        return withheld

    def refusal_ms(self, endpoints: list[fleets.Endpoint]) -> int:
        """Returns when a request may be tried again that none may get.

        :returns: 0 if an endpoint may get it, or if there are none
        """
        if not endpoints:
            return 0
        if all(endpoint.leaving for endpoint in endpoints):
            return ALL_LEAVING_RETRY_MS
        with self._lock:
            return self._pauses.shortest_ms(endpoints, _now_ms())

    def _record_pause(self, endpoint: fleets.Endpoint, pause_ms: int) -> None:
        is_news = not self.is_pausing(endpoint)
        with self._lock:
            self._pauses.add(endpoint.endpoint_id, pause_ms, _now_ms())
        LOG.info(
            'endpoint wants no requests for a while',
            extra={
                'endpoint': endpoint.endpoint_id,
                'service': endpoint.service,
                'pause_ms': pause_ms,
            },
        )
        if is_news:
            self._on_pause(endpoint)

    def _cause(self, endpoint: fleets.Endpoint) -> str:
        if endpoint.place in self._state.evacuated_places:
            return CAUSE_EVACUATED
        listed = self._state.endpoint(endpoint.endpoint_id)
        if listed is not None and listed.leaving:
            return CAUSE_LEAVING
        return CAUSE_PAUSING if self.is_pausing(endpoint) else ''

    def _count_skipped(self, endpoint: fleets.Endpoint, cause: str) -> None:
        self._registry.count(
            'endpoints_skipped',
            'cause',
            cause,
            'endpoint',
            endpoint.endpoint_id,
        )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
