"""Tests of peers that have not authenticated, over raw sockets."""

import base64
import contextlib
import hashlib
import socket
import threading
import time
import unittest
from unittest import mock

from masticquay_wire import dialers
from masticquay_wire import handshakes
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

TIMEOUT_S = 0.3
# A peer that is not cut off ends by itself after this time.
PEER_TIME_S = 4.0
KEY = b'AAAAAAAAAAAAAAAAAAAAAA=='
GUID = b'258EAFA5-E914-47DA-95CA-C5AB0DC85B11'
UPGRADE = (
    b'GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: ' + KEY + b'\r\n\r\n'
)
MASK = bytes(4)
CLOSE = b'\x88'
MALFORMED_FRAME = b'\xff\xff'
LARGE_SIZE = (1024 * 1024).to_bytes(8, 'big')
EMPTY_PING = b'\x89\x80' + MASK
# A fragment of a message of one byte, and the next one.
FIRST_FRAGMENT = b'\x02\x81' + MASK + b'x'
NEXT_FRAGMENT = b'\x00\x81' + MASK + b'x'


def trickle(sock, parts):
    """Sends parts until the other end accepts no more.

    The end of the other's stream is ignored.

    :returns: the time until then
    """
    started_s = time.monotonic()
    for part in parts:
        if time.monotonic() > started_s + PEER_TIME_S:
            break
        try:
            sock.sendall(part)
        except OSError:
            break
        time.sleep(0.02)
    return time.monotonic() - started_s


def repeat(first, part):
    """Yields the first part, then the other one again and again."""
    yield first
    while True:
        yield part


class ListenerTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.stack.enter_context(
            mock.patch.object(handshakes, 'HANDSHAKE_TIMEOUT_S', TIMEOUT_S)
        )
        self.listener = listeners.Listener(
            peers.Address('127.0.0.1', 0), 'server', b'secret'
        )
        self.listener.start()
        self.stack.callback(self.listener.close)

    def connect(self):
        address = self.listener.address
        sock = socket.create_connection((address.host, address.port))
        self.stack.callback(sock.close)
        return sock

    def upgrade(self):
        sock = self.connect()
        sock.settimeout(PEER_TIME_S)
        sock.sendall(UPGRADE)
        head = b''
        while not head.endswith(b'\r\n\r\n'):
            head += sock.recv(1)
        self.assertIn(b' 101 ', head)
        return sock

    def test_upgrade_that_comes_byte_by_byte_is_cut_off(self):
        for parts in (
            repeat(b'GET / HTTP/1.1\r\nA: ', b'x'),
            repeat(b'GET / HTTP/1.1\r\n', b'A: b\r\n'),
            repeat(b'', b'\r\n'),
        ):
            self.assertLess(trickle(self.connect(), parts), 1.5)

    def test_hello_that_comes_byte_by_byte_is_cut_off(self):
        for parts in (
            repeat(b'\x82\xfd' + MASK, b'x'),
            repeat(FIRST_FRAGMENT, NEXT_FRAGMENT),
            repeat(EMPTY_PING, EMPTY_PING),
        ):
            self.assertLess(trickle(self.upgrade(), parts), 1.5)
        self.assertEqual(3, self.listener.refused_count)

    def test_malformed_frame_before_authentication_is_cut_off(self):
        parts = repeat(MALFORMED_FRAME, b'x')
        self.assertLess(trickle(self.upgrade(), parts), 1.5)

    def test_large_frame_before_authentication_is_refused_at_once(self):
        """Seen: a frame of up to 16 MiB was read for anybody."""
        self.stack.enter_context(
            mock.patch.object(handshakes, 'HANDSHAKE_TIMEOUT_S', PEER_TIME_S)
        )
        sock = self.upgrade()
        sock.settimeout(1.5)
        sock.recv(2 + handshakes.NONCE_BYTES, socket.MSG_WAITALL)
        sock.sendall(b'\x82\xff' + LARGE_SIZE + MASK)
        self.assertEqual(CLOSE, sock.recv(1))

    def test_large_frame_after_authentication_is_read(self):
        class Text(messages.Message):
            __slots__ = ('text',)

            def __init__(self, text: str):
                self.text = text

        messages.register(Text)
        self.listener.handle(Text, lambda message, link: message)
        peer = dialers.WebsocketPeer(
            self.listener.address, 'client', b'secret'
        )
        self.stack.callback(peer.close)
        text = 'x' * 5_000_000
        self.assertEqual(text, peer.call(Text(text), 5_000).text)


class DialerTest(unittest.TestCase):
    def dial(self, first, parts, timeout_s=TIMEOUT_S, then=lambda sock: None):
        """Returns the time until the dialer closes its connection."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        listener.settimeout(PEER_TIME_S)
        address = peers.Address(*listener.getsockname()[:2])
        times = []

        def serve():
            sock, _address = listener.accept()
            with sock:
                sock.settimeout(PEER_TIME_S)
                request = sock.recv(65536)
                sock.sendall(first(request))
                times.append(trickle(sock, parts))
                then(sock)

        thread = threading.Thread(target=serve)
        thread.start()
        with (
            mock.patch.object(handshakes, 'HANDSHAKE_TIMEOUT_S', timeout_s),
            mock.patch.object(peers, 'DIAL_TIMEOUT_MS', 300),
        ):
            peer = dialers.WebsocketPeer(
                address, 'client', b'secret', keep_open=True
            )
            thread.join()
            peer.close()
        return times[0]

    def test_upgrade_that_comes_byte_by_byte_is_cut_off(self):
        parts = repeat(b'HTTP/1.1 101 OK\r\nA: ', b'x')
        self.assertLess(self.dial(lambda request: b'', parts), 1.5)

    def test_challenge_that_comes_byte_by_byte_is_cut_off(self):
        for parts in (
            repeat(b'\x82\x7d', b'x'),
            repeat(b'\x02\x01x', b'\x00\x01x'),
            repeat(b'\x89\x00', b'\x89\x00'),
        ):
            self.assertLess(self.dial(_accept_upgrade, parts), 1.5)

    def test_malformed_challenge_is_cut_off(self):
        parts = repeat(MALFORMED_FRAME, b'x')
        self.assertLess(self.dial(_accept_upgrade, parts), 1.5)

    def test_large_challenge_is_refused_at_once(self):
        """Seen: a frame of up to 16 MiB was read from anybody."""
        answers = []

        def receive(sock):
            sock.settimeout(1.5)
            answers.append(sock.recv(1))

        self.dial(
            _accept_upgrade, [b'\x82\x7f' + LARGE_SIZE], PEER_TIME_S, receive
        )
        self.assertEqual([CLOSE], answers)


def _accept_upgrade(request):
    key = request.split(b'Sec-WebSocket-Key: ')[1].split(b'\r\n')[0]
    accept = base64.b64encode(hashlib.sha1(key + GUID).digest())
    return (
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n'
        b'Connection: Upgrade\r\nSec-WebSocket-Accept: ' + accept + b'\r\n\r\n'
    )
