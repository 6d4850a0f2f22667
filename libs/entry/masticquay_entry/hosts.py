"""An entry host: its HTTP server, request state and background workers."""

import contextlib
import random

from masticquay_endpoints import client_caches
from masticquay_entry import admissions
from masticquay_entry import applications
from masticquay_entry import cancellers
from masticquay_entry import dependencies
from masticquay_entry import drains
from masticquay_entry import intents
from masticquay_entry import metrics
from masticquay_entry import runs
from masticquay_entry import servers
from masticquay_entry import settings
from masticquay_entry import supervisors
from masticquay_entry import usages
from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import protocols
from masticquay_wire import clocks
from masticquay_wire import peers

# Longest wait for interrupted requests to end.
STOP_TIMEOUT_MS = 2_000


class EntryHost:
    """Builds and owns the components that serve callers.

    Membership, pools, rates and endpoint clients are passed in and are not
    closed here.
    """

    def __init__(
        self,
        membership: membership_protocols.Membership,
        pools: protocols.Pools,
        rates: protocols.Rates,
        client_cache: client_caches.ClientCache,
        entry_settings: settings.EntrySettings,
        clock: clocks.Clock,
    ):
        self._stack = contextlib.ExitStack()
        self._client_cache = client_cache
        self._authorizer = admissions.Authorizer(membership)
        self._registry = runs.RunRegistry(self._authorizer)
        self._canceller = cancellers.Canceller(client_cache.engine, clock)
        self._metrics = metrics.EntryMetrics()
        self._usage = usages.UsageRecorder()
        self._reporter = usages.UsageReporter(
            membership, self._usage, entry_settings.usage_interval_ms
        )
        self._intent_recorder = intents.IntentRecorder(membership)
        self._supervisor = supervisors.Supervisor(
            membership, self._registry, clock, entry_settings.caller_stall_ms
        )
        self._drain = drains.Drain(
            membership, self._registry, clock, entry_settings
        )
        deps = dependencies.Dependencies(
            membership,
            pools,
            rates,
            client_cache,
            self._canceller,
            self._registry,
            self._metrics,
            self._usage,
            clock,
            random.Random(entry_settings.seed),
        )
        application = applications.Application(
            deps,
            self._authorizer,
            self._intent_recorder,
            self._drain,
            entry_settings,
        )
        self._server = servers.EntryServer(application, entry_settings)
        membership.add_listener(self._registry.apply_state)
        membership.add_listener(self._drop_stale_clients)
        self._add_gauges()

    @property
    def address(self) -> peers.Address:
        """The address on which callers connect."""
        return self._server.address

    @property
    def running_count(self) -> int:
        """The number of requests in progress."""
        return len(self._registry.list_runs())

    def start(self) -> None:
        """Starts serving."""
        self._stack.callback(self._metrics.close)
        self._stack.callback(self._canceller.close)
        for worker in (
            self._reporter,
            self._intent_recorder,
            self._supervisor,
        ):
            worker.start()
            self._stack.callback(worker.stop)
        self._stack.callback(self._interrupt_runs)
        self._server.start()
        self._stack.callback(self._server.close)

    def drain(self) -> bool:
        """Stops serving when the requests have ended; see ``drains.Drain``.

        :returns: whether every request ended within ``drain_limit_ms``
        """
        return self._drain.run(self._server)

    def close(self) -> None:
        """Drops all connections, interrupts requests in progress and stops."""
        self._stack.close()

    def _interrupt_runs(self) -> None:
        for run in self._registry.list_runs():
            run.interrupt.fire(runs.STOPPING)
        self._registry.wait_idle(STOP_TIMEOUT_MS)

    def _drop_stale_clients(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        if new.bundle is not None and new.bundle is not old.bundle:
            self._client_cache.retain(new.bundle)

    def _add_gauges(self) -> None:
        add_gauge = self._metrics.add_gauge
        canceller = self._canceller
        add_gauge('masticquay.running', lambda: self.running_count)
        add_gauge(
            'masticquay.connections', lambda: self._server.connection_count
        )
        add_gauge(
            'masticquay.cancels_acknowledged',
            lambda: canceller.acknowledged_count,
        )
        add_gauge(
            'masticquay.cancels_given_up', lambda: canceller.given_up_count
        )
        add_gauge(
            'masticquay.intents_unconfirmed',
            lambda: self._intent_recorder.unconfirmed_count,
        )
