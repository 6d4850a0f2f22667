"""Pushes of committed changes to the subscribed hosts."""

import collections
import contextlib
import threading

from masticquay_control import state_machines
from masticquay_membership import messages as membership_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages
from masticquay_wire import peers

WAIT_TIMEOUT_S = 1.0
MAX_CACHED_UPDATES = 4


class Watchers:
    """Pushes changes to the subscribed hosts, with one thread per link."""

    def __init__(self, state_machine: state_machines.ControlStateMachine):
        self._state_machine = state_machine
        self._changed = threading.Condition()
        self._closed = False
        self._watchers: dict[peers.Connection, _Watcher] = {}
        self._encode_lock = threading.Lock()
        self._cached_updates: collections.OrderedDict[
            tuple[int, int], membership_messages.PackedUpdate
        ] = collections.OrderedDict()
        self.pushed_count = 0

    def notify_change(self) -> None:
        """Wakes the threads to push new changes."""
        with self._changed:
            self._changed.notify_all()

    def subscribe(self, link: peers.Connection, applied_index: int) -> None:
        """Pushes all changes after an index over a link until it closes.

        A new subscription of the same link replaces the earlier one.
        """
        watcher = _Watcher(self, link, applied_index)
        with self._changed:
            replaced = self._watchers.get(link)
            self._watchers[link] = watcher
        if replaced is not None:
            replaced.stopped = True
        link.on_close(lambda: self._remove(watcher))
        watcher.start()

    def close(self) -> None:
        """Stops all threads."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    @property
    def count(self) -> int:
        """The number of subscribed links."""
        return len(self._watchers)

    def _remove(self, watcher: '_Watcher') -> None:
        with self._changed:
            watcher.stopped = True
            if self._watchers.get(watcher.link) is watcher:
                del self._watchers[watcher.link]
            self._changed.notify_all()

    def push_changes(self, watcher: '_Watcher') -> None:
        """Pushes changes to a subscriber until it stops or its link fails."""
        index = watcher.index
        while not watcher.stopped and not self._closed:
            update = self._state_machine.update_after(index)
            if update is None:
                self._wait(watcher, index)
                continue
            with contextlib.suppress(wire_errors.WireError):
                watcher.link.notify(self._encode(update))
                index = update.to_index
                self.pushed_count += 1
                continue
            return

    def _encode(
        self, update: membership_messages.StateUpdate
    ) -> membership_messages.PackedUpdate:
        """Returns the encoded update, which all links share.

        Encoding it again for each link would hold the interpreter lock for so
        long that the log's threads miss their heartbeats.
        """
        key = (update.from_index, update.to_index)
        with self._encode_lock:
            encoded = self._cached_updates.get(key)
            if encoded is None:
                encoded = membership_messages.PackedUpdate(
                    messages.pack(update)
                )
                self._cached_updates[key] = encoded
            while len(self._cached_updates) > MAX_CACHED_UPDATES:
                self._cached_updates.popitem(last=False)
            return encoded

    def _wait(self, watcher: '_Watcher', index: int) -> None:
        with self._changed:
            current = self._state_machine.change_index
            if current <= index and not watcher.stopped and not self._closed:
                self._changed.wait(WAIT_TIMEOUT_S)


class _Watcher:
    """A subscription of a link.

    :param index: the last change that the host had applied when it subscribed
    """

    __slots__ = ('_watchers', 'link', 'index', 'stopped')

    def __init__(self, watchers: Watchers, link: peers.Connection, index: int):
        self._watchers = watchers
        self.link = link
        self.index = index
        self.stopped = False

    def start(self) -> None:
        thread = threading.Thread(
            target=self._watchers.push_changes,
            args=[self],
            name=f'watch-{self.link.peer_name}',
            daemon=True,
        )
        thread.start()
