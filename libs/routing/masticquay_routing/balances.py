"""How many engines of a pool read prompts and how many decode."""

from masticquay_routing import engine_states
from masticquay_routing import fleets
from masticquay_routing import placements

# The part of the engines that reads prompts where nothing is known yet.
START_PREFILL_SHARE = 0.16
# Above this part of its speed a prefill engine makes prompts wait.
PREFILL_LOAD_LIMIT = 0.9
LOAD_WINDOW_MS = 8_000
# Memory is short above this part of it; no engine is taken from decoding.
DECODE_LOAD_LIMIT = 0.6
# Engines by which the need must differ before the load changes a role.
EXTRA_MARGIN = 0.4
# An engine lets running requests end before its role changes.
SWITCH_SLACK_MS = 10_000
# A list that still grows says little of the number of engines.
STEADY_MS = 1_500
FIRST_STEADY_MS = 4_000
# An engine that fails for longer is taken for lost; a change of role takes
# longer than most engines need to come back.
LOST_AFTER_MS = 4_000
# Between a change that the load asked for and the next one.
SETTLE_MS = 10_000


class RoleOrder:
    """An order to one engine to take another role."""

    __slots__ = ('endpoint', 'role')

    def __init__(self, endpoint: fleets.Endpoint, role: str):
        self.endpoint = endpoint
        self.role = role


class Balance:
    """Watches one pool and says which engines should change their role."""

    def __init__(self) -> None:
        self._prompts: list[tuple[int, int]] = []
        self._extra = 0
        self._extra_ms = -SETTLE_MS
        self._known: set[str] = set()
        self._known_ms = 0
        self._first_ms: int | None = None

    def note_prompt(self, tokens: int, now_ms: int) -> None:
        """Counts a prompt that asked for a place."""
        self._prompts.append((now_ms, tokens))

    def plan(
        self, pool: placements.Pool, now_ms: int, switch_ms: int
    ) -> list[RoleOrder]:
        """Returns the orders that are due.

        :param switch_ms: how long a change of role takes
        """
        listed = [
            e
            for e in pool.engines.values()
            if not e.endpoint.leaving and not _is_lost(e, now_ms)
        ]
        if len(listed) < 2 or not self._is_steady(listed, now_ms):
            return []
        self._follow_load(len(listed), pool, now_ms)
        wanted = self._wanted(len(listed))
        coming = [e for e in listed if e.switching_until_ms > now_ms]
        settled = [e for e in listed if e.switching_until_ms <= now_ms]
        prefills = [e for e in settled if _has_role(e, fleets.ROLE_PREFILL)]
        decodes = [e for e in settled if _has_role(e, fleets.ROLE_DECODE)]
        arriving = sum(_has_role(e, fleets.ROLE_DECODE) for e in coming)
        surplus = len(prefills) + arriving - wanted
        if surplus > 0:
            idlest = sorted(prefills, key=lambda e: e.prefill_tokens)
            chosen = idlest[: min(surplus, len(prefills) - 1)]
            role = fleets.ROLE_DECODE
        elif surplus < 0 and len(decodes) > 1:
            emptiest = sorted(decodes, key=lambda e: e.reserved_tokens)
            chosen = emptiest[: min(-surplus, len(decodes) - 1)]
            role = fleets.ROLE_PREFILL
        else:
            return []
        for state in chosen:
            state.switching_until_ms = now_ms + switch_ms + SWITCH_SLACK_MS
        return [RoleOrder(state.endpoint, role) for state in chosen]

    def _is_steady(
        self, listed: list[engine_states.EngineState], now_ms: int
    ) -> bool:
        if self._first_ms is None:
            self._first_ms = now_ms
        known = {state.endpoint.endpoint_id for state in listed}
        if known != self._known:
            self._known = known
            self._known_ms = now_ms
        if now_ms - self._first_ms < FIRST_STEADY_MS:
            return False
        return now_ms - self._known_ms >= STEADY_MS

    def _wanted(self, engine_count: int) -> int:
        wanted = max(1, round(engine_count * START_PREFILL_SHARE))
        return min(wanted + self._extra, max(1, engine_count // 2))

    def _follow_load(
        self, engine_count: int, pool: placements.Pool, now_ms: int
    ) -> None:
        """Adds or takes back one prefill engine after a lasting change."""
        oldest_ms = now_ms - LOAD_WINDOW_MS
        self._prompts = [p for p in self._prompts if p[0] > oldest_ms]
        if now_ms - self._extra_ms < SETTLE_MS:
            return
        tokens = sum(entry[1] for entry in self._prompts)
        speed = pool.prefill_tokens_per_ms * LOAD_WINDOW_MS
        needed = tokens / (speed * PREFILL_LOAD_LIMIT)
        base = max(1, round(engine_count * START_PREFILL_SHARE))
        extra = self._extra
        tight = _decode_load(pool, now_ms) > DECODE_LOAD_LIMIT
        if needed > base + extra + EXTRA_MARGIN and not tight:
            extra += 1
        elif (
            extra
            and tight
            or extra
            and needed < base + extra - 1 - EXTRA_MARGIN
        ):
            extra -= 1
        if extra != self._extra:
            self._extra = extra
            self._extra_ms = now_ms


def _is_lost(state: engine_states.EngineState, now_ms: int) -> bool:
    since_ms = state.failing_since_ms
    return since_ms is not None and now_ms - since_ms > LOST_AFTER_MS


def _decode_load(pool: placements.Pool, now_ms: int) -> float:
    """Returns the part of the decode memory that is in use."""
    _prefills, decodes = pool.roles(now_ms)
    memory_tokens = sum(e.memory_tokens for e in decodes)
    reserved_tokens = sum(e.reserved_tokens for e in decodes)
    return reserved_tokens / memory_tokens if memory_tokens else 1.0


def _has_role(state: engine_states.EngineState, role: str) -> bool:
    return state.endpoint.role == role
