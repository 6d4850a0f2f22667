"""Requests in progress, and the reasons that end them early."""

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

# Reasons of interrupts. Callers receive them as error codes.
CALLER_GONE = 'caller-gone'
CALLER_STALLED = 'caller-stalled'
KEY_WITHDRAWN = 'key-withdrawn'
LEASE_LOST = 'lease-lost'
DEADLINE = 'deadline'
STOPPING = 'stopping'


class CallerConnection(typing.Protocol):
    """The connection that a request came over."""

    def is_disconnected(self) -> bool:
        """Whether the connection has ended."""

    def unsent_bytes(self) -> int:
        """Returns the number of bytes that are waiting to be sent."""

    def sent_bytes(self) -> int:
        """Returns the number of bytes sent so far."""

    def abort(self) -> None:
        """Drops the connection."""


class Run:
    """The state of one request in progress.

    :ivar finishes_once_dispatched: set for a non-idempotent call, which
        goes on after dispatch when its key is withdrawn, the lease is lost
        or the caller disconnects
    :ivar dispatched: bytes of the request may have reached an endpoint
    :ivar may_have_run: an endpoint may have worked on the request
    :ivar lock: makes the decision to interrupt atomic with the dispatch
    :ivar last_sent_bytes: bytes sent to the caller at ``last_progress_ms``,
        when the connection last took output or had none waiting
    """

    __slots__ = (
        'request_id',
        'admission',
        'caller',
        'interrupt',
        'finishes_once_dispatched',
        'dispatched',
        'may_have_run',
        'arrived_ms',
        'deadline_ms',
        'lock',
        'last_sent_bytes',
        'last_progress_ms',
    )

    def __init__(
        self,
        request_id: messages.RequestId,
        admission: admissions.Admission,
        caller: CallerConnection,
        arrived_ms: int,
    ):
        self.request_id = request_id
        self.admission = admission
        self.caller = caller
        self.interrupt = interrupts.Interrupt()
        self.finishes_once_dispatched = not admission.route.idempotent
        self.dispatched = False
        self.may_have_run = False
        self.arrived_ms = arrived_ms
        self.deadline_ms = arrived_ms + admission.service_class.deadline_ms
        self.lock = threading.Lock()
        self.last_sent_bytes = 0
        self.last_progress_ms = arrived_ms

    @contextlib.contextmanager
    def sending(self) -> typing.Iterator[None]:
        """Marks that the request may have run, around a call of an endpoint.

        The mark is undone when nothing was sent, or when the endpoint said
        that it did not execute the request.
        """
        before = self.may_have_run
        self.may_have_run = True
        try:
            yield
        except (errors.NotSentError, errors.NotRunError):
            self.may_have_run = before
            raise

    @property
    def outcome(self) -> str:
        """The outcome to report if the request fails now."""
        return refusals.UNKNOWN if self.may_have_run else refusals.NOT_RUN

    def remaining_ms(self, clock: clocks.Clock) -> int:
        """Returns the time left until the deadline.

        :raises Refusal: when the deadline has passed
        """
        remaining_ms = self.deadline_ms - clock.now_ms()
        if remaining_ms <= 0:
            raise self.refusal_for(DEADLINE)
        return remaining_ms

    def refusal_for(self, reason: str) -> refusals.Refusal:
        """Returns the refusal for the reason of an interrupt."""
        if reason == KEY_WITHDRAWN:
            return refusals.key_withdrawn(self.outcome)
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
    """All requests in progress on this host."""

    def __init__(self, authorizer: admissions.Authorizer):
        self._authorizer = authorizer
        self._runs: set[Run] = set()
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)

    def add(self, run: Run) -> None:
        """Adds a request that has been admitted."""
        with self._lock:
            self._runs.add(run)

    def remove(self, run: Run) -> None:
        """Removes a request that has ended."""
        with self._lock:
            self._runs.discard(run)
            if not self._runs:
                self._idle.notify_all()

    def list_runs(self) -> list[Run]:
        """Returns the requests in progress."""
        with self._lock:
            return list(self._runs)

    def wait_idle(self, timeout_ms: int) -> bool:
        """Waits until no request is in progress; False after a timeout."""
        with self._lock:
            return self._idle.wait_for(
                lambda: not self._runs, timeout_ms / 1000
            )

    def begin_dispatch(self, run: Run) -> None:
        """Marks that bytes of the request may reach an endpoint from now on.

        The check of the key and the mark are atomic with respect to
        ``interrupt_runs_of_keys``.

        :raises Refusal: when the key is no longer valid
        :raises InterruptedCallError: when the request was interrupted
        """
        with run.lock:
            run.interrupt.check()
            self._authorizer.recheck_key(run.admission)
            run.dispatched = True

    def cancel_dispatch(self, run: Run) -> None:
        """Removes the mark after a send that failed before its first byte."""
        with run.lock:
            run.dispatched = False

    def interrupt_runs_of_keys(self, digests: frozenset[str]) -> None:
        """Interrupts requests of withdrawn keys.

        A dispatched request goes on if it is non-idempotent or its route lets
        it finish.
        """
        for run in self.list_runs():
            if run.admission.key_digest in digests:
                _interrupt_keyed_run(run, KEY_WITHDRAWN)

    def interrupt_keyed_runs(self) -> None:
        """Interrupts keyed requests after the lease is lost.

        Without a lease this host cannot learn of withdrawn keys. The same
        requests go on as after a withdrawal.
        """
        for run in self.list_runs():
            if run.admission.keyed:
                _interrupt_keyed_run(run, LEASE_LOST)

    def apply_state(
        self, old: protocols.HostState, new: protocols.HostState
    ) -> None:
        """Membership listener: interrupts requests of withdrawn keys."""
        withdrawn = new.withdrawn_key_digests - old.withdrawn_key_digests
        if withdrawn:
            self.interrupt_runs_of_keys(withdrawn)


def _interrupt_keyed_run(run: Run, reason: str) -> None:
    with run.lock:
        finishes = (
            run.finishes_once_dispatched
            or run.admission.route.on_withdrawal == models.WITHDRAWAL_FINISH
        )
        if run.dispatched and finishes:
            return
        run.interrupt.fire(reason)
