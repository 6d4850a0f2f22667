"""Interrupts, with which one thread ends the waits of another."""

from concurrent import futures
import contextlib
import threading
import typing

from masticquay_endpoints import errors

Hook = typing.Callable[[], None]


class Interrupt:
    """Ends the waits of one request, for the reason that it is fired with.

    A client registers a hook that unblocks it, for example by shutting down
    its socket. Only the first call of ``fire`` has an effect. The reason is
    never empty.
    """

    __slots__ = ('_reason', '_hooks', '_lock', '_fired_future')

    def __init__(self) -> None:
        self._reason = ''
        self._hooks: list[Hook] = []
        self._lock = threading.Lock()
        self._fired_future: futures.Future = futures.Future()

    @property
    def reason(self) -> str:
        """The reason, empty until the interrupt is fired."""
        return self._reason

    def fire(self, reason: str) -> bool:
        """Fires the interrupt; returns False when it was fired before."""
        with self._lock:
            if self._reason:
                return False
            self._reason = reason
            hooks = list(self._hooks)
        self._fired_future.set_result(reason)
        for hook in hooks:
            hook()
        return True

    def check(self) -> None:
        """Raises an error if the interrupt was fired.

        :raises InterruptedCallError: with the reason
        """
        if self._reason:
            raise errors.InterruptedCallError(self._reason)

    @contextlib.contextmanager
    def registered(self, hook: Hook) -> typing.Iterator[None]:
        """Registers a hook, called if the interrupt is fired in the block.

        :raises InterruptedCallError: when the interrupt was fired before
        """
        with self._lock:
            self._hooks.append(hook)
        try:
            self.check()
            yield
        finally:
            with self._lock:
                self._hooks.remove(hook)

    def wait(
        self, future: futures.Future, timeout_ms: int | None
    ) -> typing.Any:
        """Waits for a future and returns its result.

        :param timeout_ms: None for no limit
        :raises InterruptedCallError: when the interrupt is fired first
        :raises StalledError: when the timeout expires first
        """
        timeout_s = None if timeout_ms is None else timeout_ms / 1000
        done, _ = futures.wait(
            [future, self._fired_future],
            timeout=timeout_s,
            return_when=futures.FIRST_COMPLETED,
        )
        self.check()
        if future not in done:
            raise errors.StalledError(
                f'call returned no result within {timeout_ms} ms'
            )
        return future.result()
