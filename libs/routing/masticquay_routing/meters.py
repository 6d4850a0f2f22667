"""Meters that keep workspaces within their rate and burst."""


class Meter:
    """A token bucket that may be overdrawn.

    :param start: the part of the burst that it starts with
    """

    __slots__ = ('rate_per_s', 'burst', '_level', '_updated_ms')

    def __init__(
        self, rate_per_s: float, burst: float, now_ms: int, start: float = 1.0
    ):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst * start
        self._updated_ms = now_ms

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

    def take(self, workspace: str, cost: float, now_ms: int) -> int:
        """Charges a request that is within the rate.

        :returns: 0 when it may run, else the time in ms until it might
        """
        meter = self._meters.get(workspace)
        if meter is None:
            return 0
        if not meter.allows(cost, now_ms):
            return max(1, meter.wait_ms(cost, now_ms))
        meter.charge(cost, now_ms)
        return 0

    def charge(self, workspace: str, cost: float, now_ms: int) -> None:
        """Charges what has run already."""
        meter = self._meters.get(workspace)
        if meter is not None:
            meter.charge(cost, now_ms)

    def exhausted(self, now_ms: int) -> dict[str, int]:
        """Returns the time in ms until each empty meter has something."""
        waits = {}
        for name, meter in self._meters.items():
            wait_ms = meter.wait_ms(1.0, now_ms)
            if wait_ms:
                waits[name] = wait_ms
        return waits


def limits_of(workspaces: list | None) -> dict[str, tuple[float, float]]:
    """Returns rate and burst of the workspaces that have a limit."""
    return {
        workspace.name: (workspace.rate_per_s, workspace.burst)
        for workspace in workspaces or []
        if workspace.rate_per_s > 0
    }
