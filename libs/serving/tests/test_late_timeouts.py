"""Tests of timeouts that do not come from reading a request."""

import socket
import types
import unittest

from masticquay_serving import errors
from masticquay_serving import http_servers
from masticquay_serving import requests
from tests import test_http_servers

TIMEOUT_S = 5.0
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


class LateTimeoutTest(unittest.TestCase):
    def setUp(self):
        self.received = []
        self.server = http_servers.Server(
            ('127.0.0.1', 0),
            self.serve,
            lambda: requests.Limits(2_000, 1_000, 300, 10_000),
        )
        self.server.start()
        self.addCleanup(self.server.server_close)

        self.error = TimeoutError('while the request runs')

    def serve(self, request, reply):
        self.received.append(request)
        raise self.error

    def exchange(self, data):
        helper = test_http_servers.ServerTest()
        helper.server = self.server
        helper.stack = types.SimpleNamespace(callback=self.addCleanup)
        return helper.exchange(data)

    # Guards against status 408, which says that a request has not run and
    # never will, for one that its application had begun.
    def test_timeout_of_the_application_is_not_answered_with_408(self):
        response = self.exchange(REQUEST)
        self.assertEqual(1, len(self.received))
        self.assertNotIn(b' 408 ', response)

    # As above: it must not be able to say so even if it wants to.
    def test_application_can_not_answer_408(self):
        self.error = errors.BadRequestError(408, 'too slow')
        self.assertEqual(b'', self.exchange(REQUEST))
        self.assertEqual(1, len(self.received))

    # Guards against a second answer to the request before it.
    def test_request_that_comes_too_slowly_gets_408_after_the_one_before(self):
        self.server.application = self.serve_well
        address = self.server.server_address
        with socket.create_connection(address, TIMEOUT_S) as sock:
            sock.sendall(REQUEST + REQUEST[:-2])
            response = b''.join(iter(lambda: sock.recv(10_000), b''))
        self.assertEqual(1, len(self.received))
        first, second = response.split(b'HTTP/1.1 ')[1:]
        self.assertEqual((b'200', b'408'), (first[:3], second[:3]))

    def serve_well(self, request, reply):
        self.received.append(request)
        reply.send(200, [], b'')
