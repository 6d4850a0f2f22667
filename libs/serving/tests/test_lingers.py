"""Tests of reading what callers send behind the last answer."""

import contextlib
import socket
import threading
import unittest
from unittest import mock

from masticquay_serving import lingers

SENT_BYTES = lingers.LINGER_BYTES // 2


class LingerTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.sock, self.caller = socket.socketpair()
        self.stack.callback(self.sock.close)
        self.stack.callback(self.caller.close)
        self.sent_bytes = 0

    def send(self):
        with contextlib.suppress(OSError):
            while self.sent_bytes < SENT_BYTES:
                self.sent_bytes += self.caller.send(bytes(4_096))
            self.caller.shutdown(socket.SHUT_WR)

    def read_rest(self):
        """Returns what the caller could send until the connection closed."""
        sender = threading.Thread(target=self.send)
        sender.start()
        lingers.read_rest(self.sock)
        self.sock.close()
        sender.join()
        return self.sent_bytes

    def test_rest_of_one_caller_is_read(self):
        self.assertEqual(SENT_BYTES, self.read_rest())

    # Guards against LOST: hosts spent their processor time on reading what
    # many callers sent far over the limit.
    def test_little_is_read_of_the_rest_of_a_crowd(self):
        places = threading.BoundedSemaphore(1)
        self.stack.enter_context(mock.patch.object(lingers, '_places', places))
        with places:
            self.assertLess(self.read_rest(), SENT_BYTES // 2)
        self.assertTrue(places.acquire(blocking=False))
