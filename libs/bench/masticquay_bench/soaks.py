"""Soak: a fleet under load with a seeded schedule of faults."""

import pathlib
import random
import threading
import time
import typing

from masticquay_bench import directors
from masticquay_bench import drivers
from masticquay_bench import errors
from masticquay_bench import fleets
from masticquay_bench import replays
from masticquay_bench import runs
from masticquay_bench import traces
from masticquay_bench import usage_checks

RATE_PER_S = 6
FIRST_FAULT_S = 5.0
FAULT_GAP_S = (2.0, 6.0)
PAUSE_S = (1.0, 8.0)
DOWN_S = (1.0, 6.0)
STALL_MS = (500, 4_000)
# Fewer hosts than this stay up, and faults wait.
LEAST_ENTRIES = 4


class Soak:
    """Makes faults one after another until the load has ended.

    At most one control host is away at a time, so that a quorum stays.
    """

    def __init__(self, run: runs.Run, seed: int):
        self._run = run
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._away: set[str] = set()
        self._lock = threading.Lock()
        self._withdrawn = 0
        self._thread = threading.Thread(target=self._act, daemon=True)
        self.counts: dict[str, int] = {}
        self.failures: list[str] = []

    def start(self) -> None:
        """Starts to make faults."""
        self._thread.start()

    def stop(self) -> None:
        """Ends, once everything that is away is back."""
        self._stopped.set()
        self._thread.join()
        for thread in self._threads:
            thread.join()

    def _act(self) -> None:
        kinds: list[tuple[str, typing.Callable[[], None]]] = [
            ('kill-entry', self._kill_entry),
            ('drain-entry', self._drain_entry),
            ('pause-entry', self._pause_entry),
            ('kill-control', self._kill_control),
            ('pause-control', self._pause_control),
            ('silence-control', self._silence_control),
            ('kill-engine', self._kill_engine),
            ('stall-engine', self._stall_engine),
            ('faulty-engine', self._make_engine_faulty),
            ('leaving', self._list_leaving),
            ('withdraw', self._withdraw),
            ('roll', self._run.roll),
        ]
        delay_s = FIRST_FAULT_S
        deck: list[tuple[str, typing.Callable[[], None]]] = []
        while not self._stopped.wait(delay_s):
            # Each kind comes once before any comes again.
            if not deck:
                deck = self._rng.sample(kinds, len(kinds))
            name, act = deck.pop()
            delay_s = self._rng.uniform(*FAULT_GAP_S)
            self.counts[name] = self.counts.get(name, 0) + 1
            print(f'  fault {name}', flush=True)
            self._start_thread(name, act)

    def _start_thread(self, name: str, act: typing.Callable) -> None:
        def run() -> None:
            try:
                act()
            except (errors.BenchError, OSError) as cause:
                self.failures.append(f'{name}: {cause}')

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _take(self, group: str, count: int, least_up: int) -> int | None:
        """Picks one of a group that is up, None when too few are."""
        with self._lock:
            up = [n for n in range(count) if f'{group}-{n}' not in self._away]
            if len(up) <= least_up:
                return None
            number = self._rng.choice(up)
            self._away.add(f'{group}-{number}')
            return number

    def _put_back(self, group: str, number: int) -> None:
        with self._lock:
            self._away.discard(f'{group}-{number}')

    def _sleep(self, bounds_s: tuple[float, float]) -> None:
        self._stopped.wait(self._rng.uniform(*bounds_s))

    def _with_entry(self, act: typing.Callable[[int], None]) -> None:
        count = len(self._run.fleet.entries)
        number = self._take('entry', count, LEAST_ENTRIES)
        if number is None:
            return
        act(number)
        self._put_back('entry', number)

    def _kill_entry(self) -> None:
        def act(number: int) -> None:
            self._run.kill_entry(number)
            self._sleep(DOWN_S)
            self._run.restart_entry(number)

        self._with_entry(act)

    def _drain_entry(self) -> None:
        def act(number: int) -> None:
            self._run.drain_entry(number)
            self._run.restart_entry(number)

        self._with_entry(act)

    def _pause_entry(self) -> None:
        def act(number: int) -> None:
            self._run.retired.add(number)
            self._run.fleet.entries[number].pause()
            self._sleep(PAUSE_S)
            self._run.fleet.entries[number].unpause()
            self._run.retired.discard(number)

        self._with_entry(act)

    def _with_control(self, act: typing.Callable[[int], None]) -> None:
        count = len(self._run.fleet.controls)
        number = self._take('control', count, count - 1)
        if number is None:
            return
        act(number)
        self._put_back('control', number)

    def _kill_control(self) -> None:
        def act(number: int) -> None:
            process = self._run.fleet.controls[number]
            process.kill()
            self._sleep(DOWN_S)
            process.start()
            process.wait_ready()

        self._with_control(act)

    def _pause_control(self) -> None:
        def act(number: int) -> None:
            process = self._run.fleet.controls[number]
            process.pause()
            self._sleep(PAUSE_S)
            process.unpause()

        self._with_control(act)

    def _silence_control(self) -> None:
        """Makes the open connections to one control host silent."""
        self._rng.choice(self._run.fleet.forwarders).silence()

    def _kill_engine(self) -> None:
        count = len(self._run.fleet.engines)
        number = self._take('engine', count, count - 2)
        if number is None:
            return
        self._run.kill_engine(number)
        self._sleep(DOWN_S)
        self._run.restart_engine(number)
        self._put_back('engine', number)

    def _set_engine_faults(self, **faults: int) -> None:
        count = len(self._run.fleet.engines)
        number = self._take('engine', count, 0)
        if number is None:
            return
        address = self._run.fleet.layout.engine(number)
        self._run.fleet.set_faults(address, **faults)
        self._put_back('engine', number)

    def _stall_engine(self) -> None:
        self._set_engine_faults(stall_ms=self._rng.randint(*STALL_MS))

    def _make_engine_faulty(self) -> None:
        fault = self._rng.choice(
            ('silent', 'cut', 'garble', 'refuse', 'crossed', 'repeat')
        )
        self._set_engine_faults(**{fault: 2})

    def _list_leaving(self) -> None:
        number = self._rng.randrange(len(self._run.fleet.engines))
        self._run.list_leaving({f'engine-{number}'})
        self._sleep(PAUSE_S)
        self._run.list_leaving(set())

    def _withdraw(self) -> None:
        """Withdraws a second key, which the load does not use."""
        names = [w.name for w in self._run.fleet.deployment.workspaces]
        with self._lock:
            if self._withdrawn >= len(names):
                return
            name = names[self._withdrawn]
            self._withdrawn += 1
        caller = self._run.caller(name, 1)
        stream = threading.Thread(
            target=caller.complete,
            args=(self._run.next_id(), self._run.fleet.deployment.model),
            kwargs={'tokens': 400},
        )
        stream.start()
        time.sleep(0.5)
        self._run.withdraw(name, 1)
        caller.complete(
            self._run.next_id('late'), self._run.fleet.deployment.model
        )
        stream.join()


def soak(
    duration_s: float, seed: int, folder: pathlib.Path | None = None
) -> int:
    """Runs a soak, prints the verdicts and returns the exit code.

    :param folder: where calls, journals and logs are kept
    """
    trace = traces.Trace(
        {
            'name': 'soak',
            'deployment': 'kalamu',
            'duration_s': duration_s,
            'rate_per_s': RATE_PER_S,
        }
    )
    print(f'soak of {duration_s:.0f} s, seed {seed}', flush=True)
    with fleets.Fleet(trace.deployment, seed=seed, forwarded=True) as fleet:
        run = runs.Run(fleet, seed)
        director = directors.Director(run, [])
        makers = Soak(run, seed)
        director.start()
        makers.start()
        drivers.Driver(run, trace.arrivals(seed)).run()
        makers.stop()
        director.stop()
        time.sleep(replays.SETTLE_S)
        found = run.collect()
        failures = makers.failures + usage_checks.check_fleet(
            fleet, found.calls
        )
        if folder is not None:
            run.save(folder)
    done = replays.judge(trace, seed, found, failures)
    print(replays.format_replay(done))
    faults = ', '.join(f'{k} {v}' for k, v in sorted(makers.counts.items()))
    print(f'faults: {faults}')
    broken = [v.name for v in done.verdicts if not v.held]
    print(f'seed {seed}: ' + (f'BROKEN {broken}' if broken else 'all held'))
    return 0 if done.held else 1
