"""Tests of reading with a deadline."""

import io
import socket
import threading
import time
import unittest

from masticquay_serving import errors
from masticquay_serving import timed_readers


class TimedReaderTest(unittest.TestCase):
    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.raw = timed_readers.TimedReader(self.near)
        self.stream = io.BufferedReader(self.raw)

    def set_limit(self, limit_s):
        self.raw.set_deadline(time.monotonic() + limit_s)

    def test_data_is_read_until_the_end_of_the_stream(self):
        self.set_limit(5)
        self.far.sendall(b'ab')
        self.far.close()
        self.assertEqual(b'ab', self.stream.read(3))

    def test_read_without_data_fails_at_the_deadline(self):
        started_s = time.monotonic()
        self.set_limit(0.1)
        with self.assertRaises(TimeoutError):
            self.stream.read(1)
        self.assertGreaterEqual(time.monotonic() - started_s, 0.1)

    def test_read_after_the_deadline_fails_with_data_at_hand(self):
        self.far.sendall(b'a')
        self.set_limit(0)
        with self.assertRaises(TimeoutError):
            self.stream.read(1)

    def test_read_of_a_broken_connection_raises_disconnected(self):
        self.near.sendall(b'unread')
        self.far.close()
        self.set_limit(5)
        with self.assertRaises(errors.CallerDisconnectedError):
            self.stream.read(1)

    def test_short_timeout_of_the_socket_does_not_end_a_read_early(self):
        self.near.settimeout(0.02)
        self.set_limit(5)
        timer = threading.Timer(0.1, self.far.sendall, [b'a'])
        timer.start()
        self.assertEqual(b'a', self.stream.read(1))
        timer.join()

    def test_data_extends_the_deadline_up_to_its_limit(self):
        started_s = time.monotonic()
        self.raw.set_deadline(started_s + 0.1, 100, 20)
        self.far.sendall(b'x' * 60)
        with self.assertRaises(TimeoutError):
            self.stream.read(61)
        elapsed_s = time.monotonic() - started_s
        self.assertGreaterEqual(elapsed_s, 0.3)
        self.assertLess(elapsed_s, 0.6)
