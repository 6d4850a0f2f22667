"""Tests of dialers and outboxes with silent, stalled and restarted peers."""

from concurrent import futures
import socket
import threading
import time
import unittest
from unittest import mock

from masticquay_wire import dialers
from masticquay_wire import errors
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import outboxes
from masticquay_wire import peers
from tests import forwarders
from tests import test_peers

SECRET = b'fleet secret'
TIMEOUT_MS = 20_000
Echo = test_peers.Echo


class DialersTest(unittest.TestCase):
    def setUp(self):
        self.handled = []
        self.listener = self.listen(peers.Address('127.0.0.1', 0))
        self.forwarder = forwarders.Forwarder(
            (self.listener.address.host, self.listener.address.port)
        )
        self.addCleanup(self.forwarder.close)
        self.peer = dialers.WebsocketPeer(
            peers.Address(*self.forwarder.address), 'client', SECRET
        )
        self.addCleanup(self.peer.close)

    def listen(self, address):
        listener = listeners.Listener(address, 'server', SECRET)
        listener.handle(Echo, self.echo)
        listener.start()
        self.addCleanup(listener.close)
        return listener

    def echo(self, message, link):
        self.handled.append(message.text)
        return message

    def call(self, text, timeout_ms=TIMEOUT_MS):
        return self.peer.call(Echo(text), timeout_ms).text

    def test_silent_link_is_replaced_and_call_runs_once(self):
        for directions in ({}, {'to_target': False}, {'to_dialer': False}):
            with self.subTest(directions=directions):
                self.handled.clear()
                self.assertEqual('before', self.call('before'))
                self.forwarder.freeze(**directions)
                self.assertEqual('after', self.call('after'))
                self.assertEqual(['before', 'after'], self.handled)
        self.assertEqual(3, self.peer.counters().silent_links)
        self.assertEqual(3, self.peer.counters().resent_calls)

    def test_many_pending_calls_run_once_after_reconnect(self):
        answer: futures.Future = futures.Future()
        handled = []

        def return_pending(message, link):
            handled.append(message.text)
            return answer

        self.listener.handle(Echo, return_pending)
        pending = [
            self.peer.submit(Echo(str(number)), TIMEOUT_MS)
            for number in range(2_000)
        ]
        wait_for(lambda: len(handled) == 2_000)
        self.forwarder.freeze()
        wait_for(lambda: self.peer.counters().established_links == 2)
        answer.set_result(Echo('done'))
        for future in pending:
            self.assertEqual('done', future.result(20).text)
        self.assertEqual(2_000, len(handled))

    def test_calls_without_resend_fail_once_the_link_is_lost_or_refused(self):
        received = threading.Event()

        def return_pending(message, link):
            received.set()
            return futures.Future()

        self.listener.handle(Echo, return_pending)
        peer = dialers.WebsocketPeer(
            self.listener.address, 'client', SECRET, resend=False
        )
        self.addCleanup(peer.close)
        pending = peer.submit(Echo('x'), TIMEOUT_MS)
        self.assertTrue(received.wait(20))
        address = self.listener.address
        self.listener.close()
        for future in (pending, peer.submit(Echo('y'), TIMEOUT_MS)):
            with self.assertRaises(errors.PeerUnavailableError):
                future.result(TIMEOUT_MS / 2_000)
        self.listen(address)
        self.assertEqual('z', self.retry(peer, 'z'))

    def retry(self, peer, text):
        """Calls until the link is made again."""
        for _ in range(100):
            try:
                return peer.call(Echo(text), TIMEOUT_MS).text
            except errors.PeerUnavailableError:
                time.sleep(0.05)
        raise AssertionError('the link was not made again')

    def test_restarted_listener_does_not_run_call_again(self):
        answer: futures.Future = futures.Future()
        started = threading.Event()

        def return_pending(message, link):
            started.set()
            return answer

        self.listener.handle(Echo, return_pending)
        pending = self.peer.submit(Echo('x'), TIMEOUT_MS)
        self.assertTrue(started.wait(20))
        address = self.listener.address
        self.listener.close()
        self.listen(address)
        with self.assertRaises(errors.PeerUnavailableError):
            pending.result(20)
        self.assertEqual([], self.handled)
        self.assertEqual('new', self.call('new'))

    # Guards against a call that runs again at a restarted listener, since a
    # link that was established and lost during its submission carried it.
    def test_call_that_a_lost_link_carried_counts_as_sent(self):
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        link = BlockedWebsocket(near)
        link.released.set()
        add = self.peer._pending_calls.add

        def add_while_a_link_comes_and_goes(message, timeout_ms):
            call = add(message, timeout_ms)
            self.peer._attach_link(link)
            self.peer._detach_link()
            return call

        with (
            mock.patch.object(self.peer, '_start_thread'),
            mock.patch.object(
                self.peer._pending_calls,
                'add',
                add_while_a_link_comes_and_goes,
            ),
        ):
            pending = self.peer.submit(Echo('x'), TIMEOUT_MS)
        self.assertEqual(1, len(link.sent))
        self.peer._listener_instance = b'earlier'
        self.peer._fail_calls_of_previous_instance(b'later')
        self.assertIsInstance(
            pending.exception(0), errors.PeerUnavailableError
        )

    def test_answer_of_unknown_type_fails_only_its_call(self):
        class Unknown(messages.Message):
            __slots__ = ()

        self.listener.handle(Echo, lambda message, link: Unknown())
        with self.assertRaisesRegex(errors.MessageError, 'Unknown'):
            self.call('x')
        self.listener.handle(Echo, self.echo)
        self.assertEqual('y', self.call('y'))
        self.assertEqual(1, self.peer.counters().established_links)

    def test_call_of_unknown_type_is_refused(self):
        class Unknown(messages.Message):
            __slots__ = ()

        with self.assertRaisesRegex(errors.RemoteError, 'Unknown'):
            self.peer.call(Unknown(), TIMEOUT_MS)

    def test_too_large_messages_are_refused_by_both_sides(self):
        text = 'x' * messages.MAX_FRAME_BYTES
        with self.assertRaises(errors.MessageError):
            self.call(text)
        self.listener.handle(Echo, lambda message, link: Echo(text))
        with self.assertRaisesRegex(errors.RemoteError, 'too-large'):
            self.call('x')
        self.assertEqual(1, self.peer.counters().established_links)

    def test_call_without_answer_times_out(self):
        self.listener.handle(Echo, lambda message, link: futures.Future())
        with self.assertRaises(errors.CallTimeoutError):
            self.call('x', timeout_ms=300)
        with self.assertRaises(errors.CallTimeoutError):
            self.peer.submit(Echo('x'), 300).result(20)

    def test_peer_that_stops_reading_does_not_block_the_listener(self):
        links = []
        self.listener.handle(Echo, lambda message, link: links.append(link))
        release = threading.Event()
        self.addCleanup(release.set)
        stuck = dialers.WebsocketPeer(
            self.listener.address,
            'stuck',
            SECRET,
            on_notice=lambda message: release.wait(),
        )
        self.addCleanup(stuck.close)
        stuck.call(Echo('x'), TIMEOUT_MS)
        lost = threading.Event()
        links[0].on_close(lost.set)
        slowest_s = 0.0
        notice = Echo('x' * 100_000)
        while not lost.is_set():
            started_s = time.monotonic()
            try:
                links[0].notify(notice)
            except errors.PeerUnavailableError:
                break
            slowest_s = max(slowest_s, time.monotonic() - started_s)
        self.assertLess(slowest_s, 5)
        self.assertEqual('y', self.call_with_echo('y'))

    def call_with_echo(self, text):
        self.listener.handle(Echo, self.echo)
        return self.call(text)


class BlockedWebsocket:
    """A websocket whose sends block until it is released."""

    def __init__(self, sock):
        self.socket = sock
        self.released = threading.Event()
        self.sent = []

    def send(self, frame):
        self.released.wait()
        self.sent.append(frame)


class OutboxesTest(unittest.TestCase):
    def setUp(self):
        local_socket, self.remote_socket = socket.socketpair()
        self.addCleanup(local_socket.close)
        self.addCleanup(self.remote_socket.close)
        self.websocket = BlockedWebsocket(local_socket)
        self.addCleanup(self.websocket.released.set)
        self.outbox = outboxes.Outbox(self.websocket)

    def test_send_over_a_blocked_link_does_not_block_the_caller(self):
        large = b'x' * (outboxes.MAX_INLINE_FRAME_BYTES + 1)
        self.assertTrue(self.outbox.send(large))
        self.assertTrue(self.outbox.send(b'after the large one'))
        self.assertEqual([], self.websocket.sent)
        self.websocket.released.set()
        wait_for(lambda: len(self.websocket.sent) == 2)
        self.assertEqual(large, self.websocket.sent[0])

    def test_frame_beyond_the_queue_limit_drops_the_link(self):
        frame = b'x' * messages.MAX_FRAME_BYTES
        results = [self.outbox.send(frame) for _number in range(4)]
        self.assertFalse(results[-1])
        self.assertEqual(b'', self.remote_socket.recv(1))


def wait_for(condition, timeout_s=20):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError('condition not met within the timeout')
        time.sleep(0.01)
