"""Runs a trace against a policy in scaled time."""

import collections
import heapq
import random as random_module
import time
import typing

from masticquay_bench import decision_engines
from masticquay_bench import decision_policies
from masticquay_bench import decision_traces
from masticquay_bundles import models
from masticquay_scheduling import messages
from masticquay_wire import clocks

HOP_MS = 1
POLL_MS = 250
TICK_MS = 10
BUSY_RETRY_MS = 20
MAX_ATTEMPTS = 4
EVICTION_MS = 3_500
CANCEL_MS = 10
DRAIN_MS = 130_000


MakePolicy = typing.Callable[
    [models.Bundle, clocks.Clock], decision_policies.Policy
]


class Outcome:
    """What became of one request."""

    __slots__ = ('request', 'first_ms', 'end_ms', 'refused', 'runs')

    def __init__(self, request: decision_traces.Request):
        self.request = request
        self.first_ms: int | None = None
        self.end_ms: int | None = None
        self.refused = ''
        self.runs = 0


class Flow:
    """One attempt under way at a host."""

    __slots__ = ('outcome', 'attempt', 'placement', 'prefilled_ms', 'ended')

    def __init__(self, outcome: Outcome, attempt: int):
        self.outcome = outcome
        self.attempt = attempt
        self.placement: messages.Placement | None = None
        self.prefilled_ms: int | None = None
        self.ended = False


class Run:
    """One trace against one policy.

    :param losses: engines that die: name, when, and for how long
    :param host_loss_ms: when one host dies, None for never
    """

    def __init__(
        self,
        deployment: decision_traces.Deployment,
        make_policy: MakePolicy,
        trace: list[decision_traces.Request],
        seed: int,
        losses: list[tuple[str, int, int]] | None = None,
        host_loss_ms: int | None = None,
    ):
        self.clock = clocks.ManualClock()
        bundle = deployment.make_bundle()
        self._classes = {c.name: c for c in bundle.classes}
        self.policy = make_policy(bundle, self.clock)
        random = random_module.Random(seed)
        self.prefills = {
            e.name: decision_engines.PrefillEngine(e, random)
            for e in bundle.endpoints
            if models.ROLE_PREFILL in e.roles
        }
        self.decodes = {
            e.name: decision_engines.DecodeEngine(e)
            for e in bundle.endpoints
            if models.ROLE_DECODE in e.roles
        }
        self._trace = trace
        self._events: list[tuple[int, int, typing.Callable, tuple]] = []
        self._sequence = 0
        self._flows: dict[int, Flow] = {}
        self._dead_hosts: set[str] = set()
        self._orphaned_ms: dict[int, int] = {}
        self.outcomes: list[Outcome] = []
        self.ends_ms: dict[int, int] = {}
        self.wasted_ms = 0.0
        self.prefill_ms = 0.0
        self.orphan_times_ms: list[int] = []
        self.policy_cpu_ns = 0
        self.duplicate_runs = 0
        for scheduler in self.policy.schedulers():
            scheduler.binder.ends_ms = self.ends_ms
        self._plan_faults(losses or [], host_loss_ms)

    def run(self) -> 'Run':
        """Runs the whole trace and lets it drain."""
        for request in self._trace:
            self._at(request.arrival_ms, self._arrive, request)
        last_ms = self._trace[-1].arrival_ms if self._trace else 0
        end_ms = last_ms + DRAIN_MS
        self._at(0, self._poll, end_ms)
        self._at(0, self._tick, end_ms)
        while self._events:
            due_ms, _, step, arguments = heapq.heappop(self._events)
            now_ms = self.clock.now_ms()
            if due_ms > now_ms:
                self.clock.advance_ms(due_ms - now_ms)
            step(*arguments)
        return self

    # Faults.

    def _plan_faults(
        self, losses: list[tuple[str, int, int]], host_loss_ms: int | None
    ) -> None:
        for name, lost_ms, away_ms in losses:
            self._at(lost_ms, self._lose_engine, name)
            self._at(lost_ms + away_ms, self._return_engine, name)
        if host_loss_ms is not None:
            self._at(host_loss_ms, self._lose_host, 'h0')
            self._at(host_loss_ms + EVICTION_MS, self._evict_host, 'h0')

    def _engine(self, name: str):
        return self.prefills.get(name) or self.decodes[name]

    def _lose_engine(self, name: str) -> None:
        self._engine(name).alive = False
        for flow in list(self._flows.values()):
            placement = flow.placement
            if placement is None or flow.ended:
                continue
            stage = placement.decode_endpoint
            if flow.prefilled_ms is None or not stage:
                stage = placement.prefill_endpoint
            if stage == name:
                self._fail(flow, name)

    def _return_engine(self, name: str) -> None:
        self._engine(name).start()

    def _lose_host(self, host: str) -> None:
        self._dead_hosts.add(host)
        now_ms = self.clock.now_ms()
        for number, flow in list(self._flows.items()):
            if flow.outcome.request.host == host:
                flow.ended = True
                flow.outcome.refused = 'host-lost'
                if number in self._holders():
                    self._orphaned_ms[number] = now_ms
                del self._flows[number]

    def _holders(self) -> set[int]:
        return {n for e in self.decodes.values() for n in e.running}

    def _evict_host(self, host: str) -> None:
        live = {(f'h{n}', 1) for n in range(64)} - {(host, 1)}
        for scheduler in self.policy.schedulers():
            scheduler.keep_hosts(live)
            self._at(self._in(CANCEL_MS), self._cancel, scheduler)

    def _cancel(self, scheduler) -> None:
        for name, request in scheduler.pending_cancels():
            if name in self.decodes:
                self._release(self.decodes[name], request.number)
            scheduler.acknowledge_cancel(name, request)

    def _release(
        self, engine: decision_engines.DecodeEngine, number: int
    ) -> None:
        engine.end(number)
        self.ends_ms.pop(number, None)
        began_ms = self._orphaned_ms.pop(number, None)
        if began_ms is not None:
            self.orphan_times_ms.append(self.clock.now_ms() - began_ms)

    # Time.

    def _at(self, due_ms: int, step: typing.Callable, *arguments) -> None:
        self._sequence += 1
        entry = (due_ms, self._sequence, step, arguments)
        heapq.heappush(self._events, entry)

    def _in(self, delay_ms: int) -> int:
        return self.clock.now_ms() + delay_ms

    def _timed(self, step: typing.Callable, *arguments) -> None:
        """Calls the policy, and counts its processor time."""
        began_ns = time.thread_time_ns()
        step(*arguments)
        self.policy_cpu_ns += time.thread_time_ns() - began_ns

    def _poll(self, end_ms: int) -> None:
        now_ms = self.clock.now_ms()
        for name, engine in (self.prefills | self.decodes).items():
            load = engine.load() if engine.alive else None
            self._at(
                self._in(decision_engines.LOAD_LAG_MS),
                self._timed,
                self.policy.apply_load,
                name,
                load,
            )
        for scheduler in self.policy.schedulers():
            for name, sequence in scheduler.endpoint_sequences().items():
                engine = self.prefills.get(name)
                if engine is not None and engine.alive:
                    events = engine.events_after(sequence, now_ms)
                    self._timed(scheduler.apply_cache_events, name, events)
                    engine.forget_events(sequence)
        if now_ms < end_ms:
            self._at(self._in(POLL_MS), self._poll, end_ms)

    def _tick(self, end_ms: int) -> None:
        self._timed(self.policy.tick, self.clock.now_ms())
        if self.clock.now_ms() < end_ms:
            self._at(self._in(TICK_MS), self._tick, end_ms)

    # A request's way.

    def _arrive(self, request: decision_traces.Request) -> None:
        if request.host in self._dead_hosts:
            request.host = 'h1'
        outcome = Outcome(request)
        self.outcomes.append(outcome)
        self._admit(Flow(outcome, 1), [])

    def _admit(self, flow: Flow, excluded: list[str]) -> None:
        request = flow.outcome.request
        self._flows[request.number] = flow
        declared = self._classes[request.class_name]
        elapsed_ms = self.clock.now_ms() - request.arrival_ms
        admit = messages.Admit(
            'pool',
            messages.RequestId(request.host, 1, request.number),
            flow.attempt,
            request.workspace,
            request.class_name,
            request.prefix_hashes,
            request.prompt_tokens,
            request.max_output_tokens,
            declared.first_token_target_ms - elapsed_ms - 3 * HOP_MS,
            declared.deadline_ms - elapsed_ms,
            max(1, declared.max_wait_ms - elapsed_ms),
            excluded,
            late_decode=self.policy.late_decode,
        )
        if flow.outcome.first_ms is not None:
            admit.first_token_ms = declared.first_token_target_ms

        def reply(answer: messages.Placement | messages.Refused) -> None:
            self._at(self._in(HOP_MS), self._placed, flow, answer)

        self._at(
            self._in(HOP_MS), self._timed, self.policy.admit, admit, reply
        )

    def _placed(
        self, flow: Flow, answer: messages.Placement | messages.Refused
    ) -> None:
        if isinstance(answer, messages.Refused):
            if not flow.ended:
                flow.outcome.refused = answer.reason
            flow.ended = True
            return
        if flow.ended:
            return
        flow.placement = answer
        engine = self.prefills[answer.prefill_endpoint]
        if not engine.alive:
            self._fail(flow, answer.prefill_endpoint)
            return
        before_ms = engine.busy_ms
        request = flow.outcome.request
        end_ms = engine.prefill(request, self.clock.now_ms())
        work_ms = engine.busy_ms - before_ms
        self.prefill_ms += work_ms
        incarnation = engine.incarnation
        self._at(end_ms, self._prefilled, flow, engine, incarnation, work_ms)

    def _prefilled(
        self,
        flow: Flow,
        engine: decision_engines.PrefillEngine,
        incarnation: int,
        work_ms: float,
    ) -> None:
        if engine.incarnation == incarnation:
            engine.queued -= 1
        if flow.ended:
            return
        flow.prefilled_ms = self.clock.now_ms()
        placement = flow.placement
        if placement.decode_endpoint:
            self._at(
                self._in(HOP_MS),
                self._timed,
                self.policy.prefill_done,
                placement,
            )
            self._decode(flow, work_ms)
            return

        def reply(answer: messages.Placement | messages.Refused) -> None:
            self._at(self._in(HOP_MS), self._bound, flow, answer, work_ms)

        self._at(
            self._in(HOP_MS),
            self._timed,
            self.policy.await_decode,
            placement,
            decision_engines.RESULT_TTL_MS - HOP_MS,
            reply,
        )

    def _bound(
        self,
        flow: Flow,
        answer: messages.Placement | messages.Refused,
        work_ms: float,
    ) -> None:
        if flow.ended:
            return
        if isinstance(answer, messages.Refused):
            self.wasted_ms += work_ms
            self._end_attempt(flow, messages.FINISHED_TRANSFER_FAILED, '')
            self._retry(flow, [])
            return
        flow.placement = answer
        self._decode(flow, work_ms)

    def _decode(self, flow: Flow, work_ms: float) -> None:
        if flow.ended:
            return
        name = flow.placement.decode_endpoint
        engine = self.decodes[name]
        request = flow.outcome.request
        if not engine.alive:
            self.wasted_ms += work_ms
            self._fail(flow, name)
            return
        if not engine.begin(request):
            self._wait_for_slot(flow, work_ms)
            return
        now_ms = self.clock.now_ms()
        arrived_ms = engine.transfer_end_ms(request, now_ms)
        left = request.output_tokens
        if flow.outcome.first_ms is not None:
            elapsed_ms = now_ms - flow.outcome.first_ms
            left -= elapsed_ms // decision_traces.DECODE_MS_PER_TOKEN
            left = max(1, left)
        end_ms = arrived_ms + engine.decode_ms(left)
        first_ms = arrived_ms + engine.decode_ms(1)
        self.ends_ms[request.number] = end_ms
        self._at(first_ms, self._first_token, flow)
        self._at(end_ms, self._finish, flow, engine, engine.incarnation)

    def _wait_for_slot(self, flow: Flow, work_ms: float) -> None:
        """Tries a full engine again until the prefill result expires."""
        age_ms = self.clock.now_ms() - flow.prefilled_ms
        if age_ms + BUSY_RETRY_MS < decision_engines.RESULT_TTL_MS:
            self._at(self._in(BUSY_RETRY_MS), self._decode, flow, work_ms)
            return
        self.wasted_ms += work_ms
        self._end_attempt(flow, messages.FINISHED_DECODE_FAILED, '')
        self._retry(flow, [flow.placement.decode_endpoint])

    def _first_token(self, flow: Flow) -> None:
        if not flow.ended and flow.outcome.first_ms is None:
            flow.outcome.first_ms = self.clock.now_ms()

    def _finish(
        self,
        flow: Flow,
        engine: decision_engines.DecodeEngine,
        incarnation: int,
    ) -> None:
        number = flow.outcome.request.number
        if engine.incarnation == incarnation and engine.alive:
            self._release(engine, number)
            flow.outcome.runs += 1
        if flow.ended:
            return
        flow.outcome.end_ms = self.clock.now_ms()
        self._end_attempt(flow, messages.FINISHED_DONE, '')

    def _end_attempt(self, flow: Flow, outcome: str, endpoint: str) -> None:
        flow.ended = True
        request = flow.outcome.request
        self._flows.pop(request.number, None)
        finished = messages.Finished(
            messages.RequestId(request.host, 1, request.number),
            flow.attempt,
            outcome,
            request.output_tokens if outcome == messages.FINISHED_DONE else 0,
            endpoint,
        )
        self._at(
            self._in(HOP_MS),
            self._timed,
            self.policy.finish,
            flow.placement,
            finished,
        )

    def _fail(self, flow: Flow, endpoint: str) -> None:
        outcome = messages.FINISHED_DECODE_FAILED
        if endpoint in self.prefills:
            outcome = messages.FINISHED_PREFILL_FAILED
        self.ends_ms.pop(flow.outcome.request.number, None)
        self._end_attempt(flow, outcome, endpoint)
        self._retry(flow, [endpoint])

    def _retry(self, flow: Flow, excluded: list[str]) -> None:
        if flow.attempt >= MAX_ATTEMPTS:
            flow.outcome.refused = 'attempts'
            return
        self._admit(Flow(flow.outcome, flow.attempt + 1), excluded)


class Measures:
    """What one run came to."""

    def __init__(self, run: Run, classes: list[models.ServiceClass]):
        self._classes = {c.name: c for c in classes}
        self.offered: collections.Counter[str] = collections.Counter()
        self.good: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.good_by_class: collections.Counter[str] = collections.Counter()
        self.offered_by_class: collections.Counter[str] = collections.Counter()
        for outcome in run.outcomes:
            self._count(outcome)
        offered = max(1, sum(self.offered.values()))
        self.goodput = sum(self.good.values()) / offered
        self.refusal_share = sum(self.refused.values()) / offered
        self.wasted_share = run.wasted_ms / max(1.0, run.prefill_ms)
        self.cpu_us = run.policy_cpu_ns / 1_000 / offered
        self.duplicates = sum(o.runs > 1 for o in run.outcomes)
        self.orphaned_ms = sum(run.orphan_times_ms)
        self.longest_orphan_ms = max(run.orphan_times_ms, default=0)
        self.offered_total = offered

    def _count(self, outcome: Outcome) -> None:
        request = outcome.request
        if outcome.refused == 'host-lost':
            return
        self.offered[request.workspace] += 1
        self.offered_by_class[request.class_name] += 1
        if outcome.refused:
            self.refused[outcome.refused] += 1
        if self._in_target(outcome):
            self.good[request.workspace] += 1
            self.good_by_class[request.class_name] += 1

    def _in_target(self, outcome: Outcome) -> bool:
        if outcome.end_ms is None or outcome.first_ms is None:
            return False
        request = outcome.request
        declared = self._classes[request.class_name]
        waited_ms = outcome.first_ms - request.arrival_ms
        if waited_ms > declared.first_token_target_ms:
            return False
        gaps = max(1, request.output_tokens - 1)
        between_ms = (outcome.end_ms - outcome.first_ms) / gaps
        return between_ms <= declared.between_tokens_target_ms

    def worst_served(self, except_for: str = '') -> float:
        """Returns the lowest goodput share of the other workspaces."""
        return min(
            self.good[name] / offered
            for name, offered in self.offered.items()
            if name != except_for
        )
