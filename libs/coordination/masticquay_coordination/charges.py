"""What requests were charged to the rate limits of their workspaces."""

from masticquay_routing import meters
from masticquay_routing import placement_messages
from masticquay_routing import queued_requests
from masticquay_routing import tables

# Initial level of the token buckets under a new leader, as a fraction of the
# burst. It does not know which requests its predecessor allowed last.
SUCCESSOR_BURST_SHARE = 0.5


class Charges:
    """Charges requests to rate limits, and refunds those that did not run.

    The caller makes sure that only one thread uses it at a time.

    :param first: whether no earlier leader can have allowed any request
    """

    __slots__ = ('_rate_limiter', '_unplaced')

    def __init__(self, first: bool):
        self._rate_limiter = meters.RateLimiter(
            initial_level=1.0 if first else SUCCESSOR_BURST_SHARE
        )
        # What a request was charged that waits for a placement.
        self._unplaced: dict[
            queued_requests.RequestKey, placement_messages.Admit
        ] = {}

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
        return self._rate_limiter.exhausted(now_ms)

    def settle(self, key: queued_requests.RequestKey) -> None:
        """Keeps the charge of a request that was placed."""
        self._unplaced.pop(key, None)

    def refund(self, key: queued_requests.RequestKey, now_ms: int) -> None:
        """Refunds a request that did not run."""
        request = self._unplaced.pop(key, None)
        if request is not None:
            self._rate_limiter.refund(request.workspace, request.cost, now_ms)
