"""Ejection of model engines that fail repeatedly."""

from masticquay_routing import engine_states

# Weights of a new outcome in the moving average of an engine's failure rate. A
# failed connection is stronger evidence than any other failure.
FAILURE_SMOOTHING = 0.25
UNREACHABLE_SMOOTHING = 0.5
# An engine that reaches this failure rate is ejected for a while.
EJECT_FAILURE_RATE = 0.55
EJECT_MAX_MS = 12_000
# No more than this fraction of the engines is ejected at a time.
MAX_EJECTED_SHARE = 0.5

Engines = dict[str, engine_states.EngineState]


def record_failure(
    engines: Engines, endpoint_id: str, now_ms: int, reached: bool
) -> None:
    """Records a failure, and ejects an engine that fails repeatedly.

    :param engines: all engines of the pool
    :param reached: whether the host could connect to the engine
    """
    state = engines.get(endpoint_id)
    if state is None or state.ejected_until_ms > now_ms:
        return
    smoothing = FAILURE_SMOOTHING if reached else UNREACHABLE_SMOOTHING
    state.failure_rate += smoothing * (1 - state.failure_rate)
    if state.failure_rate < EJECT_FAILURE_RATE:
        return
    ejected = sum(e.ejected_until_ms > now_ms for e in engines.values())
    if ejected + 1 > len(engines) * MAX_EJECTED_SHARE:
        return
    # After the ejection, one more failure ejects it again and one success
    # leaves it in use.
    state.failure_rate = EJECT_FAILURE_RATE - FAILURE_SMOOTHING / 2
    if state.failing_since_ms is None:
        state.failing_since_ms = now_ms
    if _is_last_usable_of_role(engines, state, now_ms):
        # Retry it soon, as no other engine can replace it.
        state.ejection_ms = engine_states.EJECT_MIN_MS
    state.ejected_until_ms = now_ms + state.ejection_ms
    state.ejection_ms = min(EJECT_MAX_MS, state.ejection_ms * 2)


def record_success(state: engine_states.EngineState) -> None:
    """Records a success, which ends an ejection."""
    state.failure_rate *= 1 - FAILURE_SMOOTHING
    if state.failing_since_ms is not None:
        state.failing_since_ms = None
        state.ejected_until_ms = 0
    state.ejection_ms = engine_states.EJECT_MIN_MS


def _is_last_usable_of_role(
    engines: Engines, state: engine_states.EngineState, now_ms: int
) -> bool:
    role = state.endpoint.role
    return not any(
        e is not state and e.endpoint.role == role and e.is_usable(now_ms)
        for e in engines.values()
    )
