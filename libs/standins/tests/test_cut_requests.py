"""Tests of requests to stand-ins that are cut off."""

import socket
import unittest

from masticquay_standins import daemons
from masticquay_standins import journals

TIMEOUT_S = 5.0
REQUEST = (
    b'POST /pay HTTP/1.1\r\nHost: a\r\nIdempotency-Key: key\r\n'
    b'Content-Length: 12\r\n\r\nsome request'
)


class CutRequestTest(unittest.TestCase):
    def setUp(self):
        self.server = daemons.build('service', 's', '127.0.0.1:0', {}, None)
        self.server.start()
        self.addCleanup(self.server.close)

    def send(self, data):
        """Sends data and ends the connection; returns when it is read."""
        host, port = self.server.server_address
        with socket.create_connection((host, port)) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65_536):
                pass

    def count_events(self):
        events = self.server.application.journal.events()
        kinds = (journals.EVENT_RUN, journals.EVENT_REQUEST)
        return sum(event['event'] in kinds for event in events)

    def test_whole_request_is_run(self):
        self.send(REQUEST)
        self.assertEqual(2, self.count_events())

    # Guards against false findings: a host that ended amid a request to a
    # stand-in had it run without the headers that were missing.
    def test_request_that_is_cut_off_anywhere_is_not_run(self):
        wrong = []
        for length_bytes in range(len(REQUEST)):
            before = self.count_events()
            self.send(REQUEST[:length_bytes])
            if self.count_events() > before:
                wrong.append(REQUEST[length_bytes:])
        self.assertEqual([], wrong)
