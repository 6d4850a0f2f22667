"""Our policy and its baselines, behind one face, for the bench."""

import random as random_module
import typing

from masticquay_bundles import models
from masticquay_scheduling import admissions
from masticquay_scheduling import binders
from masticquay_scheduling import choosers
from masticquay_scheduling import messages
from masticquay_scheduling import plans
from masticquay_scheduling import protocols
from masticquay_scheduling import queues
from masticquay_scheduling import schedulers
from masticquay_scheduling import settings as scheduling_settings
from masticquay_scheduling import waitings
from masticquay_wire import clocks

HostKeys = set[tuple[str, int]]


class Policy(typing.Protocol):
    """What the bench drives."""

    late_decode: bool

    def admit(self, admit: messages.Admit, reply: schedulers.Reply) -> None:
        """Asks for a placement."""

    def await_decode(
        self,
        placement: messages.Placement,
        expires_ms: int,
        reply: schedulers.Reply,
    ) -> None:
        """Asks for the decode endpoint."""

    def prefill_done(self, placement: messages.Placement) -> None:
        """Reports the end of a prefill."""

    def finish(
        self, placement: messages.Placement, finished: messages.Finished
    ) -> None:
        """Reports the end of an attempt."""

    def apply_load(
        self, endpoint: str, load: protocols.EndpointLoad | None
    ) -> None:
        """Hands in a load report."""

    def schedulers(self) -> list[schedulers.PoolScheduler]:
        """Returns the schedulers that it is made of."""

    def tick(self, now_ms: int) -> None:
        """Lets time pass."""


class FifoQueue(queues.FairQueue):
    """Serves requests in the order in which they came."""

    def __init__(self) -> None:
        super().__init__(0, 0)
        self._entries: dict[int, queues.Item] = {}

    def push(self, item: queues.Item) -> None:
        """Adds a request."""
        super().push(item)
        self._entries[id(item)] = item

    def remove(self, item: queues.Item) -> None:
        """Takes a request out."""
        super().remove(item)
        del self._entries[id(item)]

    def candidates(self) -> typing.Iterator[queues.Item]:
        """Yields the oldest request only."""
        yield from list(self._entries.values())[:1]

    def count_ahead(self, item: queues.Item) -> int:
        """Returns how many came before."""
        return len(self._entries) - 1

    def share_of(self, workspace: str) -> float:
        """Returns the whole: all wait in one line."""
        return 1.0


class SchedulerPolicy:
    """One pool scheduler over all endpoints.

    :param late_decode: whether decode is bound after the prefill
    """

    def __init__(
        self,
        bundle: models.Bundle,
        clock: clocks.Clock,
        late_decode: bool = True,
        fifo: bool = False,
        affinity: bool = True,
    ):
        settings = scheduling_settings.SchedulingSettings()
        plan = next(iter(plans.PoolMap(bundle, settings).plans.values()))
        self.late_decode = late_decode
        self.scheduler = self._make(
            plan, bundle, clock, settings, FifoQueue() if fifo else None
        )
        if not affinity:
            self.scheduler.binder.replace_chooser(
                choosers.EarliestChooser(
                    settings, self.scheduler.table.estimates, affinity=False
                )
            )

    def _make(
        self,
        plan: plans.PoolPlan,
        bundle: models.Bundle,
        clock: clocks.Clock,
        settings: scheduling_settings.SchedulingSettings,
        queue: queues.FairQueue | None,
    ) -> schedulers.PoolScheduler:
        return schedulers.PoolScheduler(
            plan, bundle, clock, settings, queue=queue
        )

    def admit(self, admit: messages.Admit, reply: schedulers.Reply) -> None:
        """Asks for a placement."""
        self.scheduler.admit(admit, reply)

    def await_decode(
        self,
        placement: messages.Placement,
        expires_ms: int,
        reply: schedulers.Reply,
    ) -> None:
        """Asks for the decode endpoint."""
        self.scheduler.await_decode(
            placement.request, placement.attempt, expires_ms, reply
        )

    def prefill_done(self, placement: messages.Placement) -> None:
        """Reports the end of a prefill."""
        self.scheduler.prefill_done(placement.request, placement.attempt)

    def finish(
        self, placement: messages.Placement, finished: messages.Finished
    ) -> None:
        """Reports the end of an attempt."""
        self.scheduler.finish(finished)

    def apply_load(
        self, endpoint: str, load: protocols.EndpointLoad | None
    ) -> None:
        """Hands in a load report."""
        self.scheduler.apply_load(endpoint, load)

    def schedulers(self) -> list[schedulers.PoolScheduler]:
        """Returns the one scheduler."""
        return [self.scheduler]

    def tick(self, now_ms: int) -> None:
        """Lets time pass."""
        if self.scheduler.needs_tick(now_ms):
            self.scheduler.tick()


class PartitionPolicy:
    """Early binding: a queue for each pair of engines.

    A request is bound on arrival to the pair with fewest requests.
    """

    late_decode = False

    def __init__(self, bundle: models.Bundle, clock: clocks.Clock):
        settings = scheduling_settings.SchedulingSettings()
        by_place: dict[str, list[models.Endpoint]] = {}
        for endpoint in bundle.endpoints:
            by_place.setdefault(endpoint.place, []).append(endpoint)
        self._parts = {
            place: schedulers.PoolScheduler(
                plans.PoolPlan(
                    place,
                    'm',
                    place,
                    False,
                    endpoints,
                    bundle.models[0].kv_bytes_per_token,
                ),
                bundle,
                clock,
                settings,
            )
            for place, endpoints in by_place.items()
        }

    def admit(self, admit: messages.Admit, reply: schedulers.Reply) -> None:
        """Binds the request to a pair."""
        part = min(
            self._parts.values(),
            key=lambda p: p.waiting_count + len(p.table.running),
        )
        part.admit(admit, reply)

    def await_decode(
        self,
        placement: messages.Placement,
        expires_ms: int,
        reply: schedulers.Reply,
    ) -> None:
        """Never called: decode is bound early."""
        raise NotImplementedError

    def prefill_done(self, placement: messages.Placement) -> None:
        """Reports the end of a prefill."""
        part = self._parts[placement.pool]
        part.prefill_done(placement.request, placement.attempt)

    def finish(
        self, placement: messages.Placement, finished: messages.Finished
    ) -> None:
        """Reports the end of an attempt."""
        self._parts[placement.pool].finish(finished)

    def apply_load(
        self, endpoint: str, load: protocols.EndpointLoad | None
    ) -> None:
        """Hands in a load report."""
        for part in self._parts.values():
            part.apply_load(endpoint, load)

    def schedulers(self) -> list[schedulers.PoolScheduler]:
        """Returns the scheduler of each pair."""
        return list(self._parts.values())

    def tick(self, now_ms: int) -> None:
        """Lets time pass."""
        for part in self._parts.values():
            if part.needs_tick(now_ms):
                part.tick()


class LaggedPolicy:
    """Hosts choose alone, without reservations, by lagged load.

    :param choices: how many endpoints are compared; 1 is a random choice
    """

    late_decode = False

    def __init__(
        self,
        bundle: models.Bundle,
        clock: clocks.Clock,
        choices: int,
        seed: int,
    ):
        self._choices = choices
        self._random = random_module.Random(seed)
        self._loads: dict[str, protocols.EndpointLoad] = {}
        self._by_role = {
            role: [e.name for e in bundle.endpoints if role in e.roles]
            for role in (models.ROLE_PREFILL, models.ROLE_DECODE)
        }

    def admit(self, admit: messages.Admit, reply: schedulers.Reply) -> None:
        """Places at once."""
        reply(
            messages.Placement(
                admit.pool,
                admit.request,
                admit.attempt,
                self._choose(models.ROLE_PREFILL, admit.excluded),
                self._choose(models.ROLE_DECODE, admit.excluded),
                0,
                10_000,
                10_000,
                10_000,
                admit.prompt_tokens + admit.max_output_tokens,
                admit.workspace,
                admit.class_name,
            )
        )

    def _choose(self, role: str, excluded: list[str]) -> str:
        names = [n for n in self._by_role[role] if n not in excluded]
        names = names or self._by_role[role]
        drawn = self._random.sample(names, min(self._choices, len(names)))
        return min(drawn, key=self._load_of)

    def _load_of(self, name: str) -> int:
        load = self._loads.get(name)
        return load.slots_used if load else 0

    def await_decode(
        self,
        placement: messages.Placement,
        expires_ms: int,
        reply: schedulers.Reply,
    ) -> None:
        """Never called: decode is bound early."""
        raise NotImplementedError

    def prefill_done(self, placement: messages.Placement) -> None:
        """Ignored: nothing was reserved."""

    def finish(
        self, placement: messages.Placement, finished: messages.Finished
    ) -> None:
        """Ignored: nothing was reserved."""

    def apply_load(
        self, endpoint: str, load: protocols.EndpointLoad | None
    ) -> None:
        """Takes a load report."""
        if load is not None:
            self._loads[endpoint] = load

    def schedulers(self) -> list[schedulers.PoolScheduler]:
        """Returns nothing: there is no scheduler."""
        return []

    def tick(self, now_ms: int) -> None:
        """Does nothing: nothing waits."""


class InformedAdmission(admissions.Admission):
    """Refuses nothing early."""

    def refuse_hopeless(self, waiting: waitings.Waiting, now_ms: int) -> None:
        """Waits as long as there is any chance."""


class InformedBinder(binders.Binder):
    """Knows when each running answer ends.

    :ivar ends_ms: kept by the bench
    """

    ends_ms: dict[int, int]

    def expected_frees(self, busy: int, now_ms: int) -> float:
        """Returns how many slots will come free before results expire."""
        limit_ms = now_ms + self._settings.overlap_horizon_ms
        return sum(end_ms <= limit_ms for end_ms in self.ends_ms.values())


class InformedScheduler(schedulers.PoolScheduler):
    """A scheduler with perfect knowledge of what runs."""

    admission_class = InformedAdmission
    binder_class = InformedBinder


class InformedPolicy(SchedulerPolicy):
    """The reference: the ends of all running answers are known."""

    def _make(
        self,
        plan: plans.PoolPlan,
        bundle: models.Bundle,
        clock: clocks.Clock,
        settings: scheduling_settings.SchedulingSettings,
        queue: queues.FairQueue | None,
    ) -> schedulers.PoolScheduler:
        settings = scheduling_settings.SchedulingSettings(
            max_queued_per_workspace=100_000
        )
        return InformedScheduler(plan, bundle, clock, settings, queue=queue)
