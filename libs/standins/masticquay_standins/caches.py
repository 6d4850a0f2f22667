"""The prefix cache of the engine stand-in and its event feed."""

import collections
import random
import threading

from masticquay_standins import journals

# When there are more events, the oldest ones are dropped.
MAX_EVENTS = 20_000


class PrefixCache:
    """The blocks of earlier prompts, with LRU eviction.

    Each change is published as an event, which may become visible late or
    not at all. An event that is never published leaves a gap in the sequence
    numbers.

    :param event_lag_ms: the time after which an event becomes visible
    :param event_lost_share: the share of events that are never published,
        from 0 to 1
    :param seed: selects which events are never published
    """

    __slots__ = (
        '_blocks',
        '_capacity_blocks',
        '_events',
        '_event_lag_ms',
        '_lock',
        '_event_lost_share',
        '_random',
        '_sequence',
    )

    def __init__(
        self,
        capacity_blocks: int,
        event_lag_ms: int,
        event_lost_share: float,
        seed: int,
    ):
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._capacity_blocks = capacity_blocks
        # Each event with the time of the change.
        self._events: collections.deque = collections.deque(maxlen=MAX_EVENTS)
        self._event_lag_ms = event_lag_ms
        self._lock = threading.Lock()
        self._event_lost_share = event_lost_share
        self._random = random.Random(seed)
        self._sequence = 0

    def match_prefix(self, hashes: list[int]) -> int:
        """Returns how many of the leading blocks are cached."""
        with self._lock:
            count = 0
            for block_hash in hashes:
                if block_hash not in self._blocks:
                    break
                self._blocks.move_to_end(block_hash)
                count += 1
            return count

    def store(self, hashes: list[int]) -> None:
        """Adds blocks; evicts the least recently used ones beyond capacity."""
        with self._lock:
            for block_hash in hashes:
                if block_hash in self._blocks:
                    self._blocks.move_to_end(block_hash)
                    continue
                self._blocks[block_hash] = None
                self._publish('stored', block_hash)
            while len(self._blocks) > self._capacity_blocks:
                evicted, _ = self._blocks.popitem(last=False)
                self._publish('evicted', evicted)

    def read_events(self, after_sequence: int) -> tuple[int, list[dict]]:
        """Returns the events with a higher sequence number.

        :returns: the number of the last visible event, 0 if there is none,
            and the visible events after ``after_sequence``
        """
        visible_until_ms = journals.now_ms() - self._event_lag_ms
        with self._lock:
            visible = [e for e in self._events if e[0] <= visible_until_ms]
        latest = visible[-1][1]['sequence'] if visible else 0
        return latest, [
            event for _, event in visible if event['sequence'] > after_sequence
        ]

    def _publish(self, kind: str, block_hash: int) -> None:
        self._sequence += 1
        if self._random.random() < self._event_lost_share:
            return
        event = {
            'sequence': self._sequence,
            'kind': kind,
            'block_hash': block_hash,
        }
        self._events.append((journals.now_ms(), event))
