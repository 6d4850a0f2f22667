"""Polling of the endpoints of owned pools, and cancels on them."""

from concurrent import futures
import logging
import threading
import typing

from masticquay_scheduling import protocols
from masticquay_scheduling import schedulers
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks
from masticquay_wire import duties

LOG = logging.getLogger(__name__)

READER_THREADS = 8
CANCEL_THREADS = 8
POLL_PAUSE_MS = 100

PoolLister = typing.Callable[[], list[schedulers.PoolScheduler]]


class EndpointPoller:
    """Polls endpoints and cancels orphaned requests in worker threads.

    A slow endpoint occupies only one worker: it is not polled again before
    its last poll has ended.
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
        self._in_progress: set[str] = set()
        self._polled_ms: dict[str, int] = {}
        self._lock = threading.Lock()
        self._read_executor = futures.ThreadPoolExecutor(
            READER_THREADS, 'readers'
        )
        # Cancels have their own threads, so that engines that do not answer
        # them never delay the polling of others.
        self._cancel_executor = futures.ThreadPoolExecutor(
            CANCEL_THREADS, 'cancels'
        )
        self._thread: threading.Thread | None = None

    def start(self, list_pools: PoolLister) -> None:
        """Starts polling the endpoints of the pools that are listed."""
        self._thread = threading.Thread(
            target=self._run, args=(list_pools,), name='rounds', daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stops polling."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(2)
        for executor in (self._read_executor, self._cancel_executor):
            executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, list_pools: PoolLister) -> None:
        duty = duties.Duty('endpoint polls', lambda: self._visit(list_pools()))
        duty.run(self._stopping, POLL_PAUSE_MS / 1000)

    def _visit(self, pools: list[schedulers.PoolScheduler]) -> None:
        for pool in pools:
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
                self._read_executor, name, self._read, pool, name, sequence
            ):
                self._polled_ms[name] = now_ms

    def _cancel_orphans(self, pool: schedulers.PoolScheduler) -> None:
        for name, request in pool.pending_cancels():
            key = f'{name}/{request}'
            self._submit(
                self._cancel_executor, key, self._cancel, pool, name, request
            )

    def _submit(
        self,
        executor: futures.Executor,
        key: str,
        task: typing.Callable,
        *arguments,
    ) -> bool:
        """Runs a task, unless the last one with its key is in progress."""
        with self._lock:
            if key in self._in_progress or self._stopping.is_set():
                return False
            self._in_progress.add(key)
        executor.submit(self._run_task, key, task, arguments)
        return True

    def _run_task(
        self, key: str, task: typing.Callable, arguments: tuple
    ) -> None:
        try:
            task(*arguments)
        except Exception:
            LOG.exception(
                'polling an endpoint or cancelling on it failed',
                extra={'endpoint': key},
            )
        finally:
            with self._lock:
                self._in_progress.discard(key)

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
        # Until this ends, the cancel is not tried again.
        self._stopping.wait(self._settings.cancel_retry_ms / 1000)
