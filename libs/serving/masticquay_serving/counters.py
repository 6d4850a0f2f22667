"""Counters and latency histograms as Prometheus text."""

import bisect
import threading
import typing

BUCKETS_MS = [5, 20, 50, 100, 200, 400, 900, 2_000, 5_000, 14_000]

Labels = tuple[str, ...]


class Histogram:
    """Counts of durations by bucket."""

    __slots__ = ('counts', 'sum_ms')

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, duration_ms: float) -> None:
        """Counts one duration."""
        self.counts[bisect.bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Registry:
    """All counters and histograms of one process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], Histogram] = {}
        self._gauges: typing.Callable[[], dict[str, float]] = dict

    def count(self, name: str, *labels: str, amount: int = 1) -> None:
        """Raises a counter.

        :param labels: alternating label names and values
        """
        key = (name, labels)
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def observe(self, name: str, duration_ms: float, *labels: str) -> None:
        """Adds a duration to a histogram."""
        with self._lock:
            histogram = self._histograms.setdefault(
                (name, labels), Histogram()
            )
            histogram.add(duration_ms)

    def gauges(self, read: typing.Callable[[], dict[str, float]]) -> None:
        """Sets the function that reads all gauges by their names."""
        self._gauges = read

    def render(self) -> str:
        """Returns everything as Prometheus text."""
        lines = []
        with self._lock:
            for (name, labels), value in sorted(self._counters.items()):
                lines.append(f'masticquay_{name}{_braces(labels)} {value}')
            for (name, labels), found in sorted(
                self._histograms.items(), key=lambda item: item[0]
            ):
                lines.extend(_histogram_lines(name, labels, found))
        for name, value in sorted(self._gauges().items()):
            lines.append(f'masticquay_{name} {value}')
        return '\n'.join(lines) + '\n'


def _braces(labels: Labels, *extra: str) -> str:
    pairs = list(zip(labels[::2], labels[1::2], strict=True))
    pairs.extend(zip(extra[::2], extra[1::2], strict=True))
    if not pairs:
        return ''
    return '{' + ','.join(f'{name}="{value}"' for name, value in pairs) + '}'


def _histogram_lines(
    name: str, labels: Labels, histogram: Histogram
) -> list[str]:
    lines = []
    total = 0
    for bound, count in zip(
        [*BUCKETS_MS, '+Inf'], histogram.counts, strict=True
    ):
        total += count
        braces = _braces(labels, 'le', str(bound))
        lines.append(f'masticquay_{name}_bucket{braces} {total}')
    braces = _braces(labels)
    lines.append(f'masticquay_{name}_sum{braces} {histogram.sum_ms:.1f}')
    lines.append(f'masticquay_{name}_count{braces} {total}')
    return lines
