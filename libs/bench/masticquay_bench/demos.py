"""The demo: runs a fleet of real processes and checks its behaviour.

Exits with 0 only when every step passed.
"""

from concurrent import futures
import pathlib
import sys
import tempfile
import threading
import time
import typing

from masticquay_bench import calls
from masticquay_bench import checkers
from masticquay_bench import errors
from masticquay_bench import fleets
from masticquay_bench import runs
from masticquay_standins import journals

# Classes by the first token, with a target of 490 ms and one of 5 s.
DEFAULT_CLASS = 'standard'
PATIENT_CLASS = 'deferred'
SHORT_STREAM_TOKENS = 40
LONG_STREAM_TOKENS = 400
FIRST_TOKEN_TIMEOUT_S = 15
CALL_TIMEOUT_S = 60
SETTLE_TIMEOUT_S = 15
FAILOVER_CALLS = 6
DEMO_TIME_LIMIT_S = 90
POLL_S = 0.1


class StepResult:
    """The result of one step, a line of the table.

    :param details: what was measured
    """

    __slots__ = ('step', 'passed', 'details')

    def __init__(self, step: str, passed: bool, details: str):
        self.step = step
        self.passed = passed
        self.details = details


class OpenStream:
    """A streamed completion that is read in its own thread."""

    __slots__ = ('_first_token', 'future')

    def __init__(
        self,
        pool: futures.Executor,
        run: runs.Run,
        workspace: str,
        key_number: int = 0,
        tokens: int = LONG_STREAM_TOKENS,
        host: str = '',
        class_name: str = DEFAULT_CLASS,
    ):
        self._first_token = threading.Event()
        self.future: futures.Future[calls.Call] = pool.submit(
            run.caller(workspace, key_number).complete,
            run.next_id('stream'),
            run.fleet.deployment.model,
            prompt_prefix='Chapter one, under the house style guide.',
            tokens=tokens,
            class_name=class_name,
            host=host,
            on_token=lambda call: self._first_token.set(),
        )
        self.future.add_done_callback(lambda future: self._first_token.set())

    def wait_for_first_token(self) -> None:
        """Blocks until the first token has arrived or the call has ended."""
        self._first_token.wait(FIRST_TOKEN_TIMEOUT_S)

    def result(self) -> calls.Call:
        """Waits until the call has ended and returns its record."""
        return self.future.result(CALL_TIMEOUT_S)


class Demo:
    """Runs the steps of the demo in sequence on one fleet.

    :param pool: executor in which streams are read
    :param class_name: class of all streams but those that hosts have open as
        the control leader is lost, of which the first token is no matter
    """

    def __init__(self, run: runs.Run, pool: futures.Executor, class_name: str):
        self._run = run
        self._class_name = class_name
        self._fleet = run.fleet
        self._pool = pool
        self._step_results: list[StepResult] = []

    def run(self, started_s: float) -> list[StepResult]:
        """Runs all steps and returns their results."""
        steps = [
            lambda: self._show_start(started_s),
            self._stream_for_workspaces,
            self._call_once_through_two_hosts,
            self._refuse_unknown_key,
            self._withdraw_with_open_stream,
            self._roll_second_bundle,
            self._kill_entry_host,
            self._kill_control_leader,
            self._drain_host,
            self._run_checkers,
        ]
        for step_function in steps:
            self._run_step(step_function)
        return self._step_results

    def _run_step(self, step_function: typing.Callable[[], None]) -> None:
        try:
            step_function()
        except (errors.BenchError, futures.TimeoutError) as cause:
            name = getattr(step_function, '__name__', 'start').strip('_')
            self._add_result(name.replace('_', ' '), False, repr(cause)[:300])

    def _add_result(self, step: str, passed: bool, details: str) -> None:
        self._step_results.append(StepResult(step, passed, details))
        status = 'ok' if passed else 'FAILED'
        print(f'  {status:7}{step}: {details}', flush=True)

    @property
    def _workspaces(self) -> list[str]:
        return [w.name for w in self._fleet.deployment.workspaces]

    @property
    def _waited_ms(self) -> int:
        """The time from acceptance to force of the last change."""
        return self._run.last_report['waited_ms']

    def _show_start(self, started_s: float) -> None:
        served, probed = self._run.count_serving_hosts()
        self._add_result(
            'fleet started, signed bundle 1 rolled',
            served == probed,
            f'{len(self._fleet.all_processes())} processes, in force on '
            f'{served} of {probed} hosts, '
            f'{time.monotonic() - started_s:.1f} s',
        )

    def _stream_for_workspaces(self) -> None:
        streams = [
            self._open_stream(name, tokens=SHORT_STREAM_TOKENS)
            for name in self._workspaces
            for _ in range(3)
        ]
        ended_calls = [stream.result() for stream in streams]
        complete = [call for call in ended_calls if has_full_answer(call)]
        first_token_delays_ms = sorted(
            c.first_token_ms - c.sent_ms for c in complete
        )
        median_ms = (
            first_token_delays_ms[len(first_token_delays_ms) // 2]
            if first_token_delays_ms
            else float('nan')
        )
        self._add_result(
            'completions streamed for 5 workspaces',
            len(complete) == len(ended_calls),
            f'{len(complete)} of {len(ended_calls)} whole, median first token '
            f'{median_ms:.0f} ms' + describe_first_failure(ended_calls),
        )

    def _call_once_through_two_hosts(self) -> None:
        caller = self._run.caller(self._workspaces[0])
        path = self._fleet.deployment.effect_path
        responses = [
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
        run_count = sum(
            event['event'] == journals.EVENT_RUN
            and event['idempotency_key'] == 'award-17'
            for event in journals.read_folder(self._fleet.record_folder)
        )
        same_body = responses[0].text == responses[1].text
        statuses = [call.status for call in responses]
        self._add_result(
            'non-idempotent call sent twice, through two hosts',
            run_count == 1 and same_body and statuses == [200, 200],
            f'ran {run_count} time, answers {statuses}, '
            + ('the same body' if same_body else 'different bodies')
            + describe_first_failure(responses),
        )

    def _refuse_unknown_key(self) -> None:
        unauthorized_caller = self._run.unauthorized_caller('no-such-key')
        call = unauthorized_caller.complete(
            self._run.next_id('stranger'), self._fleet.deployment.model
        )
        self._add_result(
            'an unknown key refused',
            call.status == 401 and call.outcome == 'not-run',
            f'status {call.status}, outcome {call.outcome or "none"}',
        )

    def _withdraw_with_open_stream(self) -> None:
        workspace = self._workspaces[1]
        stream = self._open_stream(workspace, key_number=1)
        stream.wait_for_first_token()
        mark = self._run.withdraw(workspace, 1)
        ended_call = stream.result()
        later_call = self._run.caller(workspace, 1).complete(
            self._run.next_id('withdrawn'), self._fleet.deployment.model
        )
        cut_ms = ended_call.end_ms - mark.begin_ms
        self._add_result(
            'a key withdrawn while it streams',
            ended_call.end == calls.END_ERROR
            and ended_call.output_tokens > 0
            and later_call.status in (401, 403),
            f'in force {mark.end_ms - mark.begin_ms:.0f} ms, stream ended '
            f'with "{ended_call.error_code or ended_call.end}" after '
            f'{cut_ms:.0f} ms, next call {later_call.status}',
        )

    def _roll_second_bundle(self) -> None:
        mark = self._run.roll()
        served, probed = self._run.count_serving_hosts()
        self._add_result(
            'a second bundle rolled',
            served == probed,
            f'in force {mark.end_ms - mark.begin_ms:.0f} ms '
            f'({self._waited_ms} ms once accepted), served by '
            f'{served} of {probed} hosts',
        )

    def _open_stream(
        self, workspace: str, **options: typing.Any
    ) -> OpenStream:
        options.setdefault('class_name', self._class_name)
        return OpenStream(self._pool, self._run, workspace, **options)

    def _open_streams(
        self, host_numbers: typing.Iterable[int], **options: typing.Any
    ) -> list[OpenStream]:
        """Opens a stream at each host and waits for its first token."""
        streams = [
            self._open_stream(
                self._workspaces[0],
                host=self._fleet.layout.caller(number),
                **options,
            )
            for number in host_numbers
        ]
        for stream in streams:
            stream.wait_for_first_token()
        return streams

    def _kill_entry_host(self) -> None:
        host_number = 2
        streams = self._open_streams((0, 1, 3), tokens=200)
        self._run.kill_entry(host_number)
        begin_s = time.monotonic()
        all_served = self._wait_until_all_served()
        elapsed_ms = (time.monotonic() - begin_s) * 1000
        ended_calls = [stream.result() for stream in streams]
        complete_count = sum(has_full_answer(call) for call in ended_calls)
        self._add_result(
            'an entry host killed',
            all_served and complete_count == len(ended_calls),
            f'streams of other hosts whole: {complete_count} of '
            f'{len(ended_calls)}, all workspaces served again after '
            f'{elapsed_ms:.0f} ms' + describe_first_failure(ended_calls),
        )

    def _kill_control_leader(self) -> None:
        leader = self._run.find_leader()
        # They go on while the hosts have to find the next leader.
        streams = self._open_streams(
            (0, 1, 3, 4, 5), tokens=200, class_name=PATIENT_CLASS
        )
        self._fleet.controls[leader].kill()
        begin_s = time.monotonic()
        mark = self._run.roll()
        waited_ms = self._waited_ms
        elapsed_ms = (time.monotonic() - begin_s) * 1000
        served, probed = self._run.count_serving_hosts()
        all_served = self._wait_until_all_served()
        ended_calls = [stream.result() for stream in streams]
        complete = sum(has_full_answer(call) for call in ended_calls)
        self._add_result(
            'the control leader killed, then a third bundle rolled',
            served == probed and all_served and complete == len(ended_calls),
            f'{complete} of {len(ended_calls)} streams whole, '
            f'roll took {mark.end_ms - mark.begin_ms:.0f} ms '
            f'({elapsed_ms:.0f} ms with signing, {waited_ms} ms once '
            f'accepted), served by {served} of {probed} hosts'
            + describe_first_failure(ended_calls),
        )

    def _drain_host(self) -> None:
        host_number = 0
        address = self._fleet.layout.caller(host_number)
        streams = [
            self._open_stream(name, tokens=200, host=address)
            for name in self._workspaces[:3]
        ]
        for stream in streams:
            stream.wait_for_first_token()
        mark = self._run.drain_entry(host_number)
        ended_calls = [stream.result() for stream in streams]
        complete = sum(has_full_answer(call) for call in ended_calls)
        self._add_result(
            'a host drained with streams open',
            complete == len(ended_calls),
            f'{complete} of {len(ended_calls)} streams whole, '
            f'ended with 0 after {(mark.end_ms - mark.begin_ms) / 1000:.1f} s'
            + describe_first_failure(ended_calls),
        )

    def _run_checkers(self) -> None:
        check_results = checkers.check_all(self._run.collect())
        failed = [
            check_result
            for check_result in check_results
            if not check_result.passed
        ]
        for check_result in failed:
            print(checkers.format_check_results([check_result]), flush=True)
        exercised = sum(
            check_result.checked_count > 0 for check_result in check_results
        )
        self._add_result(
            'checkers of the promises',
            not failed,
            f'{len(check_results) - len(failed)} of {len(check_results)} '
            f'held, {exercised} exercised',
        )

    def _wait_until_all_served(self) -> bool:
        """Sends completions until a round succeeds for all workspaces.

        :returns: False when none did in time
        """
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < end_s:
            streams = [
                self._open_stream(name, tokens=4) for name in self._workspaces
            ]
            if all(has_full_answer(stream.result()) for stream in streams):
                return True
            time.sleep(POLL_S)
        return False


def has_full_answer(call: calls.Call) -> bool:
    """Returns whether a completion succeeded with its full answer."""
    return call.end == calls.END_OK and call.text == call.expected_text


def describe_first_failure(ended_calls: list[calls.Call]) -> str:
    """Describes the first call that failed; returns '' when none did."""
    for call in ended_calls:
        if call.end != calls.END_OK:
            return (
                f'; {call.call_id} at {call.host}: {call.end} {call.status} '
                f'{call.error_code} {call.detail}'[:300]
            )
    return ''


def format_step_results(step_results: list[StepResult]) -> str:
    """Formats the results of the steps as a table."""
    width = max(len(result.step) for result in step_results)
    lines = [f'{"step":{width}}  held  details']
    lines += [
        f'{result.step:{width}}  {"yes" if result.passed else "NO":4}  '
        f'{result.details}'
        for result in step_results
    ]
    return '\n'.join(lines)


def run_demo(class_name: str = DEFAULT_CLASS) -> list[StepResult]:
    """Starts a fleet, runs all steps and returns their results.

    The last result is that of the whole demo: whether it ended in time. Logs,
    settings and calls of a demo that failed are kept.
    """
    started_s = time.monotonic()
    with futures.ThreadPoolExecutor(32) as pool, fleets.Fleet() as fleet:
        print(f'fleet in {fleet.folder}', flush=True)
        run = runs.Run(fleet)
        step_results = Demo(run, pool, class_name).run(started_s)
        if not all(result.passed for result in step_results):
            folder = tempfile.mkdtemp(prefix='masticquay-demo-')
            run.save(pathlib.Path(folder))
            print(f'logs of the failed demo in {folder}', flush=True)
    elapsed_s = time.monotonic() - started_s
    in_time = elapsed_s < DEMO_TIME_LIMIT_S
    step_results.append(
        StepResult('whole demo', in_time, f'{elapsed_s:.1f} s')
    )
    return step_results


def main() -> int:
    """Runs the demo and prints its table."""
    step_results = run_demo()
    print('\n' + format_step_results(step_results))
    return 0 if all(result.passed for result in step_results) else 1


if __name__ == '__main__':
    sys.exit(main())
