"""OpenTelemetry metrics of a control replica, exported to Prometheus."""

import contextlib
import typing

from opentelemetry import metrics as api_metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client
from prometheus_client import registry

from masticquay_control import replicas
from masticquay_wire import peers

PREFIX = 'masticquay.control'

ReadValue = typing.Callable[[], int]


class ControlMetrics:
    """Exports a replica's metrics, whose values are read on each scrape."""

    def __init__(self, replica: replicas.Replica):
        self._replica = replica
        self._stack = contextlib.ExitStack()
        self._registry = registry.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        self._provider = sdk_metrics.MeterProvider([reader])
        self._stack.callback(self._provider.shutdown)
        self._meter = self._provider.get_meter('masticquay')
        self._add_gauges()
        self._add_counters()

    def serve(self, address: peers.Address) -> None:
        """Serves the metrics over HTTP, in the Prometheus text format.

        :raises OSError: when the address cannot be bound
        """
        server, thread = prometheus_client.start_http_server(
            address.port, address.host, self._registry
        )
        self._stack.callback(thread.join, 2)
        self._stack.callback(server.server_close)
        self._stack.callback(server.shutdown)

    def render(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry).decode()

    def close(self) -> None:
        """Stops the server and the export."""
        self._stack.close()

    def _add_gauges(self) -> None:
        replica = self._replica
        state_machine = replica.state_machine
        for name, read in (
            ('acting', lambda: int(replica.leadership.acting())),
            ('lease_remaining', replica.leadership.lease_remaining_ms),
            ('term', replica.log.term),
            ('commit_index', lambda: replica.log.status().commit_index),
            ('change_index', lambda: state_machine.change_index),
            ('fencing_number', lambda: state_machine.fencing_number),
            ('bundle_version', lambda: state_machine.bundles.version),
            ('withdrawn_keys', lambda: state_machine.bundles.withdrawn_count),
            ('view_number', lambda: state_machine.views.view.number),
            ('live_hosts', lambda: len(state_machine.views.view.hosts)),
            (
                'leaving_endpoints',
                lambda: len(state_machine.endpoints.leaving),
            ),
            ('intents', lambda: len(state_machine.intents)),
            ('watchers', lambda: replica.watchers.count),
            (
                'platform_failures',
                lambda: replica.platform_list.consecutive_failure_count,
            ),
        ):
            self._meter.create_observable_gauge(
                f'{PREFIX}.{name}', [_make_callback(read)]
            )

    def _add_counters(self) -> None:
        replica = self._replica
        for name, read in (
            ('renewals', lambda: replica.leases.renewed_count),
            ('refused_renewals', lambda: replica.leases.refused_count),
            ('evictions', lambda: replica.leases.evicted_count),
            ('leaderships_begun', lambda: replica.leadership.begun_count),
            ('forwarded_calls', lambda: replica.forwarder.forwarded_count),
            ('pushed_updates', lambda: replica.watchers.pushed_count),
            ('orders_given', lambda: replica.reconciler.sent_count),
            ('orders_failed', lambda: replica.reconciler.failed_count),
        ):
            self._meter.create_observable_counter(
                f'{PREFIX}.{name}', [_make_callback(read)]
            )


def _make_callback(read: ReadValue) -> typing.Callable:
    return lambda options: [api_metrics.Observation(read())]
