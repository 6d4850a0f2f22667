"""Tests of the HTTP client."""

import contextlib
import socket
import threading
import time
import unittest

from masticquay_serving import errors
from masticquay_serving import http_clients

TIMEOUT_S = 0.3
# A peer that is not cut off ends by itself after this time.
PEER_TIME_S = 3.0
LIMIT_BYTES = 10_000
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


def _receive_request(sock):
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65536)
        if not part:
            return data
        data += part
    if b'Content-Length: 4' in data:
        while not data.endswith(b'body'):
            data += sock.recv(65536)
    return data


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.settimeout(PEER_TIME_S)
        self.stack.callback(self.listener.close)
        self.received = []
        host, port = self.listener.getsockname()
        self.client = http_clients.Client(
            f'{host}:{port}', TIMEOUT_S, LIMIT_BYTES
        )

    def answer(self, *connections):
        """Serves connections in turn.

        :param connections: for each, the answers to its requests; an answer
            is its parts, between which the peer pauses
        """
        thread = threading.Thread(target=self.serve, args=[connections])
        thread.start()
        self.stack.callback(thread.join)
        self.stack.callback(self.client.close)

    def serve(self, connections):
        for answers in connections:
            sock, _address = self.listener.accept()
            sock.settimeout(PEER_TIME_S)
            with sock, contextlib.suppress(OSError):
                for parts in answers:
                    self.received.append(_receive_request(sock))
                    for part in parts:
                        sock.sendall(part)
                        time.sleep(0.02)

    def assert_fails(self, parts):
        started_s = time.monotonic()
        self.answer([parts])
        with self.assertRaises(errors.ExchangeError):
            self.client.call('GET', '/')
        self.assertLess(time.monotonic() - started_s, PEER_TIME_S / 2)

    def test_answers_over_one_connection_are_read(self):
        length = b'HTTP/1.1 202 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nab'
        self.answer([[length], [CHUNKED, b'3\r\nabc\r\n0\r\n\r\n']])
        answer = self.client.call('POST', '/x', {'C': 'd'}, b'body')
        self.assertEqual(202, answer.status)
        self.assertEqual(b'ab', answer.body)
        self.assertIn(('A', 'b'), answer.headers)
        self.assertEqual(b'abc', self.client.call('GET', '/y').body)
        self.assertIn(b'C: d\r\n', self.received[0])
        self.assertIn(b'GET /y ', self.received[1])

    def test_answer_that_the_end_of_the_stream_ends_is_read(self):
        self.answer(
            [[b'HTTP/1.1 200 OK\r\n\r\nab']], [[CHUNKED + b'0\r\n\r\n']]
        )
        self.assertEqual(b'ab', self.client.call('GET', '/').body)
        self.assertEqual(b'', self.client.call('GET', '/').body)

    # Guards against an answer that passes for one with another status, as
    # ``int`` reads it.
    def test_answer_with_an_unreadable_status_fails(self):
        for status in (b'0200', b'+200', b'2_00', b'000', b'600', b'1000'):
            with self.subTest(status):
                self.doCleanups()
                self.setUp()
                head = b'HTTP/1.1 %s x\r\nContent-Length: 2\r\n\r\n' % status
                self.assert_fails([head + b'ok'])

    # Guards against an answer that broke off and counts as whole: lines after
    # one that cannot be parsed were left out, so also the length of the body.
    def test_answer_cut_off_after_an_unreadable_line_fails(self):
        for line in (b'X A: b', b'X-A: b\r', b'X-A: b\r\r'):
            with self.subTest(line=line):
                self.doCleanups()
                self.setUp()
                head = b'HTTP/1.1 200 OK\r\n' + line
                self.assert_fails([head + b'\r\nContent-Length: 9\r\n\r\nab'])

    # Guards against the same by a chunk whose size or end is read in another
    # way than it was written.
    def test_answer_with_an_unreadable_chunk_fails(self):
        for body in (
            b'+3\r\nabc\r\n',
            b'0x3\r\nabc\r\n',
            b'0_3\r\nabc\r\n',
            b'3\r;a\r\nabc\r\n',
            b'3\r\nabcd\r\n',
        ):
            with self.subTest(body=body):
                self.doCleanups()
                self.setUp()
                self.assert_fails([CHUNKED + body + b'0\r\n\r\n'])

    def test_answer_of_an_unclear_length_fails(self):
        for line in (b'Content-Length: +2', b'Transfer-Encoding: gzip'):
            with self.subTest(line=line):
                self.doCleanups()
                self.setUp()
                head = b'HTTP/1.1 200 OK\r\n' + line
                self.assert_fails([head + b'\r\n\r\nab'])

    def test_answer_that_takes_longer_than_the_timeout_fails(self):
        count = int(PEER_TIME_S / 0.02)
        for first, part in (
            (b'HTTP', b'x'),
            (b'HTTP/1.1 200 OK\r\nA: b\r\nB: ', b'x'),
            (b'HTTP/1.1 100 Continue\r\n\r\n', b'HTTP/1.1 100 C\r\n\r\n'),
            (b'HTTP/1.1 200 OK\r\n\r\n', b'x'),
            (b'HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n', b'x'),
            (CHUNKED, b'1\r\nx\r\n'),
            (CHUNKED + b'0\r\n', b'A: b\r\n'),
        ):
            with self.subTest(first=first):
                self.doCleanups()
                self.setUp()
                self.assert_fails([first] + [part] * count)

    def test_answer_above_the_limit_fails(self):
        many = b'x' * (LIMIT_BYTES + 1)
        for answer in (
            b'HTTP/1.1 200 OK\r\n\r\n' + many,
            b'HTTP/1.1 200 OK\r\n' + b'A: b\r\n' * 2_000,
            b'HTTP/1.1 200 OK\r\nContent-Length: 10001\r\n\r\n' + many,
            CHUNKED + b'2711\r\n' + many + b'\r\n0\r\n\r\n',
            CHUNKED + b'0\r\n' + b'A: b\r\n' * 2_000 + b'\r\n',
        ):
            with self.subTest(answer=answer[:50]):
                self.doCleanups()
                self.setUp()
                self.assert_fails([answer])

    def test_announced_length_beyond_memory_fails(self):
        length = b'9' * 30
        for answer in (
            b'HTTP/1.1 200 OK\r\nContent-Length: ' + length + b'\r\n\r\nab',
            CHUNKED + length + b'\r\nab',
        ):
            with self.subTest(answer=answer):
                self.doCleanups()
                self.setUp()
                self.assert_fails([answer])

    def test_answer_cut_off_by_the_end_of_the_stream_fails(self):
        for answer in (
            b'',
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab',
            CHUNKED + b'3\r\nab',
        ):
            with self.subTest(answer=answer):
                self.doCleanups()
                self.setUp()
                self.assert_fails([answer])

    # Guards against reports and lists that count as empty, as http.client
    # takes the end of the stream for the end of the head or of the trailers.
    def test_head_or_trailers_cut_off_by_the_end_of_the_stream_fail(self):
        for answer in (
            b'HTTP/1.1 200 OK\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Le',
            CHUNKED + b'2\r\n{}\r\n0\r\n',
        ):
            with self.subTest(answer=answer):
                self.answer([[answer]])
                with self.assertRaises(errors.ExchangeError):
                    self.client.call('GET', '/')
                self.client.close()

    def test_limits_hold_for_all_answers_together(self):
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n'
        self.answer([[answer + b'x' * 6_000], [answer + b'x' * 6_000]])
        self.client.call('GET', '/')
        with self.assertRaises(errors.ExchangeError):
            self.client.call('GET', '/')

    def test_limit_of_a_call_holds_for_each_answer(self):
        host, port = self.listener.getsockname()
        self.client = http_clients.Client(
            f'{host}:{port}', 2 * PEER_TIME_S, LIMIT_BYTES, None, 3_000
        )
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        self.answer(
            [
                [answer % 2_000 + b'x' * 2_000],
                [answer % 2_000 + b'x' * 2_000],
                [answer % 3_001 + b'x' * 3_001],
            ]
        )
        for _ in range(2):
            self.assertEqual(2_000, len(self.client.call('GET', '/').body))
        with self.assertRaises(errors.ExchangeError):
            self.client.call('GET', '/')

    def test_timeout_of_a_call_starts_with_the_call(self):
        host, port = self.listener.getsockname()
        self.client = http_clients.Client(
            f'{host}:{port}', 2 * PEER_TIME_S, LIMIT_BYTES, TIMEOUT_S
        )
        answer = [b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n']
        self.answer([answer, answer, [b'HTTP'] * 100])
        for _ in range(2):
            time.sleep(0.6 * TIMEOUT_S)
            self.client.call('GET', '/')
        started_s = time.monotonic()
        with self.assertRaises(errors.ExchangeError):
            self.client.call('GET', '/')
        self.assertLess(time.monotonic() - started_s, PEER_TIME_S / 2)

    def test_unreachable_peer_fails(self):
        client = http_clients.Client('127.0.0.1:1', TIMEOUT_S, LIMIT_BYTES)
        with self.assertRaises(errors.ExchangeError):
            client.call('GET', '/')

    def test_peer_that_accepts_no_data_fails(self):
        started_s = time.monotonic()
        self.stack.callback(self.client.close)
        with self.assertRaises(errors.ExchangeError):
            self.client.call('POST', '/', None, b'x' * 20_000_000)
        self.assertLess(time.monotonic() - started_s, PEER_TIME_S / 2)
