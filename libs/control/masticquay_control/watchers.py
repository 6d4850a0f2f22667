"""Pushes committed changes to the hosts that subscribed."""

import collections
import contextlib
import threading

from masticquay_control import machines
from masticquay_membership import messages as membership
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages
from masticquay_wire import peers

WAIT_S = 1.0
MAX_PACKED = 4


class Watchers:
    """One thread for each subscribed link sends it what it lacks."""

    def __init__(self, machine: machines.ControlMachine):
        self._machine = machine
        self._changed = threading.Condition()
        self._closed = False
        self._watchers: dict[peers.Connection, _Watcher] = {}
        self._pack_lock = threading.Lock()
        self._packed: collections.OrderedDict[
            tuple[int, int], membership.PackedUpdate
        ] = collections.OrderedDict()
        self.pushed_count = 0

    def notify_change(self) -> None:
        """Wakes the threads: there are new changes."""
        with self._changed:
            self._changed.notify_all()

    def subscribe(self, link: peers.Connection, applied_index: int) -> None:
        """Sends all changes after an index over a link until it is lost."""
        watcher = _Watcher(self, link, applied_index)
        with self._changed:
            replaced = self._watchers.get(link)
            self._watchers[link] = watcher
        if replaced is not None:
            replaced.stopped = True
        link.on_close(lambda: self._drop(watcher))
        watcher.start()

    def close(self) -> None:
        """Stops all threads."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    @property
    def count(self) -> int:
        """How many links are subscribed."""
        return len(self._watchers)

    def _drop(self, watcher: '_Watcher') -> None:
        with self._changed:
            watcher.stopped = True
            if self._watchers.get(watcher.link) is watcher:
                del self._watchers[watcher.link]
            self._changed.notify_all()

    def run(self, watcher: '_Watcher') -> None:
        """Sends changes to one subscriber until it is gone."""
        index = watcher.index
        while not watcher.stopped and not self._closed:
            update = self._machine.update_after(index)
            if update is None:
                self._wait(watcher, index)
                continue
            with contextlib.suppress(wire_errors.WireError):
                watcher.link.notify(self._pack(update))
                index = update.to_index
                self.pushed_count += 1
                continue
            return

    def _pack(self, update: membership.StateUpdate) -> membership.PackedUpdate:
        """Encodes an update, or finds what was encoded for another link.

        Encoding for each link by itself keeps the interpreter from the
        threads of the log for longer than its heartbeats allow.
        """
        key = (update.from_index, update.to_index)
        with self._pack_lock:
            packed = self._packed.get(key)
            if packed is None:
                packed = membership.PackedUpdate(messages.pack(update))
                self._packed[key] = packed
            while len(self._packed) > MAX_PACKED:
                self._packed.popitem(last=False)
            return packed

    def _wait(self, watcher: '_Watcher', index: int) -> None:
        with self._changed:
            current = self._machine.change_index
            if current <= index and not watcher.stopped and not self._closed:
                self._changed.wait(WAIT_S)


class _Watcher:
    """One subscriber."""

    __slots__ = ('_watchers', 'link', 'index', 'stopped')

    def __init__(self, watchers: Watchers, link: peers.Connection, index: int):
        self._watchers = watchers
        self.link = link
        self.index = index
        self.stopped = False

    def start(self) -> None:
        thread = threading.Thread(
            target=self._watchers.run,
            args=[self],
            name=f'watch-{self.link.peer_name}',
            daemon=True,
        )
        thread.start()
