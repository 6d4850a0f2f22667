"""Counters, gauges and latency histograms in Prometheus text format."""

import bisect
import threading
import typing

BUCKET_BOUNDS_MS = [5, 20, 50, 100, 200, 400, 900, 2_000, 5_000, 14_000]

# Label names and values in alternation.
Labels = tuple[str, ...]


class Histogram:
    """Latency histogram.

    ``counts`` holds the number of durations in each bucket, not cumulated; the
    last bucket is for durations above all bounds.
    """

    __slots__ = ('counts', 'sum_ms')

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, duration_ms: float) -> None:
        """Adds one duration."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Registry:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], Histogram] = {}
        self._read_gauges: typing.Callable[[], dict[str, float]] = dict

    def count(self, name: str, *labels: str, amount: int = 1) -> None:
        """Increments a counter.

        :param labels: alternating label names and values
        """
        key = (name, labels)
        with self._lock:
            self._counters[key] = self._counters.get(key, 0) + amount

    def observe(self, name: str, duration_ms: float, *labels: str) -> None:
        """Adds a duration to a histogram.

        :param labels: alternating label names and values
        """
        with self._lock:
            histogram = self._histograms.setdefault(
                (name, labels), Histogram()
            )
            histogram.add(duration_ms)

    def set_gauge_reader(
        self, read_gauges: typing.Callable[[], dict[str, float]]
    ) -> None:
        """Sets the function that returns all gauge values by name."""
        self._read_gauges = read_gauges

    def render(self) -> str:
        """Returns all metrics in Prometheus text format."""
        lines = []
        with self._lock:
            for (name, labels), value in sorted(self._counters.items()):
                lines.append(
                    f'masticquay_{name}{_format_labels(labels)} {value}'
                )
            for (name, labels), histogram in sorted(
                self._histograms.items(), key=lambda item: item[0]
            ):
                lines.extend(_format_histogram(name, labels, histogram))
        for name, value in sorted(self._read_gauges().items()):
            lines.append(f'masticquay_{name} {value}')
        return '\n'.join(lines) + '\n'


def _format_labels(labels: Labels, *extra_labels: str) -> str:
    pairs = list(zip(labels[::2], labels[1::2], strict=True))
    pairs.extend(zip(extra_labels[::2], extra_labels[1::2], strict=True))
    if not pairs:
        return ''
    return '{' + ','.join(f'{name}="{value}"' for name, value in pairs) + '}'


def _format_histogram(
    name: str, labels: Labels, histogram: Histogram
) -> list[str]:
    lines = []
    cumulative_count = 0
    for bound, count in zip(
        [*BUCKET_BOUNDS_MS, '+Inf'], histogram.counts, strict=True
    ):
        cumulative_count += count
        label_text = _format_labels(labels, 'le', str(bound))
        lines.append(
            f'masticquay_{name}_bucket{label_text} {cumulative_count}'
        )
    label_text = _format_labels(labels)
    lines.append(f'masticquay_{name}_sum{label_text} {histogram.sum_ms:.1f}')
    lines.append(f'masticquay_{name}_count{label_text} {cumulative_count}')
    return lines
