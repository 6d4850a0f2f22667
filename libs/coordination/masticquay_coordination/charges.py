"""What requests were charged to the rate limits of their workspaces."""

from masticquay_routing import meters
from masticquay_routing import placement_messages
from masticquay_routing import queued_requests
from masticquay_routing import tables

# Initial level of the token buckets under a new leader, as a fraction of the
# burst. Its predecessor may just have let a whole burst run, but in the second
# or more before an election at most three quarters of the rate ran.
SUCCESSOR_BURST_SHARE = 0.25


class ChargeCounts:
    """What was charged and refunded, by workspace.

    :ivar placed: charged to requests that ask for a placement
    :ivar reported: charged to other requests, as hosts reported them
    """

    __slots__ = ('placed', 'reported', 'refused', 'refunded')

    def __init__(self) -> None:
        self.placed: dict[str, float] = {}
        self.reported: dict[str, float] = {}
        self.refused: dict[str, float] = {}
        self.refunded: dict[str, float] = {}

    def __bool__(self) -> bool:
        return any(getattr(self, name) for name in self.__slots__)


class Charges:
    """Charges requests to rate limits, and refunds those that did not run.

    The caller makes sure that only one thread uses it at a time.

    :param first: whether no earlier leader can have allowed any request
    """

    __slots__ = ('_rate_limiter', '_unplaced', '_counts')

    def __init__(self, first: bool):
        self._rate_limiter = meters.RateLimiter(
            initial_level=1.0 if first else SUCCESSOR_BURST_SHARE
        )
        # What a request was charged that waits for a placement.
        self._unplaced: dict[
            queued_requests.RequestKey, placement_messages.Admit
        ] = {}
        self._counts = ChargeCounts()

    def set_table(self, table: tables.Table, now_ms: int) -> None:
        """Applies the rate limits of a table."""
        limits = meters.rate_limits(table.workspaces)
        self._rate_limiter.set_limits(limits, now_ms)

    def charge(
        self,
        key: queued_requests.RequestKey,
        request: placement_messages.Admit,
        now_ms: int,
    ) -> int:
        """Charges a request that its host did not charge.

        :returns: 0 if it may run, else the time in ms to wait before a retry
        """
        if request.charged:
            return 0
        wait_ms = self._rate_limiter.charge_if_allowed(
            request.workspace, request.cost, now_ms
        )
        if not wait_ms:
            self._unplaced[key] = request
        counts = self._counts.refused if wait_ms else self._counts.placed
        _add(counts, request.workspace, request.cost)
        return wait_ms

    def charge_usage(
        self, usage: dict[str, float], now_ms: int
    ) -> dict[str, int]:
        """Charges the cost of requests without placement, by workspace.

        :returns: the workspaces over their rate limit, with the time in ms
            until each may send requests again
        """
        for workspace, cost in usage.items():
            self._rate_limiter.charge(workspace, cost, now_ms)
            _add(self._counts.reported, workspace, cost)
        return self._rate_limiter.exhausted(now_ms)

    def settle(self, key: queued_requests.RequestKey) -> None:
        """Keeps the charge of a request that was placed."""
        self._unplaced.pop(key, None)

    def refund(self, key: queued_requests.RequestKey, now_ms: int) -> None:
        """Refunds a request that did not run."""
        request = self._unplaced.pop(key, None)
        if request is not None:
            self._rate_limiter.refund(request.workspace, request.cost, now_ms)
            _add(self._counts.refunded, request.workspace, request.cost)

    def take_counts(self) -> ChargeCounts:
        """Returns what was charged since the last call."""
        counts, self._counts = self._counts, ChargeCounts()
        return counts


def _add(costs: dict[str, float], workspace: str, cost: float) -> None:
    costs[workspace] = costs.get(workspace, 0.0) + cost
