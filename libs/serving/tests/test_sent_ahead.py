"""Tests of requests that are sent before answers are read."""

import contextlib
import socket
import time
import unittest
from unittest import mock

from masticquay_serving import http_servers
from masticquay_serving import refusals
from masticquay_serving import requests

TIMEOUT_S = 10.0
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
ANSWER_BYTES = 64 * 1024
REQUESTS = 200


class SentAheadTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.served = 0
        self.refusals = refusals.Refusals()
        self.stack.enter_context(
            mock.patch.object(refusals, 'REFUSALS', self.refusals)
        )
        self.stack.enter_context(
            mock.patch.object(http_servers, 'IDLE_MARGIN_S', 0.1)
        )
        self.server = http_servers.Server(
            ('127.0.0.1', 0),
            self.serve,
            lambda: requests.Limits(idle_timeout_ms=200),
        )
        self.server.start()
        self.stack.callback(self.server.server_close)

    def serve(self, request, reply):
        self.served += 1
        reply.send(200, [], bytes(ANSWER_BYTES))

    def connect(self):
        sock = self.stack.enter_context(socket.socket())
        # The least, so that answers that are not read stay with the server.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.settimeout(TIMEOUT_S)
        sock.connect(self.server.server_address)
        return sock

    # Guards against LOST: a host ran requests sent ahead for as long as the
    # system took their answers, which nobody read.
    def test_caller_that_reads_no_answers_is_closed_after_the_idle_timeout(
        self,
    ):
        sock = self.connect()
        sock.sendall(REQUEST * REQUESTS)
        with self.assertLogs(refusals.LOG):
            while not self.served or self.server.connection_count:
                time.sleep(0.01)
        self.assertEqual(1, self.served)
        self.assertIn(
            'masticquay_callers_refused{reason="unread answers"} 1',
            self.refusals.registry.render(),
        )

    def test_caller_that_reads_gets_all_answers(self):
        sock = self.connect()
        sock.sendall(REQUEST * REQUESTS)
        left_bytes = REQUESTS * ANSWER_BYTES
        while left_bytes > 0:
            left_bytes -= len(sock.recv(1_000_000))
        self.assertEqual(REQUESTS, self.served)
