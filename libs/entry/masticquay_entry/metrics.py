"""OpenTelemetry counters and histograms, exported as Prometheus text."""

import bisect
import threading
import typing

from opentelemetry import metrics as api_metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

# Upper bounds of the histogram buckets. 35 and 490 are common targets of
# service classes for the time between tokens and to the first token, so that
# the share of values within a target is exact.
BUCKETS_MS = [
    1,
    2,
    5,
    10,
    20,
    35,
    50,
    75,
    100,
    150,
    250,
    490,
    750,
    1_000,
    2_500,
    5_000,
    10_000,
    30_000,
    60_000,
    300_000,
]
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class GapHistogram:
    """A histogram of the gaps between tokens, of one or more streams."""

    __slots__ = ('counts', 'sum_ms')

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, gap_ms: float) -> None:
        """Counts one gap between two tokens."""
        self.counts[bisect.bisect_left(BUCKETS_MS, gap_ms)] += 1
        self.sum_ms += gap_ms

    def merge(self, other: 'GapHistogram') -> None:
        """Adds the counts of another histogram."""
        for number, count in enumerate(other.counts):
            self.counts[number] += count
        self.sum_ms += other.sum_ms


class GapCollector:
    """The histograms of gaps between tokens, by workspace and class.

    Recording one value with OpenTelemetry takes a fifth of the CPU budget
    for relaying one token. Each stream therefore fills a histogram of its
    own, which is merged here when the stream ends.
    """

    def __init__(self) -> None:
        self._gaps: dict[tuple[str, str], GapHistogram] = {}
        self._lock = threading.Lock()

    def merge(
        self, workspace: str, class_name: str, gaps: GapHistogram
    ) -> None:
        """Adds the gaps of one stream."""
        with self._lock:
            total = self._gaps.setdefault(
                (workspace, class_name), GapHistogram()
            )
            total.merge(gaps)

    def collect(self) -> typing.Iterator[core.HistogramMetricFamily]:
        """Yields the histograms for the Prometheus client."""
        family = core.HistogramMetricFamily(
            'masticquay_between_tokens_milliseconds',
            'Time between tokens',
            labels=['workspace', 'class'],
        )
        with self._lock:
            for labels, gaps in self._gaps.items():
                family.add_metric(
                    labels, _cumulative_buckets(gaps), gaps.sum_ms
                )
        yield family


def _cumulative_buckets(gaps: GapHistogram) -> list[tuple[str, float]]:
    buckets = []
    total = 0
    bounds = [str(bound) for bound in BUCKETS_MS] + ['+Inf']
    for bound, count in zip(bounds, gaps.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets


class EntryMetrics:
    """The metrics of one entry host."""

    def __init__(self) -> None:
        self._registry = registry.CollectorRegistry()
        self._reader = prometheus.PrometheusMetricReader(
            registry=self._registry
        )
        self._provider = sdk_metrics.MeterProvider([self._reader])
        self.meter = self._provider.get_meter('masticquay')
        self.gaps = GapCollector()
        self._registry.register(self.gaps)
        self._first_token = self._histogram('masticquay.first_token')
        self._queue_wait = self._histogram('masticquay.queue_wait')
        self._total_time = self._histogram('masticquay.whole')
        counter = self.meter.create_counter
        self._requests = counter('masticquay.requests')
        self._refusals = counter('masticquay.refusals')
        self._retries = counter('masticquay.retries')
        self._resumes = counter('masticquay.resumes')
        self._cut_streams = counter('masticquay.cut_streams')
        self._tokens = counter('masticquay.output_tokens')

    def _histogram(self, name: str) -> typing.Any:
        return self.meter.create_histogram(
            name, unit='ms', explicit_bucket_boundaries_advisory=BUCKETS_MS
        )

    def add_gauge(
        self, name: str, read_value: typing.Callable[[], int | float]
    ) -> None:
        """Exports a value that is read at each export."""
        self.meter.create_observable_gauge(
            name, callbacks=[lambda _: [api_metrics.Observation(read_value())]]
        )

    def record_first_token(
        self, workspace: str, class_name: str, wait_ms: float
    ) -> None:
        """Records the time from arrival to the first token."""
        self._first_token.record(wait_ms, _labels(workspace, class_name))

    def record_answer(
        self,
        workspace: str,
        class_name: str,
        queue_wait_ms: float,
        total_ms: float,
        output_tokens: int,
    ) -> None:
        """Records a request that got its complete answer."""
        labels = _labels(workspace, class_name)
        self._queue_wait.record(queue_wait_ms, labels)
        self._total_time.record(total_ms, labels)
        self._requests.add(1, labels)
        if output_tokens:
            self._tokens.add(output_tokens, labels)

    def count_refusal(
        self, workspace: str, class_name: str, reason: str
    ) -> None:
        """Counts a request that was refused, or failed after its start.

        A stream that was interrupted after its first tokens counts as well,
        and so does a request whose caller left.
        """
        labels = _labels(workspace, class_name)
        labels['reason'] = reason
        self._refusals.add(1, labels)

    def count_retry(self, outcome: str) -> None:
        """Counts a retry, by the outcome of the attempt before it."""
        self._retries.add(1, {'after': outcome})

    def count_resume(self) -> None:
        """Counts a stream that was resumed at its engine."""
        self._resumes.add(1)

    def count_cut_stream(self, reason: str) -> None:
        """Counts a stream that ended with an error event.

        ``count_refusal`` counts it too.
        """
        self._cut_streams.add(1, {'reason': reason})

    def render(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Stops the export."""
        self._provider.shutdown()


def _labels(workspace: str, class_name: str) -> dict[str, str]:
    return {'workspace': workspace, 'class': class_name}
