"""The watch over requests under way: callers, leases and deadlines."""

import logging
import threading

from masticquay_entry import runs
from masticquay_membership import protocols
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

TICK_MS = 100
# A non-idempotent call that has been sent is waited for this much longer.
FINISH_GRACE_MS = 5_000


class Supervisor:
    """Interrupts requests whose caller, key or time is gone.

    One thread looks at all requests, so that the threads that serve them
    may block.
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
        while not self._stopped.wait(TICK_MS / 1000):
            try:
                self.check_once()
            except Exception:
                LOG.exception('a check of running requests failed')

    def check_once(self) -> None:
        """Looks at every request once."""
        self._check_lease()
        now_ms = self._clock.now_ms()
        for run in self._registry.list_runs():
            self._check_run(run, now_ms)

    def _check_lease(self) -> None:
        valid = self._membership.lease_valid()
        if not valid:
            self._registry.lose_lease()
        if valid != self._lease_valid:
            self._lease_valid = valid
            LOG.info('lease valid' if valid else 'lease lost')

    def _check_run(self, run: runs.Run, now_ms: int) -> None:
        if run.caller.is_gone():
            _end_unless_finishing(run, runs.CALLER_GONE)
            return
        if self._is_stalled(run, now_ms):
            run.caller.cut()
            _end_unless_finishing(run, runs.CALLER_STALLED)
            return
        if now_ms >= run.deadline_ms:
            _end_unless_finishing(run, runs.DEADLINE)
        if now_ms >= run.deadline_ms + FINISH_GRACE_MS:
            run.interrupt.fire(runs.DEADLINE)

    def _is_stalled(self, run: runs.Run, now_ms: int) -> bool:
        sent_bytes = run.caller.sent_bytes()
        if sent_bytes != run.progress_bytes or not run.caller.waiting_bytes():
            run.progress_bytes = sent_bytes
            run.progress_ms = now_ms
            return False
        return now_ms - run.progress_ms > self._caller_stall_ms


def _end_unless_finishing(run: runs.Run, reason: str) -> None:
    with run.lock:
        if run.dispatched and run.finishes:
            return
        run.interrupt.fire(reason)
