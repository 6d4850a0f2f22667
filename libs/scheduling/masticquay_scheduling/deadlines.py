"""Latest start times, stage timeouts and the counters of a pool."""

import collections

from masticquay_scheduling import messages

STAGE_TIMEOUT_FACTOR = 4
STAGE_TIMEOUT_MIN_MS = 1_000


class ResponseEstimate:
    """Estimated times from placement to the first and the last byte.

    :param exceeds_target: the first byte misses its target even when the pool
        is idle
    """

    __slots__ = ('first_byte_ms', 'last_byte_ms', 'exceeds_target')

    def __init__(
        self,
        first_byte_ms: float,
        last_byte_ms: float,
        exceeds_target: bool = False,
    ):
        self.first_byte_ms = first_byte_ms
        self.last_byte_ms = last_byte_ms
        self.exceeds_target = exceeds_target


class PoolCounters:
    """Counts of one pool scheduler since it started.

    :ivar wasted_prefills: attempts that ended without success after their
        prefill and before any output
    :ivar orphaned: placements whose host is gone or that are long overdue
    :ivar adopted: placements taken over from a previous owner
    """

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
    admit: messages.Admit, now_ms: int, expected: ResponseEstimate
) -> float:
    """Returns the latest time at which to place a request.

    Placed later, its first token or its whole answer would come too late. The
    first-token target does not count for a prompt that misses it even on an
    idle pool: otherwise every attempt would be refused.
    """
    wait_ms = min(admit.max_wait_ms, admit.deadline_ms - expected.last_byte_ms)
    if not expected.exceeds_target:
        wait_ms = min(wait_ms, admit.first_token_ms - expected.first_byte_ms)
    return now_ms + wait_ms


def stage_timeout_ms(expected_ms: float) -> int:
    """Returns how long a stage may take before it counts as stalled."""
    timeout_ms = STAGE_TIMEOUT_FACTOR * expected_ms
    return int(max(STAGE_TIMEOUT_MIN_MS, timeout_ms))
