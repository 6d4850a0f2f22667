"""Detects callers that disconnect while their request is served."""

import contextlib
import select
import socket
import threading
import typing

from masticquay_wire import duties

# The watching thread ends at most this long after ``close``.
_POLL_INTERVAL_S = 5.0
_WATCHED_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT


class DisconnectWatcher:
    """Watches caller connections in one thread.

    The hook of a connection runs at most once, when the caller closes the
    connection or shuts down its sending side.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._hooks: dict[int, typing.Callable[[], None]] = {}
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name='departures', daemon=True
        )
        self._thread.start()

    @contextlib.contextmanager
    def watched(
        self, sock: socket.socket, hook: typing.Callable[[], None]
    ) -> typing.Iterator[None]:
        """Watches a connection until the context ends.

        :param hook: called in the watching thread on a disconnect
        """
        fd = sock.fileno()
        with self._lock:
            self._hooks[fd] = hook
            self._epoll.register(fd, _WATCHED_EVENTS)
        try:
            yield
        finally:
            with self._lock:
                self._hooks.pop(fd, None)
                with contextlib.suppress(OSError, ValueError):
                    self._epoll.unregister(fd)

    def close(self) -> None:
        """Tells the watching thread to end, without waiting for it."""
        self._closed = True

    def _run(self) -> None:
        duty = duties.Duty('caller departures', self._handle_event)
        while not self._closed:
            for fd, _events in self._epoll.poll(_POLL_INTERVAL_S):
                duty.run_once(fd)

    def _handle_event(self, fd: int) -> None:
        hook = self._take_hook(fd)
        if hook is not None:
            hook()

    def _take_hook(self, fd: int) -> typing.Callable[[], None] | None:
        """Removes and returns the hook of a connection that has ended.

        An event may be that of an earlier connection with the same file
        descriptor, so the connection itself is asked.
        """
        with self._lock:
            if fd not in self._hooks:
                return None
            if not _has_ended(fd):
                # The event may have disabled the watch of this connection.
                self._epoll.modify(fd, _WATCHED_EVENTS)
                return None
            return self._hooks.pop(fd)


def _has_ended(fd: int) -> bool:
    """Whether the other side closed a connection or its sending side."""
    poller = select.poll()
    poller.register(fd, select.POLLRDHUP)
    return bool(poller.poll(0))
