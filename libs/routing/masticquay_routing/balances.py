"""The split of a pool's engines into prefill and decode engines."""

from masticquay_routing import engine_states
from masticquay_routing import fleets
from masticquay_routing import pools

# Fraction of the engines that run prefills until the load requires a change.
INITIAL_PREFILL_SHARE = 0.16
# Above this load, prompts queue for too long at the prefill engines.
MAX_PREFILL_LOAD = 0.9
# The prefill load is averaged over this window.
LOAD_WINDOW_MS = 8_000
# No engine is taken from decoding while a larger fraction of the decode
# memory is in use.
MAX_DECODE_LOAD = 0.6
# The load changes a role only if the needed number of prefill engines differs
# from the current one by more than this.
HYSTERESIS_ENGINES = 0.4
# Time for an engine to finish its running requests before its role changes.
ROLE_SWITCH_DRAIN_MS = 10_000
# No role changes until the engine list has been unchanged for this long: while
# engines still appear, their final number is unknown.
LIST_STABLE_MS = 1_500
# No role changes either for this long after the first plan.
STARTUP_DELAY_MS = 4_000
# An engine that fails for longer than this counts as lost. Most engines
# recover sooner than another engine could change its role.
LOST_AFTER_MS = 4_000
# Minimum time between two changes that the load causes.
LOAD_CHANGE_INTERVAL_MS = 10_000


class RoleOrder:
    """An order to one engine to change its role."""

    __slots__ = ('endpoint', 'role')

    def __init__(self, endpoint: fleets.Endpoint, role: str):
        self.endpoint = endpoint
        self.role = role


class RoleBalancer:
    """Decides which engines of one pool should change their role."""

    def __init__(self) -> None:
        # Arrival time and length of each prompt in the load window.
        self._recent_prompts: list[tuple[int, int]] = []
        self._extra_prefill_count = 0
        self._extra_changed_ms = -LOAD_CHANGE_INTERVAL_MS
        self._available_ids: set[str] = set()
        self._list_changed_ms = 0
        self._started_ms: int | None = None

    def record_prompt(self, tokens: int, now_ms: int) -> None:
        """Adds the prompt of a request to the prefill load."""
        self._recent_prompts.append((now_ms, tokens))

    def plan(
        self, pool: pools.Pool, now_ms: int, switch_ms: int
    ) -> list[RoleOrder]:
        """Returns the role changes that are due.

        The engines are marked as switching, so that no order is repeated.

        :param switch_ms: how long an engine takes to change its role
        """
        available = [
            e
            for e in pool.engines.values()
            if not e.endpoint.leaving and not _is_lost(e, now_ms)
        ]
        if len(available) < 2 or not self._is_list_stable(available, now_ms):
            return []
        self._adjust_to_load(len(available), pool, now_ms)
        target_count = self._target_prefill_count(len(available))
        switching = [e for e in available if e.role_switch_until_ms > now_ms]
        ready = [e for e in available if e.role_switch_until_ms <= now_ms]
        prefills = [e for e in ready if _has_role(e, fleets.ROLE_PREFILL)]
        decodes = [e for e in ready if _has_role(e, fleets.ROLE_DECODE)]
        future_prefill_count = sum(
            _has_role(e, fleets.ROLE_DECODE) for e in switching
        )
        surplus = len(prefills) + future_prefill_count - target_count
        if surplus > 0:
            by_backlog = sorted(
                prefills, key=lambda e: e.pending_prefill_tokens
            )
            chosen = by_backlog[: min(surplus, len(prefills) - 1)]
            role = fleets.ROLE_DECODE
        elif surplus < 0 and len(decodes) > 1:
            by_memory = sorted(
                decodes,
                key=lambda e: (
                    _is_only_of_version(e, decodes),
                    e.reserved_tokens,
                ),
            )
            chosen = by_memory[: min(-surplus, len(decodes) - 1)]
            role = fleets.ROLE_PREFILL
        else:
            return []
        for state in chosen:
            state.role_switch_until_ms = (
                now_ms + switch_ms + ROLE_SWITCH_DRAIN_MS
            )
        return [RoleOrder(state.endpoint, role) for state in chosen]

    def _is_list_stable(
        self, available: list[engine_states.EngineState], now_ms: int
    ) -> bool:
        if self._started_ms is None:
            self._started_ms = now_ms
        available_ids = {state.endpoint.endpoint_id for state in available}
        if available_ids != self._available_ids:
            self._available_ids = available_ids
            self._list_changed_ms = now_ms
        if now_ms - self._started_ms < STARTUP_DELAY_MS:
            return False
        return now_ms - self._list_changed_ms >= LIST_STABLE_MS

    def _target_prefill_count(self, engine_count: int) -> int:
        target_count = max(1, round(engine_count * INITIAL_PREFILL_SHARE))
        return min(
            target_count + self._extra_prefill_count, max(1, engine_count // 2)
        )

    def _adjust_to_load(
        self, engine_count: int, pool: pools.Pool, now_ms: int
    ) -> None:
        """Changes the number of extra prefill engines by at most one."""
        oldest_ms = now_ms - LOAD_WINDOW_MS
        self._recent_prompts = [
            p for p in self._recent_prompts if p[0] > oldest_ms
        ]
        if now_ms - self._extra_changed_ms < LOAD_CHANGE_INTERVAL_MS:
            return
        tokens = sum(entry[1] for entry in self._recent_prompts)
        tokens_per_engine = pool.prefill_tokens_per_ms * LOAD_WINDOW_MS
        needed_engines = tokens / (tokens_per_engine * MAX_PREFILL_LOAD)
        base_count = max(1, round(engine_count * INITIAL_PREFILL_SHARE))
        extra_count = self._extra_prefill_count
        memory_short = _decode_load(pool, now_ms) > MAX_DECODE_LOAD
        if (
            needed_engines > base_count + extra_count + HYSTERESIS_ENGINES
            and not memory_short
        ):
            extra_count += 1
        elif (
            extra_count
            and memory_short
            or extra_count
            and needed_engines
            < base_count + extra_count - 1 - HYSTERESIS_ENGINES
        ):
            extra_count -= 1
        if extra_count != self._extra_prefill_count:
            self._extra_prefill_count = extra_count
            self._extra_changed_ms = now_ms


def _is_lost(state: engine_states.EngineState, now_ms: int) -> bool:
    since_ms = state.failing_since_ms
    return since_ms is not None and now_ms - since_ms > LOST_AFTER_MS


def _decode_load(pool: pools.Pool, now_ms: int) -> float:
    """Returns the fraction of the decode memory that is reserved."""
    _prefills, decodes = pool.usable_by_role(now_ms)
    memory_tokens = sum(e.memory_tokens for e in decodes)
    reserved_tokens = sum(e.reserved_tokens for e in decodes)
    return reserved_tokens / memory_tokens if memory_tokens else 1.0


def _has_role(state: engine_states.EngineState, role: str) -> bool:
    return state.endpoint.role == role


def _is_only_of_version(
    state: engine_states.EngineState, decodes: list[engine_states.EngineState]
) -> bool:
    """Whether the streams of a software version can go on nowhere else."""
    version = state.endpoint.software_version
    return not any(
        e is not state and e.endpoint.software_version == version
        for e in decodes
    )
