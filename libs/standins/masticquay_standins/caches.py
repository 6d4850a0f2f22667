"""The prefix cache of the engine stand-in, and its late, gappy events."""

import collections
import random
import threading

from masticquay_standins import journals

MAX_EVENTS = 20_000


class PrefixCache:
    """Blocks of prompts seen before, the least recently used evicted first.

    :param lag_ms: how late an event may be read
    :param lost_share: the share of events that are never published
    """

    __slots__ = (
        '_blocks',
        '_capacity_blocks',
        '_events',
        '_lag_ms',
        '_lock',
        '_lost_share',
        '_random',
        '_sequence',
    )

    def __init__(
        self, capacity_blocks: int, lag_ms: int, lost_share: float, seed: int
    ):
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._capacity_blocks = capacity_blocks
        self._events: collections.deque = collections.deque(maxlen=MAX_EVENTS)
        self._lag_ms = lag_ms
        self._lock = threading.Lock()
        self._lost_share = lost_share
        self._random = random.Random(seed)
        self._sequence = 0

    def match(self, hashes: list[int]) -> int:
        """Returns how many leading blocks are cached."""
        with self._lock:
            count = 0
            for block_hash in hashes:
                if block_hash not in self._blocks:
                    break
                self._blocks.move_to_end(block_hash)
                count += 1
            return count

    def store(self, hashes: list[int]) -> None:
        """Adds blocks, evicting others when the cache is full."""
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

    def events(self, after_sequence: int) -> tuple[int, list[dict]]:
        """Returns the newest readable sequence and events after one."""
        readable_ms = journals.now_ms() - self._lag_ms
        with self._lock:
            found = [e for e in self._events if e[0] <= readable_ms]
        latest = found[-1][1]['sequence'] if found else 0
        return latest, [
            event for _, event in found if event['sequence'] > after_sequence
        ]

    def _publish(self, kind: str, block_hash: int) -> None:
        self._sequence += 1
        if self._random.random() < self._lost_share:
            return
        event = {
            'sequence': self._sequence,
            'kind': kind,
            'block_hash': block_hash,
        }
        self._events.append((journals.now_ms(), event))
