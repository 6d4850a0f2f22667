"""The demo: a fleet of real processes, and what it must show.

Ends with 0 only when every step held.
"""

from concurrent import futures
import sys
import threading
import time
import typing

from masticquay_bench import calls
from masticquay_bench import checkers
from masticquay_bench import errors
from masticquay_bench import fleets
from masticquay_bench import runs
from masticquay_standins import journals

STREAM_TOKENS = 40
LONG_STREAM_TOKENS = 400
FIRST_TOKEN_TIMEOUT_S = 15
CALL_TIMEOUT_S = 60
SETTLE_TIMEOUT_S = 15
FAILOVER_CALLS = 6
TIME_LIMIT_S = 90
POLL_S = 0.1


class Shown:
    """One line of the table.

    :param figure: what was measured
    """

    __slots__ = ('what', 'held', 'figure')

    def __init__(self, what: str, held: bool, figure: str):
        self.what = what
        self.held = held
        self.figure = figure


class OpenStream:
    """A completion that streams in a thread of its own."""

    __slots__ = ('_first', 'future')

    def __init__(
        self,
        pool: futures.Executor,
        run: runs.Run,
        workspace: str,
        key_number: int = 0,
        tokens: int = LONG_STREAM_TOKENS,
        host: str = '',
    ):
        self._first = threading.Event()
        self.future: futures.Future[calls.Call] = pool.submit(
            run.caller(workspace, key_number).complete,
            run.next_id('stream'),
            run.fleet.deployment.model,
            words='Chapter one, under the house style guide.',
            tokens=tokens,
            host=host,
            on_token=lambda call: self._first.set(),
        )
        self.future.add_done_callback(lambda future: self._first.set())

    def wait_first(self) -> None:
        """Blocks until the first token has arrived, or the call ended."""
        self._first.wait(FIRST_TOKEN_TIMEOUT_S)

    def result(self) -> calls.Call:
        """Waits for the end of the call."""
        return self.future.result(CALL_TIMEOUT_S)


class Demo:
    """Runs the steps one after another on one fleet."""

    def __init__(self, run: runs.Run, pool: futures.Executor):
        self._run = run
        self._fleet = run.fleet
        self._pool = pool
        self._shown: list[Shown] = []

    def run(self, started_s: float) -> list[Shown]:
        """Runs all steps and returns what they showed."""
        steps = [
            lambda: self._show_start(started_s),
            self._stream_for_workspaces,
            self._call_once_through_two_hosts,
            self._refuse_strangers,
            self._withdraw_with_open_stream,
            self._roll_second_bundle,
            self._kill_entry_host,
            self._kill_control_leader,
            self._drain_host,
            self._judge,
        ]
        for step in steps:
            self._take_step(step)
        return self._shown

    def _take_step(self, step: typing.Callable[[], None]) -> None:
        try:
            step()
        except (errors.BenchError, futures.TimeoutError) as cause:
            name = getattr(step, '__name__', 'start').strip('_')
            self._show(name.replace('_', ' '), False, repr(cause)[:300])

    def _show(self, what: str, held: bool, figure: str) -> None:
        self._shown.append(Shown(what, held, figure))
        word = 'ok' if held else 'FAILED'
        print(f'  {word:7}{what}: {figure}', flush=True)

    @property
    def _workspaces(self) -> list[str]:
        return [w.name for w in self._fleet.deployment.workspaces]

    def _show_start(self, started_s: float) -> None:
        served, asked = self._run.count_served()
        self._show(
            'fleet started, signed bundle 1 rolled',
            served == asked,
            f'{len(self._fleet.all_processes())} processes, in force on '
            f'{served} of {asked} hosts, '
            f'{time.monotonic() - started_s:.1f} s',
        )

    def _stream_for_workspaces(self) -> None:
        streams = [
            OpenStream(self._pool, self._run, name, tokens=STREAM_TOKENS)
            for name in self._workspaces
            for _ in range(3)
        ]
        done = [stream.result() for stream in streams]
        whole = [call for call in done if is_whole(call)]
        waits = sorted(c.first_token_ms - c.sent_ms for c in whole)
        middle_ms = waits[len(waits) // 2] if waits else float('nan')
        self._show(
            'completions streamed for 5 workspaces',
            len(whole) == len(done),
            f'{len(whole)} of {len(done)} whole, median first token '
            f'{middle_ms:.0f} ms' + describe_failures(done),
        )

    def _call_once_through_two_hosts(self) -> None:
        caller = self._run.caller(self._workspaces[0])
        path = self._fleet.deployment.effect_path
        answers = [
            caller.request(
                self._run.next_id('effect'),
                'POST',
                path,
                b'award 17',
                idempotency_key='award-17',
                idempotent=False,
                host=self._fleet.layout.caller(number),
                stable_body=True,
            )
            for number in (0, 1)
        ]
        runs_seen = sum(
            event['event'] == journals.EVENT_RUN
            and event['idempotency_key'] == 'award-17'
            for event in journals.read_folder(self._fleet.record_folder)
        )
        same = answers[0].text == answers[1].text
        statuses = [call.status for call in answers]
        self._show(
            'non-idempotent call sent twice, through two hosts',
            runs_seen == 1 and same and statuses == [200, 200],
            f'ran {runs_seen} time, answers {statuses}, '
            + ('the same body' if same else 'different bodies')
            + describe_failures(answers),
        )

    def _refuse_strangers(self) -> None:
        stranger = self._run.stranger('no-such-key')
        call = stranger.complete(
            self._run.next_id('stranger'), self._fleet.deployment.model
        )
        self._show(
            'an unknown key refused',
            call.status == 401 and call.outcome == 'not-run',
            f'status {call.status}, outcome {call.outcome or "none"}',
        )

    def _withdraw_with_open_stream(self) -> None:
        workspace = self._workspaces[1]
        stream = OpenStream(self._pool, self._run, workspace, key_number=1)
        stream.wait_first()
        mark = self._run.withdraw(workspace, 1)
        ended = stream.result()
        later = self._run.caller(workspace, 1).complete(
            self._run.next_id('withdrawn'), self._fleet.deployment.model
        )
        cut_ms = ended.end_ms - mark.begin_ms
        self._show(
            'a key withdrawn while it streams',
            ended.end == calls.END_ERROR
            and ended.output_tokens > 0
            and later.status in (401, 403),
            f'in force {mark.end_ms - mark.begin_ms:.0f} ms, stream ended '
            f'with "{ended.error_code or ended.end}" after {cut_ms:.0f} ms, '
            f'next call {later.status}',
        )

    def _roll_second_bundle(self) -> None:
        mark = self._run.roll()
        served, asked = self._run.count_served()
        self._show(
            'a second bundle rolled',
            served == asked,
            f'in force {mark.end_ms - mark.begin_ms:.0f} ms, served by '
            f'{served} of {asked} hosts',
        )

    def _kill_entry_host(self) -> None:
        victim = 2
        others = [
            OpenStream(
                self._pool,
                self._run,
                self._workspaces[0],
                tokens=200,
                host=self._fleet.layout.caller(number),
            )
            for number in (0, 1, 3)
        ]
        for stream in others:
            stream.wait_first()
        self._run.kill_entry(victim)
        begin_s = time.monotonic()
        whole = self._complete_until_good()
        took_ms = (time.monotonic() - begin_s) * 1000
        kept = [stream.result() for stream in others]
        good = sum(is_whole(call) for call in kept)
        self._show(
            'an entry host killed',
            whole and good == len(kept),
            f'streams of other hosts whole: {good} of {len(kept)}, all '
            f'workspaces served again after {took_ms:.0f} ms'
            + describe_failures(kept),
        )

    def _kill_control_leader(self) -> None:
        leader = self._run.find_leader()
        self._fleet.controls[leader].kill()
        begin_s = time.monotonic()
        mark = self._run.roll()
        took_ms = (time.monotonic() - begin_s) * 1000
        served, asked = self._run.count_served()
        whole = self._complete_until_good()
        self._show(
            'the control leader killed, then a third bundle rolled',
            served == asked and whole,
            f'roll took {mark.end_ms - mark.begin_ms:.0f} ms '
            f'({took_ms:.0f} ms with signing), served by {served} of '
            f'{asked} hosts',
        )

    def _drain_host(self) -> None:
        victim = 0
        address = self._fleet.layout.caller(victim)
        streams = [
            OpenStream(self._pool, self._run, name, tokens=200, host=address)
            for name in self._workspaces[:3]
        ]
        for stream in streams:
            stream.wait_first()
        mark = self._run.drain_entry(victim)
        done = [stream.result() for stream in streams]
        whole = sum(is_whole(call) for call in done)
        self._show(
            'a host drained with streams open',
            whole == len(done),
            f'{whole} of {len(done)} streams whole, ended with 0 after '
            f'{(mark.end_ms - mark.begin_ms) / 1000:.1f} s'
            + describe_failures(done),
        )

    def _judge(self) -> None:
        verdicts = checkers.judge(self._run.collect())
        broken = [verdict for verdict in verdicts if not verdict.held]
        for verdict in broken:
            print(checkers.format_verdicts([verdict]), flush=True)
        exercised = sum(verdict.checked > 0 for verdict in verdicts)
        self._show(
            'checkers of the promises',
            not broken,
            f'{len(verdicts) - len(broken)} of {len(verdicts)} held, '
            f'{exercised} exercised',
        )

    def _complete_until_good(self) -> bool:
        """Completes for each workspace until all are whole in one round."""
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < end_s:
            streams = [
                OpenStream(self._pool, self._run, name, tokens=4)
                for name in self._workspaces
            ]
            if all(is_whole(stream.result()) for stream in streams):
                return True
            time.sleep(POLL_S)
        return False


def is_whole(call: calls.Call) -> bool:
    """Whether a completion ended with its whole answer."""
    return call.end == calls.END_OK and call.text == call.expected_text


def describe_failures(done: list[calls.Call]) -> str:
    """Names the first call that failed, empty when none did."""
    for call in done:
        if call.end != calls.END_OK:
            return (
                f'; {call.call_id} at {call.host}: {call.end} {call.status} '
                f'{call.error_code} {call.detail}'[:300]
            )
    return ''


def format_table(shown: list[Shown]) -> str:
    """Writes the table of what was shown."""
    width = max(len(line.what) for line in shown)
    lines = [f'{"shown":{width}}  held  figures']
    lines += [
        f'{line.what:{width}}  {"yes" if line.held else "NO":4}  {line.figure}'
        for line in shown
    ]
    return '\n'.join(lines)


def main() -> int:
    """Runs the demo and prints its table."""
    started_s = time.monotonic()
    with futures.ThreadPoolExecutor(32) as pool, fleets.Fleet() as fleet:
        print(f'fleet in {fleet.folder}', flush=True)
        shown = Demo(runs.Run(fleet), pool).run(started_s)
    took_s = time.monotonic() - started_s
    in_time = took_s < TIME_LIMIT_S
    shown.append(Shown('whole demo', in_time, f'{took_s:.1f} s'))
    print('\n' + format_table(shown))
    return 0 if all(line.held for line in shown) else 1


if __name__ == '__main__':
    sys.exit(main())
