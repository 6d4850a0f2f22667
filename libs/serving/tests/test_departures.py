"""Tests of noticing callers that leave."""

import socket
import threading
import unittest

from masticquay_serving import departures

TIMEOUT_S = 5.0


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.departures = departures.Departures()
        self.addCleanup(self.departures.close)
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.left = threading.Event()

    def test_close_runs_the_hook(self):
        with self.departures.watched(self.near, self.left.set):
            self.far.close()
            self.assertTrue(self.left.wait(TIMEOUT_S))

    def test_data_sent_ahead_is_no_departure(self):
        with self.departures.watched(self.near, self.left.set):
            self.far.sendall(b'GET / HTTP/1.1\r\n\r\n')
            self.assertFalse(self.left.wait(0.1))

    def test_connection_is_watched_only_inside(self):
        with self.departures.watched(self.near, self.left.set):
            pass
        self.far.close()
        self.assertFalse(self.left.wait(0.1))

    def test_watched_again(self):
        for _ in range(2):
            with self.departures.watched(self.near, self.left.set):
                pass
        with self.departures.watched(self.near, self.left.set):
            self.far.close()
            self.assertTrue(self.left.wait(TIMEOUT_S))
