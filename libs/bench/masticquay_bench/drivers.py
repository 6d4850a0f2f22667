"""Open-loop load: calls begin when they are due, whatever came of others."""

from concurrent import futures
import threading
import time

from masticquay_bench import calls
from masticquay_bench import deployments
from masticquay_bench import runs
from masticquay_bench import traces
from masticquay_standins import journals

MAX_CALLS_AT_ONCE = 800
PROGRESS_S = 5.0
SYLLABLE = 'tender chapter '
UNKNOWN_KEY = 'no-such-key'


class Driver:
    """Sends the calls of a trace to a run's fleet.

    A call's latency counts from when it was due, also when the driver itself
    was late, so that a stall of the system is not left out.
    """

    def __init__(
        self, run: runs.Run, arrivals: list[traces.Arrival], show: bool = True
    ):
        self._run = run
        self._arrivals = arrivals
        self._show = show
        self._stopped = threading.Event()
        self._shown_s = time.monotonic()
        self.started_ms = 0.0

    def run(self) -> None:
        """Sends all calls and waits until each has ended."""
        self.started_ms = journals.now_ms()
        with futures.ThreadPoolExecutor(MAX_CALLS_AT_ONCE) as pool:
            for arrival in self._arrivals:
                due_ms = self.started_ms + arrival.at_ms
                if self._wait_until(due_ms):
                    break
                pool.submit(self._send, arrival, due_ms)

    def stop(self) -> None:
        """Sends no further calls."""
        self._stopped.set()

    def _wait_until(self, due_ms: float) -> bool:
        """Sleeps until a call is due; True when the driver was stopped."""
        while True:
            self._show_progress()
            left_s = (due_ms - journals.now_ms()) / 1000
            if left_s <= 0:
                return self._stopped.is_set()
            if self._stopped.wait(min(left_s, 0.5)):
                return True

    def _show_progress(self) -> None:
        now_s = time.monotonic()
        if not self._show or now_s - self._shown_s < PROGRESS_S:
            return
        self._shown_s = now_s
        recorded = self._run.log.calls()
        done = [call for call in recorded if call.end]
        good = sum(call.end == calls.END_OK for call in done)
        passed_s = (journals.now_ms() - self.started_ms) / 1000
        print(
            f'  {passed_s:5.0f} s: {len(recorded)} of '
            f'{len(self._arrivals)} calls begun, {len(done)} ended, '
            f'{good} well',
            flush=True,
        )

    def _send(self, arrival: traces.Arrival, due_ms: float) -> None:
        if arrival.kind == traces.KIND_UNKNOWN_KEY:
            self._send_unknown_key(due_ms)
        elif arrival.kind == traces.KIND_FOREIGN:
            self._send_foreign(due_ms)
        else:
            self._send_allowed(arrival, due_ms)

    def _send_unknown_key(self, due_ms: float) -> None:
        call_id = self._run.next_id('stranger')
        model = self._run.fleet.deployment.model
        self._run.stranger(UNKNOWN_KEY).complete(call_id, model, due_ms=due_ms)

    def _send_foreign(self, due_ms: float) -> None:
        call_id = self._run.next_id('foreign')
        path = deployments.private_path(self._run.fleet.deployment, call_id)
        self._run.foreigner().request(call_id, 'GET', path, due_ms=due_ms)

    def _send_allowed(self, arrival: traces.Arrival, due_ms: float) -> None:
        caller = self._run.caller(arrival.workspace)
        deployment = self._run.fleet.deployment
        call_id = self._run.next_id()
        if arrival.kind == traces.KIND_COMPLETION:
            caller.complete(
                call_id,
                deployment.model,
                words=make_words(arrival),
                tokens=arrival.output_tokens,
                max_tokens=arrival.output_tokens + 16,
                class_name=arrival.class_name,
                due_ms=due_ms,
            )
        elif arrival.kind == traces.KIND_STATUS:
            path = f'{deployment.status_path}{call_id}'
            caller.request(call_id, 'GET', path, due_ms=due_ms)
        else:
            caller.request(
                call_id,
                'POST',
                deployment.effect_path,
                b'effect',
                idempotency_key=call_id,
                idempotent=False,
                due_ms=due_ms,
            )


def make_words(arrival: traces.Arrival) -> str:
    """Returns the start of a prompt; calls of a group share most of it."""
    head = f'{arrival.workspace} guide {arrival.prefix_group}. '
    size = arrival.prompt_tokens * 4
    return (head + SYLLABLE * (size // len(SYLLABLE) + 1))[:size]
