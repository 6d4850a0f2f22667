"""Tests of replies over real connections."""

import socket
import unittest

from masticquay_serving import http_servers
from masticquay_serving import requests

TIMEOUT_S = 5.0


class ReplyTest(unittest.TestCase):
    def setUp(self):
        server = http_servers.Server(
            ('127.0.0.1', 0), self.serve, requests.Limits
        )
        server.start()
        self.addCleanup(server.server_close)
        self.caller = socket.create_connection(
            server.server_address, TIMEOUT_S
        )
        self.addCleanup(self.caller.close)

    def serve(self, request, reply):
        if request.target == '/stream':
            reply.begin(200, [])
            reply.write(b'one')
            reply.finish()
        else:
            reply.send(204, [], b'ignored')

    def request_and_close(self, *lines):
        """Sends requests on one connection and returns all that is answered.

        The last request ends the connection.
        """
        head = 'Host: h\r\n\r\n'
        closing = f'GET /stream HTTP/1.0\r\n{head}'
        data = ''.join(f'{line} HTTP/1.1\r\n{head}' for line in lines)
        self.caller.sendall((data + closing).encode())
        received = b''
        while part := self.caller.recv(65_536):
            received += part
        return received

    # Guards against bytes that a caller takes for those of its next answer.
    def test_streamed_reply_to_head_has_no_body(self):
        received = self.request_and_close('HEAD /stream')
        head, _, rest = received.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 200 '), received)
        self.assertTrue(rest.startswith(b'HTTP/1.1 200 '), received)
        self.assertTrue(rest.endswith(b'\r\n\r\none'), received)

    # As above, for the statuses whose answers have no body.
    def test_reply_without_content_has_no_body(self):
        received = self.request_and_close('GET /empty')
        head, _, rest = received.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 204 '), received)
        self.assertTrue(rest.startswith(b'HTTP/1.1 200 '), received)
