"""Requests under way, and what may end them early."""

import contextlib
import threading
import typing

from masticquay_bundles import models
from masticquay_endpoints import errors
from masticquay_endpoints import interrupts
from masticquay_entry import admissions
from masticquay_entry import refusals
from masticquay_membership import protocols
from masticquay_scheduling import messages
from masticquay_wire import clocks

CALLER_GONE = 'caller-gone'
CALLER_STALLED = 'caller-stalled'
KEY_WITHDRAWN = 'key-withdrawn'
LEASE_LOST = 'lease-lost'
DEADLINE = 'deadline'
STOPPING = 'stopping'


class Caller(typing.Protocol):
    """The connection that a request came over."""

    def is_gone(self) -> bool:
        """Whether the caller closed the connection."""

    def waiting_bytes(self) -> int:
        """Returns how much output the caller has not taken yet."""

    def sent_bytes(self) -> int:
        """Returns how much output the caller's connection took so far."""

    def cut(self) -> None:
        """Drops the connection."""


class Run:
    """One request under way.

    :ivar finishes: once dispatched, it goes on whatever happens to its key
        and to its caller, as a non-idempotent call does
    :ivar may_have_run: an endpoint may have worked on it
    """

    __slots__ = (
        'request',
        'admission',
        'caller',
        'interrupt',
        'finishes',
        'dispatched',
        'may_have_run',
        'arrived_ms',
        'deadline_ms',
        'lock',
        'progress_bytes',
        'progress_ms',
    )

    def __init__(
        self,
        request: messages.RequestId,
        admission: admissions.Admission,
        caller: Caller,
        arrived_ms: int,
    ):
        self.request = request
        self.admission = admission
        self.caller = caller
        self.interrupt = interrupts.Interrupt()
        self.finishes = not admission.route.idempotent
        self.dispatched = False
        self.may_have_run = False
        self.arrived_ms = arrived_ms
        self.deadline_ms = arrived_ms + admission.service_class.deadline_ms
        self.lock = threading.Lock()
        self.progress_bytes = 0
        self.progress_ms = arrived_ms

    @contextlib.contextmanager
    def sending(self) -> typing.Iterator[None]:
        """Notes that the request may run, unless the endpoint refuses it."""
        before = self.may_have_run
        self.may_have_run = True
        try:
            yield
        except (errors.NotSentError, errors.RefusedError):
            self.may_have_run = before
            raise

    @property
    def outcome(self) -> str:
        """What is known when the request fails now."""
        return refusals.UNKNOWN if self.may_have_run else refusals.NOT_RUN

    def left_ms(self, clock: clocks.Clock) -> int:
        """Returns the time left.

        :raises Refusal: when there is none
        """
        left_ms = self.deadline_ms - clock.now_ms()
        if left_ms <= 0:
            raise self.refusal_for(DEADLINE)
        return left_ms

    def refusal_for(self, reason: str) -> refusals.Refusal:
        """Turns the reason of an interrupt into the caller's form."""
        if reason == KEY_WITHDRAWN:
            return refusals.withdrawn(self.outcome)
        if reason == LEASE_LOST:
            return refusals.lease_lost(self.outcome)
        if reason == DEADLINE:
            return refusals.Refusal(
                504 if self.may_have_run else 503,
                DEADLINE,
                'the deadline has passed',
                self.outcome,
                retry_after_ms=1_000,
            )
        return refusals.Refusal(503, reason, reason, self.outcome)


class RunRegistry:
    """All requests under way on this host."""

    def __init__(self, gate: admissions.Gate):
        self._gate = gate
        self._runs: set[Run] = set()
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)

    def add(self, run: Run) -> None:
        """Notes a request."""
        with self._lock:
            self._runs.add(run)

    def remove(self, run: Run) -> None:
        """Forgets a request that has ended."""
        with self._lock:
            self._runs.discard(run)
            if not self._runs:
                self._idle.notify_all()

    def list_runs(self) -> list[Run]:
        """Returns the requests under way."""
        with self._lock:
            return list(self._runs)

    def wait_idle(self, timeout_ms: int) -> bool:
        """Waits until no request is under way."""
        with self._lock:
            return self._idle.wait_for(
                lambda: not self._runs, timeout_ms / 1000
            )

    def begin_dispatch(self, run: Run) -> None:
        """Marks that bytes of the request may reach an endpoint from now on.

        The check and the mark are one step against ``withdraw_keys``.

        :raises Refusal: when the key no longer stands
        """
        with run.lock:
            run.interrupt.check()
            self._gate.recheck(run.admission)
            run.dispatched = True

    def cancel_dispatch(self, run: Run) -> None:
        """Takes the mark back: no byte went out."""
        with run.lock:
            run.dispatched = False

    def withdraw_keys(self, digests: frozenset[str]) -> None:
        """Ends the requests of withdrawn keys, as their routes say."""
        for run in self.list_runs():
            if run.admission.key_digest in digests:
                _end_keyed(run, KEY_WITHDRAWN)

    def lose_lease(self) -> None:
        """Ends keyed requests: keys can no longer be checked."""
        for run in self.list_runs():
            if run.admission.keyed:
                _end_keyed(run, LEASE_LOST)

    def apply_state(
        self, old: protocols.HostState, new: protocols.HostState
    ) -> None:
        """Listens to membership for withdrawals."""
        withdrawn = new.withdrawn - old.withdrawn
        if withdrawn:
            self.withdraw_keys(withdrawn)


def _end_keyed(run: Run, reason: str) -> None:
    with run.lock:
        finishes = (
            run.finishes
            or run.admission.route.on_withdrawal == models.WITHDRAWAL_FINISH
        )
        if run.dispatched and finishes:
            return
        run.interrupt.fire(reason)
