"""Tests of large request bodies that are sent by way of a peer."""

import unittest.mock

from masticquay_gateway import errors
from masticquay_gateway import peer_bodies
from masticquay_gateway import peer_messages
from masticquay_serving import byte_budgets
from masticquay_wire import errors as wire_errors
from tests import peer_cases

BODY = bytes(range(256)) * 1_000
SILENCE_MS = 200


class PeerBodyTest(peer_cases.PeerCase):
    def setUp(self):
        super().setUp()
        self.budget = byte_budgets.ByteBudget()
        patch = unittest.mock.patch.object(byte_budgets, 'BUDGET', self.budget)
        self.stack.enter_context(patch)

    def exchange_body(self, body):
        """Sends a request with a body; returns the peer's name."""
        with self.open() as exchange:
            self.send(exchange, body=body)
            self.assertEqual(b'answer', exchange.read_body(100))
            return exchange.peer.name

    def assert_all_given_back(self):
        self.wait_for(lambda: not self.budget.taken_bytes)

    # Guards against LOST: a peer received all bodies that other hosts sent
    # before it knew whether it had room for them.
    def test_body_is_sent_once_the_peer_has_taken_memory_for_it(self):
        sizes = []
        take = peer_bodies.ReceivedBody.take_memory

        def take_memory(body, size_bytes):
            self.assertEqual([], self.received)
            sizes.append(size_bytes)
            take(body, size_bytes)

        with unittest.mock.patch.object(
            peer_bodies.ReceivedBody, 'take_memory', take_memory
        ):
            self.exchange_body(BODY)
        self.assertEqual([len(BODY)], sizes)
        [request] = self.received
        self.assertEqual(BODY, request.body)
        self.assert_all_given_back()

    def test_bodies_of_all_sizes_arrive_unchanged(self):
        inline, piece = peer_bodies.MAX_INLINE_BYTES, peer_bodies.PIECE_BYTES
        for size in (0, 1, inline, inline + 1, piece, piece + 1, 2 * piece):
            with self.subTest(size=size):
                self.exchange_body(BODY[:size])
                self.assertEqual(BODY[:size], self.received[-1].body)
        self.assert_all_given_back()

    def test_link_carries_bodies_one_after_another(self):
        self.hosts = self.hosts[:1]
        for count in (50_000, 0, 100_000, 10):
            self.exchange_body(BODY[:count])
        self.assertEqual(
            [50_000, 0, 100_000, 10], [len(r.body) for r in self.received]
        )
        self.assert_all_given_back()

    def test_body_without_room_at_any_peer_was_not_sent(self):
        self.budget.__init__(byte_budgets.STEP_BYTES)
        with self.assertRaises(errors.NoPathError):
            self.exchange_body(BODY)
        self.assertEqual([], self.received)
        self.assert_all_given_back()

    def test_request_without_a_large_body_needs_no_room(self):
        self.budget.__init__(0)
        self.exchange_body(BODY[: peer_bodies.MAX_INLINE_BYTES])

    def test_body_goes_to_another_peer_if_one_has_no_path(self):
        self.peers[0].watch.is_lost = True
        for _ in range(4):
            self.assertEqual('h1', self.exchange_body(BODY))
        self.assert_all_given_back()

    # A host of an earlier revision ends the link at the announcement.
    def test_body_goes_to_another_peer_if_one_ends_the_link(self):
        def end(*args):
            raise wire_errors.MessageError('unknown message type')

        self.peers[0].service._receive_body = end
        for _ in range(4):
            self.assertEqual('h1', self.exchange_body(BODY))

    def give_body_up(self):
        """Has the only peer refuse a body after its host has given it up."""
        service = self.peers[0].service
        reason = service._reason_to_refuse_all

        def refuse_late():
            service._reason_to_refuse_all = reason
            self.release.wait(peer_cases.WAIT_S)
            return 'too many requests of peers'

        service._reason_to_refuse_all = refuse_late
        self.hosts = self.hosts[:1]
        with self.assertRaises(errors.NoPathError), self.open() as exchange:
            self.send(exchange, body=BODY, timeout_ms=SILENCE_MS)
        self.release.set()

    # Guards against REFUSED (review/11): a peer's late word on a body that its
    # host had given up was taken for the answer to the next request, which was
    # refused as not run though the peer ran it.
    def test_late_refusal_of_a_body_does_not_answer_another_request(self):
        self.give_body_up()
        with self.open() as exchange:
            self.assertEqual(200, self.send(exchange).status)
        self.assertEqual([b'body'], [r.body for r in self.received])

    # Guards against TWICE (review/11 with a third host): the late word made
    # the host send the next request to a further peer, too.
    def test_late_refusal_of_a_body_has_no_request_run_twice(self):
        hosts = self.hosts
        self.give_body_up()
        with self.open() as exchange:
            self.hosts = hosts
            self.send(exchange)
            exchange.read_body(100)
        self.assertEqual(1, len(self.received))

    # Nothing of the request was sent, and no time is left for another peer.
    def test_body_that_a_peer_leaves_unanswered_is_offered_to_no_other(self):
        asked = []
        for peer in self.peers:
            peer.service._receive_body = lambda *args: asked.append(args)
        with self.assertRaises(errors.NoPathError), self.open() as exchange:
            self.send(exchange, body=BODY, timeout_ms=SILENCE_MS)
        self.assertEqual(1, len(asked))

    def test_body_of_a_host_that_leaves_is_given_back(self):
        link = self.open()._link
        link.send(peer_messages.PeerBody(len(BODY)))
        self.assertIsInstance(
            link.receive(peer_cases.TIMEOUT_MS), peer_messages.PeerBodyGranted
        )
        link.send(peer_messages.PeerData(BODY[:1_000], False))
        self.assertGreater(self.budget.taken_bytes, 0)
        link.close()
        self.assert_all_given_back()

    def test_body_of_another_size_than_announced_ends_the_link(self):
        for data in (BODY + b'x', BODY[:-1]):
            with self.subTest(size=len(data)):
                link = self.open()._link
                link.send(peer_messages.PeerBody(len(BODY)))
                link.receive(peer_cases.TIMEOUT_MS)
                link.send(peer_messages.PeerData(data, True))
                with self.assertRaises(wire_errors.PeerUnavailableError):
                    link.receive(peer_cases.TIMEOUT_MS)
                self.assert_all_given_back()
