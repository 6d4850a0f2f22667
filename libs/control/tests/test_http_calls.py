"""Tests of what is believed of the answers to HTTP calls."""

import contextlib
import socket
import threading
import unittest

from masticquay_control import errors
from masticquay_control import http_calls

TIMEOUT_MS = 5_000


class AnswerTest(unittest.TestCase):
    def start_server(self, *answers):
        """Answers one call with each of the given bytes, then closes."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def run():
            for answer in answers:
                with contextlib.suppress(OSError):
                    sock, _ = listener.accept()
                    with sock:
                        sock.recv(65_536)
                        sock.sendall(answer)

        threading.Thread(target=run, daemon=True).start()
        host, port = listener.getsockname()
        return f'{host}:{port}'

    def call(self, answer):
        address = self.start_server(answer)
        return http_calls.call(address, 'GET', '/x', None, TIMEOUT_MS)

    def test_whole_answer_is_returned(self):
        for answer in (
            b'HTTP/1.1 200 x\r\nContent-Length: 7\r\n\r\n{"a":1}',
            b'HTTP/1.1 200 x\r\n\r\n{"a":1}',
        ):
            self.assertEqual({'a': 1}, self.call(answer).body)

    # Guards against an order that counts as failed while it runs, because the
    # answer about its state broke off before its body.
    def test_answer_that_breaks_off_is_an_error(self):
        for answer in (
            b'HTTP/1.1 200 x\r\nContent-Length: 20\r\n\r\n',
            b'HTTP/1.1 200 x\r\nContent-Length: 20\r\n\r\n{"a":1}',
            b'HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n',
        ):
            with self.assertRaises(errors.CallError):
                self.call(answer)
