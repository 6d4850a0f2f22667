"""Compares the scheduler with baseline policies in simulated time.

Run as a module, it prints all measurements and checks them against the bounds.
Arguments: ``--quick`` for a short run, and the seed.
"""

import sys
import typing

from masticquay_bench import decision_costs
from masticquay_bench import decision_policies
from masticquay_bench import decision_rates
from masticquay_bench import decision_runs
from masticquay_bench import decision_statistics
from masticquay_bench import decision_traces
from masticquay_bench import results

METRIC_PREFIX = 'decisions.'
DURATION_MS = 240_000
QUICK_DURATION_MS = 60_000
SEED_COUNT = 2
RATE_DURATION_MS = 240_000
# Loads are multiples of the deployment's capacity.
PEAK_LOAD = 0.9
OVERLOAD_FACTOR = 1.5
SURGE_WORKSPACE = 'w3'
SURGE_FACTOR = 5.0
RATE_HOSTS = 9
SHARD_REQUESTS_PER_S = 70
COST_REPEATS = 3
COST_DURATION_S = 4.0
RATE_MEAN_TOKENS = 1_500

# Names of the router's own policy and of the policy it is compared with.
OWN_POLICY = 'ours'
REFERENCE_POLICY = 'informed'

POLICIES: dict[str, decision_runs.MakePolicy] = {
    OWN_POLICY: decision_policies.SchedulerPolicy,
    REFERENCE_POLICY: decision_policies.InformedPolicy,
    'slot-before-prefill': lambda bundle, clock: (
        decision_policies.SchedulerPolicy(bundle, clock, late_decode=False)
    ),
    'early-binding': decision_policies.PartitionPolicy,
    'fifo': lambda bundle, clock: decision_policies.SchedulerPolicy(
        bundle, clock, fifo=True
    ),
    'no-affinity': lambda bundle, clock: decision_policies.SchedulerPolicy(
        bundle, clock, affinity=False
    ),
    'random': lambda bundle, clock: decision_policies.SampledChoicePolicy(
        bundle, clock, 1, 1
    ),
    'two-choices': lambda bundle, clock: decision_policies.SampledChoicePolicy(
        bundle, clock, 2, 1
    ),
}


class Measurement:
    """A measured value with its bound.

    :param bound: the bound as text, empty if the value has none
    :param context: the parameters of the measurement
    """

    __slots__ = ('name', 'value', 'unit', 'bound', 'context')

    def __init__(
        self, name: str, value: float, unit: str, bound: str, context: str
    ):
        self.name = name
        self.value = value
        self.unit = unit
        self.bound = bound
        self.context = context


class Scenario:
    """A load and the faults under which the policies are compared.

    :param load: offered load, as a multiple of the deployment's capacity
    :param surges: by workspace, the factor by which it exceeds its share
    :param lost_engines: engines that fail for a while
    :param host_loss: whether a host fails for good
    """

    __slots__ = ('name', 'load', 'surges', 'lost_engines', 'host_loss')

    def __init__(
        self,
        name: str,
        load: float,
        surges: dict[str, float] | None = None,
        lost_engines: list[str] | None = None,
        host_loss: bool = False,
    ):
        self.name = name
        self.load = load
        self.surges = surges or {}
        self.lost_engines = lost_engines or []
        self.host_loss = host_loss


SCENARIOS = [
    Scenario('peak', PEAK_LOAD),
    Scenario('surge', PEAK_LOAD, surges={SURGE_WORKSPACE: SURGE_FACTOR}),
    Scenario('overload', OVERLOAD_FACTOR),
    Scenario('loss', 0.6, lost_engines=['decode1', 'prefill2']),
    Scenario('host-loss', PEAK_LOAD, host_loss=True),
]


class Bench:
    """Runs the simulations and collects the measurements."""

    def __init__(self, quick: bool, seed: int):
        self._duration_ms = QUICK_DURATION_MS if quick else DURATION_MS
        self._seeds = (
            [seed] if quick else [seed + n for n in range(SEED_COUNT)]
        )
        self._bounds = {bound.metric: bound for bound in results.load_bounds()}
        # Other scenarios only run OWN_POLICY and REFERENCE_POLICY.
        self._fully_compared = ['peak'] if quick else ['peak', 'overload']
        self.measurements: list[Measurement] = []

    def measure_scenarios(self) -> None:
        """Compares the policies in every scenario on each deployment."""
        for deployment in (
            decision_traces.KALAMU_PAMOJA,
            decision_traces.BATANGAS,
        ):
            for scenario in SCENARIOS:
                self._compare_policies(deployment, scenario)

    def measure_shard(self) -> None:
        """Measures a pool shard of 12 endpoints at 70 requests a second."""
        deployment = decision_traces.SHARD
        scenario = Scenario(
            'shard', SHARD_REQUESTS_PER_S / deployment.capacity_per_s()
        )
        statistics = [
            self._run(deployment, scenario, OWN_POLICY, self._seeds[0])
            for _ in range(COST_REPEATS)
        ]
        # Other load on the machine can only increase the processor time.
        cpu_us = min(m.cpu_us for m in statistics)
        context = (
            f'{statistics[0].offered_total} requests in each of '
            f'{len(statistics)} runs'
        )
        self._add('shard.scheduler_cpu', cpu_us, 'us per request', context)
        # Includes the cost of the links, which the simulation leaves out.
        owner_cpu_us = decision_costs.measure_owner_cpu_us(
            SHARD_REQUESTS_PER_S, COST_DURATION_S
        )
        self._add(
            'shard.owner_cpu',
            owner_cpu_us,
            'us per request',
            'including links',
        )
        self._add('shard.goodput', statistics[0].goodput, 'share', context)

    def measure_rates(self) -> None:
        """Compares rate grants with a single central token bucket."""
        bundle = decision_traces.KALAMU_PAMOJA.make_bundle()
        charge_count = refusal_count = message_count = 0
        for workspace in bundle.workspaces:
            for seed in range(self._seeds[0], self._seeds[0] + SEED_COUNT):
                simulation = decision_rates.RateSimulation(
                    workspace, RATE_HOSTS, seed
                )
                simulation.run(RATE_DURATION_MS, RATE_MEAN_TOKENS)
                charge_count += simulation.charge_count
                refusal_count += simulation.wrongful_refusals
                message_count += simulation.message_count
        context = f'{RATE_HOSTS} hosts, {charge_count} charges'
        self._add(
            'rates.wrongful_refusals',
            refusal_count / charge_count,
            'share',
            context,
        )
        self._add(
            'rates.messages',
            message_count / charge_count,
            'per charge',
            context,
        )

    def _compare_policies(
        self, deployment: decision_traces.Deployment, scenario: Scenario
    ) -> None:
        """Adds the statistics of each policy, and the ratio of goodputs."""
        policies = list(POLICIES)
        if scenario.name not in self._fully_compared:
            policies = [OWN_POLICY, REFERENCE_POLICY]
        by_policy = {
            name: [
                self._run(deployment, scenario, name, seed)
                for seed in self._seeds
            ]
            for name in policies
        }
        prefix = f'{deployment.name}.{scenario.name}'
        context = (
            f'load {scenario.load}, {self._duration_ms} ms, '
            f'seeds {self._seeds}'
        )
        for name, statistics in by_policy.items():
            self._add_statistics(
                f'{prefix}.{name}', statistics, context, scenario
            )
        ratio = _mean(m.goodput for m in by_policy[OWN_POLICY])
        ratio /= _mean(m.goodput for m in by_policy[REFERENCE_POLICY])
        self._add(f'{prefix}.goodput_to_reference', ratio, 'share', context)

    def _run(
        self,
        deployment: decision_traces.Deployment,
        scenario: Scenario,
        policy: str,
        seed: int,
    ) -> decision_statistics.RunStatistics:
        """Simulates one scenario under one policy."""
        trace = decision_traces.make_trace(
            deployment, self._duration_ms, scenario.load, seed, scenario.surges
        )
        # Faults begin after a third of the run. Engines fail 5 s apart, for
        # 15 s each.
        fault_ms = self._duration_ms // 3
        lost_engines = [
            (name, fault_ms + 5_000 * number, 15_000)
            for number, name in enumerate(scenario.lost_engines)
        ]
        host_loss_ms = fault_ms if scenario.host_loss else None
        simulation = decision_runs.Simulation(
            deployment,
            POLICIES[policy],
            trace,
            seed,
            lost_engines,
            host_loss_ms,
        )
        classes = deployment.make_bundle().classes
        return decision_statistics.RunStatistics(simulation.run(), classes)

    def _add_statistics(
        self,
        prefix: str,
        statistics: list[decision_statistics.RunStatistics],
        context: str,
        scenario: Scenario,
    ) -> None:
        """Adds the measurements of one policy, over all seeds."""
        surging_workspace = next(iter(scenario.surges), '')
        values = {
            'goodput': (_mean(m.goodput for m in statistics), 'share'),
            'worst_workspace': (
                min(
                    m.worst_workspace_goodput(surging_workspace)
                    for m in statistics
                ),
                'share',
            ),
            'refused': (_mean(m.refusal_share for m in statistics), 'share'),
            'wasted_prefill': (
                _mean(m.wasted_share for m in statistics),
                'share',
            ),
            'duplicates': (sum(m.duplicates for m in statistics), 'runs'),
            'scheduler_cpu': (
                _mean(m.cpu_us for m in statistics),
                'us per request',
            ),
        }
        if scenario.host_loss:
            values['orphaned'] = (
                max(m.longest_orphaned_ms for m in statistics),
                'ms',
            )
            values['orphaned_total'] = (
                sum(m.total_orphaned_ms for m in statistics) / 1000,
                'slot seconds',
            )
        for name, (value, unit) in values.items():
            self._add(f'{prefix}.{name}', value, unit, context)

    def _add(self, name: str, value: float, unit: str, context: str) -> None:
        bound = self._bounds.get(METRIC_PREFIX + name)
        bound_text = str(bound) if bound is not None else ''
        self.measurements.append(
            Measurement(name, value, unit, bound_text, context)
        )


def _mean(values: typing.Iterable[float]) -> float:
    numbers = list(values)
    return sum(numbers) / len(numbers)


def run(quick: bool, seed: int) -> list[Measurement]:
    """Runs all simulations and returns the measurements."""
    bench = Bench(quick, seed)
    bench.measure_scenarios()
    bench.measure_shard()
    bench.measure_rates()
    return bench.measurements


def main() -> int:
    """Prints all measurements; returns 1 if a bound is missed."""
    quick = '--quick' in sys.argv[1:]
    seeds = [word for word in sys.argv[1:] if word.isdigit()]
    bounds = {bound.metric: bound for bound in results.load_bounds()}
    missed = 0
    for measurement in run(quick, int(seeds[0]) if seeds else 1):
        bound = bounds.get(METRIC_PREFIX + measurement.name)
        suffix = ''
        if bound is not None:
            met = bound.is_met(measurement.value)
            missed += not met
            suffix = f'  [{measurement.bound}]' + ('' if met else ' MISSED')
        print(
            f'{measurement.name} {measurement.value:.4f} '
            f'{measurement.unit}{suffix}'
        )
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
