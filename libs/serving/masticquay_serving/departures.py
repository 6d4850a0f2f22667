"""Notices callers that close their connection while they are served."""

import contextlib
import select
import socket
import threading
import typing

_WAIT_S = 5.0


class Departures:
    """Watches caller connections in one thread.

    The hook of a connection runs once when its caller closes it or sends an
    end of stream.
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
        """Watches a connection inside the context."""
        fd = sock.fileno()
        with self._lock:
            self._hooks[fd] = hook
            self._epoll.register(fd, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                self._hooks.pop(fd, None)
                with contextlib.suppress(OSError, ValueError):
                    self._epoll.unregister(fd)

    def close(self) -> None:
        """Ends the thread."""
        self._closed = True

    def _run(self) -> None:
        while not self._closed:
            for fd, _events in self._epoll.poll(_WAIT_S):
                with self._lock:
                    hook = self._hooks.pop(fd, None)
                if hook is not None:
                    hook()
