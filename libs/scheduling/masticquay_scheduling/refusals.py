"""When a request comes too late, and how often that was so."""

import collections

from masticquay_scheduling import messages

STAGE_TIMEOUT_FACTOR = 4
STAGE_TIMEOUT_MIN_MS = 1_000


class LeadTimes:
    """Estimated times from placement to the first and the last byte.

    :param too_long: the first byte would be late on an idle pool as well
    """

    __slots__ = ('first_ms', 'last_ms', 'too_long')

    def __init__(
        self, first_ms: float, last_ms: float, too_long: bool = False
    ):
        self.first_ms = first_ms
        self.last_ms = last_ms
        self.too_long = too_long


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
    """Returns when a request must be placed to be of use to its caller.

    A prompt too long for its first-token target on an idle pool is bound by
    its wait and its deadline only: it would be refused at every attempt.
    """
    wait_ms = min(admit.max_wait_ms, admit.deadline_ms - lead.last_ms)
    if not lead.too_long:
        wait_ms = min(wait_ms, admit.first_token_ms - lead.first_ms)
    return now_ms + wait_ms


def stage_timeout_ms(expected_ms: float) -> int:
    """Returns how long a stage may take before it counts as stalled."""
    timeout_ms = STAGE_TIMEOUT_FACTOR * expected_ms
    return int(max(STAGE_TIMEOUT_MIN_MS, timeout_ms))
