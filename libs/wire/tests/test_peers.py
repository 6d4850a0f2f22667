"""Tests of the links between processes."""

from concurrent import futures
import threading
import unittest

from masticquay_wire import dialers
from masticquay_wire import errors
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

SECRET = b'fleet secret'
TIMEOUT_MS = 3_000


@messages.register
class Echo(messages.Message):
    """Asks for its text again."""

    __slots__ = ('text',)

    def __init__(self, text: str):
        self.text = text


class PeerTest(unittest.TestCase):
    def setUp(self):
        self.listener = listeners.Listener(
            peers.Address('127.0.0.1', 0), 'server', SECRET
        )
        self.listener.handle(Echo, lambda message, link: message)
        self.listener.start()
        self.addCleanup(self.listener.close)

    def dial(self, secret=SECRET, **options):
        peer = dialers.WebsocketPeer(
            self.listener.address, 'client', secret, **options
        )
        self.addCleanup(peer.close)
        return peer

    def test_call_returns_the_answer(self):
        answer = self.dial().call(Echo('one'), TIMEOUT_MS)
        self.assertEqual(Echo('one'), answer)

    def test_a_future_answers_later(self):
        later: futures.Future = futures.Future()
        self.listener.handle(Echo, lambda message, link: later)
        pending = self.dial().submit(Echo('x'), TIMEOUT_MS)
        later.set_result(Echo('later'))
        self.assertEqual(Echo('later'), pending.result(3))

    def test_wrong_secret_is_refused(self):
        with self.assertRaises(errors.WireError):
            self.dial(secret=b'other').call(Echo('x'), 500)
        self.assertGreater(self.listener.refused_count, 0)

    def test_unhandled_message_is_named(self):
        with self.assertRaisesRegex(errors.RemoteError, 'unhandled'):
            self.dial().call(messages.Done(), TIMEOUT_MS)

    def test_call_is_resent_over_a_new_link_and_run_once(self):
        runs = []
        later: futures.Future = futures.Future()

        def run(message, link):
            runs.append(message)
            link._websocket.socket.shutdown(2)
            return later

        self.listener.handle(Echo, run)
        peer = self.dial()
        pending = peer.submit(Echo('once'), TIMEOUT_MS)
        timer = threading.Timer(0.5, later.set_result, [Echo('once')])
        timer.start()
        self.addCleanup(timer.join)
        self.assertEqual(Echo('once'), pending.result(3))
        self.assertEqual(1, len(runs))

    def test_notice_reaches_the_dialler(self):
        seen: futures.Future = futures.Future()

        def greet(message, link):
            link.notify(Echo('pushed'))
            return messages.Done()

        self.listener.handle(Echo, greet)
        self.dial(on_notice=seen.set_result).call(Echo('x'), TIMEOUT_MS)
        self.assertEqual(Echo('pushed'), seen.result(3))
