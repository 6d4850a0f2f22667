"""A TCP forwarder whose open connections can be made silent."""

import contextlib
import selectors
import socket
import threading

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2
POLL_S = 0.2
BACKLOG = 128


class _Half:
    """One direction of a forwarded connection."""

    __slots__ = ('source', 'target', 'twin', 'silent')

    def __init__(self, source: socket.socket, target: socket.socket):
        self.source = source
        self.target = target
        self.twin: _Half | None = None
        self.silent = False


class Forwarder:
    """Forwards one address to another, in a thread of its own.

    Both ends of a silent connection stay open, and nothing passes any more;
    connections made later work.
    """

    def __init__(self, address: str, target: str):
        self._target = _parse(target)
        self._listener = socket.create_server(_parse(address), backlog=BACKLOG)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ, None)
        self._halves: set[_Half] = set()
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self.forwarded_bytes = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def silence(self) -> int:
        """Makes all open connections silent; returns how many."""
        with self._lock:
            for half in self._halves:
                if not half.silent:
                    half.silent = True
                    with contextlib.suppress(KeyError, ValueError):
                        self._selector.unregister(half.source)
            return len(self._halves) // 2

    def close(self) -> None:
        """Closes all connections and stops listening."""
        self._closed.set()
        self._thread.join()
        with self._lock:
            for half in self._halves:
                half.source.close()
            self._halves.clear()
        self._selector.close()
        self._listener.close()

    def _run(self) -> None:
        while not self._closed.is_set():
            for key, _ in self._selector.select(POLL_S):
                if key.data is None:
                    self._accept()
                else:
                    self._forward(key.data)

    def _accept(self) -> None:
        caller, _ = self._listener.accept()
        try:
            target = socket.create_connection(
                self._target, timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            caller.close()
            return
        target.settimeout(None)
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        there, back = _Half(caller, target), _Half(target, caller)
        there.twin, back.twin = back, there
        with self._lock:
            for half in (there, back):
                self._halves.add(half)
                self._selector.register(
                    half.source, selectors.EVENT_READ, half
                )

    def _forward(self, half: _Half) -> None:
        with self._lock:
            if half.silent or half not in self._halves:
                return
        try:
            data = half.source.recv(CHUNK_BYTES)
            if data:
                self.forwarded_bytes += len(data)
                half.target.sendall(data)
                return
        except OSError:
            pass
        self._drop(half)

    def _drop(self, half: _Half) -> None:
        with self._lock:
            for end in (half, half.twin):
                self._halves.discard(end)
                with contextlib.suppress(KeyError, ValueError):
                    self._selector.unregister(end.source)
                end.source.close()


def _parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
