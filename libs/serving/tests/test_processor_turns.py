"""Tests of the processor time that costly bodies may take."""

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from masticquay_serving import http_servers
from masticquay_serving import processor_turns
from masticquay_serving import refusals
from masticquay_serving import requests

BODY_BYTES = 4 * 1024 * 1024
TIMEOUT_S = 30.0
HEAD = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'


class BodyWorkTest(unittest.TestCase):
    def setUp(self):
        self.costs_s = []
        self.thread_times_s = iter(range(1, 1_000))
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        stack.enter_context(
            mock.patch.object(
                time, 'thread_time', lambda: next(self.thread_times_s)
            )
        )
        stack.enter_context(
            mock.patch.object(
                processor_turns.ProcessorTurns,
                'pay',
                lambda _turns, cost_s, _due_s: self.costs_s.append(cost_s),
            )
        )
        self.work = processor_turns.BodyWork(lambda: 0.0)

    def test_body_of_little_framing_pays_nothing(self):
        for _chunk in range(100):
            self.work.add(6, 1)
        self.assertEqual([], self.costs_s)

    def test_body_pays_what_exceeds_its_size(self):
        data_bytes = int(0.75 / processor_turns.JUSTIFIED_S_PER_BYTE)
        self.work.add(processor_turns.FREE_FRAMING_BYTES, 0)
        self.work.add(1, data_bytes)
        self.assertEqual([0.25], [round(cost, 2) for cost in self.costs_s])

    def test_large_chunks_pay_nothing(self):
        data_bytes = int(2 / processor_turns.JUSTIFIED_S_PER_BYTE)
        self.work.add(processor_turns.FREE_FRAMING_BYTES, 0)
        self.work.add(1, data_bytes)
        self.assertEqual([], self.costs_s)


class CostlyBodyTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.server = http_servers.Server(
            ('127.0.0.1', 0), self.serve, requests.Limits
        )
        self.server.start()
        self.stack.callback(self.server.server_close)
        self.refusals = refusals.Refusals()
        self.stack.enter_context(
            mock.patch.object(refusals, 'REFUSALS', self.refusals)
        )

    def serve(self, request, reply):
        reply.send(200, [], b'%d' % len(request.body))

    def exchange(self, data):
        sock = socket.create_connection(
            self.server.server_address, timeout=TIMEOUT_S
        )
        with sock:
            sock.sendall(HEAD + data + b'0\r\n\r\n')
            return sock.recv(1_000)

    def test_largest_body_in_chunks_of_one_byte_is_served(self):
        answer = self.exchange(b'1\r\nx\r\n' * BODY_BYTES)
        self.assertIn(b' 200 ', answer)
        self.assertTrue(answer.endswith(b'%d' % BODY_BYTES))

    # Guards against LOST: bodies in small chunks took the processor time of
    # all other requests without end.
    def test_body_without_a_turn_until_its_deadline_gets_408(self):
        lock = threading.Lock()
        self.stack.enter_context(
            mock.patch.object(processor_turns.TURNS, '_lock', lock)
        )
        self.stack.enter_context(
            mock.patch.object(http_servers, 'BODY_TIMEOUT_S', 1.0)
        )
        self.stack.enter_context(
            mock.patch.object(http_servers, 'BODY_RATE_BYTES_PER_S', 1 << 22)
        )
        with lock:
            answer = self.exchange(b'1;\r\nx\r\n' * 500_000)
        self.assertIn(b' 408 ', answer)
        self.assertIn(
            'masticquay_callers_refused{reason="processor time"} 1',
            self.refusals.registry.render(),
        )
