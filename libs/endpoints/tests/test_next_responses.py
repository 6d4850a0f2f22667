"""Tests of reading past a response that is not the one that is due."""

import socket
import struct
import time
import unittest

from masticquay_endpoints import connections
from masticquay_endpoints import errors
from masticquay_endpoints import http_connections
from tests import test_connections

TIMEOUT_MS = 2_000
LIMIT_BYTES = 100
DUE = b'HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\ndue'
WITH_LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\nlate\r\n0\r\nX-Trailer: 1\r\n\r\n'
)
EMPTY = b'HTTP/1.1 204 No Content\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
TOO_LARGE = b'HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n' + b'x' * 101
LARGE_BODY = b'x' * 16 * 1024 * 1024


class NextResponseTest(unittest.TestCase):
    def start(self, *scripts):
        self.server = test_connections.ScriptedServer(*scripts)
        self.addCleanup(self.server.close)
        self.pool = connections.ConnectionPool(self.server.address)
        self.addCleanup(self.pool.close)

    def read_second(self, first, second=DUE, timeout_ms=TIMEOUT_MS):
        """Returns the status and body of the second response."""
        self.start(lambda sock: sock.sendall(first + second))
        with connections.Exchange(self.pool) as exchange:
            exchange.send('GET', '/', [], b'', timeout_ms)
            exchange.read_next(LIMIT_BYTES)
            return exchange.response.status, exchange.read_body(LIMIT_BYTES)

    def test_response_behind_another_is_read(self):
        for first in (WITH_LENGTH, CHUNKED, EMPTY, INTERIM + WITH_LENGTH):
            with self.subTest(first=first):
                self.assertEqual((201, b'due'), self.read_second(first))

    def test_larger_body_than_allowed_is_not_read_past(self):
        with self.assertRaises(errors.ProtocolViolationError):
            self.read_second(TOO_LARGE)

    def test_connection_that_ends_before_the_next_response_raises(self):
        self.start(
            lambda sock: (
                sock.sendall(WITH_LENGTH),
                sock.shutdown(socket.SHUT_WR),
            )
        )
        with connections.Exchange(self.pool) as exchange:
            exchange.send('GET', '/', [], b'', TIMEOUT_MS)
            with self.assertRaises(errors.EndpointError):
                exchange.read_next(LIMIT_BYTES)

    def test_next_response_does_not_prolong_the_time(self):
        started_s = time.monotonic()
        with self.assertRaises(errors.StalledError):
            self.read_second(WITH_LENGTH, b'HTTP/1.1 200 OK\r\n', 200)
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_connection_is_not_used_again(self):
        self.start(
            lambda sock: sock.sendall(WITH_LENGTH + DUE),
            lambda sock: sock.sendall(DUE),
        )
        for skips in (True, False):
            with connections.Exchange(self.pool) as exchange:
                exchange.send('GET', '/', [], b'', TIMEOUT_MS)
                if skips:
                    exchange.read_next(LIMIT_BYTES)
                exchange.read_body(LIMIT_BYTES)
        self.assertEqual(2, self.server.accepted_count)


class CarriedCallsTest(unittest.TestCase):
    def setUp(self):
        server = test_connections.ScriptedServer(lambda sock: None)
        self.addCleanup(server.close)
        pool = connections.ConnectionPool(server.address)
        self.connection = pool.acquire()
        self.addCleanup(self.connection.close)

    def test_connection_knows_the_requests_that_it_carried(self):
        self.connection.record_call('c1')
        self.connection.record_call('c2')
        self.assertTrue(self.connection.has_carried({'c1'}))
        self.assertTrue(self.connection.has_carried({'c1', 'c2'}))
        self.assertFalse(self.connection.has_carried({'c1', 'c3'}))

    def test_connection_forgets_the_oldest_requests(self):
        for number in range(http_connections.MAX_CARRIED_CALLS + 1):
            self.connection.record_call(f'c{number}')
        self.assertFalse(self.connection.has_carried({'c0'}))
        self.assertTrue(self.connection.has_carried({'c1'}))


class EarlyResponseTest(unittest.TestCase):
    """The server answers before it has read the body, then resets."""

    def send(self, response):
        def respond(sock):
            sock.sendall(response)
            time.sleep(0.1)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            sock.close()

        server = test_connections.ScriptedServer(respond)
        self.addCleanup(server.close)
        pool = connections.ConnectionPool(server.address)
        self.addCleanup(pool.close)
        with connections.Exchange(pool) as exchange:
            exchange.send('POST', '/', [], LARGE_BODY, TIMEOUT_MS)
            return exchange.response.status, exchange.read_body(LIMIT_BYTES)

    def test_whole_response_is_read(self):
        for response in (DUE, INTERIM + DUE):
            self.assertEqual((201, b'due'), self.send(response))

    # Guards against a response that a reset cut off being taken for one that
    # ends with its connection.
    def test_response_without_a_length_or_its_end_is_not_believed(self):
        endless = b'HTTP/1.1 200 OK\r\n\r\nall?'
        for response in (endless, DUE[:-1], CHUNKED[:-2], DUE[:10], b''):
            with (
                self.subTest(response=response),
                self.assertRaises(errors.EndpointError),
            ):
                self.send(response)
