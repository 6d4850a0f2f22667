"""Tests of the HTTP server."""

import contextlib
import socket
import time
import unittest

from masticquay_serving import errors
from masticquay_serving import http_servers
from masticquay_serving import requests

TIMEOUT_S = 5.0


class ServerTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.requests = []
        self.limits = requests.Limits(
            max_header_bytes=2_000,
            max_body_bytes=1_000,
            header_timeout_ms=300,
            idle_timeout_ms=10_000,
        )
        self.server = http_servers.Server(
            ('127.0.0.1', 0), self.serve, lambda: self.limits
        )
        self.server.start()
        self.stack.callback(self.server.server_close)

    def serve(self, request, reply):
        self.requests.append(request)
        if request.target == '/stream':
            reply.begin(200, [])
            reply.write(b'one')
            reply.finish()
        elif request.target == '/broken':
            reply.begin(200, [])
            reply.write(b'one')
            reply.abort()
        else:
            reply.send(200, [('X-A', 'b')], request.body or b'none')

    def connect(self):
        sock = socket.create_connection(
            self.server.server_address, timeout=TIMEOUT_S
        )
        self.stack.callback(sock.close)
        return sock

    def exchange(self, data, sock=None):
        sock = sock or self.connect()
        sock.sendall(data)
        answer = b''
        while b'\r\n\r\n' not in answer or not _is_whole(answer):
            part = sock.recv(65536)
            if not part:
                break
            answer += part
        return answer

    def test_body_by_length(self):
        answer = self.exchange(
            b'POST //x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'
        )
        self.assertTrue(answer.endswith(b'\r\n\r\nabc'))
        self.assertEqual('//x', self.requests[0].target)

    def test_body_in_chunks(self):
        answer = self.exchange(
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: r\r\n\r\n'
        )
        self.assertTrue(answer.endswith(b'\r\n\r\nabcde'))

    def test_connection_serves_many_requests(self):
        sock = self.connect()
        for _ in range(3):
            self.exchange(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n', sock)
        self.assertEqual(3, len(self.requests))

    def test_requests_sent_ahead_are_served_in_order(self):
        sock = self.connect()
        sock.sendall(b'GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n')
        _wait_for(lambda: len(self.requests) == 2)
        self.assertEqual(['/1', '/2'], [r.target for r in self.requests])

    def assert_refused(self, status, data):
        answer = self.exchange(data)
        self.assertIn(b' %d ' % status, answer.split(b'\r\n')[0])
        self.assertEqual([], self.requests)

    def test_unreadable_request_line(self):
        self.assert_refused(400, b'NONSENSE\r\n\r\n')

    def test_two_lengths(self):
        self.assert_refused(
            400,
            b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
        )

    def test_length_and_chunks(self):
        self.assert_refused(
            400,
            b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        )

    def test_bad_chunk(self):
        self.assert_refused(
            400,
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        )

    def test_body_too_large(self):
        self.assert_refused(
            413, b'POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n'
        )

    def test_headers_too_large(self):
        self.assert_refused(
            431, b'GET / HTTP/1.1\r\nA: ' + b'x' * 3_000 + b'\r\n\r\n'
        )

    def test_headers_too_slow(self):
        self.assert_refused(408, b'GET / HTTP/1.1\r\nA: b\r\n')

    def test_stream_is_framed(self):
        answer = self.exchange(b'GET /stream HTTP/1.1\r\n\r\n')
        self.assertTrue(answer.endswith(b'3\r\none\r\n0\r\n\r\n'))

    def test_broken_stream_looks_broken(self):
        sock = self.connect()
        sock.sendall(b'GET /broken HTTP/1.1\r\n\r\n')
        with self.assertRaises(ConnectionResetError):
            while sock.recv(65536):
                time.sleep(0.01)

    def test_drain_closes_after_the_next_answer(self):
        sock = self.connect()
        self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        self.server.drain()
        answer = self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        self.assertIn(b'Connection: close', answer)
        self.assertEqual(b'', sock.recv(10))

    def test_stopped_server_takes_no_connection_but_serves_on(self):
        """A host that drains must not accept what it cannot finish."""
        sock = self.connect()
        self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        self.server.stop_accepting()
        with self.assertRaises(OSError):
            socket.create_connection(
                self.server.server_address, timeout=TIMEOUT_S
            )
        answer = self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        self.assertIn(b' 200 ', answer)

    def test_idle_connections_are_closed(self):
        sock = self.connect()
        self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        sock.settimeout(0.05)

        def is_closed():
            # The connection is idle only a moment after its answer.
            self.server.close_idle()
            try:
                return sock.recv(10) == b''
            except TimeoutError:
                return False

        _wait_for(is_closed)

    def test_caller_that_left_is_an_error_of_this_layer(self):
        sock = self.connect()
        failures = []

        def serve(request, reply):
            reply.begin(200, [])
            try:
                for _ in range(1_000):
                    reply.write(b'x' * 65_536)
            except errors.CallerLeftError as cause:
                failures.append(cause)
                raise

        self.server.application = serve
        sock.sendall(b'GET / HTTP/1.1\r\n\r\n')
        sock.recv(10)
        sock.close()
        _wait_for(lambda: bool(failures))


def _is_whole(answer):
    head, _, body = answer.partition(b'\r\n\r\n')
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            return len(body) >= int(line.split(b':')[1])
    return body.endswith(b'0\r\n\r\n')


def _wait_for(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError('the condition did not come true')
        time.sleep(0.01)
