"""Carries out a trace's events on a run's fleet, each at its time."""

import threading
import typing

from masticquay_bench import errors
from masticquay_bench import evidence
from masticquay_bench import runs
from masticquay_bench import traces
from masticquay_standins import journals

PROBE_EVERY_S = 0.25
SILENT_CONNECTIONS = 3


class Director:
    """Carries out events and probes the hosts meanwhile.

    Each event runs in a thread of its own, so that a slow one does not delay
    the next.
    """

    def __init__(self, run: runs.Run, events: list[traces.Event]):
        self._run = run
        self._events = events
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.failures: list[str] = []
        self._actions: dict[str, typing.Callable[[traces.Event], None]] = {
            'kill-entry': lambda e: run.kill_entry(e.number),
            'restart-entry': lambda e: run.restart_entry(e.number),
            'drain-entry': lambda e: run.drain_entry(e.number),
            'kill-control': lambda e: run.fleet.controls[e.number].kill(),
            'restart-control': self._restart_control,
            'pause-control': lambda e: run.fleet.controls[e.number].pause(),
            'unpause-control': lambda e: run.fleet.controls[
                e.number
            ].unpause(),
            'kill-engine': lambda e: run.kill_engine(e.number),
            'restart-engine': lambda e: run.restart_engine(e.number),
            'stall-engine': self._stall_engine,
            'silent-engine': self._silence_engine,
            'leaving': lambda e: run.list_leaving(
                {f'engine-{e.number}', f'service-{e.number}'}
            ),
            'withdraw': lambda e: run.withdraw(e.workspace, e.key_number),
            'roll': lambda e: run.roll(),
        }

    def start(self) -> None:
        """Starts; the time of events counts from now."""
        started_ms = journals.now_ms()
        for event in self._events:
            self._start_thread(self._carry_out, event, started_ms)
        self._start_thread(self._probe)

    def stop(self) -> None:
        """Drops events that are not due and waits for those under way."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _start_thread(self, target: typing.Callable, *arguments) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _carry_out(self, event: traces.Event, started_ms: float) -> None:
        left_s = (started_ms + event.at_ms - journals.now_ms()) / 1000
        if self._stopped.wait(max(0.0, left_s)):
            return
        try:
            self._actions[event.kind](event)
        except (errors.BenchError, OSError) as cause:
            self.failures.append(f'{event.kind} {event.number}: {cause}')

    def _probe(self) -> None:
        while not self._stopped.wait(PROBE_EVERY_S):
            self._run.probe_all()

    def _restart_control(self, event: traces.Event) -> None:
        process = self._run.fleet.controls[event.number]
        process.start()
        process.wait_ready()

    def _stall_engine(self, event: traces.Event) -> None:
        address = self._run.fleet.layout.engine(event.number)
        self._run.fleet.set_faults(address, stall_ms=event.duration_ms)

    def _silence_engine(self, event: traces.Event) -> None:
        address = self._run.fleet.layout.engine(event.number)
        self._run.fleet.set_faults(address, silent=SILENT_CONNECTIONS)


def longest_ms(marks: list[evidence.Mark], kind: str) -> float:
    """Returns how long the slowest change of a kind took."""
    return max(
        (m.end_ms - m.begin_ms for m in marks if m.kind == kind), default=0.0
    )
