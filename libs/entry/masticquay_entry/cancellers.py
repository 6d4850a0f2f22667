"""Cancelling at engines in the background until acknowledged."""

from concurrent import futures
import threading
import typing

from masticquay_endpoints import errors
from masticquay_endpoints import protocols
from masticquay_wire import clocks

CANCEL_TIMEOUT_MS = 500
RETRY_MS = 200
GIVE_UP_MS = 5_000
WORKERS_PER_ENGINE = 2

EngineSource = typing.Callable[[str], protocols.Engine]
Key = tuple[str, str]


class Canceller:
    """Frees what a request holds at engines, with retries.

    An engine that acknowledges nothing for ``GIVE_UP_MS`` is given up: it
    is taken for dead, and a restarted engine holds nothing.
    """

    def __init__(self, engine_source: EngineSource, clock: clocks.Clock):
        self._engine_source = engine_source
        self._clock = clock
        self._workers: dict[str, futures.ThreadPoolExecutor] = {}
        self._pending: dict[Key, futures.Future] = {}
        self._lock = threading.Lock()
        self._closing = False
        self.acknowledged_count = 0
        self.given_up_count = 0

    def submit(self, address: str, request_id: str) -> futures.Future:
        """Cancels a request at an engine; the future gives success."""
        key = (address, request_id)
        with self._lock:
            future = self._pending.get(key)
            if future is None:
                give_up_ms = self._clock.now_ms() + GIVE_UP_MS
                worker = self._find_worker(address)
                future = worker.submit(self._cancel, key, give_up_ms)
                self._pending[key] = future
        return future

    def submit_all(
        self,
        addresses: typing.Iterable[str],
        request_id: str,
        then: typing.Callable[[], None],
    ) -> None:
        """Cancels at several engines and calls back when all have ended."""
        pending = [self.submit(address, request_id) for address in addresses]
        if not pending:
            then()
            return
        countdown = _Countdown(len(pending), then)
        for future in pending:
            future.add_done_callback(countdown.count)

    def find_pending(
        self, address: str, request_id: str
    ) -> futures.Future | None:
        """Returns the cancel under way at an engine."""
        with self._lock:
            return self._pending.get((address, request_id))

    def close(self) -> None:
        """Tries what is under way once more and ends."""
        self._closing = True
        with self._lock:
            workers = list(self._workers.values())
        for worker in workers:
            worker.shutdown(wait=True)

    def _find_worker(self, address: str) -> futures.ThreadPoolExecutor:
        """Returns the engine's own workers, so that a dead one delays none."""
        worker = self._workers.get(address)
        if worker is None:
            worker = self._workers[address] = futures.ThreadPoolExecutor(
                WORKERS_PER_ENGINE, thread_name_prefix=f'cancel-{address}'
            )
        return worker

    def _cancel(self, key: Key, give_up_ms: int) -> bool:
        try:
            while not self._try_once(*key):
                if self._closing or self._clock.now_ms() >= give_up_ms:
                    self.given_up_count += 1
                    return False
                self._clock.sleep_ms(RETRY_MS)
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
    """Calls back after a number of futures."""

    __slots__ = ('_left', '_then', '_lock')

    def __init__(self, left: int, then: typing.Callable[[], None]):
        self._left = left
        self._then = then
        self._lock = threading.Lock()

    def count(self, _done: futures.Future) -> None:
        with self._lock:
            self._left -= 1
            if self._left:
                return
        self._then()
