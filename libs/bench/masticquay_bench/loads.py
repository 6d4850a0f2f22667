"""A load run on a fleet, with what its processes spent."""

import pathlib
import time

from masticquay_bench import checkers
from masticquay_bench import directors
from masticquay_bench import drivers
from masticquay_bench import fleets
from masticquay_bench import processes
from masticquay_bench import replays
from masticquay_bench import results
from masticquay_bench import runs
from masticquay_bench import summaries
from masticquay_bench import traces

LONG_S = 90.0
QUICK_S = 15.0
RATE_PER_S = 20.0
MEGABYTE = 1024 * 1024
EVENT_SHARE = 0.5


class Spending:
    """Processor time and memory of a group of processes over a run."""

    __slots__ = ('_group', '_begin_cpu_s', '_begin_s', '_begin_bytes')

    def __init__(self, group: list[processes.Process]):
        self._group = group
        self._begin_cpu_s = [process.cpu_s() for process in group]
        self._begin_bytes = [process.memory_bytes() for process in group]
        self._begin_s = time.monotonic()

    def cpu_s(self) -> list[float]:
        """Returns the processor time of each process since the start."""
        return [
            process.cpu_s() - before
            for process, before in zip(
                self._group, self._begin_cpu_s, strict=True
            )
        ]

    def most_core_share(self) -> float:
        """Returns the share of a core of the process that used most."""
        passed_s = time.monotonic() - self._begin_s
        return max(self.cpu_s()) / passed_s

    def most_growth_mb(self) -> float:
        """Returns the growth of memory of the process that grew most."""
        return max(
            (process.memory_bytes() - before) / MEGABYTE
            for process, before in zip(
                self._group, self._begin_bytes, strict=True
            )
        )

    def most_memory_mb(self) -> float:
        """Returns the memory of the largest process."""
        return max(p.memory_bytes() for p in self._group) / MEGABYTE


def make_trace(quick: bool) -> traces.Trace:
    """Returns the load of the bench, with a roll and a withdrawal."""
    duration_s = QUICK_S if quick else LONG_S
    middle_s = duration_s * EVENT_SHARE
    return traces.Trace(
        {
            'name': 'load',
            'deployment': 'kalamu',
            'duration_s': duration_s,
            'rate_per_s': RATE_PER_S,
            'events': [
                {'at_s': middle_s, 'kind': 'roll'},
                {
                    'at_s': middle_s + 2,
                    'kind': 'withdraw',
                    'workspace': 'evening-shift',
                    'key_number': 1,
                },
            ],
        }
    )


def measure_load(
    result: results.Result,
    quick: bool,
    seed: int,
    folder: pathlib.Path | None = None,
) -> None:
    """Loads a fleet, and adds metrics, histograms and broken promises.

    :param folder: where calls, journals and logs are kept
    """
    trace = make_trace(quick)
    with fleets.Fleet(trace.deployment, seed=seed) as fleet:
        run = runs.Run(fleet, seed)
        director = directors.Director(run, trace.events())
        entries = Spending(fleet.entries)
        controls = Spending(fleet.controls)
        director.start()
        drivers.Driver(run, trace.arrivals(seed)).run()
        director.stop()
        spent_s = sum(entries.cpu_s())
        spending = {
            'entry_core_share': entries.most_core_share(),
            'entry_memory_mb': entries.most_memory_mb(),
            'control_core_share': controls.most_core_share(),
            'control_growth_mb': controls.most_growth_mb(),
            'control_memory_mb': controls.most_memory_mb(),
        }
        time.sleep(replays.SETTLE_S)
        found = run.collect()
        if folder is not None:
            run.save(folder)
    metrics = replays.measure(trace, found)
    tokens = max(1, metrics['output_tokens'])
    spending['entry_us_per_token'] = spent_s * 1e6 / tokens
    result.add('load', {**metrics, **spending})
    result.histograms.update(summaries.make_histograms(found.calls))
    result.failures += director.failures
    for verdict in checkers.judge(found):
        result.failures += [
            f'{verdict.name}: {text}' for text in verdict.violations
        ]
