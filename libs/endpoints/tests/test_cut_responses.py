"""Tests of responses whose end is missing or unclear."""

import contextlib
import socket
import unittest

from masticquay_endpoints import connections
from masticquay_endpoints import errors
from tests import test_connections

TIMEOUT_MS = 1_000
LIMIT_BYTES = 1_024
HEAD = b'HTTP/1.1 200 OK\r\nStamp: s\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'


def make_sender(data):
    def send(sock):
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)

    return send


class CutResponseTest(unittest.TestCase):
    def read(self, data):
        """Returns the body of a response that ends with its connection."""
        with contextlib.ExitStack() as stack:
            server = test_connections.ScriptedServer(make_sender(data))
            stack.callback(server.close)
            pool = connections.ConnectionPool(server.address)
            stack.callback(pool.close)
            exchange = stack.enter_context(connections.Exchange(pool))
            exchange.send('GET', '/', [], b'', TIMEOUT_MS)
            return exchange.read_body(LIMIT_BYTES)

    def test_body_without_length_ends_with_its_connection(self):
        self.assertEqual(b'ok', self.read(HEAD + b'\r\nok'))

    # Found by the soak with incident REFUSED: a head that was cut off after
    # the stamp counted as a whole answer with an empty body.
    def test_head_that_the_connections_end_cuts_off_is_no_response(self):
        for end in (b'', b'Content-Le', b'Content-Length: 2'):
            with self.assertRaises(errors.EndpointError):
                self.read(HEAD + end)

    # The same fault: the rest of the chunks may be missing.
    def test_chunks_that_the_connections_end_cuts_off_are_no_response(self):
        self.assertEqual(b'ok', self.read(CHUNKED + b'0\r\n\r\n'))
        for end in (b'', b'0', b'0\r\n', b'0\r\nX-A: b\r\n'):
            with self.assertRaises(errors.EndpointError):
                self.read(CHUNKED + end)

    # The same class: a length that is not one says nothing of the end.
    def test_response_with_two_lengths_is_no_response(self):
        for lines in (
            b'Content-Length: 2\r\nContent-Length: 1\r\n',
            b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n',
        ):
            with self.assertRaises(errors.EndpointError):
                self.read(HEAD + lines + b'\r\n2\r\nok\r\n0\r\n\r\n')
