"""Tests of the end of a link that answers the requests of a host."""

from masticquay_gateway import peer_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import exchange_links
from masticquay_wire import peers
from tests import peer_cases


class ResponderTest(peer_cases.PeerCase):
    def setUp(self):
        super().setUp()
        address = peers.Address.parse(self.hosts[0].link_address)
        self.link = exchange_links.dial(address, 'own', peer_cases.SECRET)
        self.stack.callback(self.link.close)

    def ask(self, path='/x', number=1):
        request = peer_messages.PeerRequest(
            'e0',
            0,
            'c1',
            'POST',
            path,
            [('Call', 'c1')],
            b'',
            peer_cases.TIMEOUT_MS,
            peer_cases.TIMEOUT_MS,
            False,
        )
        self.link.send(request, number)

    def receive(self):
        frame = self.link.receive_frame(peer_cases.TIMEOUT_MS)
        return type(frame.message), frame.call_number

    def assert_ended(self):
        with self.assertRaises(wire_errors.PeerUnavailableError):
            while True:
                self.link.receive(peer_cases.TIMEOUT_MS)
        service = self.peers[0].service
        self.wait_for(lambda: not service.active_count)

    def test_answers_name_the_exchange_of_their_request(self):
        for number in (1, 2, 0):
            self.ask(number=number)
            head = (peer_messages.PeerHead, number)
            self.assertEqual(head, self.receive())
            self.assertEqual((peer_messages.PeerData, number), self.receive())

    def test_refusal_names_the_exchange_of_its_body(self):
        self.peers[0].watch.is_lost = True
        self.link.send(peer_messages.PeerBody(100_000), 7)
        self.assertEqual((peer_messages.PeerFailure, 7), self.receive())

    # Guards against answers of two requests that mix on one link: a host that
    # gave the first one up sent another behind it.
    def test_request_amid_another_exchange_ends_the_link(self):
        for number in (1, 2):
            with self.subTest(number):
                self.ask('/stream')
                self.assertEqual((peer_messages.PeerHead, 1), self.receive())
                self.ask(number=number)
                self.assert_ended()
                self.assertEqual(1, len(self.received))
                self.setUp()

    def test_request_behind_the_body_of_another_ends_the_link(self):
        self.link.send(peer_messages.PeerBody(1), 1)
        self.assertEqual((peer_messages.PeerBodyGranted, 1), self.receive())
        self.link.send(peer_messages.PeerData(b'x', True), 1)
        self.ask(number=2)
        self.assert_ended()
        self.assertEqual([], self.received)

    def test_second_body_amid_an_exchange_ends_the_link(self):
        self.link.send(peer_messages.PeerBody(1), 1)
        self.receive()
        self.link.send(peer_messages.PeerData(b'x', True), 1)
        self.link.send(peer_messages.PeerBody(1), 1)
        self.assert_ended()
