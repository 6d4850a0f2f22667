"""Tests of the HTTP server."""

import contextlib
import socket
import time
import unittest
from unittest import mock

from masticquay_serving import errors
from masticquay_serving import http_servers
from masticquay_serving import requests

TIMEOUT_S = 5.0


class ServerTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.received = []
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
        self.received.append(request)
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
        response = b''
        while b'\r\n\r\n' not in response or not _is_complete(response):
            part = sock.recv(65536)
            if not part:
                break
            response += part
        return response

    def test_body_with_content_length_is_received(self):
        response = self.exchange(
            b'POST //x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'
        )
        self.assertTrue(response.endswith(b'\r\n\r\nabc'))
        self.assertEqual('//x', self.received[0].target)

    def test_chunked_body_is_received_decoded(self):
        response = self.exchange(
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: r\r\n\r\n'
        )
        self.assertTrue(response.endswith(b'\r\n\r\nabcde'))

    def test_connection_serves_several_requests(self):
        sock = self.connect()
        for _ in range(3):
            self.exchange(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n', sock)
        self.assertEqual(3, len(self.received))

    def test_pipelined_requests_are_served_in_order(self):
        sock = self.connect()
        sock.sendall(b'GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n')
        _wait_for(lambda: len(self.received) == 2)
        self.assertEqual(['/1', '/2'], [r.target for r in self.received])

    def assert_rejected(self, status, data):
        response = self.exchange(data)
        self.assertIn(b' %d ' % status, response.split(b'\r\n')[0])
        self.assertEqual([], self.received)

    def test_malformed_request_line_is_rejected(self):
        self.assert_rejected(400, b'NONSENSE\r\n\r\n')

    def test_conflicting_content_lengths_are_rejected(self):
        self.assert_rejected(
            400,
            b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
        )

    def test_content_length_with_chunked_encoding_is_rejected(self):
        self.assert_rejected(
            400,
            b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        )

    def test_invalid_chunk_size_is_rejected(self):
        self.assert_rejected(
            400,
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        )

    def test_body_above_the_limit_is_rejected(self):
        self.assert_rejected(
            413, b'POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n'
        )

    def test_headers_above_the_limit_are_rejected(self):
        self.assert_rejected(
            431, b'GET / HTTP/1.1\r\nA: ' + b'x' * 3_000 + b'\r\n\r\n'
        )

    def test_headers_above_the_limit_are_rejected_before_their_end(self):
        """Seen: the limit was checked once all lines were in memory."""
        head = b'GET / HTTP/1.1\r\n'
        self.assert_rejected(431, head + b'A: ' + b'x' * 3_000)
        self.assert_rejected(431, head + b'A: b\r\n' * 90 + b'C: d' * 500)

    def test_headers_as_large_as_the_limit_are_served(self):
        value = b'x' * (self.limits.max_header_bytes - len('A: \r\n'))
        head = b'GET / HTTP/1.1\r\nA: '
        self.assertIn(b' 200 ', self.exchange(head + value + b'\r\n\r\n'))
        self.received.clear()
        self.assert_rejected(431, head + value + b'x\r\n\r\n')

    def test_head_cut_off_by_the_end_of_the_stream_is_not_served(self):
        """Seen: the headers up to the end were served as the whole head."""
        for data in (
            b'GET /',
            b'GET / HTTP/1.1',
            b'GET / HTTP/1.1\r\nA: b\r\nC: ',
        ):
            with self.subTest(data=data):
                sock = self.connect()
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                self.assertEqual(b'', sock.recv(65536))
                self.assertEqual([], self.received)

    def test_unfinished_headers_are_rejected_after_the_timeout(self):
        self.assert_rejected(408, b'GET / HTTP/1.1\r\nA: b\r\n')

    def trickle(self, parts, first, interval_s=0.05):
        """Sends parts of a request one by one until the server answers.

        :returns: the answer and the time until it ended
        """
        sock = self.connect()
        sock.sendall(first)
        sock.settimeout(interval_s)
        started_s = time.monotonic()
        for part in parts:
            sock.sendall(part)
            with contextlib.suppress(TimeoutError):
                response = sock.recv(65536)
                break
        else:
            raise AssertionError('no answer')
        sock.settimeout(TIMEOUT_S)
        with contextlib.suppress(ConnectionResetError):
            while part := sock.recv(65536):
                response += part
        return response, time.monotonic() - started_s

    def assert_cut_off(self, parts, first=b''):
        response, elapsed_s = self.trickle(parts, first)
        self.assertIn(b' 408 ', response.split(b'\r\n')[0])
        self.assertIn(b'Connection: close', response)
        self.assertLess(elapsed_s, 1.5)
        self.assertEqual([], self.received)

    def test_head_sent_byte_by_byte_is_rejected_after_the_timeout(self):
        """Seen: each byte began the timeout anew, without a total limit."""
        self.assert_cut_off(_split(b'GET /' + b'x' * 40))
        self.assert_cut_off(_split(b'A: b\r\n' * 7), b'GET / HTTP/1.1\r\n')

    def limit_body_time(self, timeout_s, rate_bytes_per_s):
        for name, value in (
            ('BODY_TIMEOUT_S', timeout_s),
            ('BODY_RATE_BYTES_PER_S', rate_bytes_per_s),
        ):
            self.stack.enter_context(
                mock.patch.object(http_servers, name, value)
            )

    def test_body_sent_byte_by_byte_is_rejected_after_the_timeout(self):
        """Seen: each byte began the timeout anew, without a total limit."""
        self.limit_body_time(0.3, 1_000)
        head = b'POST / HTTP/1.1\r\n'
        length = head + b'Content-Length: 100\r\n\r\n'
        chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
        for first, rest in (
            (length, b'x' * 40),
            (chunked, b'30\r\n' + b'x' * 36),
            (chunked, b'3;' + b'x' * 40),
            (chunked + b'0\r\n', b'T: v\r\n' * 7),
        ):
            with self.subTest(first=first, rest=rest):
                self.assert_cut_off(_split(rest), first)

    def test_endless_chunk_size_lines_are_rejected_after_the_timeout(self):
        """Seen: such lines count to no limit, so they held a thread."""
        self.limit_body_time(0.3, 10_000)
        chunk = b'1;' + b'x' * 1_000 + b'\r\nx\r\n'
        self.assert_cut_off(
            [chunk] * 100,
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
        )

    def test_body_above_the_rate_is_served_after_the_timeout(self):
        self.limit_body_time(0.4, 50)
        sock = self.connect()
        sock.sendall(b'POST / HTTP/1.1\r\nContent-Length: 160\r\n\r\n')
        for _ in range(7):
            sock.sendall(b'x' * 20)
            time.sleep(0.1)
        self.assertIn(b' 200 ', self.exchange(b'x' * 20, sock))

    def test_head_in_parts_within_the_timeout_is_served(self):
        self.limits.header_timeout_ms = 2_000
        sock = self.connect()
        for part in (b'GET / HT', b'TP/1.1\r\nA', b': b\r\n'):
            sock.sendall(part)
            time.sleep(0.05)
        self.assertIn(b' 200 ', self.exchange(b'\r\n', sock))

    def test_timeout_of_a_head_starts_with_its_first_byte(self):
        sock = self.connect()
        for _ in range(2):
            time.sleep(0.4)
            response = self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
            self.assertIn(b' 200 ', response)

    def test_streamed_response_is_chunked(self):
        response = self.exchange(b'GET /stream HTTP/1.1\r\n\r\n')
        self.assertTrue(response.endswith(b'3\r\none\r\n0\r\n\r\n'))

    def test_aborted_stream_resets_the_connection(self):
        sock = self.connect()
        sock.sendall(b'GET /broken HTTP/1.1\r\n\r\n')
        with self.assertRaises(ConnectionResetError):
            while sock.recv(65536):
                time.sleep(0.01)

    def test_drain_closes_connections_after_the_next_response(self):
        sock = self.connect()
        self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        self.server.drain()
        response = self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        self.assertIn(b'Connection: close', response)
        self.assertEqual(b'', sock.recv(10))

    def test_stop_accepting_refuses_new_connections_and_serves_open_ones(self):
        """A draining host must still serve callers that are connected."""
        sock = self.connect()
        self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        self.server.stop_accepting()
        with self.assertRaises(OSError):
            socket.create_connection(
                self.server.server_address, timeout=TIMEOUT_S
            )
        response = self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        self.assertIn(b' 200 ', response)

    def test_close_idle_closes_idle_connections(self):
        sock = self.connect()
        self.exchange(b'GET / HTTP/1.1\r\n\r\n', sock)
        sock.settimeout(0.05)

        def is_closed():
            # The server marks the connection idle shortly after it has
            # sent the response.
            self.server.close_idle()
            try:
                return sock.recv(10) == b''
            except TimeoutError:
                return False

        _wait_for(is_closed)

    def assert_ended_without_answer(self, error):
        def serve(request, reply):
            self.received.append(request)
            raise error

        self.server.application = serve
        with self.assertLogs('masticquay_serving.http_servers', 'ERROR'):
            response = self.exchange(b'GET / HTTP/1.1\r\n\r\n')
            self.assertEqual(b'', response)
            _wait_for(lambda: self.server.connection_count == 0)
        self.assertEqual(1, len(self.received))

    def test_timeout_of_the_application_does_not_answer_408(self):
        """Seen: any TimeoutError became a 408, which promises 'not run'."""
        self.assert_ended_without_answer(TimeoutError('a peer is slow'))

    def test_unexpected_error_of_the_application_ends_the_connection(self):
        """Seen: an OSError ended the connection without a log line."""
        for error in (OSError('disk'), ValueError('bug')):
            with self.subTest(error=error):
                self.received.clear()
                self.assert_ended_without_answer(error)

    def test_write_to_a_disconnected_caller_raises(self):
        sock = self.connect()
        caught = []

        def serve(request, reply):
            reply.begin(200, [])
            try:
                for _ in range(1_000):
                    reply.write(b'x' * 65_536)
            except errors.CallerDisconnectedError as cause:
                caught.append(cause)
                raise

        self.server.application = serve
        sock.sendall(b'GET / HTTP/1.1\r\n\r\n')
        sock.recv(10)
        sock.close()
        _wait_for(lambda: bool(caught))


def _split(data):
    return [data[i : i + 1] for i in range(len(data))]


def _is_complete(response):
    head, _, body = response.partition(b'\r\n\r\n')
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            return len(body) >= int(line.split(b':')[1])
    return body.endswith(b'0\r\n\r\n')


def _wait_for(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError('timed out waiting for the condition')
        time.sleep(0.01)
