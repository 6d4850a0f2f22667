"""Places model requests on this host while the leader is unreachable."""

import random
import threading
import time

from masticquay_gateway import fleet_states
from masticquay_routing import placement_messages
from masticquay_routing import pools
from masticquay_routing import queued_requests
from masticquay_routing import refusals
from masticquay_routing import request_limits
from masticquay_routing import tables

# Each host may use this multiple of its equal share of an engine. Hosts rarely
# need the same engine at the same time, so the shares may overlap.
LOCAL_CAPACITY_FACTOR = 1.5
# Part of the prompts that decode engines prefill themselves. The prefill
# engines alone would get a queue that no host sees.
LOCAL_PREFILL_SHARE = 0.5


class LocalPlacer:
    """Places requests while the leader is unreachable.

    It uses only this host's share of each engine's memory, and chooses at
    random among equally good engines, as the other hosts know nothing of its
    placements.

    :param limits: the limits that engines name, None if they name none
    """

    def __init__(
        self,
        state: fleet_states.FleetState,
        limits: request_limits.RequestLimits | None = None,
    ):
        self._state = state
        self._limits = limits
        self._lock = threading.Lock()
        self._pools: dict[str, pools.Pool] = {}

    def admit(
        self, request: placement_messages.Admit
    ) -> queued_requests.Placement | queued_requests.Refusal:
        """Places a request immediately or refuses it."""
        now_ms = _now_ms()
        key = (request.host, request.number)
        queued_request = queued_requests.QueuedRequest(
            key=key,
            workspace=request.workspace,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            priority=request.priority,
            arrived_ms=now_ms,
            target_deadline_ms=now_ms,
            placement_deadline_ms=now_ms,
            avoided_ids=frozenset(request.avoid),
            preferred_id=request.prefer,
            prefilled=request.prefilled,
            software_version=request.software_version,
            give_up_at_ms=now_ms + request.give_up_ms
            if request.give_up_ms
            else 0,
        )
        with self._lock:
            pool = self._pool(request.service)
            pool.admit(queued_request)
            for placed, outcome in pool.place_waiting(now_ms):
                if placed is queued_request:
                    return outcome
        return queued_requests.Refusal(
            'no engine available', refusals.RETRY_AFTER_MIN_MS
        )

    def finish_prefill(self, request: placement_messages.Admit) -> None:
        """Records that the prefill of a request has ended."""
        with self._lock:
            pool = self._pools.get(request.service)
            if pool is not None:
                pool.finish_prefill((request.host, request.number), _now_ms())

    def release(self, request: placement_messages.Admit) -> None:
        """Releases the engines of a request."""
        with self._lock:
            pool = self._pools.get(request.service)
            if pool is not None:
                pool.release((request.host, request.number))

    def record_failure(
        self, service: str, endpoint_id: str, reached: bool, stalled: bool
    ) -> None:
        """Records a failure, after which an engine may be ejected."""
        with self._lock:
            pool = self._pools.get(service)
            if pool is not None:
                pool.record_failure(endpoint_id, _now_ms(), reached, stalled)

    def record_refusal(
        self, service: str, endpoint_id: str, pause_ms: int
    ) -> None:
        """Pauses placements on an engine that refused a request."""
        with self._lock:
            pool = self._pools.get(service)
            if pool is not None:
                pool.record_refusal(endpoint_id, _now_ms(), pause_ms)

    def _pool(self, service: str) -> pools.Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = pools.Pool(
                random.Random(), LOCAL_PREFILL_SHARE, self._limits
            )
        table = self._state.table
        engine = table.services[service].engine if table else None
        if engine is None:
            return pool
        share = min(1.0, LOCAL_CAPACITY_FACTOR / self._state.host_count)
        pool.set_engines(
            self._state.endpoints(service),
            max(int(engine.memory_tokens * share), _min_share_tokens(engine)),
            max(1, int(engine.slots * share)),
        )
        return pool


def _min_share_tokens(engine: tables.Engine) -> int:
    """Returns the tokens of an engine that each host may use at least.

    This is the memory of one long request.
    """
    return min(engine.memory_tokens, 8_000)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
