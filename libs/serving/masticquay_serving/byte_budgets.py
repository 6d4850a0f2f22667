"""Bounds the memory of all requests and answers that are being read."""

import threading
import time
import typing

from masticquay_serving import errors

# Of all bodies of this process together, beyond what each may take freely.
TOTAL_BYTES = 16 * 1024 * 1024
# Most bodies are smaller, so they never wait for the lock of the budget.
FREE_BYTES = 32 * 1024
# Taken at a time.
STEP_BYTES = 64 * 1024


class ByteBudget:
    """A number of bytes shared by all bodies that are being read.

    While the budget is used up, a body waits until another one is complete.
    The largest body does not wait but fails, so that others can go on. One
    that waits for its sender meanwhile is evicted, if it can be.
    """

    __slots__ = ('_total_bytes', '_taken_bytes', '_shares', '_freed')

    def __init__(self, total_bytes: int = TOTAL_BYTES):
        self._total_bytes = total_bytes
        self._taken_bytes = 0
        self._shares: set[Share] = set()
        self._freed = threading.Condition()

    @property
    def taken_bytes(self) -> int:
        """The bytes taken by all bodies."""
        return self._taken_bytes

    def take(self, share: 'Share', due_s: float) -> None:
        """Adds a step to a body's share.

        :param due_s: monotonic time until which it may wait
        :raises BodyBudgetError: if the body is the largest
        :raises BudgetTimeoutError: if others use up the budget for too long
        """
        with self._freed:
            while self._taken_bytes + STEP_BYTES > self._total_bytes:
                largest = max(
                    self._shares, key=lambda s: s.bytes, default=share
                )
                if share.is_evicted or largest.bytes <= share.bytes:
                    raise errors.BodyBudgetError(
                        f'body exceeds {share.bytes} bytes, and all bodies '
                        f'together {self._total_bytes}'
                    )
                largest.evict()
                remaining_s = due_s - time.monotonic()
                if remaining_s <= 0:
                    raise errors.BudgetTimeoutError(
                        'no memory for the body within the timeout'
                    )
                self._freed.wait(remaining_s)
            self._shares.add(share)
            share.bytes += STEP_BYTES
            self._taken_bytes += STEP_BYTES

    def keep(self, share: 'Share') -> None:
        """Rules out that a body is evicted."""
        with self._freed:
            share.rule_out_eviction()

    def free(self, share: 'Share') -> None:
        """Gives back all that a body has taken."""
        with self._freed:
            if share not in self._shares:
                return
            self._shares.remove(share)
            self._taken_bytes -= share.bytes
            share.bytes = 0
            self._freed.notify_all()


class Share:
    """What one body has taken of the budget.

    A context manager, which gives it back.

    :param interrupt: ends the wait of the reader for its sender; it must not
        block. Without it, the body cannot be evicted.
    :ivar bytes: what it has taken, without the free bytes
    :ivar is_evicted: whether it must give back what it has taken
    """

    __slots__ = ('_budget', '_interrupt', 'bytes', 'is_evicted')

    def __init__(
        self,
        budget: ByteBudget,
        interrupt: typing.Callable[[], None] | None = None,
    ):
        self._budget = budget
        self._interrupt = interrupt
        self.bytes = 0
        self.is_evicted = False

    def __enter__(self) -> 'Share':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.give_back()

    def evict(self) -> None:
        """Has the reader give the body up, if it can be interrupted.

        The budget's lock is held.
        """
        if self._interrupt is None or self.is_evicted:
            return
        self.is_evicted = True
        self._interrupt()

    def keep(self) -> bool:
        """Rules an eviction out from now on, as the body is complete.

        :returns: whether the body was not evicted before
        """
        if self.bytes:
            self._budget.keep(self)
        return not self.is_evicted

    def rule_out_eviction(self) -> None:
        """Rules an eviction out; the budget's lock is held."""
        self._interrupt = None

    def give_back(self) -> None:
        """Gives back all that was taken."""
        if self.bytes:
            self._budget.free(self)

    def require(self, size_bytes: int, due_s: float) -> None:
        """Takes bytes until there are enough for a body of this size.

        :param due_s: monotonic time until which it may wait
        :raises BodyBudgetError: if the budget is used up, and no body is
            larger
        :raises BudgetTimeoutError: if the budget remains used up by others
        """
        while size_bytes > FREE_BYTES + self.bytes:
            self._budget.take(self, due_s)


# Of the whole process.
BUDGET = ByteBudget()
