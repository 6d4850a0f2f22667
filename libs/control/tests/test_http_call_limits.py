"""Tests of the limits on JSON requests over HTTP."""

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from masticquay_control import errors
from masticquay_control import http_calls

TIMEOUT_MS = 300
# A peer that is not cut off ends by itself after this time.
PEER_TIME_S = 3.0
HEAD = b'HTTP/1.1 200 OK\r\n'


class CallTest(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.settimeout(PEER_TIME_S)
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self.received = []

    def answer(self, first, part=b''):
        self.thread = threading.Thread(target=self.serve, args=[first, part])
        self.thread.start()
        self.addCleanup(self.thread.join)

    def serve(self, first, part):
        sock, _address = self.listener.accept()
        end_s = time.monotonic() + PEER_TIME_S
        sock.settimeout(PEER_TIME_S)
        with sock, contextlib.suppress(OSError):
            # Unread data would reset the connection when it is closed.
            while data := sock.recv(65536):
                self.received.append(data)
                if data.endswith(b'}'):
                    break
            sock.sendall(first)
            while part and time.monotonic() < end_s:
                sock.sendall(part)
                time.sleep(0.02)

    def call(self, **options):
        return http_calls.call(
            self.address, 'POST', '/x', {'a': 1}, TIMEOUT_MS, **options
        )

    def test_answer_is_read(self):
        self.answer(HEAD + b'\r\n{"b": 2}')
        response = self.call()
        self.assertEqual(200, response.status)
        self.assertEqual({'b': 2}, response.body)
        request = b''.join(self.received)
        self.assertIn(b'POST /x HTTP/1.1', request)
        self.assertTrue(request.endswith(b'{"a": 1}'))

    def test_request_that_may_not_be_sent_is_not_sent(self):
        self.answer(HEAD + b'\r\n{}')
        with self.assertRaises(errors.CallError):
            self.call(may_send=lambda: False)
        self.thread.join()
        self.assertEqual(b'', b''.join(self.received))

    def test_answer_that_comes_byte_by_byte_fails_at_the_deadline(self):
        """Seen: each byte began the timeout anew, without a total limit."""
        for first, part in ((HEAD + b'A: ', b'x'), (HEAD + b'\r\n{}', b' ')):
            with self.subTest(first=first):
                self.answer(first, part)
                started_s = time.monotonic()
                with self.assertRaises(errors.CallError):
                    self.call()
                self.assertLess(time.monotonic() - started_s, 1.5)

    def test_answer_nested_too_deeply_fails(self):
        """Seen: a RecursionError, not a CallError."""
        self.answer(HEAD + b'\r\n' + b'[' * 100_000)
        with self.assertRaises(errors.CallError):
            self.call()

    def test_answer_above_the_limit_fails(self):
        """Seen: what the answer had beyond the limit was ignored."""
        self.answer(HEAD + b'\r\n{}' + b' ' * 10_000)
        with (
            mock.patch.object(http_calls, 'MAX_RESPONSE_BYTES', 1_000),
            self.assertRaises(errors.CallError),
        ):
            self.call()
