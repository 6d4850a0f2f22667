"""Measures the scheduling decisions in scaled time against baselines."""

import sys
import typing

from masticquay_bench import decision_costs
from masticquay_bench import decision_policies
from masticquay_bench import decision_rates
from masticquay_bench import decision_runs
from masticquay_bench import decision_traces
from masticquay_bench import results

PREFIX = 'decisions.'
DURATION_MS = 240_000
QUICK_DURATION_MS = 60_000
SEEDS = 2
RATE_DURATION_MS = 240_000
PEAK_LOAD = 0.9
OVERLOAD = 1.5
SURGE_WORKSPACE = 'w3'
SURGE_FACTOR = 5.0
RATE_HOSTS = 9
SHARD_REQUESTS_PER_S = 70
COST_REPEATS = 3
COST_DURATION_S = 4.0
RATE_MEAN_TOKENS = 1_500

OURS = 'ours'
REFERENCE = 'informed'

POLICIES: dict[str, decision_runs.MakePolicy] = {
    OURS: decision_policies.SchedulerPolicy,
    REFERENCE: decision_policies.InformedPolicy,
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
    'random': lambda bundle, clock: decision_policies.LaggedPolicy(
        bundle, clock, 1, 1
    ),
    'two-choices': lambda bundle, clock: decision_policies.LaggedPolicy(
        bundle, clock, 2, 1
    ),
}


class Record:
    """One measured value.

    :param bound: the limit in words, empty when the value has none
    :param context: what was run
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
    """A load and faults under which the policies are compared."""

    __slots__ = ('name', 'load', 'surges', 'losses', 'host_loss')

    def __init__(
        self,
        name: str,
        load: float,
        surges: dict[str, float] | None = None,
        losses: list[str] | None = None,
        host_loss: bool = False,
    ):
        self.name = name
        self.load = load
        self.surges = surges or {}
        self.losses = losses or []
        self.host_loss = host_loss


SCENARIOS = [
    Scenario('peak', PEAK_LOAD),
    Scenario('surge', PEAK_LOAD, surges={SURGE_WORKSPACE: SURGE_FACTOR}),
    Scenario('overload', OVERLOAD),
    Scenario('loss', 0.6, losses=['decode1', 'prefill2']),
    Scenario('host-loss', PEAK_LOAD, host_loss=True),
]


class Bench:
    """Runs the scenarios and collects records."""

    def __init__(self, quick: bool, seed: int):
        self._duration_ms = QUICK_DURATION_MS if quick else DURATION_MS
        self._seeds = [seed] if quick else [seed + n for n in range(SEEDS)]
        self._bounds = {bound.metric: bound for bound in results.load_bounds()}
        self._compared = ['peak'] if quick else ['peak', 'overload']
        self.records: list[Record] = []

    def measure_pools(self) -> None:
        """Compares the policies on each deployment."""
        for deployment in (
            decision_traces.KALAMU_PAMOJA,
            decision_traces.BATANGAS,
        ):
            for scenario in SCENARIOS:
                self._measure_scenario(deployment, scenario)

    def measure_cost(self) -> None:
        """Measures a pool of twelve endpoints at 70 requests a second."""
        deployment = decision_traces.SHARD
        scenario = Scenario(
            'shard', SHARD_REQUESTS_PER_S / deployment.capacity_per_s()
        )
        measures = [
            self._run(deployment, scenario, OURS, self._seeds[0])
            for _ in range(COST_REPEATS)
        ]
        # Other work on the machine only ever adds to processor time.
        cpu_us = min(m.cpu_us for m in measures)
        context = (
            f'{measures[0].offered_total} requests, one of {len(measures)}'
        )
        self._add('shard.scheduler_cpu', cpu_us, 'us per request', context)
        # The wire's share is measured with the real service and links.
        owner_us = decision_costs.measure_owner_us(
            SHARD_REQUESTS_PER_S, COST_DURATION_S
        )
        self._add('shard.owner_cpu', owner_us, 'us per request', 'links too')
        self._add('shard.goodput', measures[0].goodput, 'share', context)

    def measure_rates(self) -> None:
        """Compares rate grants with one central bucket."""
        bundle = decision_traces.KALAMU_PAMOJA.make_bundle()
        charged = refused = sent = 0
        for workspace in bundle.workspaces:
            for seed in range(self._seeds[0], self._seeds[0] + SEEDS):
                run = decision_rates.RateRun(workspace, RATE_HOSTS, seed)
                run.run(RATE_DURATION_MS, RATE_MEAN_TOKENS)
                charged += run.charged
                refused += run.wrongly_refused
                sent += run.messages
        context = f'{RATE_HOSTS} hosts, {charged} charges'
        self._add(
            'rates.wrongful_refusals', refused / charged, 'share', context
        )
        self._add('rates.messages', sent / charged, 'per charge', context)

    def _measure_scenario(
        self, deployment: decision_traces.Deployment, scenario: Scenario
    ) -> None:
        compared = list(POLICIES)
        if scenario.name not in self._compared:
            compared = [OURS, REFERENCE]
        found = {
            name: [
                self._run(deployment, scenario, name, seed)
                for seed in self._seeds
            ]
            for name in compared
        }
        prefix = f'{deployment.name}.{scenario.name}'
        context = (
            f'load {scenario.load}, {self._duration_ms} ms, '
            f'seeds {self._seeds}'
        )
        for name, measures in found.items():
            self._add_policy(f'{prefix}.{name}', measures, context, scenario)
        ratio = _mean(m.goodput for m in found[OURS])
        ratio /= _mean(m.goodput for m in found[REFERENCE])
        self._add(f'{prefix}.goodput_to_reference', ratio, 'share', context)

    def _run(
        self,
        deployment: decision_traces.Deployment,
        scenario: Scenario,
        policy: str,
        seed: int,
    ) -> decision_runs.Measures:
        trace = decision_traces.make_trace(
            deployment, self._duration_ms, scenario.load, seed, scenario.surges
        )
        third_ms = self._duration_ms // 3
        losses = [
            (name, third_ms + 5_000 * number, 15_000)
            for number, name in enumerate(scenario.losses)
        ]
        host_loss_ms = third_ms if scenario.host_loss else None
        run = decision_runs.Run(
            deployment, POLICIES[policy], trace, seed, losses, host_loss_ms
        )
        classes = deployment.make_bundle().classes
        return decision_runs.Measures(run.run(), classes)

    def _add_policy(
        self,
        prefix: str,
        measures: list[decision_runs.Measures],
        context: str,
        scenario: Scenario,
    ) -> None:
        except_for = next(iter(scenario.surges), '')
        values = {
            'goodput': (_mean(m.goodput for m in measures), 'share'),
            'worst_workspace': (
                min(m.worst_served(except_for) for m in measures),
                'share',
            ),
            'refused': (_mean(m.refusal_share for m in measures), 'share'),
            'wasted_prefill': (
                _mean(m.wasted_share for m in measures),
                'share',
            ),
            'duplicates': (sum(m.duplicates for m in measures), 'runs'),
            'scheduler_cpu': (
                _mean(m.cpu_us for m in measures),
                'us per request',
            ),
        }
        if scenario.host_loss:
            values['orphaned'] = (
                max(m.longest_orphan_ms for m in measures),
                'ms',
            )
            values['orphaned_total'] = (
                sum(m.orphaned_ms for m in measures) / 1000,
                'slot seconds',
            )
        for name, (value, unit) in values.items():
            self._add(f'{prefix}.{name}', value, unit, context)

    def _add(self, name: str, value: float, unit: str, context: str) -> None:
        bound = self._bounds.get(PREFIX + name)
        text = str(bound) if bound is not None else ''
        self.records.append(Record(name, value, unit, text, context))


def _mean(values: typing.Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found)


def run(quick: bool, seed: int) -> list[Record]:
    """Measures everything."""
    bench = Bench(quick, seed)
    bench.measure_pools()
    bench.measure_cost()
    bench.measure_rates()
    return bench.records


def main() -> int:
    """Prints all records; returns 1 when a bound is missed."""
    quick = '--quick' in sys.argv[1:]
    seeds = [word for word in sys.argv[1:] if word.isdigit()]
    bounds = {bound.metric: bound for bound in results.load_bounds()}
    missed = 0
    for record in run(quick, int(seeds[0]) if seeds else 1):
        bound = bounds.get(PREFIX + record.name)
        mark = ''
        if bound is not None:
            held = bound.judge(record.value)
            missed += not held
            mark = f'  [{record.bound}]' + ('' if held else ' MISSED')
        print(f'{record.name} {record.value:.4f} {record.unit}{mark}')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
