"""Supervision of requests in progress: callers, lease and deadlines."""

import logging
import threading

from masticquay_entry import runs
from masticquay_membership import protocols
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 100
# How long after its deadline a dispatched non-idempotent call may run.
FINISH_GRACE_MS = 5_000


class Supervisor:
    """Interrupts requests that must not go on.

    Those are requests whose caller disconnected or stalled, keyed requests
    after the lease is lost, and requests past their deadline.

    One thread checks all requests, so the threads that serve them may
    block.
    """

    def __init__(
        self,
        membership: protocols.Membership,
        registry: runs.RunRegistry,
        clock: clocks.Clock,
        caller_stall_ms: int,
    ):
        self._membership = membership
        self._registry = registry
        self._clock = clock
        self._caller_stall_ms = caller_stall_ms
        self._stopped = threading.Event()
        self._lease_valid = True
        self._thread = threading.Thread(
            target=self._run, name='supervisor', daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_MS / 1000):
            try:
                self.check_once()
            except Exception:
                LOG.exception('checking requests in progress failed')

    def check_once(self) -> None:
        """Checks the lease and every request once."""
        self._check_lease()
        now_ms = self._clock.now_ms()
        for run in self._registry.list_runs():
            self._check_run(run, now_ms)

    def _check_lease(self) -> None:
        valid = self._membership.lease_valid()
        if not valid:
            self._registry.interrupt_keyed_runs()
        if valid != self._lease_valid:
            self._lease_valid = valid
            LOG.info(
                'session lease regained' if valid else 'session lease lost'
            )

    def _check_run(self, run: runs.Run, now_ms: int) -> None:
        if run.caller.is_disconnected():
            _interrupt_if_allowed(run, runs.CALLER_GONE)
            return
        if self._is_stalled(run, now_ms):
            run.caller.abort()
            _interrupt_if_allowed(run, runs.CALLER_STALLED)
            return
        if now_ms >= run.deadline_ms:
            _interrupt_if_allowed(run, runs.DEADLINE)
        if now_ms >= run.deadline_ms + FINISH_GRACE_MS:
            run.interrupt.fire(runs.DEADLINE)

    def _is_stalled(self, run: runs.Run, now_ms: int) -> bool:
        sent_bytes = run.caller.sent_bytes()
        if sent_bytes != run.last_sent_bytes or not run.caller.unsent_bytes():
            run.last_sent_bytes = sent_bytes
            run.last_progress_ms = now_ms
            return False
        return now_ms - run.last_progress_ms > self._caller_stall_ms


def _interrupt_if_allowed(run: runs.Run, reason: str) -> None:
    """Interrupts a request unless it is a dispatched non-idempotent call."""
    with run.lock:
        if run.dispatched and run.finishes_once_dispatched:
            return
        run.interrupt.fire(reason)
