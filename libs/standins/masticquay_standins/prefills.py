"""The prefill side of the engine stand-in."""

import heapq
import itertools
import threading
import time

from masticquay_scheduling import prefixes
from masticquay_standins import answers
from masticquay_standins import caches
from masticquay_standins import faults
from masticquay_standins import journals
from masticquay_standins import memories

MAX_QUEUED = 64


class Prefilled:
    """A prompt's KV cache, kept for a short time."""

    __slots__ = ('handle', 'request_id', 'tokens', 'cached_tokens', 'hold')

    def __init__(
        self,
        handle: str,
        request_id: str,
        tokens: int,
        cached_tokens: int,
        hold: memories.Hold,
    ):
        self.handle = handle
        self.request_id = request_id
        self.tokens = tokens
        self.cached_tokens = cached_tokens
        self.hold = hold


class PriorityGate:
    """Lets one thread in at a time, the smallest priority first."""

    __slots__ = ('_busy', '_condition', '_numbers', '_waiting')

    def __init__(self) -> None:
        self._busy = False
        self._condition = threading.Condition()
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int]] = []

    @property
    def waiting(self) -> int:
        """How many threads wait."""
        return len(self._waiting)

    def enter(self, priority: int) -> None:
        """Blocks until it is this thread's turn."""
        with self._condition:
            ticket = (priority, next(self._numbers))
            heapq.heappush(self._waiting, ticket)
            while self._busy or self._waiting[0] != ticket:
                self._condition.wait()
            heapq.heappop(self._waiting)
            self._busy = True

    def leave(self) -> None:
        """Lets the next thread in."""
        with self._condition:
            self._busy = False
            self._condition.notify_all()


class Prefills:
    """Computes prompts one after another and keeps the results.

    :param token_us: computing time of a token that is not cached
    :param kept_ms: how long a result is kept before it is evicted
    """

    def __init__(
        self,
        journal: journals.Journal,
        active_faults: faults.Faults,
        memory: memories.Memory,
        cache: caches.PrefixCache,
        token_us: float,
        kept_ms: int,
    ):
        self._journal = journal
        self._faults = active_faults
        self._memory = memory
        self._cache = cache
        self._token_us = token_us
        self.kept_ms = kept_ms
        self._gate = PriorityGate()
        self._lock = threading.Lock()
        self._kept: dict[str, tuple[float, Prefilled]] = {}
        self._numbers = itertools.count(1)

    @property
    def queued(self) -> int:
        """How many prompts wait."""
        return self._gate.waiting

    def compute(self, prompt: bytes, priority: int) -> tuple[int, int]:
        """Takes the time of a prompt; returns its and its cached tokens."""
        hashes = prefixes.hash_blocks(prompt)
        tokens = prefixes.count_tokens(prompt)
        self._gate.enter(priority)
        try:
            cached = self._cache.match(hashes) * prefixes.BLOCK_TOKENS
            work_ms = (tokens - cached) * self._token_us / 1000
            time.sleep(work_ms * self._faults.slow / 1000)
            self._faults.wait_stalled()
        finally:
            self._gate.leave()
        self._cache.store(hashes)
        return tokens, cached

    def run(
        self, request_id: str, attempt: int, prompt: bytes, priority: int
    ) -> Prefilled | None:
        """Computes a prompt and keeps it; None when there is no room."""
        if self._gate.waiting >= MAX_QUEUED:
            return None
        prompt_id = answers.read_id(prompt.decode('utf-8', 'replace'))
        hold = self._memory.hold(
            request_id,
            prompt_id,
            memories.STAGE_PREFILL,
            prefixes.count_tokens(prompt),
        )
        if hold is None:
            return None
        tokens, cached = self.compute(prompt, priority)
        handle = f'{self._journal.name}-{next(self._numbers)}'
        done = Prefilled(handle, request_id, tokens, cached, hold)
        self._journal.add(
            journals.EVENT_PREFILL,
            request_id=request_id,
            attempt=attempt,
            prompt_id=prompt_id,
            handle=handle,
            tokens=tokens,
            cached_tokens=cached,
        )
        with self._lock:
            self._kept[handle] = (journals.now_ms() + self.kept_ms, done)
        timer = threading.Timer(
            self.kept_ms / 1000, self.release, (handle, 'evicted')
        )
        timer.daemon = True
        timer.start()
        return done

    def find(self, handle: str) -> Prefilled | None:
        """Returns a kept result."""
        with self._lock:
            found = self._kept.get(handle)
        return found[1] if found else None

    def release(self, handle: str, reason: str) -> None:
        """Frees a kept result."""
        with self._lock:
            found = self._kept.pop(handle, None)
        if found is not None:
            found[1].hold.release(reason)

    def cancel(self, request_id: str) -> int:
        """Frees all results of a request; returns how many there were."""
        with self._lock:
            handles = [
                handle
                for handle, (_, done) in self._kept.items()
                if done.request_id == request_id
            ]
        for handle in handles:
            self.release(handle, 'cancelled')
        return len(handles)
