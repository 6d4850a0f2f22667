"""Endpoints that write their answers to the socket, whatever they are."""

import multiprocessing
import socket
import threading
import time

from masticquay_routing import fleets

RECEIVE_BYTES = 65_536
# The body of the fakes' requests, where these have one.
REQUEST_BODY = b'body'
LENGTH_HEADER = b'Content-Length: 4'
HEAD = b'HTTP/1.1 200 OK\r\nCall: c1\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS_HEAD = HEAD + b'\r\n'
BLOCK = b'x' * 65_536
# Much longer than the time of any route in the tests.
SENDING_MS = 2_000


class RawEndpoint:
    """An endpoint that answers each connection's first request by a script.

    :param number: part of its id
    :param script: called with the socket after a request has arrived
    """

    def __init__(self, number, script, role=''):
        self.script = script
        self.threads = []
        self.sockets = []
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=512)
        host, port = self._listener.getsockname()
        self.endpoint = fleets.Endpoint(
            f'e{number}', 'svc', f'{host}:{port}', 'p1', 8, False, role
        )
        self._acceptor = threading.Thread(target=self._accept, daemon=True)
        self._acceptor.start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            thread = threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            )
            self.sockets.append(sock)
            self.threads.append(thread)
            thread.start()

    def _serve(self, sock):
        try:
            with sock:
                if receive_request(sock):
                    self.script(sock)
        except OSError:
            return

    def close(self):
        """Ends all connections and threads."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._acceptor.join()
        for sock in self.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        for thread in self.threads:
            thread.join()


def receive_request(sock):
    """Receives a whole request, since unread data would reset the socket.

    :returns: whether one came
    """
    data = b''
    end = b'\r\n\r\n'
    while not data.endswith(end):
        piece = sock.recv(RECEIVE_BYTES)
        if not piece:
            return False
        data += piece
        if LENGTH_HEADER in data:
            end = b'\r\n\r\n' + REQUEST_BODY
    return True


def repeat(sock, piece, pause_ms, duration_ms):
    """Sends a piece again and again for some time, then returns."""
    end_s = time.monotonic() + duration_ms / 1000
    while time.monotonic() < end_s:
        sock.sendall(piece)
        if pause_ms:
            time.sleep(pause_ms / 1000)


def make_script(start, piece, pause_ms, duration_ms, end=b''):
    """Returns a script: a start, a piece repeated for some time, an end."""

    def send(sock):
        sock.sendall(start)
        repeat(sock, piece, pause_ms, duration_ms)
        sock.sendall(end)

    return send


OK_BODY = b'Content-Length: 2\r\n\r\nok'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

SLOW_BODY = make_script(ENDLESS_HEAD, b'x', 50, SENDING_MS)
SLOW_HEAD = make_script(HEAD, b'X-A: b\r\n', 50, SENDING_MS, OK_BODY)
SLOW_LINE = make_script(
    HEAD + b'X-A: ', b'b', 50, SENDING_MS, b'\r\n' + OK_BODY
)
SLOW_INTERIM = make_script(b'', CONTINUE, 50, SENDING_MS, HEAD + OK_BODY)
MANY_INTERIM = make_script(b'', CONTINUE * 100, 0, SENDING_MS, HEAD + OK_BODY)
SLOW_CHUNK_SIZE = make_script(
    CHUNKED_HEAD, b'0', 50, SENDING_MS, b'2\r\nok\r\n0\r\n\r\n'
)
SLOW_TRAILERS = make_script(
    CHUNKED_HEAD + b'2\r\nok\r\n0\r\n',
    b'X-A: b\r\n',
    50,
    SENDING_MS,
    b'\r\n',
)
ENDLESS_BODY = make_script(ENDLESS_HEAD, BLOCK, 0, SENDING_MS)
ENDLESS_TRAILERS = make_script(
    CHUNKED_HEAD + b'2\r\nok\r\n0\r\n',
    b'X-A: b\r\n' * 100,
    0,
    SENDING_MS,
    b'\r\n',
)
# An endless body, and an endless event of a stream.
ENDLESS_CHUNKS = make_script(
    CHUNKED_HEAD, b'%x\r\n%b\r\n' % (len(BLOCK), BLOCK), 0, SENDING_MS
)
ENDLESS_SCRIPTS = [
    SLOW_BODY,
    SLOW_HEAD,
    SLOW_LINE,
    SLOW_INTERIM,
    MANY_INTERIM,
    SLOW_CHUNK_SIZE,
    SLOW_TRAILERS,
    ENDLESS_BODY,
    ENDLESS_TRAILERS,
    ENDLESS_CHUNKS,
]


def start_endless(add_cleanup):
    """Starts a process with an endpoint for each endless script.

    :param add_cleanup: called with the steps that end it
    :returns: the addresses
    """
    context = multiprocessing.get_context('spawn')
    pipe, remote_pipe = context.Pipe()
    process = context.Process(target=serve_endless, args=(remote_pipe,))
    process.start()
    add_cleanup(process.join)
    add_cleanup(pipe.send, None)
    return pipe.recv()


def serve_endless(pipe):
    """Serves an endpoint for each endless script until told to end.

    :param pipe: gets the addresses, and then sends the end
    """
    endpoints = [RawEndpoint(0, script) for script in ENDLESS_SCRIPTS]
    pipe.send([raw.endpoint.address for raw in endpoints])
    pipe.recv()
    for raw in endpoints:
        raw.close()
