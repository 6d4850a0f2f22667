"""An entry host's pending, running and ended attempts."""

from concurrent import futures
import threading

from returns import result

from masticquay_scheduling import messages
from masticquay_scheduling import placements

MAX_FINISHED_IN_MESSAGE = 64

Outcome = messages.Placement | messages.Refused


class PendingAdmit:
    """An attempt that waits for a placement or a refusal.

    :param spills_left: how many other pools may still be tried
    :ivar send_count: how often it was sent; answers to earlier sends do not
        count
    :ivar target_started_ms: the time from which the first-token target counts
    :ivar retry_ms: when to send it again, None while an answer is awaited
    """

    __slots__ = (
        'admit',
        'future',
        'began_ms',
        'sent_ms',
        'target_started_ms',
        'owner',
        'send_count',
        'retry_ms',
        'spills_left',
        'tried_pools',
        'withdrawn',
        '_limits_ms',
    )

    def __init__(self, admit: messages.Admit, began_ms: int, spills_left: int):
        self.admit = admit
        self.future: futures.Future = futures.Future()
        self.began_ms = began_ms
        self.sent_ms = began_ms
        self.target_started_ms = began_ms
        self.owner: tuple[str, int] | None = None
        self.send_count = 0
        self.retry_ms: int | None = None
        self.spills_left = spills_left
        self.tried_pools = {admit.pool}
        self.withdrawn = False
        self._limits_ms = (
            admit.first_token_ms,
            admit.deadline_ms,
            admit.max_wait_ms,
        )

    @property
    def key(self) -> placements.AttemptKey:
        """The identity of the attempt."""
        return placements.attempt_key(self.admit.request, self.admit.attempt)

    def make_message(self, now_ms: int) -> messages.Admit | None:
        """Returns a message with the remaining times, None if it expired."""
        elapsed_ms = now_ms - self.began_ms
        first_ms, deadline_ms, wait_ms = self._limits_ms
        if elapsed_ms and elapsed_ms >= min(deadline_ms, wait_ms):
            return None
        admit = messages.Admit(
            **{
                name: getattr(self.admit, name)
                for name in self.admit.__slots__
            }
        )
        admit.first_token_ms = first_ms - (now_ms - self.target_started_ms)
        admit.deadline_ms = deadline_ms - elapsed_ms
        admit.max_wait_ms = wait_ms - elapsed_ms
        return admit

    def restart_first_token_target(self, now_ms: int) -> None:
        """Restarts the first-token target after a change of owner.

        The wait limit and the deadline continue: the attempt may be answered
        late, but is not refused because its owner was lost.
        """
        self.target_started_ms = now_ms

    def switch_pool(self, pool: str) -> None:
        """Switches to another pool of the same model or service."""
        self.spills_left -= 1
        self.tried_pools.add(pool)
        self.admit.pool = pool


class OutstandingTable:
    """Pending attempts, running placements and ended attempts to report."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: dict[placements.AttemptKey, PendingAdmit] = {}
        self._running: dict[placements.AttemptKey, messages.Placement] = {}
        self._finished: dict[str, list[messages.Finished]] = {}

    # Pending attempts.

    def add_pending(self, pending: PendingAdmit) -> None:
        """Adds an attempt that waits for an answer."""
        with self._lock:
            self._pending[pending.key] = pending

    def pending(self) -> list[PendingAdmit]:
        """Returns the attempts that wait for an answer."""
        with self._lock:
            return list(self._pending.values())

    def is_known(self, key: placements.AttemptKey) -> bool:
        """Returns whether an attempt waits for an answer or runs."""
        with self._lock:
            return key in self._pending or key in self._running

    def pending_of(self, request: messages.RequestId) -> list[PendingAdmit]:
        """Returns the attempts of one request that wait for an answer."""
        return [p for p in self.pending() if p.admit.request == request]

    def resolve(
        self, pending: PendingAdmit, outcome: Outcome, placed: bool
    ) -> bool:
        """Answers a pending attempt; returns False if it is not pending."""
        with self._lock:
            if self._pending.pop(pending.key, None) is None:
                return False
            if placed:
                self._running[pending.key] = outcome
        if placed:
            pending.future.set_result(result.Success(outcome))
        else:
            pending.future.set_result(result.Failure(outcome))
        return True

    # Running placements.

    def pool_of(self, request: messages.RequestId, attempt: int) -> str:
        """Returns the pool in which an attempt runs, empty when unknown."""
        key = placements.attempt_key(request, attempt)
        placement = self._running.get(key)
        return placement.pool if placement else ''

    def replace_placement(self, placement: messages.Placement) -> None:
        """Stores a running attempt's new placement, with a decode endpoint.

        The prefill endpoint is dropped, since the prefill has ended.
        """
        key = placements.attempt_key(placement.request, placement.attempt)
        with self._lock:
            if key in self._running:
                self._running[key] = _without_prefill(placement)

    def end_prefill(self, request: messages.RequestId, attempt: int) -> None:
        """Records the end of an attempt's prefill."""
        key = placements.attempt_key(request, attempt)
        with self._lock:
            placement = self._running.get(key)
            if placement is not None:
                self._running[key] = _without_prefill(placement)

    def end(self, request: messages.RequestId, attempt: int) -> str:
        """Removes an attempt; returns its pool, empty when unknown."""
        key = placements.attempt_key(request, attempt)
        with self._lock:
            placement = self._running.pop(key, None)
        return placement.pool if placement else ''

    def placements_in(self, pool: str) -> list[messages.Placement]:
        """Returns the running placements in a pool."""
        with self._lock:
            return [p for p in self._running.values() if p.pool == pool]

    # Ended attempts.

    def add_finished(self, pool: str, finished: messages.Finished) -> None:
        """Adds an ended attempt that is to be reported."""
        with self._lock:
            self._finished.setdefault(pool, []).append(finished)

    def restore_finished(
        self, pool: str, finished: list[messages.Finished]
    ) -> None:
        """Adds ended attempts whose report failed, to report them again."""
        with self._lock:
            self._finished.setdefault(pool, []).extend(finished)

    def take_finished(self, pool: str) -> list[messages.Finished]:
        """Removes and returns ended attempts for one report."""
        with self._lock:
            unreported = self._finished.get(pool, [])
            taken = unreported[:MAX_FINISHED_IN_MESSAGE]
            del unreported[:MAX_FINISHED_IN_MESSAGE]
        return taken

    def pools_with_finished(self) -> list[str]:
        """Returns the pools with ended attempts to report."""
        with self._lock:
            return [pool for pool, ended in self._finished.items() if ended]


def _without_prefill(placement: messages.Placement) -> messages.Placement:
    fields = {name: getattr(placement, name) for name in placement.__slots__}
    fields['prefill_endpoint'] = ''
    return messages.Placement(**fields)
