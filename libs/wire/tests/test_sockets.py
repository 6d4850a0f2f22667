"""Tests of the options of sockets."""

import socket
import unittest

from masticquay_wire import sockets


class LimitSendsTest(unittest.TestCase):
    def test_send_to_a_peer_that_reads_nothing_fails(self):
        one, other = socket.socketpair()
        with one, other:
            sockets.limit_sends(one, 50)
            with self.assertRaises(OSError):
                while True:
                    one.sendall(bytes(65_536))
