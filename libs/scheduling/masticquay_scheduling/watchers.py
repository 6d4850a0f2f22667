"""Rounds over the endpoints of owned pools: load, cache events, cancels."""

from concurrent import futures
import logging
import threading
import typing

from masticquay_scheduling import protocols
from masticquay_scheduling import schedulers
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

READERS = 8
CANCELLERS = 8
ROUND_PAUSE_MS = 100

PoolLister = typing.Callable[[], list[schedulers.PoolScheduler]]


class EndpointRounds:
    """Reads endpoints and cancels orphans, each endpoint in a worker.

    A slow endpoint holds up one worker, and no round begins on it before
    the one before has ended.
    """

    def __init__(
        self,
        watcher: protocols.EndpointWatcher,
        clock: clocks.Clock,
        settings: scheduling_settings.SchedulingSettings,
    ):
        self._watcher = watcher
        self._clock = clock
        self._settings = settings
        self._stopping = threading.Event()
        self._busy: set[str] = set()
        self._polled_ms: dict[str, int] = {}
        self._lock = threading.Lock()
        self._readers = futures.ThreadPoolExecutor(READERS, 'readers')
        # Engines that do not answer must not hold up the reading of others.
        self._cancellers = futures.ThreadPoolExecutor(CANCELLERS, 'cancels')
        self._thread: threading.Thread | None = None

    def start(self, list_pools: PoolLister) -> None:
        """Starts the rounds."""
        self._thread = threading.Thread(
            target=self._run, args=(list_pools,), name='rounds', daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stops the rounds."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(2)
        for executor in (self._readers, self._cancellers):
            executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, list_pools: PoolLister) -> None:
        while not self._stopping.wait(ROUND_PAUSE_MS / 1000):
            for pool in list_pools():
                self._poll(pool)
                self._cancel_orphans(pool)

    def _poll(self, pool: schedulers.PoolScheduler) -> None:
        now_ms = self._clock.now_ms()
        for name, sequence in pool.endpoint_sequences().items():
            leaving = self._watcher.is_leaving(name)
            pool.set_leaving(name, leaving)
            last_ms = self._polled_ms.get(name)
            due_ms = self._settings.load_poll_ms
            if last_ms is not None and now_ms - last_ms < due_ms:
                continue
            if self._submit(
                self._readers, name, self._read, pool, name, sequence
            ):
                self._polled_ms[name] = now_ms

    def _cancel_orphans(self, pool: schedulers.PoolScheduler) -> None:
        for name, request in pool.pending_cancels():
            key = f'{name}/{request}'
            self._submit(
                self._cancellers, key, self._cancel, pool, name, request
            )

    def _submit(
        self,
        executor: futures.Executor,
        key: str,
        step: typing.Callable,
        *arguments,
    ) -> bool:
        with self._lock:
            if key in self._busy or self._stopping.is_set():
                return False
            self._busy.add(key)
        executor.submit(self._run_step, key, step, arguments)
        return True

    def _run_step(
        self, key: str, step: typing.Callable, arguments: tuple
    ) -> None:
        try:
            step(*arguments)
        except Exception:
            LOG.exception('round failed', extra={'endpoint': key})
        finally:
            with self._lock:
                self._busy.discard(key)

    def _read(
        self, pool: schedulers.PoolScheduler, name: str, sequence: int | None
    ) -> None:
        load = self._watcher.read_load(name)
        pool.apply_load(name, load)
        if load is None or sequence is None:
            return
        events = self._watcher.read_cache_events(name, sequence)
        pool.apply_cache_events(name, events)

    def _cancel(self, pool: schedulers.PoolScheduler, name, request) -> None:
        if self._watcher.cancel(name, request):
            pool.acknowledge_cancel(name, request)
            return
        self._stopping.wait(self._settings.cancel_retry_ms / 1000)
