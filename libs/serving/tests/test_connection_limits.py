"""Tests of the limit on open connections."""

import contextlib
import http.client
import socket
import time
import unittest

from masticquay_serving import connection_limits
from masticquay_serving import http_servers
from masticquay_serving import requests

MAX_CONNECTIONS = 8
WAIT_S = 5.0


class ConnectionLimitTest(unittest.TestCase):
    def test_connection_beyond_the_limit_does_not_enter(self):
        connection_limit = connection_limits.ConnectionLimit(2)
        self.assertEqual(
            [True, True, False], [connection_limit.enter() for _ in range(3)]
        )
        connection_limit.leave()
        self.assertTrue(connection_limit.enter())
        self.assertEqual(2, connection_limit.count)

    def test_limit_is_near_above_three_quarters_of_it(self):
        connection_limit = connection_limits.ConnectionLimit(8)
        nearness = []
        for _number in range(8):
            connection_limit.enter()
            nearness.append(connection_limit.is_near)
        self.assertEqual([False] * 6 + [True] * 2, nearness)

    def test_connections_take_half_of_the_memory_at_most(self):
        for memory_mb in (128, 200, 300):
            memory_bytes = memory_mb * 1024 * 1024
            count = connection_limits.count_for_memory(memory_bytes)
            self.assertLessEqual(
                count * connection_limits.CONNECTION_BYTES, memory_bytes / 2
            )
        self.assertEqual(1, connection_limits.count_for_memory(1))


class ConnectionAccountTest(unittest.TestCase):
    def setUp(self):
        self.account = connection_limits.ConnectionAccount(10)

    def fill(self, limit):
        count = 0
        while limit.enter():
            count += 1
        return count

    # Guards against LOST: each server of a process had a limit of its own.
    def test_servers_of_a_process_share_its_places(self):
        first, second = [
            connection_limits.ConnectionLimit(account=self.account)
            for _server in range(2)
        ]
        self.assertEqual(10, self.fill(first))
        self.assertEqual(0, self.fill(second))
        first.leave()
        self.assertEqual(1, self.fill(second))
        self.assertEqual((9, 1), (first.count, second.count))

    def test_reserved_places_are_left_to_their_server(self):
        readiness = connection_limits.ConnectionLimit(
            account=self.account, reserved=3
        )
        callers = connection_limits.ConnectionLimit(account=self.account)
        self.assertEqual(7, self.fill(callers))
        self.assertEqual(3, self.fill(readiness))
        self.assertFalse(readiness.is_near)
        self.assertTrue(callers.is_near)
        readiness.leave()
        self.assertFalse(callers.enter())
        for _connection in range(7):
            callers.leave()
        self.assertEqual(8, self.fill(readiness))
        self.assertEqual(0, self.fill(callers))

    def test_no_more_places_are_reserved_than_there_are(self):
        for _server in range(2):
            limit = connection_limits.ConnectionLimit(
                account=self.account, reserved=8
            )
        self.assertEqual(2, self.fill(limit))


class LimitedServerTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.server = http_servers.Server(
            ('127.0.0.1', 0),
            lambda request, reply: reply.send(200, [], b'ok'),
            requests.Limits,
            connection_limits.ConnectionLimit(MAX_CONNECTIONS),
        )
        self.server.start()
        self.stack.callback(self.server.server_close)

    def open(self):
        return self.stack.enter_context(
            socket.create_connection(self.server.server_address, WAIT_S)
        )

    def fill(self, count):
        opened = [self.open() for _ in range(count)]
        self.wait_for_count(count)
        return opened

    def wait_for_count(self, count):
        end_s = time.monotonic() + WAIT_S
        while self.server.connection_count != count:
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.01)

    def call(self):
        connection = http.client.HTTPConnection(*self.server.server_address)
        with contextlib.closing(connection):
            connection.request('GET', '/')
            response = connection.getresponse()
            response.read()
            return response

    # Guards against LOST: a host let in as many connections as it had
    # descriptors, and ran out of memory.
    def test_connection_beyond_the_limit_is_refused_at_once(self):
        self.fill(MAX_CONNECTIONS)
        for _number in range(20):
            response = self.call()
            self.assertEqual(503, response.status)
            self.assertEqual('1', response.headers['Retry-After'])
        self.wait_for_count(MAX_CONNECTIONS)

    def test_open_connections_are_served_beside_refused_ones(self):
        (first, *_others) = self.fill(MAX_CONNECTIONS)
        self.call()
        first.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        self.assertTrue(first.recv(100).startswith(b'HTTP/1.1 200'))

    def test_connections_end_with_their_answer_while_there_are_many(self):
        (first, *others) = self.fill(MAX_CONNECTIONS)
        first.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        answer = b''
        while data := first.recv(1_000):
            answer += data
        self.assertIn(b'Connection: close', answer)
        for other in others[:4]:
            other.close()
        self.wait_for_count(3)
        self.assertNotIn('Connection', self.call().headers)

    def test_room_is_free_again_once_connections_have_ended(self):
        for sock in self.fill(MAX_CONNECTIONS):
            sock.close()
        self.wait_for_count(0)
        self.assertEqual(200, self.call().status)
