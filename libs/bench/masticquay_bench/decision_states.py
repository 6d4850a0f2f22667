"""The state of a simulated deployment, and its events in simulated time."""

import heapq
import time
import typing

from masticquay_bench import decision_engines
from masticquay_bench import decision_policies
from masticquay_bench import decision_traces
from masticquay_scheduling import messages
from masticquay_wire import clocks


class Outcome:
    """The result of one request, over all its attempts.

    :ivar refusal_reason: why the request was not served, empty if it was
    :ivar decode_runs: how many decodes of the request ran to the end
    """

    __slots__ = (
        'request',
        'first_token_at_ms',
        'end_ms',
        'refusal_reason',
        'decode_runs',
    )

    def __init__(self, request: decision_traces.Request):
        self.request = request
        self.first_token_at_ms: int | None = None
        self.end_ms: int | None = None
        self.refusal_reason = ''
        self.decode_runs = 0


class Attempt:
    """One attempt to serve a request, as its entry host tracks it."""

    __slots__ = (
        'outcome',
        'attempt_number',
        'placement',
        'prefilled_ms',
        'ended',
    )

    def __init__(self, outcome: Outcome, attempt_number: int):
        self.outcome = outcome
        self.attempt_number = attempt_number
        self.placement: messages.Placement | None = None
        self.prefilled_ms: int | None = None
        self.ended = False


class State:
    """The engines, the policy and the requests of one simulation.

    :ivar attempts: the running attempts by request number
    :ivar decode_ends_ms: when running decodes end, by request number
    :ivar orphaned_since_ms: the decodes of a failed host that still run
    :ivar policy_cpu_ns: processor time of the policy
    """

    def __init__(
        self,
        clock: clocks.ManualClock,
        policy: decision_policies.Policy,
        prefill_engines: dict[str, decision_engines.PrefillEngine],
        decode_engines: dict[str, decision_engines.DecodeEngine],
    ):
        self.clock = clock
        self.policy = policy
        self.prefill_engines = prefill_engines
        self.decode_engines = decode_engines
        self._events: list[tuple[int, int, typing.Callable, tuple]] = []
        self._sequence = 0
        self.attempts: dict[int, Attempt] = {}
        self.failed_hosts: set[str] = set()
        self.orphaned_since_ms: dict[int, int] = {}
        self.outcomes: list[Outcome] = []
        self.decode_ends_ms: dict[int, int] = {}
        self.wasted_prefill_ms = 0.0
        self.total_prefill_ms = 0.0
        self.orphan_durations_ms: list[int] = []
        self.policy_cpu_ns = 0

    def schedule(
        self, due_ms: int, callback: typing.Callable, *arguments
    ) -> None:
        """Schedules a call at a simulated time."""
        self._sequence += 1
        entry = (due_ms, self._sequence, callback, arguments)
        heapq.heappush(self._events, entry)

    def time_after(self, delay_ms: int) -> int:
        """Returns the time that is so much later than now."""
        return self.clock.now_ms() + delay_ms

    def run_events(self) -> None:
        """Runs all events in their order, also those that they schedule."""
        while self._events:
            due_ms, _, callback, arguments = heapq.heappop(self._events)
            now_ms = self.clock.now_ms()
            if due_ms > now_ms:
                self.clock.advance_ms(due_ms - now_ms)
            callback(*arguments)

    def call_policy(self, callback: typing.Callable, *arguments) -> None:
        """Calls the policy and adds up its processor time."""
        started_ns = time.thread_time_ns()
        callback(*arguments)
        self.policy_cpu_ns += time.thread_time_ns() - started_ns

    def release(
        self, engine: decision_engines.DecodeEngine, number: int
    ) -> None:
        """Frees a decode slot; records how long it was orphaned, if it was."""
        engine.release(number)
        self.decode_ends_ms.pop(number, None)
        orphaned_since_ms = self.orphaned_since_ms.pop(number, None)
        if orphaned_since_ms is not None:
            self.orphan_durations_ms.append(
                self.clock.now_ms() - orphaned_since_ms
            )
