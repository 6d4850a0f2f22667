"""A raw endpoint, which sends any bytes in answer to a request."""

import contextlib
import socket
import threading

from masticquay_routing import fleets
from masticquay_serving import replies

TIMEOUT_S = 5.0


def format_answer(call_id, status=200, body=b'ok', extra=()):
    """Returns the bytes of an answer in the form of ``fakes.FakeProtocol``."""
    lines = [f'HTTP/1.1 {status} S', f'Content-Length: {len(body)}']
    if call_id is not None:
        lines.append(f'Call: {call_id}')
    lines.extend(f'{name}: {value}' for name, value in extra)
    return '\r\n'.join([*lines, '', '']).encode() + body


class RawEndpoint:
    """Answers each request with the bytes that a script returns.

    ``calls`` holds the ids of the requests that it got, in order, and
    ``connection_numbers`` the connection of each. ``sockets`` holds the
    connections. With ``ends_after``, each ends after so many answers; with
    ``resets``, by a reset.

    :param script: called with the id of a request and the number of requests
        on its connection so far; returns the bytes to send
    """

    def __init__(self, stack, number, script, role=''):
        self.calls = []
        self.connection_numbers = []
        self.connection_count = 0
        self.sockets = []
        self.ends_after = None
        self.resets = False
        self.lock = threading.Lock()
        self.script = script
        self.listener = socket.create_server(('127.0.0.1', 0))
        stack.callback(self.listener.close)
        self.stack = stack
        host, port = self.listener.getsockname()
        self.endpoint = fleets.Endpoint(
            f'e{number}', 'svc', f'{host}:{port}', 'p1', 8, False, role
        )
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _address = self.listener.accept()
                sock.settimeout(TIMEOUT_S)
                self.connection_count += 1
                self.sockets.append(sock)
                threading.Thread(
                    target=self.serve,
                    args=(sock, self.connection_count),
                    daemon=True,
                ).start()

    def serve(self, sock, connection_number):
        with sock, contextlib.suppress(OSError):
            reader = sock.makefile('rb')
            count = 0
            while True:
                call_id = self.read_request(reader)
                if call_id is None:
                    return
                count += 1
                with self.lock:
                    self.calls.append(call_id)
                    self.connection_numbers.append(connection_number)
                sock.sendall(self.script(call_id, count))
                if count == self.ends_after:
                    self.end(sock)
                    return

    def end(self, sock):
        """Prepares the end of a connection."""
        if self.resets:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, replies.ABORT_LINGER
            )

    def read_request(self, reader):
        """Reads a request; returns its id, None at the connection's end."""
        call_id = ''
        length = 0
        line = reader.readline()
        if not line:
            return None
        while line not in (b'\r\n', b''):
            name, _, value = line.decode().partition(':')
            if name.lower() == 'call':
                call_id = value.strip()
            if name.lower() == 'content-length':
                length = int(value)
            line = reader.readline()
        reader.read(length)
        return call_id
