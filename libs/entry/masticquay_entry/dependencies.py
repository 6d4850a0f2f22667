"""The clients and shared state for all HTTP requests to an entry host."""

import itertools
import random

from masticquay_endpoints import client_caches
from masticquay_entry import cancellers
from masticquay_entry import local_placements
from masticquay_entry import metrics
from masticquay_entry import runs
from masticquay_entry import usages
from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import budgets
from masticquay_scheduling import messages
from masticquay_scheduling import protocols
from masticquay_scheduling import settings
from masticquay_wire import clocks


class Dependencies:
    """The clients and shared state used to handle every HTTP request."""

    __slots__ = (
        'membership',
        'pools',
        'rates',
        'client_cache',
        'canceller',
        'budget',
        'registry',
        'metrics',
        'usage',
        'clock',
        'local_placer',
        '_request_numbers',
    )

    def __init__(
        self,
        membership: membership_protocols.Membership,
        pools: protocols.Pools,
        rates: protocols.Rates,
        client_cache: client_caches.ClientCache,
        canceller: cancellers.Canceller,
        registry: runs.RunRegistry,
        entry_metrics: metrics.EntryMetrics,
        usage: usages.UsageRecorder,
        clock: clocks.Clock,
        generator: random.Random,
    ):
        self.membership = membership
        self.pools = pools
        self.rates = rates
        self.client_cache = client_cache
        self.canceller = canceller
        policy = settings.SchedulingSettings()
        self.budget = budgets.RetryBudget(
            clock, policy.retry_percent, policy.retry_reserve
        )
        self.registry = registry
        self.metrics = entry_metrics
        self.usage = usage
        self.clock = clock
        self.local_placer = local_placements.LocalPlacer(generator)
        self._request_numbers = itertools.count(1)

    def next_request_id(self) -> messages.RequestId:
        """Returns a request id that is unique in the fleet."""
        host = self.membership.host
        return messages.RequestId(
            host.name, host.incarnation, next(self._request_numbers)
        )
