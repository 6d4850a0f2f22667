"""What an entry host has asked of pools, holds there, and has to report."""

from concurrent import futures
import threading

from returns import result

from masticquay_scheduling import messages
from masticquay_scheduling import placements

MAX_FINISHED_IN_MESSAGE = 64

Outcome = messages.Placement | messages.Refused


class PendingAdmit:
    """A request for a placement that has no answer yet.

    :param spills_left: how many other pools may still be tried
    """

    __slots__ = (
        'admit',
        'future',
        'began_ms',
        'sent_ms',
        'owned_ms',
        'owner',
        'round',
        'retry_ms',
        'spills_left',
        'tried',
        'withdrawn',
        '_budgets',
    )

    def __init__(self, admit: messages.Admit, began_ms: int, spills_left: int):
        self.admit = admit
        self.future: futures.Future = futures.Future()
        self.began_ms = began_ms
        self.sent_ms = began_ms
        self.owned_ms = began_ms
        self.owner: tuple[str, int] | None = None
        self.round = 0
        self.retry_ms: int | None = None
        self.spills_left = spills_left
        self.tried = {admit.pool}
        self.withdrawn = False
        self._budgets = (
            admit.first_token_ms,
            admit.deadline_ms,
            admit.max_wait_ms,
        )

    @property
    def key(self) -> placements.AttemptKey:
        """The identity of the attempt."""
        return placements.attempt_key(self.admit.request, self.admit.attempt)

    def refresh(self, now_ms: int) -> messages.Admit | None:
        """Returns the message with the time left; None when none is left."""
        elapsed_ms = now_ms - self.began_ms
        first_ms, deadline_ms, wait_ms = self._budgets
        if elapsed_ms and elapsed_ms >= min(deadline_ms, wait_ms):
            return None
        admit = messages.Admit(
            **{
                name: getattr(self.admit, name)
                for name in self.admit.__slots__
            }
        )
        admit.first_token_ms = first_ms - (now_ms - self.owned_ms)
        admit.deadline_ms = deadline_ms - elapsed_ms
        admit.max_wait_ms = wait_ms - elapsed_ms
        return admit

    def restart(self, now_ms: int) -> None:
        """Counts the first-token target anew, after the owner was lost.

        The wait and the deadline go on: the request is answered late rather
        than refused for a loss that was not its own.
        """
        self.owned_ms = now_ms

    def turn_to(self, pool: str) -> None:
        """Chooses another pool."""
        self.spills_left -= 1
        self.tried.add(pool)
        self.admit.pool = pool


class OutstandingTable:
    """Pending requests, running placements, and ended ones to report."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: dict[placements.AttemptKey, PendingAdmit] = {}
        self._running: dict[placements.AttemptKey, messages.Placement] = {}
        self._finished: dict[str, list[messages.Finished]] = {}

    # Pending requests.

    def add_pending(self, pending: PendingAdmit) -> None:
        """Adds a request that waits for its answer."""
        with self._lock:
            self._pending[pending.key] = pending

    def pending(self) -> list[PendingAdmit]:
        """Returns the requests that wait."""
        with self._lock:
            return list(self._pending.values())

    def is_known(self, key: placements.AttemptKey) -> bool:
        """Whether an attempt waits or runs."""
        with self._lock:
            return key in self._pending or key in self._running

    def pending_of(self, request: messages.RequestId) -> list[PendingAdmit]:
        """Returns the waiting attempts of one request."""
        return [p for p in self.pending() if p.admit.request == request]

    def resolve(
        self, pending: PendingAdmit, outcome: Outcome, placed: bool
    ) -> bool:
        """Ends a request with its answer; False when it had one already."""
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

    def complete(self, placement: messages.Placement) -> None:
        """Replaces a placement by its completed form."""
        key = placements.attempt_key(placement.request, placement.attempt)
        with self._lock:
            if key in self._running:
                self._running[key] = _without_prefill(placement)

    def end_prefill(self, request: messages.RequestId, attempt: int) -> None:
        """Notes that the prefill of an attempt has ended."""
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
        """Returns what runs in a pool."""
        with self._lock:
            return [p for p in self._running.values() if p.pool == pool]

    # Ended attempts.

    def add_finished(self, pool: str, finished: messages.Finished) -> None:
        """Adds an ended attempt to report."""
        with self._lock:
            self._finished.setdefault(pool, []).append(finished)

    def restore_finished(
        self, pool: str, finished: list[messages.Finished]
    ) -> None:
        """Adds again what could not be reported."""
        with self._lock:
            self._finished.setdefault(pool, []).extend(finished)

    def take_finished(self, pool: str) -> list[messages.Finished]:
        """Removes and returns ended attempts to report."""
        with self._lock:
            waiting = self._finished.get(pool, [])
            taken = waiting[:MAX_FINISHED_IN_MESSAGE]
            del waiting[:MAX_FINISHED_IN_MESSAGE]
        return taken

    def pools_with_finished(self) -> list[str]:
        """Returns the pools for which there is something to report."""
        with self._lock:
            return [pool for pool, ended in self._finished.items() if ended]


def _without_prefill(placement: messages.Placement) -> messages.Placement:
    fields = {name: getattr(placement, name) for name in placement.__slots__}
    fields['prefill_endpoint'] = ''
    return messages.Placement(**fields)
