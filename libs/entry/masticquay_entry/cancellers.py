"""Background cancellation of requests at engines, with retries."""

from concurrent import futures
import threading
import typing

from masticquay_endpoints import errors
from masticquay_endpoints import protocols
from masticquay_wire import clocks

CANCEL_TIMEOUT_MS = 500
RETRY_INTERVAL_MS = 200
GIVE_UP_MS = 5_000
THREADS_PER_ENGINE = 2

EngineSource = typing.Callable[[str], protocols.Engine]
# Address of the engine and request id.
CancelKey = tuple[str, str]


class Canceller:
    """Cancels requests at engines, which frees what they hold there.

    A cancel is retried until the engine acknowledges it. After
    ``GIVE_UP_MS`` the engine is assumed to be dead: an engine that restarts
    holds nothing of earlier requests.
    """

    def __init__(self, engine_source: EngineSource, clock: clocks.Clock):
        self._engine_source = engine_source
        self._clock = clock
        self._executors: dict[str, futures.ThreadPoolExecutor] = {}
        self._pending: dict[CancelKey, futures.Future] = {}
        self._lock = threading.Lock()
        self._closing = False
        self.acknowledged_count = 0
        self.given_up_count = 0

    def submit(self, address: str, request_id: str) -> futures.Future:
        """Starts cancelling a request at an engine.

        If a cancel of it is pending there, returns the future of that one.

        :returns: a future of whether the engine acknowledged
        """
        key = (address, request_id)
        with self._lock:
            future = self._pending.get(key)
            if future is None:
                give_up_ms = self._clock.now_ms() + GIVE_UP_MS
                executor = self._get_executor(address)
                future = executor.submit(self._cancel, key, give_up_ms)
                self._pending[key] = future
        return future

    def submit_all(
        self,
        addresses: typing.Iterable[str],
        request_id: str,
        on_done: typing.Callable[[], None],
    ) -> None:
        """Cancels at several engines; calls ``on_done`` after the last one."""
        pending = [self.submit(address, request_id) for address in addresses]
        if not pending:
            on_done()
            return
        countdown = _Countdown(len(pending), on_done)
        for future in pending:
            future.add_done_callback(countdown.count_down)

    def find_pending(
        self, address: str, request_id: str
    ) -> futures.Future | None:
        """Returns the cancel in progress at an engine, if there is one."""
        with self._lock:
            return self._pending.get((address, request_id))

    def close(self) -> None:
        """Tries each pending cancel at most once more and stops."""
        self._closing = True
        with self._lock:
            executors = list(self._executors.values())
        for executor in executors:
            executor.shutdown(wait=True)

    def _get_executor(self, address: str) -> futures.ThreadPoolExecutor:
        """Returns the thread pool of one engine.

        Each engine has its own, so that a dead engine delays no other.
        """
        executor = self._executors.get(address)
        if executor is None:
            executor = self._executors[address] = futures.ThreadPoolExecutor(
                THREADS_PER_ENGINE, thread_name_prefix=f'cancel-{address}'
            )
        return executor

    def _cancel(self, key: CancelKey, give_up_ms: int) -> bool:
        try:
            while not self._try_once(*key):
                if self._closing or self._clock.now_ms() >= give_up_ms:
                    self.given_up_count += 1
                    return False
                self._clock.sleep_ms(RETRY_INTERVAL_MS)
            self.acknowledged_count += 1
            return True
        finally:
            with self._lock:
                self._pending.pop(key, None)

    def _try_once(self, address: str, request_id: str) -> bool:
        try:
            engine = self._engine_source(address)
            engine.cancel(request_id, CANCEL_TIMEOUT_MS)
        except errors.EndpointError:
            return False
        return True


class _Countdown:
    """Calls back once a number of futures have ended."""

    __slots__ = ('_remaining', '_on_done', '_lock')

    def __init__(self, remaining: int, on_done: typing.Callable[[], None]):
        self._remaining = remaining
        self._on_done = on_done
        self._lock = threading.Lock()

    def count_down(self, _done: futures.Future) -> None:
        with self._lock:
            self._remaining -= 1
            if self._remaining:
                return
        self._on_done()
