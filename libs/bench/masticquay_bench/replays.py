"""Replays a trace through real processes and checks its stated outcomes."""

import pathlib
import time

from masticquay_bench import checkers
from masticquay_bench import directors
from masticquay_bench import drivers
from masticquay_bench import evidence
from masticquay_bench import fleets
from masticquay_bench import runs
from masticquay_bench import summaries
from masticquay_bench import traces
from masticquay_bench import usage_checks

# The judgement needs the memory of the last calls to be free again.
SETTLE_S = 4.0
# A surge has spent the burst after this time.
BURST_S = 3.0


class Replay:
    """What a replay found.

    :param failures: outcomes that were not met, and events that failed
    """

    __slots__ = (
        'name',
        'seed',
        'metrics',
        'histograms',
        'verdicts',
        'failures',
    )

    def __init__(
        self,
        name: str,
        seed: int,
        metrics: dict[str, float],
        histograms: dict[str, dict],
        verdicts: list[checkers.Verdict],
        failures: list[str],
    ):
        self.name = name
        self.seed = seed
        self.metrics = metrics
        self.histograms = histograms
        self.verdicts = verdicts
        self.failures = failures

    @property
    def held(self) -> bool:
        """Whether all outcomes were met and all promises kept."""
        return not self.failures and all(v.held for v in self.verdicts)


def replay(
    trace: traces.Trace, seed: int, folder: pathlib.Path | None = None
) -> Replay:
    """Starts a fleet, replays the trace, and judges what came of it.

    :param folder: where calls, journals and logs are kept
    """
    sizes = fleets.Sizes(engine_slots=trace.values['engine_slots'])
    options = {'step_ms': trace.values['step_ms']}
    with fleets.Fleet(
        trace.deployment, sizes, seed, options, trace.rates()
    ) as fleet:
        run = runs.Run(fleet, seed)
        director = directors.Director(run, trace.events())
        director.start()
        drivers.Driver(run, trace.arrivals(seed)).run()
        director.stop()
        time.sleep(SETTLE_S)
        found = run.collect()
        failures = director.failures + usage_checks.check_fleet(
            fleet, found.calls
        )
        if folder is not None:
            run.save(folder)
    return judge(trace, seed, found, failures)


def judge(
    trace: traces.Trace,
    seed: int,
    found: evidence.Evidence,
    failures: list[str],
) -> Replay:
    """Measures a finished run and compares it with the stated outcomes."""
    metrics = measure(trace, found)
    missed = [
        describe_miss(name, metrics, limits)
        for name, limits in trace.values['outcomes'].items()
    ]
    return Replay(
        trace.name,
        seed,
        metrics,
        summaries.make_histograms(found.calls),
        checkers.judge(found),
        failures + [text for text in missed if text],
    )


def measure(trace: traces.Trace, found: evidence.Evidence) -> dict[str, float]:
    """Returns the measures of a run."""
    targets = {
        'standard': summaries.Targets(490, 35),
        'prompt': summaries.Targets(490, 35),
    }
    metrics = summaries.summarize(found, targets)
    special = {surge.get('workspace') for surge in trace.values['surges']}
    special |= {mark.subject.partition('/')[0] for mark in found.marks}
    others = [
        call
        for call in found.calls
        if call.may_run and call.workspace not in special
    ]
    by_workspace = summaries.goodput_by_workspace(others, targets)
    metrics['other_workspaces_goodput'] = min(
        by_workspace.values(), default=1.0
    )
    metrics.update(measure_surges(trace, found))
    metrics['withdrawal_ms'] = directors.longest_ms(
        found.marks, evidence.MARK_WITHDRAWN
    )
    metrics['roll_ms'] = directors.longest_ms(
        found.marks, evidence.MARK_ROLLED
    )
    return metrics


def measure_surges(
    trace: traces.Trace, found: evidence.Evidence
) -> dict[str, float]:
    """Returns the least use of its rate by a workspace in a surge."""
    started_ms = min((call.due_ms for call in found.calls), default=0.0)
    uses = [
        summaries.rate_use(
            found,
            surge['workspace'],
            started_ms + (surge['from_s'] + BURST_S) * 1000,
            started_ms + surge['to_s'] * 1000,
        )
        for surge in trace.values['surges']
        if 'workspace' in surge
    ]
    return {'surge_rate_use': min(uses)} if uses else {}


def describe_miss(
    name: str, metrics: dict[str, float], limits: dict[str, float]
) -> str:
    """Says how a measure lies outside its limits, empty when it does not."""
    if name not in metrics:
        return f'{name} was not measured'
    value = metrics[name]
    if value < limits.get('least', float('-inf')):
        return f'{name} is {value:.4g}, least {limits["least"]:.4g}'
    if value > limits.get('most', float('inf')):
        return f'{name} is {value:.4g}, most {limits["most"]:.4g}'
    return ''


def format_replay(done: Replay) -> str:
    """Writes what a replay found as text."""
    lines = [f'trace {done.name}, seed {done.seed}']
    lines += [
        f'  {name:28} {value:.4g}' for name, value in done.metrics.items()
    ]
    lines += [
        f'  {label:44} p50 {found["p50_ms"]:.0f} ms, '
        f'p95 {found["p95_ms"]:.0f} ms, p99 {found["p99_ms"]:.0f} ms'
        for label, found in done.histograms.items()
    ]
    lines.append(checkers.format_verdicts(done.verdicts))
    lines += [f'MISSED {text}' for text in done.failures]
    lines.append('held' if done.held else 'NOT held')
    return '\n'.join(lines)
