"""Tests of what is believed of the answers to HTTP calls."""

import contextlib
import json
import socket
import threading
import types
import unittest

from masticquay_control import errors
from masticquay_control import http_calls
from masticquay_control import platform_lists

TIMEOUT_MS = 5_000
ADDRESS = '10.0.0.1:1'


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

    # Guards against states that stand in an error of the list.
    def test_list_with_a_failure_status_keeps_the_last_states(self):
        def make_answer(status, state):
            hosts = [{'address': ADDRESS, 'state': state}]
            body = json.dumps({'hosts': hosts})
            return (
                f'HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n'
                f'{body}'
            ).encode()

        address = self.start_server(
            make_answer(200, platform_lists.STATE_LEAVING),
            make_answer(500, platform_lists.STATE_LIVE),
        )
        endpoint = types.SimpleNamespace(name='e', address=ADDRESS)
        bundle = types.SimpleNamespace(
            platform_list=address, endpoints=[endpoint]
        )
        platform_list = platform_lists.PlatformList()
        self.assertEqual(['e'], platform_list.poll(bundle))
        self.assertIsNone(platform_list.poll(bundle))
        self.assertEqual(
            platform_lists.STATE_LEAVING, platform_list.state_of('e')
        )
