"""Token buckets that enforce the rate limits of workspaces."""

# No refused caller is told to return later than this.
MAX_RETURN_MS = 4_000


class TokenBucket:
    """A token bucket whose level may drop below zero.

    :param initial_level: the initial level as a fraction of the burst
    """

    __slots__ = (
        'rate_per_s',
        'burst',
        '_level',
        '_updated_ms',
        '_last_return_ms',
    )

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_ms: int,
        initial_level: float = 1.0,
    ):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst * initial_level
        self._updated_ms = now_ms
        self._last_return_ms = now_ms

    def set_limit(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        """Changes the rate and burst; the level is capped at the burst."""
        self._refill(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def level(self, now_ms: int) -> float:
        """Returns what may be charged now; negative if too much was."""
        self._refill(now_ms)
        return self._level

    def allows(self, cost: float, now_ms: int) -> bool:
        """Whether the level covers a cost.

        A cost above the burst is allowed once the bucket is full.
        """
        self._refill(now_ms)
        return self._level >= min(cost, self.burst)

    def charge(self, cost: float, now_ms: int) -> None:
        """Subtracts a cost, below zero if necessary."""
        self._refill(now_ms)
        self._level -= cost

    def refund(self, cost: float, now_ms: int) -> None:
        """Adds the cost of a request that did not run, up to the burst."""
        self._refill(now_ms)
        self._level = min(self.burst, self._level + cost)

    def wait_ms(self, cost: float, now_ms: int) -> int:
        """Returns the time in ms until a cost is allowed, 0 if it is now."""
        self._refill(now_ms)
        shortfall = min(cost, self.burst) - self._level
        if shortfall <= 0 or self.rate_per_s <= 0:
            return 0
        return int(shortfall * 1000 / self.rate_per_s) + 1

    def plan_return_ms(self, cost: float, now_ms: int) -> int:
        """Returns when a refused caller should retry, as a time from now.

        Callers that are refused one after the other return one after the
        other, at the rate. If all came back as soon as one request is
        allowed, all but one would be refused again.
        """
        earliest_ms = now_ms + max(1, self.wait_ms(cost, now_ms))
        return_ms = max(earliest_ms, self._last_return_ms)
        return_ms = min(return_ms, now_ms + MAX_RETURN_MS)
        duration_ms = 0
        if self.rate_per_s > 0:
            duration_ms = int(min(cost, self.burst) * 1000 / self.rate_per_s)
        self._last_return_ms = return_ms + duration_ms
        return return_ms - now_ms

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        refill = elapsed_ms * self.rate_per_s / 1000
        self._level = min(self.burst, self._level + refill)


class RateLimiter:
    """The token buckets of all workspaces that have a rate limit.

    :param share: the fraction of each rate and burst to enforce
    :param initial_level: the initial level of a new bucket as a fraction of
        the burst
    """

    def __init__(self, share: float = 1.0, initial_level: float = 1.0):
        self._share = share
        self._initial_level = initial_level
        self._buckets: dict[str, TokenBucket] = {}

    def set_limits(
        self, limits: dict[str, tuple[float, float]], now_ms: int
    ) -> None:
        """Applies the rates and bursts of a table.

        :param limits: rate per second and burst, by workspace
        """
        for name in list(self._buckets):
            if name not in limits:
                del self._buckets[name]
        for name, (rate_per_s, burst) in limits.items():
            rate_per_s *= self._share
            burst *= self._share
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(
                    rate_per_s, burst, now_ms, self._initial_level
                )
            elif (bucket.rate_per_s, bucket.burst) != (rate_per_s, burst):
                bucket.set_limit(rate_per_s, burst, now_ms)

    def charge_if_allowed(
        self, workspace: str, cost: float, now_ms: int
    ) -> int:
        """Charges a request if it is within the rate limit.

        :returns: 0 if it was charged and may run, else the time in ms to
            wait before a retry
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0
        if not bucket.allows(cost, now_ms):
            return bucket.plan_return_ms(cost, now_ms)
        bucket.charge(cost, now_ms)
        return 0

    def charge(self, workspace: str, cost: float, now_ms: int) -> None:
        """Charges a cost that was already incurred, also beyond the limit."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.charge(cost, now_ms)

    def refund(self, workspace: str, cost: float, now_ms: int) -> None:
        """Refunds the cost of a request that was charged and did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.refund(cost, now_ms)

    def exhausted(self, now_ms: int) -> dict[str, int]:
        """Returns the workspaces that are over their rate limit.

        :returns: the time in ms until each may send requests again
        """
        waits = {}
        for name, bucket in self._buckets.items():
            wait_ms = bucket.wait_ms(1.0, now_ms)
            if wait_ms:
                waits[name] = wait_ms
        return waits


def rate_limits(workspaces: list | None) -> dict[str, tuple[float, float]]:
    """Returns rate and burst of the workspaces that have a rate limit."""
    return {
        workspace.name: (workspace.rate_per_s, workspace.burst)
        for workspace in workspaces or []
        if workspace.rate_per_s > 0
    }
