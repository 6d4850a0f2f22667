"""Tests of requests whose connection ends before their own end."""

import contextlib
import socket
import time
import unittest

from masticquay_serving import http_servers
from masticquay_serving import replies
from masticquay_serving import requests

HEAD = b'POST /x HTTP/1.1\r\nHost: a\r\n'
SAMPLES = {
    'length': HEAD + b'Content-Length: 12\r\n\r\n{"some": 12}',
    'chunks': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'1a\r\n0123456789abcdefghijklmnop\r\n2;x=y\r\nqr\r\n0\r\n\r\n',
    'trailers': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n',
    'no body': b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n',
}
TIMEOUT_S = 5.0


class CutRequestTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.bodies = []
        self.server = http_servers.Server(
            ('127.0.0.1', 0), self.serve, requests.Limits
        )
        self.server.start()
        self.stack.callback(self.server.server_close)

    def serve(self, request, reply):
        self.bodies.append(request.body)
        reply.send(200, [])

    def send(self, data, resets):
        """Sends data and ends the connection; returns when it is read.

        :param resets: whether the connection ends by a reset
        """
        with socket.create_connection(self.server.server_address) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(data)
            if resets:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, replies.ABORT_LINGER
                )
                return
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65_536):
                pass

    def wait_until_read(self):
        """Waits until the server is done with all connections so far."""
        # It accepts them in order.
        self.send(b'', resets=False)
        deadline_s = time.monotonic() + TIMEOUT_S
        while self.server.connection_count:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.0005)

    def find_served(self, resets):
        """Returns the places at which a cut request was served."""
        served = []
        for name, sample in SAMPLES.items():
            for length_bytes in range(len(sample)):
                self.send(sample[:length_bytes], resets)
                self.wait_until_read()
                if self.bodies:
                    served.append((name, sample[length_bytes:]))
                    self.bodies.clear()
        return served

    def test_whole_requests_are_served(self):
        for sample in SAMPLES.values():
            self.send(sample, resets=False)
        self.assertEqual(len(SAMPLES), len(self.bodies))

    # Guards against a request that runs though its caller left amid its
    # trailers.
    def test_request_that_is_cut_off_anywhere_is_not_served(self):
        self.assertEqual([], self.find_served(resets=False))

    # The same for a caller that resets its connection.
    def test_request_that_is_reset_anywhere_is_not_served(self):
        self.assertEqual([], self.find_served(resets=True))
