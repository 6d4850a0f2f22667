"""What a caller has got of a stream, and prompts that were read for it."""

import time

from masticquay_gateway import events
from masticquay_gateway import jobs
from masticquay_routing import fleets

# A handle is offered to another engine in this part of its lifetime.
HANDLE_SHARE = 0.7


class Relay:
    """What a caller has got of a stream so far.

    :param started: whether the head of the answer went out
    :param broken: whether the stream broke once
    :param keeper: the engine that keeps the prompt after a broken stream
    :param handle: the prompt, read and not taken yet
    """

    __slots__ = (
        'started',
        'broken',
        'cutter',
        'first_ms',
        'last_s',
        'longest_gap_ms',
        'keeper',
        'handle',
        'placed_ms',
        'prefilled_ms',
    )

    def __init__(self) -> None:
        self.started = False
        self.broken = False
        self.last_s = 0.0
        self.longest_gap_ms = 0.0
        self.keeper = ''
        self.handle: Handle | None = None
        self.placed_ms = 0.0
        self.prefilled_ms = 0.0
        self.cutter = events.EventCutter()
        self.first_ms = 0.0

    def note_events(self, job: jobs.Job) -> None:
        """Notes that events went out just now."""
        now_s = time.monotonic()
        if not self.first_ms:
            self.first_ms = job.elapsed_ms
        else:
            gap_ms = (now_s - self.last_s) * 1000
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_s = now_s


class Handle:
    """A prompt that was read and waits to be taken."""

    __slots__ = ('prefill', 'name', 'made_s', 'ttl_s')

    def __init__(self, prefill: fleets.Endpoint, name: str, ttl_s: float):
        self.prefill = prefill
        self.name = name
        self.made_s = time.monotonic()
        self.ttl_s = ttl_s

    @property
    def is_fresh(self) -> bool:
        """Whether an engine can surely still take it."""
        return time.monotonic() - self.made_s < HANDLE_SHARE * self.ttl_s
