"""Tells endpoints that are gone from a host that has no path to any.

A single connection that cannot be opened does not say which of the two it is.
New connections to some other endpoints do.
"""

from concurrent import futures
import logging
import random
import threading
import time
import typing

from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_routing import fleets
from masticquay_serving import counters
from masticquay_wire import duties

LOG = logging.getLogger(__name__)

# One endpoint is tried first, and some more if it does not answer.
FURTHER_PROBES = 2
# Sound endpoints accept connections within a few milliseconds.
PROBE_TIMEOUT_MS = 150
# A new connection proves the path for this long.
PROOF_TTL_MS = 250
# Requests that wait this long, while no endpoint sends anything, are a reason
# to probe.
SILENCE_MS = 600
# No probe for a silence follows a successful one within this time.
SILENCE_PROBE_INTERVAL_MS = 1_000
# Pause between probes while there is no path, and its limit as it doubles.
RETRY_MIN_MS = 200
RETRY_MAX_MS = 800
# A path that is lost again within this time has to hold longer before it is
# used again: for one more probe after each such loss, up to a limit.
UNSTEADY_MS = 5_000
MAX_CONFIRMATIONS = 4

EndpointList = typing.Callable[[], list[fleets.Endpoint]]


class ReachWatch:
    """Watches whether this host can open connections to endpoints.

    Connections that were opened before may live on without a path for new
    ones, so only new ones count.

    :param list_endpoints: returns the endpoints of all services
    :param on_change: called when the path is lost, and when it is back
    """

    def __init__(
        self,
        list_endpoints: EndpointList,
        registry: counters.Registry,
        on_change: typing.Callable[[], None],
    ):
        self._list_endpoints = list_endpoints
        self._registry = registry
        self._on_change = on_change
        self._executor = futures.ThreadPoolExecutor(
            2 * FURTHER_PROBES, thread_name_prefix='reach'
        )
        # Held while endpoints are probed.
        self._probe_lock = threading.Lock()
        self._lock = threading.Lock()
        self._connected_s: dict[str, float] = {}
        self._contact_s = float('-inf')
        self._silent_since_s: float | None = None
        self._checked_s = float('-inf')
        self._is_checking = False
        self._lost_s: float | None = None
        self._retry_ms = RETRY_MIN_MS
        self._successes = 0
        self._returned_s = float('-inf')
        self._confirmations = 1
        self._closed = threading.Event()

    @property
    def is_lost(self) -> bool:
        """Whether no endpoint could be reached when last tried."""
        return self._lost_s is not None

    def close(self) -> None:
        """Ends the probes."""
        self._closed.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def record_sent(self) -> None:
        """Records that a request is being sent to an endpoint.

        Probes in another thread if earlier ones have waited for long.
        """
        since_s = self._silent_since_s
        if since_s is None:
            self._silent_since_s = time.monotonic()
        elif _elapsed_ms(since_s) > SILENCE_MS and self._is_check_due():
            self._check_later()

    def record_contact(
        self, endpoint: fleets.Endpoint, is_new_connection: bool
    ) -> None:
        """Records that an endpoint has answered."""
        self._silent_since_s = None
        self._contact_s = time.monotonic()
        if is_new_connection:
            self._record_connected(endpoint.endpoint_id)

    def explains(
        self, endpoint: fleets.Endpoint, cause: Exception, since_s: float
    ) -> bool:
        """Whether an exchange failed as this host has no path.

        :param since_s: monotonic time at which it began
        """
        if self.is_lost:
            return True
        if not isinstance(cause, exchanges.StalledError):
            return not self.reaches_others(endpoint)
        if self._contact_s >= since_s or not self._is_check_due():
            return False
        return not self._check('')

    def has_ended(self, endpoint: fleets.Endpoint, cause: Exception) -> bool:
        """Whether an endpoint that broke a request off has ended.

        Tries to connect to it, and to others if it accepts no connection.
        """
        if isinstance(cause, errors.EndpointEndedError):
            return True
        if self.is_lost or not exchanges.takes_no_connections(endpoint):
            return False
        return self.reaches_others(endpoint)

    def reaches_others(self, endpoint: fleets.Endpoint) -> bool:
        """Whether this host can connect to other endpoints than one.

        Probes some of them unless it is known; waits for their answers. True
        if there are no others, as nothing speaks against the host then.
        """
        return self._check(endpoint.endpoint_id)

    def _is_check_due(self) -> bool:
        return _elapsed_ms(self._checked_s) >= SILENCE_PROBE_INTERVAL_MS

    def _check_later(self) -> None:
        with self._lock:
            if self._is_checking or self.is_lost or self._closed.is_set():
                return
            self._is_checking = True
        threading.Thread(target=self._run_check, daemon=True).start()

    def _run_check(self) -> None:
        try:
            self._check('')
        finally:
            self._is_checking = False

    def _check(self, failed_id: str) -> bool:
        if self.is_lost:
            return False
        if self._is_proven(failed_id):
            return True
        with self._probe_lock:
            # Another thread may have found it out meanwhile.
            if self.is_lost:
                return False
            if self._is_proven(failed_id):
                return True
            probed = self._choose_endpoints(failed_id)
            is_reached = not probed or self._reaches_any(probed)
            self._checked_s = time.monotonic()
            if not is_reached and not self._closed.is_set():
                self._begin_loss(failed_id, probed)
            return is_reached

    def _is_proven(self, failed_id: str) -> bool:
        """Whether another endpoint has just accepted a connection."""
        with self._lock:
            latest_s = max(
                (s for i, s in self._connected_s.items() if i != failed_id),
                default=float('-inf'),
            )
        return _elapsed_ms(latest_s) < PROOF_TTL_MS

    def _choose_endpoints(self, failed_id: str) -> list[fleets.Endpoint]:
        others = [
            e for e in self._list_endpoints() if e.endpoint_id != failed_id
        ]
        return random.sample(others, min(1 + FURTHER_PROBES, len(others)))

    def _reaches_any(self, endpoints: list[fleets.Endpoint]) -> bool:
        """Whether one of some endpoints accepts a connection."""
        is_reached = self._probe(endpoints[:1]) or self._probe(endpoints[1:])
        self._registry.count('reach_probes', 'reached', str(is_reached))
        return is_reached

    def _probe(self, endpoints: list[fleets.Endpoint]) -> bool:
        try:
            pending = {
                self._executor.submit(
                    exchanges.connects, endpoint, PROBE_TIMEOUT_MS
                ): endpoint
                for endpoint in endpoints
            }
        except RuntimeError:
            # The host is closing.
            return False
        for future in futures.as_completed(pending):
            if future.result():
                self._record_connected(pending[future].endpoint_id)
                return True
        return False

    def _record_connected(self, endpoint_id: str) -> None:
        with self._lock:
            self._connected_s.pop(endpoint_id, None)
            self._connected_s[endpoint_id] = time.monotonic()
            while len(self._connected_s) > 2:
                del self._connected_s[next(iter(self._connected_s))]

    def _begin_loss(
        self, failed_id: str, probed: list[fleets.Endpoint]
    ) -> None:
        with self._lock:
            latest_s = max(self._connected_s.values(), default=None)
            self._lost_s = time.monotonic()
        if _elapsed_ms(self._returned_s) < UNSTEADY_MS:
            more = self._confirmations + 1
            self._confirmations = min(more, MAX_CONFIRMATIONS)
        else:
            self._confirmations = 1
        self._registry.count('reach_lost')
        LOG.warning(
            'host reaches no endpoint',
            extra={
                'failed_endpoint': failed_id,
                'probed': [e.endpoint_id for e in probed],
                'last_connection_ms': None
                if latest_s is None
                else round(_elapsed_ms(latest_s)),
            },
        )
        threading.Thread(
            target=self._wait_for_return, name='reach', daemon=True
        ).start()
        self._on_change()

    def _wait_for_return(self) -> None:
        """Probes until endpoints accept connections steadily again."""
        lost_s = self._lost_s
        duty = duties.Duty(
            'probes of a lost way', self._probe_lost_way, self._count_failure
        )
        self._retry_ms = RETRY_MIN_MS
        self._successes = 0
        while not self._closed.wait(self._retry_ms / 1000):
            if not duty.run_once():
                self._retry_ms = RETRY_MAX_MS
            if self._lost_s != lost_s:
                return

    def _probe_lost_way(self) -> None:
        probed = self._choose_endpoints('')
        if probed and not self._reaches_any(probed):
            self._retry_ms = min(RETRY_MAX_MS, 2 * self._retry_ms)
            self._successes = 0
            return
        self._retry_ms = RETRY_MIN_MS
        self._successes += 1
        if self._successes >= self._confirmations:
            self._end_loss()

    def _count_failure(self, duty: str) -> None:
        self._registry.count('duty_failures', 'duty', duty)

    def _end_loss(self) -> None:
        lost_s, self._lost_s = self._lost_s, None
        self._silent_since_s = None
        self._returned_s = time.monotonic()
        LOG.info(
            'host reaches endpoints again',
            extra={'lost_ms': round(_elapsed_ms(lost_s or 0.0))},
        )
        self._on_change()


def _elapsed_ms(since_s: float) -> float:
    return (time.monotonic() - since_s) * 1000
