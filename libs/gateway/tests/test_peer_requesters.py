"""Tests of the end of a link that sends requests to a peer."""

import unittest

from masticquay_gateway import peer_messages
from masticquay_gateway import peer_requesters
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages

TIMEOUT_MS = 100
BODY = peer_messages.PeerBody(100_000)
GRANTED = peer_messages.PeerBodyGranted()
REQUEST = peer_messages.PeerRequest(
    'e1', 0, 'c1', 'POST', '/x', [], b'', 100, 100, True
)
HEAD = peer_messages.PeerHead(200, [])
PIECE = peer_messages.PeerData(b'x', False)
LAST = peer_messages.PeerData(b'', True)
REFUSAL = peer_messages.PeerFailure(
    peer_messages.FailureKind.NOT_TAKEN.value, 'full'
)


class FakeLink:
    """Gives the messages that a test has set, with their numbers."""

    def __init__(self):
        self.is_open = True
        self.sent = []
        self.coming = []

    def send(self, message, number):
        self.sent.append((message, number))

    def receive_frame(self, timeout_ms):
        if not self.coming:
            raise wire_errors.CallTimeoutError('no message in time')
        message, number = self.coming.pop(0)
        return wire_messages.Frame(wire_messages.KIND_NOTICE, number, message)

    def abort(self):
        self.is_open = False


class RequesterTest(unittest.TestCase):
    def setUp(self):
        self.link = FakeLink()
        self.requester = peer_requesters.Requester(self.link, 'h1')

    def play(self, *messages, number=1):
        """Sends what hosts send, and receives the other messages."""
        for message in messages:
            if message in (BODY, REQUEST):
                self.requester.send(message)
                continue
            self.link.coming.append((message, number))
            self.assertIs(message, self.requester.receive(TIMEOUT_MS))

    def assert_ends_link(self, message, number=1):
        self.link.coming.append((message, number))
        with self.assertRaises(wire_errors.MessageError):
            self.requester.receive(TIMEOUT_MS)
        self.assertFalse(self.link.is_open)
        self.assertFalse(self.requester.is_idle)

    def test_link_is_idle_after_each_end_of_an_exchange(self):
        ends = (
            (REQUEST, HEAD, PIECE, LAST),
            (REQUEST, REFUSAL),
            (REQUEST, HEAD, REFUSAL),
            (BODY, REFUSAL),
            (BODY, GRANTED, REQUEST, HEAD, LAST),
        )
        for number, messages in enumerate(ends, 1):
            with self.subTest(number):
                self.play(*messages, number=number)
                self.assertTrue(self.requester.is_idle)

    # Guards against REFUSED (review/11): links were reused amid an exchange.
    def test_link_is_not_idle_amid_an_exchange(self):
        parts = (
            (BODY,),
            (BODY, GRANTED),
            (BODY, GRANTED, REQUEST),
            (REQUEST,),
            (REQUEST, HEAD),
            (REQUEST, HEAD, PIECE),
        )
        for messages in parts:
            with self.subTest(messages):
                self.setUp()
                self.play(*messages)
                with self.assertRaises(wire_errors.CallTimeoutError):
                    self.requester.receive(TIMEOUT_MS)
                self.assertFalse(self.requester.is_idle)

    def test_aborted_link_is_not_idle(self):
        self.requester.abort()
        self.assertFalse(self.requester.is_idle)

    def test_all_messages_of_an_exchange_have_its_number(self):
        self.play(BODY, GRANTED)
        self.requester.send(PIECE)
        self.play(REQUEST, REFUSAL)
        self.play(REQUEST, number=2)
        self.assertEqual(
            [1, 1, 1, 2], [number for _, number in self.link.sent]
        )

    # Guards against REFUSED: any answer counted as that of any request.
    def test_answer_to_another_exchange_ends_the_link(self):
        for answer in (REFUSAL, HEAD):
            with self.subTest(answer):
                self.setUp()
                self.play(REQUEST, REFUSAL)
                self.requester.send(REQUEST)
                self.assert_ends_link(answer, number=1)

    def test_message_out_of_turn_ends_the_link(self):
        cases = (
            ((BODY,), HEAD),
            ((BODY,), LAST),
            ((BODY, GRANTED), REFUSAL),
            ((REQUEST,), GRANTED),
            ((REQUEST,), LAST),
            ((REQUEST, HEAD), HEAD),
        )
        for messages, answer in cases:
            with self.subTest(messages):
                self.setUp()
                self.play(*messages)
                self.assert_ends_link(answer)

    def test_request_amid_an_exchange_is_not_sent(self):
        self.play(REQUEST)
        with self.assertRaises(wire_errors.MessageError):
            self.requester.send(REQUEST)
        self.assertEqual(1, len(self.link.sent))

    def test_answers_of_an_earlier_release_name_no_exchange(self):
        for _ in range(2):
            self.play(REQUEST, HEAD, LAST, number=0)
        self.assertTrue(self.requester.is_idle)

    def test_answer_without_a_number_after_one_with_it_ends_the_link(self):
        self.play(REQUEST, HEAD)
        self.assert_ends_link(LAST, number=0)
