"""Simulates a trace of requests under a scheduling policy."""

import random as random_module
import typing

from masticquay_bench import decision_attempts
from masticquay_bench import decision_engines
from masticquay_bench import decision_policies
from masticquay_bench import decision_states
from masticquay_bench import decision_traces
from masticquay_bundles import models
from masticquay_wire import clocks

POLL_INTERVAL_MS = 250
TICK_INTERVAL_MS = 10
# Time from the failure of a host until a view without it is in force.
EVICTION_DELAY_MS = 3_500
# Time from an eviction until the engines cancel the host's requests.
CANCEL_DELAY_MS = 10
# How long the simulation runs on after the last arrival.
DRAIN_MS = 130_000


MakePolicy = typing.Callable[
    [models.Bundle, clocks.Clock], decision_policies.Policy
]


class Simulation:
    """Simulates one trace under one policy, with engine and host failures.

    :param engine_losses: name, time of failure and downtime of engines
    :param host_loss_ms: when host h0 fails for good, None for never
    """

    def __init__(
        self,
        deployment: decision_traces.Deployment,
        make_policy: MakePolicy,
        trace: list[decision_traces.Request],
        seed: int,
        engine_losses: list[tuple[str, int, int]] | None = None,
        host_loss_ms: int | None = None,
    ):
        clock = clocks.ManualClock()
        bundle = deployment.make_bundle()
        random = random_module.Random(seed)
        self._trace = trace
        self._state = decision_states.State(
            clock,
            make_policy(bundle, clock),
            {
                e.name: decision_engines.PrefillEngine(e, random)
                for e in bundle.endpoints
                if models.ROLE_PREFILL in e.roles
            },
            {
                e.name: decision_engines.DecodeEngine(e)
                for e in bundle.endpoints
                if models.ROLE_DECODE in e.roles
            },
        )
        self._runner = decision_attempts.AttemptRunner(
            self._state, {c.name: c for c in bundle.classes}
        )
        for scheduler in self._state.policy.schedulers():
            scheduler.binder.decode_ends_ms = self._state.decode_ends_ms
        self._schedule_faults(engine_losses or [], host_loss_ms)

    def run(self) -> decision_states.State:
        """Runs the whole trace until its last requests are drained.

        :returns: the state at the end
        """
        for request in self._trace:
            self._state.schedule(
                request.arrival_ms, self._runner.arrive, request
            )
        last_ms = self._trace[-1].arrival_ms if self._trace else 0
        end_ms = last_ms + DRAIN_MS
        self._state.schedule(0, self._poll_engines, end_ms)
        self._state.schedule(0, self._tick_policy, end_ms)
        self._state.run_events()
        return self._state

    def _schedule_faults(
        self,
        engine_losses: list[tuple[str, int, int]],
        host_loss_ms: int | None,
    ) -> None:
        for name, failed_ms, downtime_ms in engine_losses:
            self._state.schedule(failed_ms, self._fail_engine, name)
            self._state.schedule(
                failed_ms + downtime_ms, self._restart_engine, name
            )
        if host_loss_ms is not None:
            self._state.schedule(host_loss_ms, self._fail_host, 'h0')
            self._state.schedule(
                host_loss_ms + EVICTION_DELAY_MS, self._evict_host, 'h0'
            )

    def _engine(self, name: str):
        return (
            self._state.prefill_engines.get(name)
            or self._state.decode_engines[name]
        )

    def _fail_engine(self, name: str) -> None:
        """Fails an engine and all attempts that it is serving."""
        self._engine(name).alive = False
        for attempt in list(self._state.attempts.values()):
            placement = attempt.placement
            if placement is None or attempt.ended:
                continue
            current_endpoint = placement.decode_endpoint
            if attempt.prefilled_ms is None or not current_endpoint:
                current_endpoint = placement.prefill_endpoint
            if current_endpoint == name:
                self._runner.fail_attempt(attempt, name)

    def _restart_engine(self, name: str) -> None:
        self._engine(name).start()

    def _fail_host(self, host: str) -> None:
        """Fails a host; its requests that are being decoded are orphaned."""
        self._state.failed_hosts.add(host)
        now_ms = self._state.clock.now_ms()
        for number, attempt in list(self._state.attempts.items()):
            if attempt.outcome.request.host == host:
                attempt.ended = True
                attempt.outcome.refusal_reason = 'host-lost'
                if number in self._decoding_numbers():
                    self._state.orphaned_since_ms[number] = now_ms
                del self._state.attempts[number]

    def _decoding_numbers(self) -> set[int]:
        return {
            n for e in self._state.decode_engines.values() for n in e.running
        }

    def _evict_host(self, host: str) -> None:
        """Tells the policy that a host has left the view."""
        live_hosts = {(f'h{n}', 1) for n in range(64)} - {(host, 1)}
        for scheduler in self._state.policy.schedulers():
            scheduler.remove_absent_hosts(live_hosts)
            self._state.schedule(
                self._state.time_after(CANCEL_DELAY_MS),
                self._apply_cancels,
                scheduler,
            )

    def _apply_cancels(self, scheduler) -> None:
        """Cancels at the engines what the scheduler wants cancelled."""
        for name, request in scheduler.pending_cancels():
            if name in self._state.decode_engines:
                self._state.release(
                    self._state.decode_engines[name], request.number
                )
            scheduler.acknowledge_cancel(name, request)

    def _poll_engines(self, end_ms: int) -> None:
        """Passes loads and cache events to the policy, until a time."""
        now_ms = self._state.clock.now_ms()
        for name, engine in (
            self._state.prefill_engines | self._state.decode_engines
        ).items():
            load = engine.load() if engine.alive else None
            self._state.schedule(
                self._state.time_after(decision_engines.LOAD_DELAY_MS),
                self._state.call_policy,
                self._state.policy.apply_load,
                name,
                load,
            )
        for scheduler in self._state.policy.schedulers():
            for name, sequence in scheduler.endpoint_sequences().items():
                engine = self._state.prefill_engines.get(name)
                if engine is not None and engine.alive:
                    events = engine.events_after(sequence, now_ms)
                    self._state.call_policy(
                        scheduler.apply_cache_events, name, events
                    )
                    engine.discard_events(sequence)
        if now_ms < end_ms:
            self._state.schedule(
                self._state.time_after(POLL_INTERVAL_MS),
                self._poll_engines,
                end_ms,
            )

    def _tick_policy(self, end_ms: int) -> None:
        self._state.call_policy(
            self._state.policy.tick, self._state.clock.now_ms()
        )
        if self._state.clock.now_ms() < end_ms:
            self._state.schedule(
                self._state.time_after(TICK_INTERVAL_MS),
                self._tick_policy,
                end_ms,
            )
