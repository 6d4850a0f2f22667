"""Meters that keep workspaces within their rate and burst."""

# A request that is within the rate this soon is held rather than refused.
HOLD_MS = 350
# Refused requests are told to come back within this time.
RETURN_MAX_MS = 4_000


class Grant:
    """Whether a request may run.

    :param refused: whether it must come back later
    :param wait_ms: for how long it must be held, or stay away
    """

    __slots__ = ('refused', 'wait_ms')

    def __init__(self, refused: bool, wait_ms: int):
        self.refused = refused
        self.wait_ms = wait_ms


class Meter:
    """A token bucket that may be overdrawn.

    :param start: the part of the burst that it starts with
    """

    __slots__ = (
        'rate_per_s',
        'burst',
        '_level',
        '_updated_ms',
        '_promised_until_ms',
    )

    def __init__(
        self, rate_per_s: float, burst: float, now_ms: int, start: float = 1.0
    ):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst * start
        self._updated_ms = now_ms
        self._promised_until_ms = now_ms

    def change(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        """Takes up another rate and burst from now on."""
        self._refill(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def allows(self, cost: float, now_ms: int) -> bool:
        """Whether a request of a cost may run now."""
        self._refill(now_ms)
        return self._level >= min(cost, self.burst)

    def charge(self, cost: float, now_ms: int) -> None:
        """Takes a cost, below zero if need be."""
        self._refill(now_ms)
        self._level -= cost

    def wait_ms(self, cost: float, now_ms: int) -> int:
        """Returns in what time a request of a cost may run."""
        self._refill(now_ms)
        missing = min(cost, self.burst) - self._level
        if missing <= 0 or self.rate_per_s <= 0:
            return 0
        return int(missing * 1000 / self.rate_per_s) + 1

    def promise_ms(self, cost: float, now_ms: int) -> int:
        """Returns when a refused request may come, after those before it."""
        due_ms = now_ms + self.wait_ms(cost, now_ms)
        start_ms = max(due_ms, self._promised_until_ms)
        latest_ms = now_ms + RETURN_MAX_MS
        if start_ms >= latest_ms:
            return RETURN_MAX_MS
        if self.rate_per_s > 0:
            needed_ms = int(min(cost, self.burst) * 1000 / self.rate_per_s)
            self._promised_until_ms = start_ms + needed_ms
        return max(1, start_ms - now_ms)

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        gained = elapsed_ms * self.rate_per_s / 1000
        self._level = min(self.burst, self._level + gained)


class Meters:
    """The meters of all workspaces that have a limit.

    :param share: the part of each rate and burst that is handed out here
    :param start: the part of the burst that a new meter starts with
    """

    def __init__(self, share: float = 1.0, start: float = 1.0):
        self._share = share
        self._start = start
        self._meters: dict[str, Meter] = {}

    def set_limits(
        self, limits: dict[str, tuple[float, float]], now_ms: int
    ) -> None:
        """Takes up the rates and bursts of a table.

        :param limits: rate in units/s and burst in units, by workspace
        """
        for name in list(self._meters):
            if name not in limits:
                del self._meters[name]
        for name, (rate_per_s, burst) in limits.items():
            rate_per_s *= self._share
            burst *= self._share
            meter = self._meters.get(name)
            if meter is None:
                self._meters[name] = Meter(
                    rate_per_s, burst, now_ms, self._start
                )
            elif (meter.rate_per_s, meter.burst) != (rate_per_s, burst):
                meter.change(rate_per_s, burst, now_ms)

    def take(
        self, workspace: str, cost: float, now_ms: int, hold_ms: int = 0
    ) -> Grant:
        """Charges a request that is within the rate, or soon will be.

        :param hold_ms: for how long it may be held
        """
        meter = self._meters.get(workspace)
        if meter is None:
            return Grant(False, 0)
        wait_ms = 0
        if not meter.allows(cost, now_ms):
            wait_ms = max(1, meter.wait_ms(cost, now_ms))
        if wait_ms > hold_ms:
            return Grant(True, meter.promise_ms(cost, now_ms))
        meter.charge(cost, now_ms)
        return Grant(False, wait_ms)

    def charge(self, workspace: str, cost: float, now_ms: int) -> None:
        """Charges what has run already, or gives back what will not run.

        :param cost: negative for what is given back
        """
        meter = self._meters.get(workspace)
        if meter is not None:
            meter.charge(cost, now_ms)

    def exhausted(self, now_ms: int) -> dict[str, int]:
        """Returns the time in ms until each overdrawn meter recovers.

        What is held has been charged ahead of its time, so a meter counts as
        overdrawn only below that.
        """
        waits = {}
        for name, meter in self._meters.items():
            wait_ms = meter.wait_ms(1.0, now_ms) - HOLD_MS
            if wait_ms > 0:
                waits[name] = wait_ms
        return waits


def limits_of(workspaces: list | None) -> dict[str, tuple[float, float]]:
    """Returns rate and burst of the workspaces that have a limit."""
    return {
        workspace.name: (workspace.rate_per_s, workspace.burst)
        for workspace in workspaces or []
        if workspace.rate_per_s > 0
    }
