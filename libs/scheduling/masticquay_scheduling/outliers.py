"""Finds endpoints that are much slower than their peers."""

from collections import abc
import statistics

from masticquay_scheduling import settings as scheduling_settings

GAIN = 0.1


class Speed:
    """A running mean of how long an endpoint takes for a unit of work."""

    __slots__ = ('mean_ms', 'count')

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forgets what was measured."""
        self.mean_ms = 0.0
        self.count = 0

    def learn(self, elapsed_ms: float) -> None:
        """Takes one measurement."""
        self.count += 1
        gain = max(GAIN, 1 / self.count)
        self.mean_ms += gain * (elapsed_ms - self.mean_ms)


def is_outlier(
    speed: Speed,
    peers: abc.Iterable[Speed],
    settings: scheduling_settings.SchedulingSettings,
) -> bool:
    """Whether an endpoint is slower than the median peer by a factor."""
    if speed.count < settings.outlier_samples:
        return False
    means = [
        peer.mean_ms
        for peer in peers
        if peer is not speed and peer.count >= settings.outlier_samples
    ]
    if not means:
        return False
    limit_ms = settings.outlier_factor * statistics.median(means)
    return speed.mean_ms > max(limit_ms, settings.outlier_floor_ms)
