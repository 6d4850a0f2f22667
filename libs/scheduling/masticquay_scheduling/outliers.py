"""Detection of endpoints that are much slower than their peers."""

from collections import abc
import statistics

from masticquay_scheduling import settings as scheduling_settings

# Weight of a new sample in the average once there are 10 or more.
MIN_SAMPLE_WEIGHT = 0.1


class MeanDuration:
    """Moving average of the time an endpoint takes for a unit of work."""

    __slots__ = ('mean_ms', 'count')

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Drops all measurements."""
        self.mean_ms = 0.0
        self.count = 0

    def add(self, elapsed_ms: float) -> None:
        """Adds one measurement."""
        self.count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self.count)
        self.mean_ms += weight * (elapsed_ms - self.mean_ms)


def is_outlier(
    duration: MeanDuration,
    peers: abc.Iterable[MeanDuration],
    settings: scheduling_settings.SchedulingSettings,
) -> bool:
    """Returns whether an endpoint is much slower than its peers.

    Its mean is more than ``outlier_factor`` times the median of the peers
    with enough samples, and more than ``outlier_floor_ms``.
    """
    if duration.count < settings.outlier_samples:
        return False
    means = [
        peer.mean_ms
        for peer in peers
        if peer is not duration and peer.count >= settings.outlier_samples
    ]
    if not means:
        return False
    limit_ms = settings.outlier_factor * statistics.median(means)
    return duration.mean_ms > max(limit_ms, settings.outlier_floor_ms)
