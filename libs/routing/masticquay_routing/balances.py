"""How many engines of a pool read prompts and how many decode."""

from masticquay_routing import fleets
from masticquay_routing import placements

# The part of the engines that reads prompts where nothing is known yet.
START_PREFILL_SHARE = 0.16
# Above this part of its speed a prefill engine makes prompts wait.
PREFILL_LOAD_LIMIT = 0.9
LOAD_WINDOW_MS = 8_000
# Time after a change in which the effect is awaited, besides the switch.
SETTLE_MS = 6_000


class RoleOrder:
    """An order to one engine to take another role."""

    __slots__ = ('endpoint', 'role')

    def __init__(self, endpoint: fleets.Endpoint, role: str):
        self.endpoint = endpoint
        self.role = role


class Balance:
    """Watches one pool and says which engine should change its role."""

    def __init__(self) -> None:
        self._prompts: list[tuple[int, int]] = []
        self._quiet_until_ms = 0

    def note_prompt(self, tokens: int, now_ms: int) -> None:
        """Counts a prompt that asked for a place."""
        self._prompts.append((now_ms, tokens))

    def plan(
        self, pool: placements.Pool, now_ms: int, switch_ms: int
    ) -> RoleOrder | None:
        """Returns the next order, if one is due.

        :param switch_ms: how long a change of role takes
        """
        listed = [e for e in pool.engines.values() if not e.endpoint.leaving]
        if len(listed) < 2 or now_ms < self._quiet_until_ms:
            return None
        usable = [e for e in listed if e.ejected_until_ms <= now_ms]
        switching = [e for e in usable if e.switching_until_ms > now_ms]
        if switching:
            return None
        prefills = [e for e in usable if _has_role(e, fleets.ROLE_PREFILL)]
        decodes = [e for e in usable if _has_role(e, fleets.ROLE_DECODE)]
        wanted = self._wanted(len(usable), pool, now_ms)
        order = None
        if len(prefills) > wanted and prefills:
            order = _order_idlest(prefills, fleets.ROLE_DECODE, now_ms)
        elif len(prefills) < wanted and len(decodes) > 1:
            order = _order_emptiest(decodes, fleets.ROLE_PREFILL)
        if order is not None:
            state = pool.engines[order.endpoint.endpoint_id]
            state.switching_until_ms = now_ms + switch_ms + 2_000
            still = len(prefills) - wanted
            if still <= 1:
                self._quiet_until_ms = now_ms + SETTLE_MS
        return order

    def _wanted(
        self, engine_count: int, pool: placements.Pool, now_ms: int
    ) -> int:
        self._prompts = [
            entry
            for entry in self._prompts
            if entry[0] > now_ms - LOAD_WINDOW_MS
        ]
        wanted = max(1, round(engine_count * START_PREFILL_SHARE))
        tokens = sum(entry[1] for entry in self._prompts)
        speed = pool.prefill_tokens_per_ms * LOAD_WINDOW_MS
        needed = tokens / (speed * PREFILL_LOAD_LIMIT)
        if needed > wanted + 0.3:
            wanted += 1
        return min(wanted, max(1, engine_count // 2))


def _has_role(state: placements.EngineState, role: str) -> bool:
    return state.endpoint.role == role


def _order_idlest(
    states: list[placements.EngineState], role: str, now_ms: int
) -> RoleOrder:
    chosen = min(states, key=lambda e: max(0, e.backlog_until_ms - now_ms))
    return RoleOrder(chosen.endpoint, role)


def _order_emptiest(
    states: list[placements.EngineState], role: str
) -> RoleOrder:
    chosen = min(states, key=lambda e: e.reserved_tokens)
    return RoleOrder(chosen.endpoint, role)
