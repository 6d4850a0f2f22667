"""Measures wrongful refusals of rate grants against one central bucket."""

import heapq
import random as random_module
import typing

from masticquay_bundles import models
from masticquay_scheduling import charges
from masticquay_scheduling import grants
from masticquay_scheduling import limiters
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks

HOP_MS = 1
ROUND_MS = 10
MAX_WAIT_MS = 200
OWNER = ('h0', 1)
TRACE_LOAD = 0.9


class CentralBucket:
    """The bucket that one host with all knowledge would keep.

    It is charged for what the hosts accepted, so it says of each refusal
    whether the workspace was within its rate and burst just then.
    """

    def __init__(self, workspace: models.Workspace):
        self._workspace = workspace
        self._level = float(workspace.burst_tokens)
        self._filled_ms = 0

    def covers(self, tokens: int, now_ms: int) -> bool:
        """Returns whether the tokens are there."""
        self._fill(now_ms)
        return self._level >= tokens

    def charge(self, tokens: int, now_ms: int) -> None:
        """Takes tokens."""
        self._fill(now_ms)
        self._level -= tokens

    def _fill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._filled_ms
        self._filled_ms = now_ms
        self._add(elapsed_ms * self._workspace.rate_tokens_per_s / 1000)

    def refund(self, tokens: int) -> None:
        """Gives tokens back."""
        self._add(tokens)

    def _add(self, tokens: float) -> None:
        full = self._workspace.burst_tokens
        self._level = min(full, self._level + tokens)


class RateRun:
    """Charges of one workspace on several hosts, in scaled time.

    :param hosts: how many hosts get requests
    """

    def __init__(self, workspace: models.Workspace, hosts: int, seed: int):
        self._random = random_module.Random(f'{seed}/{workspace.name}')
        self._workspace = workspace
        self.clock = clocks.ManualClock()
        settings = scheduling_settings.SchedulingSettings()
        self._limiter = limiters.RateLimiter(
            workspace, self.clock, settings, workspace.burst_tokens, 1
        )
        self._central = CentralBucket(workspace)
        self._queues = []
        for number in range(hosts):
            holder = grants.GrantHolder(
                workspace.name, f'h{number}', 1, settings
            )
            queue = charges.ChargeQueue(holder)
            queue.turn_to(OWNER, {OWNER})
            self._queues.append(queue)
        self._events: list[tuple[int, int, typing.Callable, tuple]] = []
        self._sequence = 0
        self.charged = 0
        self.wrongly_refused = 0
        self.rightly_refused = 0
        self.messages = 0

    def run(self, duration_ms: int, mean_tokens: int) -> None:
        """Draws requests at nine tenths of the rate."""
        rate = self._workspace.rate_tokens_per_s * TRACE_LOAD / 1000
        now_ms = 0.0
        while now_ms < duration_ms:
            now_ms += self._random.expovariate(rate / mean_tokens)
            tokens = max(1, int(self._random.expovariate(1 / mean_tokens)))
            tokens = min(tokens, self._workspace.burst_tokens // 2)
            self._at(int(now_ms), self._request, tokens)
        for start_ms in range(0, duration_ms + 1_000, ROUND_MS):
            self._at(start_ms, self._round)
        while self._events:
            due_ms, _, step, arguments = heapq.heappop(self._events)
            self.clock.advance_ms(max(0, due_ms - self.clock.now_ms()))
            step(*arguments)

    def _at(self, due_ms: int, step: typing.Callable, *arguments) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (due_ms, self._sequence, step, arguments))

    def _request(self, tokens: int) -> None:
        now_ms = self.clock.now_ms()
        allowed = self._central.covers(tokens, now_ms)
        queue = self._random.choice(self._queues)
        charge = charges.Charge(tokens, now_ms + MAX_WAIT_MS)
        charge.future.add_done_callback(
            lambda done: self._count(allowed, done)
        )
        self.charged += 1
        unused = int(tokens * 0.3)
        if queue.add(charge, now_ms):
            charge.accept()
        else:
            self._ask(queue)
        self._at(now_ms + 3_000, self._refund, queue, charge, unused)

    def _refund(
        self, queue: charges.ChargeQueue, charge: charges.Charge, tokens: int
    ) -> None:
        done = charge.future
        if done.done() and done.result().value_or(0):
            self._central.refund(tokens)
            queue.holder.refund(tokens, self.clock.now_ms())

    def _count(self, allowed: bool, done) -> None:
        spent = done.result().value_or(0)
        if spent:
            self._central.charge(spent, self.clock.now_ms())
            return
        if allowed:
            self.wrongly_refused += 1
        else:
            self.rightly_refused += 1

    def _round(self) -> None:
        for queue in self._queues:
            self._serve(queue)
            self._ask(queue)

    def _ask(self, queue: charges.ChargeQueue) -> None:
        request = queue.next_request(1, self.clock.now_ms())
        if request is not None:
            self.messages += 1
            due_ms = self.clock.now_ms() + HOP_MS
            self._at(due_ms, self._answer, queue, request)

    def _answer(self, queue: charges.ChargeQueue, request) -> None:
        grant = self._limiter.request(request)
        due_ms = self.clock.now_ms() + HOP_MS
        self._at(due_ms, self._take, queue, grant)

    def _take(self, queue: charges.ChargeQueue, grant) -> None:
        now_ms = self.clock.now_ms()
        queue.take_answer(grant.sequence, grant, OWNER, now_ms)
        self._serve(queue)
        self._ask(queue)

    def _serve(self, queue: charges.ChargeQueue) -> None:
        paid, late = queue.serve(self.clock.now_ms())
        for charge in paid:
            charge.accept()
        for charge in late:
            charge.refuse()
