"""The prefill stage of the engine stand-in."""

import heapq
import itertools
import threading
import time

from masticquay_scheduling import prefixes
from masticquay_standins import answers
from masticquay_standins import caches
from masticquay_standins import faults
from masticquay_standins import journals
from masticquay_standins import kv_memories

# A prefill is refused while this number of prompts wait.
MAX_QUEUE_LENGTH = 64


class PrefillResult:
    """A prompt's KV cache, kept until it is exported, cancelled or expires.

    :param handle: the name by which a decode engine requests the KV cache
    :param tokens: the number of tokens of the prompt
    :param cached_tokens: how many of them the prefix cache already had
    """

    __slots__ = (
        'handle',
        'request_id',
        'tokens',
        'cached_tokens',
        'allocation',
    )

    def __init__(
        self,
        handle: str,
        request_id: str,
        tokens: int,
        cached_tokens: int,
        allocation: kv_memories.Allocation,
    ):
        self.handle = handle
        self.request_id = request_id
        self.tokens = tokens
        self.cached_tokens = cached_tokens
        self.allocation = allocation


class PriorityLock:
    """A lock granted to the waiting thread with the lowest priority value.

    Threads of equal priority get it in the order of arrival.
    """

    __slots__ = ('_busy', '_condition', '_ticket_numbers', '_waiting')

    def __init__(self) -> None:
        self._busy = False
        self._condition = threading.Condition()
        self._ticket_numbers = itertools.count()
        # A heap of tickets: the priority and the order of arrival.
        self._waiting: list[tuple[int, int]] = []

    @property
    def waiting_count(self) -> int:
        """The number of waiting threads."""
        return len(self._waiting)

    def acquire(self, priority: int) -> None:
        """Blocks until the calling thread owns the lock."""
        with self._condition:
            ticket = (priority, next(self._ticket_numbers))
            heapq.heappush(self._waiting, ticket)
            while self._busy or self._waiting[0] != ticket:
                self._condition.wait()
            heapq.heappop(self._waiting)
            self._busy = True

    def release(self) -> None:
        """Frees the lock, so that the next waiting thread gets it."""
        with self._condition:
            self._busy = False
            self._condition.notify_all()


class PrefillRunner:
    """Computes prompts one at a time and keeps the results.

    :param token_us: the computing time of a token that is not cached
    :param result_ttl_ms: the time after which a result is evicted
    """

    def __init__(
        self,
        journal: journals.Journal,
        active_faults: faults.Faults,
        memory: kv_memories.KvMemory,
        cache: caches.PrefixCache,
        token_us: float,
        result_ttl_ms: int,
    ):
        self._journal = journal
        self._faults = active_faults
        self._memory = memory
        self._cache = cache
        self._token_us = token_us
        self.result_ttl_ms = result_ttl_ms
        self._compute_lock = PriorityLock()
        self._lock = threading.Lock()
        # The expiry time and the result, by handle.
        self._results: dict[str, tuple[float, PrefillResult]] = {}
        self._handle_numbers = itertools.count(1)

    @property
    def queue_length(self) -> int:
        """The number of prompts that wait to be computed."""
        return self._compute_lock.waiting_count

    def compute(self, prompt: bytes, priority: int) -> tuple[int, int]:
        """Simulates the computation of a prompt by sleeping.

        :returns: the number of prompt tokens and how many were cached
        """
        hashes = prefixes.hash_blocks(prompt)
        tokens = prefixes.count_tokens(prompt)
        self._compute_lock.acquire(priority)
        try:
            cached_tokens = (
                self._cache.match_prefix(hashes) * prefixes.BLOCK_TOKENS
            )
            work_ms = (tokens - cached_tokens) * self._token_us / 1000
            time.sleep(work_ms * self._faults.slowdown_factor / 1000)
            self._faults.wait_while_stalled()
        finally:
            self._compute_lock.release()
        self._cache.store(hashes)
        return tokens, cached_tokens

    def run(
        self, request_id: str, attempt: int, prompt: bytes, priority: int
    ) -> PrefillResult | None:
        """Computes a prompt and keeps the result.

        :returns: the result, or None if the queue or the KV memory is full
        """
        if self._compute_lock.waiting_count >= MAX_QUEUE_LENGTH:
            return None
        prompt_id = answers.read_prompt_id(prompt.decode('utf-8', 'replace'))
        allocation = self._memory.allocate(
            request_id,
            prompt_id,
            kv_memories.STAGE_PREFILL,
            prefixes.count_tokens(prompt),
        )
        if allocation is None:
            return None
        tokens, cached_tokens = self.compute(prompt, priority)
        handle = f'{self._journal.name}-{next(self._handle_numbers)}'
        result = PrefillResult(
            handle, request_id, tokens, cached_tokens, allocation
        )
        self._journal.add(
            journals.EVENT_PREFILL,
            request_id=request_id,
            attempt=attempt,
            prompt_id=prompt_id,
            handle=handle,
            tokens=tokens,
            cached_tokens=cached_tokens,
        )
        with self._lock:
            self._results[handle] = (
                journals.now_ms() + self.result_ttl_ms,
                result,
            )
        timer = threading.Timer(
            self.result_ttl_ms / 1000, self.release, (handle, 'evicted')
        )
        timer.daemon = True
        timer.start()
        return result

    def find(self, handle: str) -> PrefillResult | None:
        """Returns a kept result, None if there is none for the handle."""
        with self._lock:
            found = self._results.get(handle)
        return found[1] if found else None

    def release(self, handle: str, reason: str) -> None:
        """Drops a kept result, if it still exists, and frees its memory.

        :param reason: recorded in the journal
        """
        with self._lock:
            found = self._results.pop(handle, None)
        if found is not None:
            found[1].allocation.release(reason)

    def cancel(self, request_id: str) -> int:
        """Drops all results of a request; returns their number."""
        with self._lock:
            handles = [
                handle
                for handle, (_, result) in self._results.items()
                if result.request_id == request_id
            ]
        for handle in handles:
            self.release(handle, 'cancelled')
        return len(handles)
