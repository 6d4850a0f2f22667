"""An entry host: all that serves callers, over given pools and rates."""

import contextlib
import random

from masticquay_endpoints import catalogs
from masticquay_entry import admissions
from masticquay_entry import applications
from masticquay_entry import backends
from masticquay_entry import cancellers
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

STOP_LIMIT_MS = 2_000


class EntryHost:
    """Composes the parts that serve callers, and owns them."""

    def __init__(
        self,
        membership: membership_protocols.Membership,
        pools: protocols.Pools,
        rates: protocols.Rates,
        catalog: catalogs.Catalog,
        entry_settings: settings.EntrySettings,
        clock: clocks.Clock,
    ):
        self._stack = contextlib.ExitStack()
        self._catalog = catalog
        self._gate = admissions.Gate(membership)
        self._registry = runs.RunRegistry(self._gate)
        self._canceller = cancellers.Canceller(catalog.engine, clock)
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
        parts = backends.Backends(
            membership,
            pools,
            rates,
            catalog,
            self._canceller,
            self._registry,
            self._metrics,
            self._usage,
            clock,
            random.Random(entry_settings.seed),
        )
        application = applications.Application(
            parts,
            self._gate,
            self._intent_recorder,
            self._drain,
            entry_settings,
        )
        self._server = servers.EntryServer(application, entry_settings)
        membership.add_listener(self._registry.apply_state)
        membership.add_listener(self._retain_clients)
        self._observe()

    @property
    def address(self) -> peers.Address:
        """Where callers connect."""
        return self._server.address

    @property
    def running_count(self) -> int:
        """How many requests are under way."""
        return len(self._registry.list_runs())

    def start(self) -> None:
        """Starts serving."""
        self._stack.callback(self._metrics.close)
        self._stack.callback(self._canceller.close)
        for part in (self._reporter, self._intent_recorder, self._supervisor):
            part.start()
            self._stack.callback(part.stop)
        self._stack.callback(self._end_runs)
        self._server.start()
        self._stack.callback(self._server.close)

    def drain(self) -> bool:
        """Leaves without cutting a request; see ``drains.Drain``."""
        return self._drain.run(self._server)

    def close(self) -> None:
        """Ends everything; requests under way are cut."""
        self._stack.close()

    def _end_runs(self) -> None:
        for run in self._registry.list_runs():
            run.interrupt.fire(runs.STOPPING)
        self._registry.wait_idle(STOP_LIMIT_MS)

    def _retain_clients(
        self,
        old: membership_protocols.HostState,
        new: membership_protocols.HostState,
    ) -> None:
        if new.bundle is not None and new.bundle is not old.bundle:
            self._catalog.retain(new.bundle)

    def _observe(self) -> None:
        observe = self._metrics.observe
        canceller = self._canceller
        observe('masticquay.running', lambda: self.running_count)
        observe(
            'masticquay.connections', lambda: self._server.connection_count
        )
        observe(
            'masticquay.cancels_acknowledged',
            lambda: canceller.acknowledged_count,
        )
        observe(
            'masticquay.cancels_given_up', lambda: canceller.given_up_count
        )
        observe(
            'masticquay.intents_unconfirmed',
            lambda: self._intent_recorder.unconfirmed_count,
        )
