"""Index of the prefix blocks that an engine probably has in its cache."""

import collections
from collections import abc

from masticquay_scheduling import protocols

# Beyond this the blocks least recently added are dropped.
MAX_BLOCKS = 65_536


class PrefixIndex:
    """Tracks one engine's cache by its events, which lag and may be lost.

    A gap in the sequence numbers means that evictions may have been missed,
    so all blocks are dropped. Blocks of a newly placed prefill are added
    at once, before their events arrive.

    :ivar sequence: number of the last event applied, 0 before the first
    :ivar gap_count: how many gaps in the sequence numbers were found
    """

    __slots__ = ('_blocks', 'sequence', 'gap_count')

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.sequence = 0
        self.gap_count = 0

    def apply(self, events: abc.Iterable[protocols.CacheEvent]) -> None:
        """Applies events, which must come in ascending sequence.

        Skips events that were applied before, and drops all earlier blocks
        at a gap.
        """
        for event in events:
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                self._blocks.clear()
                self.gap_count += 1
            self.sequence = event.sequence
            if event.stored:
                self._add(event.block_hash)
            else:
                self._blocks.pop(event.block_hash, None)

    def add_expected(self, hashes: abc.Iterable[int]) -> None:
        """Adds the blocks of a prefill that was just placed."""
        for block_hash in hashes:
            self._add(block_hash)

    def count_cached(self, hashes: list[int]) -> int:
        """Returns how many leading blocks of a prompt are cached."""
        count = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            count += 1
        return count

    def reset(self) -> None:
        """Drops all blocks, after a restart of the engine."""
        self._blocks.clear()
        self.sequence = 0

    def _add(self, block_hash: int) -> None:
        self._blocks[block_hash] = None
        self._blocks.move_to_end(block_hash)
        if len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)
