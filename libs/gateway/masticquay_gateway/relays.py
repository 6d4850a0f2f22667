"""State of streams relayed to callers, and handles to their prompts."""

import time
import typing

from masticquay_gateway import events
from masticquay_gateway import jobs
from masticquay_routing import fleets

# A handle is given to a decode engine only in this part of its lifetime, so
# that it does not expire before the engine uses it.
HANDLE_USE_SHARE = 0.7


class RelayedStream:
    """State of a stream relayed to a caller, across all attempts.

    :ivar started: whether the response head was sent to the caller
    :ivar was_broken: whether an engine's stream has broken before
    :ivar splitter: splits the engine's stream into events and holds the id of
        the last one sent
    :ivar first_ms: time from the request to its first event, 0 before it
    :ivar cache_engine_id: the engine that still holds the prompt's KV cache
        after a broken stream, empty for none
    :ivar handle: handle to a prefilled prompt that no decode engine has used
    :ivar placed_ms: time from the request to its last placement
    :ivar prefilled_ms: time from the request to the end of its prefill
    :ivar last_event_s: monotonic time at which events were last sent
    :ivar longest_gap_ms: longest time between two sends of events
    :ivar software_version: the version of the engines that wrote its events,
        empty before the first one or if unknown
    :ivar can_move: tells whether another engine may go on with it
    :ivar engine_began_s: monotonic time at which the present engine wrote its
        first event, 0 before it
    """

    __slots__ = (
        'started',
        'was_broken',
        'splitter',
        'first_ms',
        'last_event_s',
        'longest_gap_ms',
        'cache_engine_id',
        'handle',
        'placed_ms',
        'prefilled_ms',
        'software_version',
        'can_move',
        'engine_began_s',
    )

    def __init__(self) -> None:
        self.started = False
        self.was_broken = False
        self.last_event_s = 0.0
        self.longest_gap_ms = 0.0
        self.cache_engine_id = ''
        self.handle: PrefillHandle | None = None
        self.placed_ms = 0.0
        self.prefilled_ms = 0.0
        self.splitter = events.EventSplitter()
        self.first_ms = 0.0
        self.software_version = ''
        self.can_move: typing.Callable[[], bool] = _can_always_move
        self.engine_began_s = 0.0

    @property
    def written_ms(self) -> float | None:
        """How long its engine has been writing it, None before that."""
        if not self.engine_began_s:
            return None
        return (time.monotonic() - self.engine_began_s) * 1000

    def record_events(self, job: jobs.Job) -> None:
        """Records that events are sent to the caller now."""
        now_s = time.monotonic()
        if not self.first_ms:
            self.first_ms = job.elapsed_ms
        else:
            gap_ms = (now_s - self.last_event_s) * 1000
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_s = now_s
        self.engine_began_s = self.engine_began_s or now_s


class PrefillHandle:
    """Handle to a prompt's KV cache on a prefill engine.

    :param prefill: the engine that holds the KV cache
    :param handle_id: id that the engine chose
    """

    __slots__ = ('prefill', 'handle_id', 'created_s', 'ttl_s')

    def __init__(self, prefill: fleets.Endpoint, handle_id: str, ttl_s: float):
        self.prefill = prefill
        self.handle_id = handle_id
        self.created_s = time.monotonic()
        self.ttl_s = ttl_s

    @property
    def is_fresh(self) -> bool:
        """Whether a decode engine can safely still use it."""
        return (
            time.monotonic() - self.created_s < HANDLE_USE_SHARE * self.ttl_s
        )


def _can_always_move() -> bool:
    return True
