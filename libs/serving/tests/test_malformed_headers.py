"""Tests of requests with a head that cannot be parsed or passed on."""

import socket
import unittest

from masticquay_serving import http_servers
from masticquay_serving import requests

TIMEOUT_S = 5.0
HIDDEN = b'GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n'


class MalformedHeaderTest(unittest.TestCase):
    def setUp(self):
        self.received = []
        server = http_servers.Server(
            ('127.0.0.1', 0), self.serve, requests.Limits
        )
        server.start()
        self.addCleanup(server.server_close)
        self.address = server.server_address

    def serve(self, request, reply):
        self.received.append(request)
        reply.send(200, [], b'ok')

    def send(self, line):
        """Sends a request whose body looks like a request of its own.

        :param line: a header line before the one with the body's length
        :returns: all bytes of the answers
        """
        head = (
            'POST /x HTTP/1.1\r\nHost: h\r\n'
            f'{line}\r\nContent-Length: {len(HIDDEN)}\r\n\r\n'
        )
        with socket.create_connection(self.address, TIMEOUT_S) as caller:
            caller.sendall(head.encode() + HIDDEN)
            caller.shutdown(socket.SHUT_WR)
            received = b''
            while part := caller.recv(65_536):
                received += part
        return received

    def test_body_after_readable_lines_is_no_request(self):
        for line in ('X-A: b', 'Content-Type: multipart/form-data'):
            with self.subTest(line=line):
                self.received.clear()
                self.send(line)
                self.assertEqual(['/x'], [r.target for r in self.received])
                self.assertEqual(HIDDEN, self.received[0].body)

    # Guards against a body that runs as a request of its own, whose answer
    # the caller takes for the one to its next request: lines after one that
    # cannot be parsed were left out, so also the length of the body.
    def test_body_after_an_unreadable_line_is_no_request(self):
        for line in ('X A: b', 'X-A : b', 'no colon', ': b\r\nX'):
            with self.subTest(line=line):
                self.received.clear()
                received = self.send(line)
                self.assertEqual([], [r.target for r in self.received])
                self.assertTrue(received.startswith(b'HTTP/1.1 400 '))
                self.assertEqual(1, received.count(b'HTTP/1.1 '))

    # Guards against the same after a carriage return within a line, at which
    # the parser ends the line or all headers.
    def test_body_after_a_line_with_a_carriage_return_is_no_request(self):
        for line in ('X-A: b\r', 'X-A: b\r\r', 'X-A: b\rX-B: c'):
            with self.subTest(line=line):
                self.received.clear()
                received = self.send(line)
                self.assertEqual([], [r.target for r in self.received])
                self.assertTrue(received.startswith(b'HTTP/1.1 400 '))

    # Guards against endpoints that count as failed, as no request with such
    # a target can be sent to them.
    def test_target_that_is_not_ascii_is_rejected(self):
        with socket.create_connection(self.address, TIMEOUT_S) as caller:
            caller.sendall(b'GET /\xe9 HTTP/1.1\r\nHost: h\r\n\r\n')
            received = caller.recv(65_536)
        self.assertTrue(received.startswith(b'HTTP/1.1 400 '), received)
        self.assertEqual([], self.received)
