"""A weighted fair queue over workspaces with deadline order inside."""

import bisect
from collections import abc
import typing


class Item(typing.Protocol):
    """What the queue needs of a waiting request."""

    workspace: str
    prompt: bool
    due_ms: int


class _Lane:
    """The waiting requests of one workspace, by deadline."""

    __slots__ = ('weight', 'virtual_ms', 'prompt', 'other')

    def __init__(self, weight: int, virtual_ms: float):
        self.weight = weight
        self.virtual_ms = virtual_ms
        self.prompt: list = []
        self.other: list = []

    def __len__(self) -> int:
        return len(self.prompt) + len(self.other)


class FairQueue:
    """Orders requests so that engine time is shared by weight.

    Fair queueing by virtual time: each workspace has one that grows by
    cost / weight with each request taken. Workspaces within ``lead_ms`` of
    the lowest go by deadline, prompt classes first; those further ahead of
    their share come after, the lowest first. A workspace that used less than
    its share keeps up to ``credit_ms`` of that for a burst.
    """

    def __init__(self, lead_ms: int, credit_ms: int):
        self._lead_ms = lead_ms
        self._credit_ms = credit_ms
        self._lanes: dict[str, _Lane] = {}
        self._weights: dict[str, int] = {}
        self._virtual_ms = 0.0
        self._sequence = 0
        self._active_weight = 0
        self._prompt_count = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def prompt_count(self) -> int:
        """How many requests of prompt classes wait."""
        return self._prompt_count

    def set_weights(self, weights: dict[str, int]) -> None:
        """Replaces the weights of the workspaces."""
        self._weights = dict(weights)
        for name, lane in self._lanes.items():
            lane.weight = max(1, weights.get(name, 1))
        self._active_weight = sum(
            lane.weight for lane in self._lanes.values() if len(lane)
        )

    def count_of(self, workspace: str) -> int:
        """Returns how many requests of a workspace wait."""
        lane = self._lanes.get(workspace)
        return len(lane) if lane else 0

    def count_ahead(self, item: Item) -> int:
        """Returns how many of its workspace's requests are due before it."""
        lane = self._lanes.get(item.workspace)
        if lane is None:
            return 0
        last = (item.due_ms, float('inf'))
        if item.prompt:
            return max(0, bisect.bisect(lane.prompt, last) - 1)
        ahead = max(0, bisect.bisect(lane.other, last) - 1)
        return len(lane.prompt) + ahead

    def share_of(self, workspace: str) -> float:
        """Returns the part of the pool that a workspace is due now."""
        lane = self._lane(workspace)
        total = self._active_weight
        if not len(lane):
            total += lane.weight
        return lane.weight / total

    def push(self, item: Item) -> None:
        """Adds a request."""
        lane = self._lane(item.workspace)
        if not len(lane):
            floor_ms = self._virtual_ms - self._credit_ms
            lane.virtual_ms = max(lane.virtual_ms, floor_ms)
            self._active_weight += lane.weight
        self._sequence += 1
        entry = (item.due_ms, self._sequence, item)
        bisect.insort(lane.prompt if item.prompt else lane.other, entry)
        self._count += 1
        self._prompt_count += item.prompt

    def remove(self, item: Item) -> None:
        """Takes a request out; it must be in the queue."""
        lane = self._lanes[item.workspace]
        entries = lane.prompt if item.prompt else lane.other
        index = bisect.bisect_left(entries, (item.due_ms,))
        while entries[index][2] is not item:
            index += 1
        del entries[index]
        self._count -= 1
        self._prompt_count -= item.prompt
        if not len(lane):
            self._active_weight -= lane.weight

    def candidates(self) -> abc.Iterator[Item]:
        """Yields the first request of each workspace, the best one first.

        The queue must not change while this runs, except that the caller may
        remove an item and stop.
        """
        lanes = [lane for lane in self._lanes.values() if len(lane)]
        lanes.sort(key=lambda lane: lane.virtual_ms)
        limit_ms = lanes[0].virtual_ms + self._lead_ms
        near = [lane for lane in lanes if lane.virtual_ms <= limit_ms]
        if self._prompt_count:
            heads = [lane.prompt[0] for lane in near if lane.prompt]
            yield from (entry[2] for entry in sorted(heads))
        heads = [lane.other[0] for lane in near if lane.other]
        yield from (entry[2] for entry in sorted(heads))
        for lane in lanes[len(near) :]:
            yield (lane.prompt or lane.other)[0][2]

    def charge(self, workspace: str, cost_ms: float) -> None:
        """Charges engine time, also negative to correct an estimate."""
        lane = self._lane(workspace)
        if cost_ms > 0:
            self._virtual_ms = max(
                self._virtual_ms, min(lane.virtual_ms, self._lowest_ms())
            )
        lane.virtual_ms += cost_ms / lane.weight

    def items(self) -> list[Item]:
        """Returns all waiting requests."""
        return [
            entry[2]
            for lane in self._lanes.values()
            for entries in (lane.prompt, lane.other)
            for entry in entries
        ]

    def _lowest_ms(self) -> float:
        return min(
            (lane.virtual_ms for lane in self._lanes.values() if len(lane)),
            default=float('inf'),
        )

    def _lane(self, workspace: str) -> _Lane:
        lane = self._lanes.get(workspace)
        if lane is None:
            weight = max(1, self._weights.get(workspace, 1))
            lane = _Lane(weight, self._virtual_ms)
            self._lanes[workspace] = lane
        return lane
