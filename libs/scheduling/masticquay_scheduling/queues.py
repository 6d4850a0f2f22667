"""Weighted fair queueing of workspaces, by due time within each."""

import bisect
from collections import abc
import typing


class Item(typing.Protocol):
    """A queued request.

    :ivar is_urgent: whether its service class is served before others
    :ivar due_ms: when its first token is due
    """

    workspace: str
    is_urgent: bool
    due_ms: int


class _WorkspaceQueue:
    """The queued requests of one workspace, ordered by due time."""

    __slots__ = ('weight', 'virtual_ms', 'urgent_entries', 'other_entries')

    def __init__(self, weight: int, virtual_ms: float):
        self.weight = weight
        self.virtual_ms = virtual_ms
        self.urgent_entries: list = []
        self.other_entries: list = []

    def __len__(self) -> int:
        return len(self.urgent_entries) + len(self.other_entries)


class FairQueue:
    """Orders requests so that workspaces share engine time by weight.

    Fair queueing by virtual time: the virtual time of a workspace grows by
    cost / weight with each request placed. Workspaces within ``max_lead_ms``
    of the lowest virtual time are served by due time, urgent classes first;
    then come those further ahead, the lowest virtual time first. A workspace
    that used less than its share may catch up by ``max_credit_ms`` at most.
    """

    def __init__(self, max_lead_ms: int, max_credit_ms: int):
        self._max_lead_ms = max_lead_ms
        self._max_credit_ms = max_credit_ms
        self._queues: dict[str, _WorkspaceQueue] = {}
        self._weights: dict[str, int] = {}
        self._virtual_ms = 0.0
        self._sequence = 0
        self._active_weight = 0
        self._urgent_count = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def urgent_count(self) -> int:
        """The number of queued requests of urgent classes."""
        return self._urgent_count

    def set_weights(self, weights: dict[str, int]) -> None:
        """Replaces the weights of the workspaces."""
        self._weights = dict(weights)
        for name, queue in self._queues.items():
            queue.weight = max(1, weights.get(name, 1))
        self._active_weight = sum(
            queue.weight for queue in self._queues.values() if len(queue)
        )

    def count_of(self, workspace: str) -> int:
        """Returns the number of queued requests of a workspace."""
        queue = self._queues.get(workspace)
        return len(queue) if queue else 0

    def count_ahead(self, item: Item) -> int:
        """Counts the requests of its workspace that are served before it."""
        queue = self._queues.get(item.workspace)
        if queue is None:
            return 0
        last = (item.due_ms, float('inf'))
        if item.is_urgent:
            return max(0, bisect.bisect(queue.urgent_entries, last) - 1)
        ahead = max(0, bisect.bisect(queue.other_entries, last) - 1)
        return len(queue.urgent_entries) + ahead

    def share_of(self, workspace: str) -> float:
        """Returns the fraction of the pool that a workspace may use now."""
        queue = self._queue_for(workspace)
        total = self._active_weight
        if not len(queue):
            total += queue.weight
        return queue.weight / total

    def push(self, item: Item) -> None:
        """Adds a request."""
        queue = self._queue_for(item.workspace)
        if not len(queue):
            floor_ms = self._virtual_ms - self._max_credit_ms
            queue.virtual_ms = max(queue.virtual_ms, floor_ms)
            self._active_weight += queue.weight
        self._sequence += 1
        entry = (item.due_ms, self._sequence, item)
        bisect.insort(
            queue.urgent_entries if item.is_urgent else queue.other_entries,
            entry,
        )
        self._count += 1
        self._urgent_count += item.is_urgent

    def remove(self, item: Item) -> None:
        """Removes a request, which must be in the queue."""
        queue = self._queues[item.workspace]
        entries = (
            queue.urgent_entries if item.is_urgent else queue.other_entries
        )
        index = bisect.bisect_left(entries, (item.due_ms,))
        while entries[index][2] is not item:
            index += 1
        del entries[index]
        self._count -= 1
        self._urgent_count -= item.is_urgent
        if not len(queue):
            self._active_weight -= queue.weight

    def candidates(self) -> abc.Iterator[Item]:
        """Yields the head requests of each workspace, in service order.

        The queue must not change during the iteration, except that the
        caller may remove an item and stop.
        """
        queues = [queue for queue in self._queues.values() if len(queue)]
        queues.sort(key=lambda queue: queue.virtual_ms)
        limit_ms = queues[0].virtual_ms + self._max_lead_ms
        within_lead = [
            queue for queue in queues if queue.virtual_ms <= limit_ms
        ]
        if self._urgent_count:
            heads = [
                queue.urgent_entries[0]
                for queue in within_lead
                if queue.urgent_entries
            ]
            yield from (entry[2] for entry in sorted(heads))
        heads = [
            queue.other_entries[0]
            for queue in within_lead
            if queue.other_entries
        ]
        yield from (entry[2] for entry in sorted(heads))
        for queue in queues[len(within_lead) :]:
            yield (queue.urgent_entries or queue.other_entries)[0][2]

    def charge(self, workspace: str, cost_ms: float) -> None:
        """Charges a workspace for engine time.

        A negative cost corrects an earlier estimate.
        """
        queue = self._queue_for(workspace)
        if cost_ms > 0:
            self._virtual_ms = max(
                self._virtual_ms,
                min(queue.virtual_ms, self._lowest_virtual_ms()),
            )
        queue.virtual_ms += cost_ms / queue.weight

    def items(self) -> list[Item]:
        """Returns all queued requests."""
        return [
            entry[2]
            for queue in self._queues.values()
            for entries in (queue.urgent_entries, queue.other_entries)
            for entry in entries
        ]

    def _lowest_virtual_ms(self) -> float:
        return min(
            (
                queue.virtual_ms
                for queue in self._queues.values()
                if len(queue)
            ),
            default=float('inf'),
        )

    def _queue_for(self, workspace: str) -> _WorkspaceQueue:
        queue = self._queues.get(workspace)
        if queue is None:
            weight = max(1, self._weights.get(workspace, 1))
            queue = _WorkspaceQueue(weight, self._virtual_ms)
            self._queues[workspace] = queue
        return queue
