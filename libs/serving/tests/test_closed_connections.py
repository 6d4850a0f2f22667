"""Tests of what callers get whose connection the server closes."""

import contextlib
import socket
import threading
import time
import unittest
from unittest import mock

from masticquay_serving import http_servers
from masticquay_serving import lingers
from masticquay_serving import requests

TIMEOUT_S = 5.0
# Callers send the parts of a request this far apart.
PART_INTERVAL_S = 0.05
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
CLOSING_REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
# Callers that go on connecting while the server stops, and its time for each.
CALLERS = 20
ACCEPT_DELAY_S = 0.01
CHUNKED_HEAD = (
    b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
)


class ClosedConnectionTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.may_end = threading.Event()
        limits = requests.Limits(
            max_header_bytes=2_000,
            max_body_bytes=1_000,
            header_timeout_ms=3_000,
            idle_timeout_ms=10_000,
        )
        self.server = http_servers.Server(
            ('127.0.0.1', 0), self.serve, lambda: limits
        )
        self.stack.callback(self.server.server_close)

    def serve(self, request, reply):
        if request.target == '/stream':
            reply.begin(200, [])
            reply.write(b'one')
            self.may_end.wait(TIMEOUT_S)
            reply.finish()
        else:
            reply.send(200, [], request.body or b'none')

    def connect(self):
        sock = socket.create_connection(
            self.server.server_address, timeout=TIMEOUT_S
        )
        self.stack.callback(sock.close)
        return sock

    def read_until(self, sock, end):
        received = b''
        while end not in received:
            data = sock.recv(65_536)
            if not data:
                break
            received += data
        return received

    # Seen: a host that closed idle connections ended the reading of one whose
    # request had begun to arrive; its caller got no answer.
    def test_request_in_parts_that_crosses_the_close_of_idle_ones_is_served(
        self,
    ):
        self.server.start()
        sock = self.connect()
        sock.sendall(REQUEST)
        self.read_until(sock, b'none')
        self.server.drain()
        sock.sendall(CHUNKED_HEAD)
        # The thread that reads it waits for a core meanwhile.
        self.server.close_idle()
        for part in (b'3\r\nabc\r\n', b'2\r\nde\r\n', b'0\r\n\r\n'):
            time.sleep(PART_INTERVAL_S)
            self.server.close_idle()
            sock.sendall(part)
        self.assertIn(b'abcde', self.read_until(sock, b'abcde'))

    # Seen: callers whose answer had begun before the stop sent their next
    # request on a connection that was closed at that moment.
    def test_next_request_after_an_answer_from_before_the_stop_is_served(self):
        self.server.start()
        sock = self.connect()
        sock.sendall(b'GET /stream HTTP/1.1\r\nHost: h\r\n\r\n')
        self.read_until(sock, b'one')
        self.server.drain()
        self.server.close_idle()
        self.may_end.set()
        self.read_until(sock, b'0\r\n\r\n')
        for _poll in range(3):
            time.sleep(PART_INTERVAL_S)
            self.server.close_idle()
        sock.sendall(REQUEST)
        answer = self.read_until(sock, b'none')
        self.assertIn(b'Connection: close', answer)

    def call_until_refused(self, outcomes):
        """Sends requests, each on a connection, until one is not answered."""
        while True:
            try:
                sock = socket.create_connection(
                    self.server.server_address, timeout=TIMEOUT_S
                )
            except OSError:
                outcomes.append('refused')
                return
            with sock:
                try:
                    sock.sendall(CLOSING_REQUEST)
                    answer = self.read_until(sock, b'none')
                except OSError:
                    answer = b''
            if b'none' not in answer:
                outcomes.append('lost')
                return

    # Seen: while callers went on connecting, the stop never found the queue of
    # connections empty, and reset all that were in it after a second.
    def test_callers_that_connect_during_the_stop_are_answered_or_refused(
        self,
    ):
        start_handler = self.server._start_handler

        def start_slowly(connection, address):
            time.sleep(ACCEPT_DELAY_S)
            start_handler(connection, address)

        self.stack.enter_context(
            mock.patch.object(self.server, '_start_handler', start_slowly)
        )
        self.server.start()
        outcomes = []
        callers = [
            threading.Thread(target=self.call_until_refused, args=(outcomes,))
            for _caller in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(CALLERS * ACCEPT_DELAY_S)
        self.server.drain()
        self.server.stop_accepting()
        for caller in callers:
            caller.join(2 * TIMEOUT_S)
        self.assertEqual(CALLERS, len(outcomes))
        # One may connect between the last look at the queue and its end.
        self.assertLessEqual(outcomes.count('lost'), 1)

    def test_connection_without_a_next_request_is_closed_soon(self):
        self.server.start()
        sock = self.connect()
        sock.sendall(REQUEST)
        self.read_until(sock, b'none')
        self.server.close_idle()
        started_s = time.monotonic()
        self.assertEqual(b'', sock.recv(10))
        waited_s = time.monotonic() - started_s
        self.assertLess(waited_s, 2 * http_servers.NEXT_REQUEST_S)

    # Seen: callers got a broken pipe instead of the answer that rejected their
    # request while its body still came.
    def test_caller_that_still_sends_gets_the_rejection(self):
        self.server.start()
        sock = self.connect()
        sock.sendall(CHUNKED_HEAD)
        for _part in range(8):
            sock.sendall(b'190\r\n%s\r\n' % (b'x' * 400))
            time.sleep(PART_INTERVAL_S)
        sock.sendall(b'0\r\n\r\n')
        self.assertIn(b' 413 ', self.read_until(sock, b'too large'))

    # Guards against rejections that were lost as the process ended: the
    # connection counted as closed while the rest of its request came.
    def test_connection_counts_as_open_until_its_request_has_been_read(self):
        self.server.start()
        sock = self.connect()
        sock.sendall(CHUNKED_HEAD + b'fff\r\n')
        self.read_until(sock, b'too large')
        self.assertEqual(1, self.server.connection_count)
        sock.close()
        deadline_s = time.monotonic() + TIMEOUT_S
        while self.server.connection_count:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)

    def test_caller_that_sends_for_ever_is_closed_in_bounds(self):
        self.server.start()
        sock = self.connect()
        sock.sendall(CHUNKED_HEAD + b'fff\r\n')
        started_s = time.monotonic()
        with self.assertRaises(OSError):
            while time.monotonic() < started_s + TIMEOUT_S:
                sock.sendall(b'x')
                time.sleep(PART_INTERVAL_S)
        waited_s = time.monotonic() - started_s
        self.assertLess(waited_s, 2 * lingers.LINGER_S)

    # Guards against LOST: connections that waited to be accepted were reset
    # with the requests that their callers had sent.
    def test_connection_that_waits_to_be_accepted_is_served(self):
        start_handler = self.server._start_handler

        def start_slowly(connection, address):
            time.sleep(4 * PART_INTERVAL_S)
            start_handler(connection, address)

        self.server._start_handler = start_slowly
        self.server.start()
        first, second = self.connect(), self.connect()
        for sock in (first, second):
            sock.sendall(REQUEST)
        time.sleep(PART_INTERVAL_S)
        self.server.drain()
        self.server.stop_accepting()
        for sock in (first, second):
            self.assertIn(b' 200 ', self.read_until(sock, b'none'))

    # Guards against LOST: a process that stopped did not wait for connections
    # whose threads had yet to run.
    def test_connection_whose_thread_has_not_run_counts_as_open(self):
        release = threading.Event()
        run = self.server.process_request_thread

        def run_late(connection, address):
            release.wait(TIMEOUT_S)
            run(connection, address)

        self.server.process_request_thread = run_late
        self.server.start()
        sock = self.connect()
        end_s = time.monotonic() + 4 * PART_INTERVAL_S
        while not self.server.connection_count and time.monotonic() < end_s:
            time.sleep(0.01)
        self.assertEqual(1, self.server.connection_count)
        release.set()
        sock.sendall(REQUEST)
        self.assertIn(b' 200 ', self.read_until(sock, b'none'))
