"""Interrupts: how one thread ends what another thread waits for."""

from concurrent import futures
import contextlib
import threading
import typing

from masticquay_endpoints import errors

Hook = typing.Callable[[], None]


class Interrupt:
    """Ends the waits of one request, once, with a reason.

    A client registers a hook that wakes it while it is blocked, for example
    by shutting its socket. The first reason stays.
    """

    __slots__ = ('_reason', '_hooks', '_lock', '_fired')

    def __init__(self) -> None:
        self._reason = ''
        self._hooks: list[Hook] = []
        self._lock = threading.Lock()
        self._fired: futures.Future = futures.Future()

    @property
    def reason(self) -> str:
        """The reason, empty while the interrupt has not fired."""
        return self._reason

    def fire(self, reason: str) -> bool:
        """Fires the interrupt; returns whether this was the first time."""
        with self._lock:
            if self._reason:
                return False
            self._reason = reason
            hooks = list(self._hooks)
        self._fired.set_result(reason)
        for hook in hooks:
            hook()
        return True

    def check(self) -> None:
        """Raises when the interrupt has fired.

        :raises InterruptedError: with the reason
        """
        if self._reason:
            raise errors.InterruptedCallError(self._reason)

    @contextlib.contextmanager
    def watched(self, hook: Hook) -> typing.Iterator[None]:
        """Calls the hook if the interrupt fires inside the context."""
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
        """Waits for a future.

        :raises InterruptedCallError: when the interrupt fired first
        :raises StalledError: when the time ran out first
        """
        timeout_s = None if timeout_ms is None else timeout_ms / 1000
        done, _ = futures.wait(
            [future, self._fired],
            timeout=timeout_s,
            return_when=futures.FIRST_COMPLETED,
        )
        self.check()
        if future not in done:
            raise errors.StalledError(f'no result in {timeout_ms} ms')
        return future.result()
