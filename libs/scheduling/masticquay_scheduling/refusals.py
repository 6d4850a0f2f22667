"""When a request comes too late, and how often that was so."""

import collections

from masticquay_scheduling import messages

STAGE_TIMEOUT_FACTOR = 4
STAGE_TIMEOUT_MIN_MS = 1_000


class LeadTimes:
    """Estimated times from placement to the first and the last byte."""

    __slots__ = ('first_ms', 'last_ms')

    def __init__(self, first_ms: float, last_ms: float):
        self.first_ms = first_ms
        self.last_ms = last_ms


class PoolCounters:
    """What one pool's scheduler has decided since it began."""

    __slots__ = (
        'placed',
        'refused',
        'finished',
        'wasted_prefills',
        'orphaned',
        'adopted',
    )

    def __init__(self) -> None:
        self.placed = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.finished: collections.Counter[str] = collections.Counter()
        self.wasted_prefills = 0
        self.orphaned = 0
        self.adopted = 0


def latest_start_ms(
    admit: messages.Admit, now_ms: int, lead: LeadTimes
) -> float:
    """Returns when a request must be placed to be of use to its caller."""
    return now_ms + min(
        admit.max_wait_ms,
        admit.deadline_ms - lead.last_ms,
        admit.first_token_ms - lead.first_ms,
    )


def stage_timeout_ms(expected_ms: float) -> int:
    """Returns how long a stage may take before it counts as stalled."""
    timeout_ms = STAGE_TIMEOUT_FACTOR * expected_ms
    return int(max(STAGE_TIMEOUT_MIN_MS, timeout_ms))
