"""Tests of links whose connection ends amid the opening or a message."""

import contextlib
import socket
import threading
import unittest

from masticquay_wire import errors
from masticquay_wire import exchange_links
from masticquay_wire import messages
from masticquay_wire import peers

SECRET = b'secret'
TIMEOUT_MS = 2_000
# Of the bytes of an opening each so many, to spare time; of those of the
# messages behind it each one.
STEP_BYTES = 5
# Of the frame around a message, masked and not.
REQUEST_FRAME_BYTES, ANSWER_FRAME_BYTES = 6, 2


@messages.register
class CutLinkMessage(messages.Message):
    """A message with a text."""

    __slots__ = ('text',)

    def __init__(self, text: str):
        self.text = text


def frame_bytes(text):
    """Returns the size of a message with a text."""
    return len(messages.EncodedNotice(CutLinkMessage(text)).frame)


class CuttingForwarder:
    """Forwards one connection at a time until so many bytes have passed.

    :ivar limits: bytes to the listener and to the dialer, None for all
    :ivar counts: the bytes that passed on the last connection
    """

    def __init__(self, target):
        self._target = target
        self.limits = (None, None)
        self.counts = [0, 0]
        self._server = socket.create_server(('127.0.0.1', 0))
        self.address = peers.Address(*self._server.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._server.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                client, _address = self._server.accept()
                server = socket.create_connection(self._target)
                self.counts = [0, 0]
                for pair in ((0, client, server), (1, server, client)):
                    threading.Thread(
                        target=self._forward, args=pair, daemon=True
                    ).start()

    def _forward(self, number, source, destination):
        limit = self.limits[number]
        counts = self.counts
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                if limit is not None:
                    data = data[: limit - counts[number]]
                counts[number] += len(data)
                destination.sendall(data)
                if counts[number] == limit:
                    break
        for sock in (source, destination):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class CutLinksTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.received = []
        self.served = threading.Event()
        self.listener = exchange_links.ExchangeListener(
            peers.Address('127.0.0.1', 0), SECRET, self.serve
        )
        self.listener.start()
        self.stack.callback(self.listener.close)
        address = self.listener.address
        self.forwarder = CuttingForwarder((address.host, address.port))
        self.stack.callback(self.forwarder.close)

    def serve(self, link):
        message = link.receive(TIMEOUT_MS)
        self.received.append(message.text)
        self.served.set()
        link.send(CutLinkMessage('the answer'))

    def exchange(self):
        """Returns the answer over a link, None if the link failed."""
        with contextlib.suppress(errors.WireError):
            link = exchange_links.dial(self.forwarder.address, 'h', SECRET)
            try:
                link.send(CutLinkMessage('the request'))
                return link.receive(TIMEOUT_MS).text
            finally:
                link.close()
        return None

    def measure(self):
        """Returns how many bytes a whole exchange takes in each direction."""
        opening = exchange_links.dial(self.forwarder.address, 'h', SECRET)
        opened_counts = list(self.forwarder.counts)
        opening.close()
        self.assertEqual('the answer', self.exchange())
        return opened_counts, list(self.forwarder.counts)

    def places(self, opened_bytes, whole_bytes):
        yield from range(1, opened_bytes, STEP_BYTES)
        yield from range(opened_bytes, whole_bytes)

    def test_answer_that_is_cut_off_anywhere_is_none(self):
        opened_counts, whole_counts = self.measure()
        whole_bytes = opened_counts[1] + ANSWER_FRAME_BYTES
        whole_bytes += frame_bytes('the answer')
        self.assertLessEqual(whole_bytes, whole_counts[1])
        for limit in self.places(opened_counts[1], whole_bytes):
            self.forwarder.limits = (None, limit)
            self.assertIsNone(self.exchange(), limit)
        self.forwarder.limits = (None, whole_bytes)
        self.assertEqual('the answer', self.exchange())

    def test_request_that_is_cut_off_anywhere_is_not_served(self):
        opened_counts, _ = self.measure()
        whole_bytes = opened_counts[0] + REQUEST_FRAME_BYTES
        whole_bytes += frame_bytes('the request')
        self.received.clear()
        self.served.clear()
        for limit in self.places(opened_counts[0], whole_bytes):
            self.forwarder.limits = (limit, None)
            self.assertIsNone(self.exchange(), limit)
        self.assertEqual([], self.received)
        self.forwarder.limits = (whole_bytes, None)
        self.exchange()
        # The cut reaches the dialer before the listener has read all.
        self.assertTrue(self.served.wait(TIMEOUT_MS / 1000))
        self.assertEqual(['the request'], self.received)
