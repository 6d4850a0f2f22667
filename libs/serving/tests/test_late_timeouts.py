"""Tests of timeouts that do not come from reading a request."""

import types
import unittest

from masticquay_serving import http_servers
from masticquay_serving import requests
from tests import test_http_servers


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

    def serve(self, request, reply):
        self.received.append(request)
        raise TimeoutError('while the request runs')

    # Guards against status 408, which says that a request has not run and
    # never will, for one that its application had begun.
    def test_timeout_of_the_application_is_not_answered_with_408(self):
        helper = test_http_servers.ServerTest()
        helper.server = self.server
        helper.stack = types.SimpleNamespace(callback=self.addCleanup)
        response = helper.exchange(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        self.assertEqual(1, len(self.received))
        self.assertNotIn(b' 408 ', response)
