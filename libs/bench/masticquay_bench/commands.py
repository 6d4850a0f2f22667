"""The program ``masticquay-bench``: run, replay, soak."""

from concurrent import futures
import importlib
import multiprocessing
import os
import pathlib
import pkgutil
import sys

from absl import app
from absl import flags

import masticquay_bench
from masticquay_bench import commits
from masticquay_bench import errors
from masticquay_bench import loads
from masticquay_bench import replays
from masticquay_bench import reports
from masticquay_bench import results
from masticquay_bench import soaks
from masticquay_bench import traces

EXIT_FAILED = 1
EXIT_USAGE = 2
PARTS_SUFFIX = '_benches'
DECISIONS = 'decisions'
USAGE = """usage: masticquay-bench [flags] COMMAND
  run             measure decisions, parts and a fleet under load
  replay TRACE    replay a trace through real processes (all: every one)
  traces          list the traces that are shipped
  soak            a fleet under load and faults"""

_QUICK = flags.DEFINE_bool('quick', False, 'Run a short bench.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of arrivals and faults.')
_DURATION_S = flags.DEFINE_float('duration_s', 60, 'Length of a soak.', 1)
_OUTPUT = flags.DEFINE_string('output', 'bench-result', 'Folder of results.')
_KEEP = flags.DEFINE_string('keep', '', 'Folder that keeps records and logs.')
_EARLIER = flags.DEFINE_string('earlier', '', 'Earlier result to compare.')


def list_parts() -> list[str]:
    """Returns the names of the modules that measure single parts."""
    found = pkgutil.iter_modules(masticquay_bench.__path__)
    names = [module.name for module in found]
    return sorted(name for name in names if name.endswith(PARTS_SUFFIX))


def run_bench() -> int:
    """Runs everything, writes the result, and judges it by the bounds.

    The decisions run in scaled time in a process of their own, beside the
    fleets. A quick bench leaves out the parts, which take a fleet each.
    """
    bounds = results.load_bounds()
    result = results.Result(make_context())
    spawn = multiprocessing.get_context('spawn')
    with futures.ProcessPoolExecutor(1, mp_context=spawn) as pool:
        decisions = pool.submit(
            measure_part, DECISIONS, _QUICK.value, _SEED.value
        )
        for name in [] if _QUICK.value else list_parts():
            print(f'{name} ...', flush=True)
            _add_part(result, name)
        print('load on a fleet', flush=True)
        loads.measure_load(
            result, _QUICK.value, _SEED.value, _keep_folder('load')
        )
        print('waiting for decisions', flush=True)
        result.add(DECISIONS, decisions.result())
    return finish(result, bounds)


def _add_part(result: results.Result, name: str) -> None:
    """Measures a part; a failure is noted and the rest goes on."""
    try:
        measured = measure_part(name, _QUICK.value, _SEED.value)
    except (errors.BenchError, OSError) as cause:
        result.failures.append(f'{name}: {cause}')
        return
    result.add(name.removesuffix(PARTS_SUFFIX), measured)


def measure_part(name: str, quick: bool, seed: int) -> dict[str, float]:
    """Runs the bench of a module and returns its values by name."""
    module = importlib.import_module(f'masticquay_bench.{name}')
    if hasattr(module, 'run'):
        measured = module.run(quick, seed)
    else:
        measured = module.run_all()
    return {record.name: record.value for record in measured}


def finish(result: results.Result, bounds: list[results.Bound]) -> int:
    """Writes a result and returns the exit code."""
    folder = pathlib.Path(_OUTPUT.value)
    folder.mkdir(parents=True, exist_ok=True)
    load = os.getloadavg()[1]
    result.context['load average of the last 5 minutes'] = f'{load:.1f}'
    earlier = None
    if _EARLIER.value:
        earlier = results.Result.read(pathlib.Path(_EARLIER.value))
    misses = results.find_misses(result, bounds) + result.failures
    if earlier is not None:
        misses += results.compare(result, earlier, bounds)
    result.write(folder / 'result.json')
    page = reports.render_markdown(result, bounds, earlier)
    (folder / 'result.md').write_text(page)
    reports.plot_latencies(result, folder / 'latencies.png')
    print(page)
    for name in results.find_unmeasured(result, bounds):
        print(f'not run: {name}')
    for text in misses:
        print(f'MISSED {text}')
    return EXIT_FAILED if misses else 0


def make_context() -> dict[str, str]:
    """Returns what a reader needs to repeat the run."""
    return {
        'command': commits.describe_command(
            ['masticquay-bench', *sys.argv[1:]]
        ),
        'seed': str(_SEED.value),
        'commit': commits.read_commit(),
        'cores': str(os.cpu_count()),
        'load average at the start': f'{os.getloadavg()[0]:.1f}',
    }


def replay_traces(names: list[str]) -> int:
    """Replays traces and returns the exit code."""
    failed = []
    for name in names:
        trace = traces.load(name)
        print(f'replaying {trace.name}', flush=True)
        done = replays.replay(trace, _SEED.value, _keep_folder(trace.name))
        print(replays.format_replay(done), flush=True)
        if not done.held:
            failed.append(trace.name)
    if failed:
        print(f'not held: {", ".join(failed)}')
    return EXIT_FAILED if failed else 0


def _keep_folder(name: str) -> pathlib.Path | None:
    return pathlib.Path(_KEEP.value, name) if _KEEP.value else None


def main(arguments: list[str]) -> int:
    """Runs the command that the command line names."""
    words = arguments[1:]
    try:
        if words == ['run']:
            return run_bench()
        if words[:1] == ['replay'] and len(words) > 1:
            names = traces.list_names() if words[1] == 'all' else words[1:]
            return replay_traces(names)
        if words == ['traces']:
            print('\n'.join(traces.list_names()))
            return 0
        if words == ['soak']:
            return soaks.soak(
                _DURATION_S.value, _SEED.value, _keep_folder('soak')
            )
    except errors.BenchError as cause:
        print(cause, file=sys.stderr)
        return EXIT_FAILED
    print(USAGE, file=sys.stderr)
    return EXIT_USAGE


def run() -> None:
    """Entry point of the installed script."""
    app.run(main)


if __name__ == '__main__':
    run()
