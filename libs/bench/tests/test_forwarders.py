"""Tests of the forwarder."""

import socket
import threading
import unittest

from masticquay_bench import forwarders

WAIT_S = 5
SILENCE_S = 0.3


class ForwarderTest(unittest.TestCase):
    def setUp(self):
        self.server = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.server.close)
        threading.Thread(target=self.echo, daemon=True).start()
        target = '{}:{}'.format(*self.server.getsockname())
        self.forwarder = forwarders.Forwarder('127.0.0.1:0', target)
        self.addCleanup(self.forwarder.close)

    def echo(self):
        while True:
            try:
                link, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(
                target=self.echo_on, args=(link,), daemon=True
            ).start()

    def echo_on(self, link):
        with link:
            while data := link.recv(100):
                link.sendall(data)

    def connect(self):
        host, _, port = self.forwarder.address.rpartition(':')
        link = socket.create_connection((host, int(port)), WAIT_S)
        self.addCleanup(link.close)
        return link

    def ask(self, link):
        link.sendall(b'x')
        return link.recv(1)

    def test_forwards_both_ways(self):
        self.assertEqual(b'x', self.ask(self.connect()))

    def test_silent_connections_stay_open_and_new_ones_work(self):
        old = self.connect()
        self.ask(old)
        self.assertEqual(1, self.forwarder.silence())
        old.settimeout(SILENCE_S)
        with self.assertRaises(TimeoutError):
            self.ask(old)
        self.assertEqual(b'x', self.ask(self.connect()))

    def test_the_end_of_one_side_ends_the_other(self):
        link = self.connect()
        self.ask(link)
        link.shutdown(socket.SHUT_WR)
        self.assertEqual(b'', link.recv(1))
