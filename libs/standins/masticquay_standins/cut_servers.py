"""Stands in for a process whose answers break off."""

import contextlib
import socket
import struct
import threading

TIMEOUT_S = 5.0
READ_BYTES = 64 * 1024
# Has the close of a socket reset its connection.
RESET = struct.pack('ii', 1, 0)


class CutServer:
    """Sends the given bytes over each connection, then ends it.

    :param stack: closes it
    :ivar address: ``ip:port``
    :ivar data: sent for the last request of each connection
    :ivar before: answers to earlier requests of the connection
    :ivar resets: whether the connection ends by a reset
    """

    def __init__(self, stack: contextlib.ExitStack):
        self.data = b''
        self.before: list[bytes] = []
        self.resets = False
        self._listener = socket.create_server(('127.0.0.1', 0))
        stack.callback(self._listener.close)
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _address = self._listener.accept()
                with sock, contextlib.suppress(OSError):
                    self._answer(sock)

    def _answer(self, sock: socket.socket) -> None:
        sock.settimeout(TIMEOUT_S)
        for answer in [*self.before, self.data]:
            sock.recv(READ_BYTES)
            sock.sendall(answer)
        if self.resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
