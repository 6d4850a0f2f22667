"""Measures the slopes from which docs/CAPACITY.md is worked out.

Run as a module; writes docs/measurements/fleet.json.
"""

from concurrent import futures
import json
import pathlib
import sys
import time
import typing

from masticquay_bench import calls
from masticquay_bench import commits
from masticquay_bench import fleets
from masticquay_bench import loads
from masticquay_bench import runs
from masticquay_wire import records

FOLDER = pathlib.Path(__file__).parents[3] / 'docs' / 'measurements'
COMMAND = 'python -m masticquay_bench.slopes'
SEED = 1
SETTLE_S = 4.0
STREAMS = 105
STREAM_TOKENS = 300
STREAM_STEP_MS = 35
SHORT_CALLS = 600
SHORT_AT_ONCE = 12
EFFECT_CALLS = 300
EFFECTS_AT_ONCE = 8
MEGABYTE = 1024 * 1024


class Slope(records.Record):
    """A measured figure, and how to repeat it."""

    __slots__ = ('name', 'value', 'unit', 'command', 'seed', 'commit', 'note')

    def __init__(
        self,
        name: str,
        value: float,
        unit: str,
        command: str,
        seed: int,
        commit: str,
        note: str = '',
    ):
        self.name = name
        self.value = value
        self.unit = unit
        self.command = command
        self.seed = seed
        self.commit = commit
        self.note = note


class Meter:
    """Collects slopes of one commit."""

    def __init__(self) -> None:
        self.slopes: list[Slope] = []
        self._commit = commits.read_commit()

    def add(self, name: str, value: float, unit: str, note: str = '') -> None:
        """Adds a figure."""
        self.slopes.append(
            Slope(name, value, unit, COMMAND, SEED, self._commit, note)
        )
        print(f'{name} {value:.4g} {unit}', flush=True)

    def write(self, path: pathlib.Path) -> None:
        """Writes all figures as JSON."""
        values = [slope.to_wire() for slope in self.slopes]
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(values, indent=1) + '\n')


def measure_streams(meter: Meter) -> None:
    """Measures one entry host with many streams."""
    sizes = fleets.Sizes(1, 1, 3, 1, engine_slots=40)
    options = {'step_ms': STREAM_STEP_MS}
    rates = {'nairobi-proofs': (10_000_000, 10_000_000)}
    with fleets.Fleet(
        sizes=sizes, seed=SEED, engine_options=options, rates=rates
    ) as fleet:
        run = runs.Run(fleet, SEED)
        _complete(run, SHORT_AT_ONCE, SHORT_AT_ONCE, 2)
        base_bytes = fleet.entries[0].memory_bytes()
        spending = loads.Spending(fleet.entries)
        with futures.ThreadPoolExecutor(1) as pool:
            pending = pool.submit(
                _complete, run, STREAMS, STREAMS, STREAM_TOKENS
            )
            time.sleep(STREAM_TOKENS * STREAM_STEP_MS / 1000 * 0.8)
            stream_bytes = fleet.entries[0].memory_bytes() - base_bytes
            done = pending.result()
        cpu_s = spending.cpu_s()[0]
        tokens = sum(call.output_tokens for call in done)
        note = f'{STREAMS} streams at {STREAM_STEP_MS} ms, {tokens} tokens'
        meter.add('stream_us_per_token', cpu_s * 1e6 / tokens, 'us', note)
        meter.add('entry_bytes_per_stream', stream_bytes / STREAMS, 'B', note)
        meter.add('entry_base_mb', base_bytes / MEGABYTE, 'MB', note)
        _measure_short(meter, run)


def _measure_short(meter: Meter, run: runs.Run) -> None:
    spending = loads.Spending(run.fleet.entries)
    begin_s = time.monotonic()
    done = _complete(run, SHORT_CALLS, SHORT_AT_ONCE, 1)
    passed_s = time.monotonic() - begin_s
    note = f'{SHORT_CALLS} answers of one token, {SHORT_AT_ONCE} at once'
    cpu_us = spending.cpu_s()[0] * 1e6
    meter.add('entry_us_per_request', cpu_us / len(done), 'us', note)
    meter.add('entry_requests_per_s', len(done) / passed_s, '1/s', note)


def _complete(
    run: runs.Run, count: int, at_once: int, tokens: int
) -> list[calls.Call]:
    """Makes completions; all must end well."""
    caller = run.caller('nairobi-proofs')
    with futures.ThreadPoolExecutor(at_once) as pool:
        pending = [
            pool.submit(
                caller.complete,
                run.next_id(),
                run.fleet.deployment.model,
                tokens=tokens,
            )
            for _ in range(count)
        ]
        done = [future.result() for future in pending]
    return _all_good(done)


def measure_intents(meter: Meter) -> None:
    """Measures what a non-idempotent call costs control."""
    sizes = fleets.Sizes(3, 1, 1, 1)
    with fleets.Fleet(sizes=sizes, seed=SEED) as fleet:
        run = runs.Run(fleet, SEED)
        caller = run.caller('nairobi-proofs')
        time.sleep(SETTLE_S)
        controls = loads.Spending(fleet.controls)
        entries = loads.Spending(fleet.entries)
        begin_s = time.monotonic()
        with futures.ThreadPoolExecutor(EFFECTS_AT_ONCE) as pool:
            pending = [
                pool.submit(_call_effect, run, caller, number)
                for number in range(EFFECT_CALLS)
            ]
            done = _all_good([future.result() for future in pending])
        passed_s = time.monotonic() - begin_s
        shares = sorted(controls.cpu_s())
        note = (
            f'{len(done)} calls, {EFFECTS_AT_ONCE} at once, two records each'
        )
        leader_us = shares[-1] * 1e6 / len(done)
        meter.add('control_leader_us_per_intent', leader_us, 'us', note)
        follower_us = shares[0] * 1e6 / len(done)
        meter.add('control_follower_us_per_intent', follower_us, 'us', note)
        entry_us = entries.cpu_s()[0] * 1e6 / len(done)
        meter.add('entry_us_per_intent', entry_us, 'us', note)
        meter.add('intents_per_s', len(done) / passed_s, '1/s', note)


def _call_effect(run: runs.Run, caller: typing.Any, number: int) -> calls.Call:
    return caller.request(
        run.next_id(),
        'POST',
        run.fleet.deployment.effect_path,
        b'effect',
        idempotency_key=f'effect-{number}',
        idempotent=False,
    )


def _all_good(done: list[calls.Call]) -> list[calls.Call]:
    good = [call for call in done if call.end == calls.END_OK]
    if len(good) < len(done):
        bad = next(call for call in done if call.end != calls.END_OK)
        print(f'{len(done) - len(good)} of {len(done)} failed: {bad!r}')
    return good


def main() -> int:
    """Measures all slopes and writes them."""
    meter = Meter()
    measure_streams(meter)
    measure_intents(meter)
    meter.write(FOLDER / 'fleet.json')
    return 0


if __name__ == '__main__':
    sys.exit(main())
