"""Tests of exchanges with endpoints by way of another entry host."""

from unittest import mock

from masticquay_endpoints import errors as endpoint_errors
from masticquay_endpoints import whole_bodies
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import peer_exchanges
from masticquay_gateway import peer_links
from masticquay_gateway import peer_messages
from masticquay_gateway import peer_responders
from masticquay_routing import fleets
from tests import fakes
from tests import peer_cases
from tests import raw_endpoints

SILENCE_MS = 200


class PeerExchangeTest(peer_cases.PeerCase):
    def test_request_and_answer_pass_unchanged(self):
        with self.open() as exchange:
            response = self.send(exchange)
            self.assertEqual(200, response.status)
            self.assertIn(('call', 'c1'), lower(response.headers.items()))
            self.assertEqual(b'answer', exchange.read_body(100))
        [request] = self.received
        self.assertEqual(
            ('POST', '/x', b'body'),
            (request.method, request.target, request.body),
        )

    def test_link_is_used_again_after_a_whole_answer(self):
        names = []
        for _ in range(2):
            with self.open() as exchange:
                names.append(exchange._link)
                self.send(exchange)
                exchange.read_body(100)
            self.hosts = [exchange.peer]
        self.assertIs(names[0], names[1])

    def test_pieces_of_a_stream_arrive_as_they_come(self):
        with self.open(lasts_ms=peer_cases.TIMEOUT_MS) as exchange:
            self.send(exchange, '/stream')
            exchange.connection.set_timeout(peer_cases.TIMEOUT_MS)
            self.assertEqual(b'first', exchange.response.read1(100))
            self.release.set()
            self.assertEqual(b'second', exchange.response.read1(100))
            self.assertEqual(b'', exchange.response.read1(100))

    # Guards against LOST: streams that nobody else could go on with were
    # broken off when their engine had been silent for a while.
    def test_hook_extends_the_wait_for_a_silent_endpoint(self):
        quiet_times_ms = []

        def wait_longer(quiet_ms):
            quiet_times_ms.append(quiet_ms)
            self.release.set()
            return peer_cases.TIMEOUT_MS

        with self.open(lasts_ms=peer_cases.TIMEOUT_MS) as exchange:
            self.send(exchange, '/stream')
            self.assertEqual(b'first', exchange.response.read1(100))
            exchange.connection.set_timeout(SILENCE_MS)
            exchange.outlast_silence(wait_longer)
            self.assertEqual(b'second', exchange.response.read1(100))
        (quiet_ms,) = quiet_times_ms
        self.assertGreaterEqual(quiet_ms, SILENCE_MS - 1)

    def test_caller_that_leaves_ends_the_exchange_at_the_endpoint(self):
        with (
            self.assertRaises(exchanges.InterruptedCallError),
            self.open(lasts_ms=peer_cases.TIMEOUT_MS) as exchange,
        ):
            self.send(exchange, '/stream')
            exchange.response.read1(100)
            self.interrupt.fire('caller left')
            with exchange.translate_errors():
                exchange.response.read1(100)
        for peer in self.peers:
            self.wait_for(lambda peer=peer: not peer.service.active_count)

    def test_answer_cut_off_by_the_endpoint_is_not_whole(self):
        with (
            self.assertRaises(exchanges.EndpointError),
            self.open() as exchange,
        ):
            self.send(exchange, '/break')
            exchange.read_body(1_000)

    def test_end_of_the_endpoint_is_told_as_the_peer_saw_it(self):
        for peer in self.peers:
            peer.watch.ended = True
        with (
            self.assertRaises(errors.EndpointEndedError),
            self.open() as exchange,
        ):
            self.send(exchange, '/break')
            exchange.read_body(1_000)

    def test_silent_endpoint_is_a_stall_that_may_have_run(self):
        silent = raw_endpoints.RawEndpoint(
            self.stack, 1, lambda call_id, count: b''
        )
        self.endpoint = silent.endpoint
        self.state.by_id = {silent.endpoint.endpoint_id: silent.endpoint}
        with (
            self.assertRaises(exchanges.StalledError),
            self.open() as exchange,
        ):
            self.send(exchange, timeout_ms=200)

    # A peer that froze was taken for an endpoint that did not answer.
    def test_silent_peer_is_not_held_against_the_endpoint(self):
        exchange = self.open()
        self.stack.enter_context(exchange)
        for peer in self.peers:
            peer.service._begin = lambda *args: None
        with self.assertRaises(errors.PeerBrokenError) as raised:
            self.send(exchange, timeout_ms=200)
        self.assertTrue(raised.exception.is_stalled)

    def test_peer_that_loses_its_path_is_not_held_against_the_endpoint(self):
        def lose(*args):
            raise errors.PathLostError('silent', is_stalled=True)

        for peer in self.peers:
            peer.service._exchange = lose
        with (
            self.assertRaises(errors.PeerBrokenError),
            self.open() as exchange,
        ):
            self.send(exchange)

    def test_request_goes_to_another_peer_if_one_has_no_path(self):
        self.peers[0].watch.is_lost = True
        for _ in range(6):
            with self.open() as exchange:
                self.send(exchange)
                exchange.read_body(100)
                self.assertEqual('h1', exchange.peer.name)
        self.assertEqual(6, len(self.received))

    def test_request_that_no_peer_takes_was_not_sent(self):
        for peer in self.peers:
            peer.service.drain()
        with (
            self.assertRaises(errors.NoPathError),
            self.open() as exchange,
        ):
            self.send(exchange)
        self.assertEqual([], self.received)

    def test_endpoint_that_no_peer_reaches_was_not_sent_the_request(self):
        self.server.server_close()
        with (
            self.assertRaises(exchanges.NotSentError) as raised,
            self.open() as exchange,
        ):
            self.send(exchange)
        self.assertNotIsInstance(raised.exception, errors.NoPathError)

    def test_lost_peer_leaves_open_whether_the_request_ran(self):
        with (
            self.assertRaises(errors.PeerBrokenError),
            self.open(lasts_ms=peer_cases.TIMEOUT_MS) as exchange,
        ):
            self.send(exchange, '/stream')
            exchange.response.read1(100)
            for peer in self.peers:
                peer.service.close()
            exchange.response.read1(100)

    # Guards against a body that is cut short: a piece of a peer that is larger
    # than what is read at a time counted as read with its beginning.
    def test_large_last_piece_of_a_peer_is_read_wholly(self):
        data = bytes(5 * whole_bodies.READ_BYTES)
        head = peer_messages.PeerHead(200, [])
        exchange = self.stack.enter_context(self.open())
        exchange.response = peer_exchanges.PeerResponse(
            head, lambda: peer_messages.PeerData(data, True)
        )
        exchange.connection.set_timeout(peer_cases.TIMEOUT_MS)
        self.assertEqual(data, exchange.read_body(len(data)))

    # Guards against REFUSED: a request that an endpoint had begun to answer
    # was promised not to have run if the peer said so later.
    def test_failure_amid_an_answer_promises_nothing(self):
        for kind in peer_messages.FailureKind:
            failure = peer_messages.PeerFailure(kind.value, '')
            with (
                self.subTest(kind),
                self.assertRaises(exchanges.EndpointError) as raised,
                self.open(lasts_ms=peer_cases.TIMEOUT_MS) as exchange,
            ):
                self.send(exchange, '/stream')
                with mock.patch.object(
                    exchange, '_receive_patiently', return_value=failure
                ):
                    exchange.response.read1(100)
            self.assertNotIsInstance(raised.exception, exchanges.NotSentError)

    # Guards against REFUSED: an answer that came after its request was given
    # up was taken for that of the next request on the link.
    def test_late_answer_does_not_answer_another_request(self):
        self.hosts = self.hosts[:1]
        service = self.peers[0].service
        begin = service._begin

        def begin_late(*args):
            self.release.wait(peer_cases.WAIT_S)
            service._watch.is_lost = True
            begin(*args)
            service._watch.is_lost = False

        with (
            mock.patch.object(service, '_begin', begin_late),
            self.assertRaises(errors.PeerBrokenError),
            self.open() as exchange,
        ):
            self.send(exchange, timeout_ms=SILENCE_MS)
        self.release.set()
        with self.open() as exchange:
            self.assertEqual(200, self.send(exchange).status)

    # Guards against a status that a peer of an earlier release passes on.
    def test_unreadable_status_by_way_of_a_peer_is_refused(self):
        for status in (0, 99, 600):
            head = peer_messages.PeerHead(status, [])
            with (
                self.subTest(status),
                self.assertRaises(endpoint_errors.EndpointError),
                self.open(lasts_ms=peer_cases.TIMEOUT_MS) as exchange,
                mock.patch.object(exchange, '_receive', return_value=head),
            ):
                self.send(exchange, '/stream')

    # Guards against a body without a length that counts as whole, as the
    # interrupt of its request ends its connection like its end does.
    def test_interrupted_answer_is_not_passed_on_as_whole(self):
        sent = []

        class Link:
            def send(self, message, number):
                sent.append(message)
                if isinstance(message, peer_messages.PeerData):
                    responder.interrupt.fire('peer left')

            def abort(self):
                """Does nothing."""

        responder = peer_responders.Responder(Link(), 1)
        endless = fakes.FakeEndpoint(self.stack, 1, self.send_without_end)
        request = peer_messages.PeerRequest(
            'e1',
            0,
            'c1',
            'POST',
            '/x',
            [('Call', 'c1')],
            b'',
            2_000,
            2_000,
            False,
        )
        with self.assertRaises(exchanges.InterruptedCallError):
            self.peers[0].service._exchange(
                responder, request, endless.endpoint
            )
        self.assertEqual([False], [message.is_last for message in sent[1:]])

    def send_without_end(self, request, reply):
        """Sends a part of an answer without a length."""
        reply.sock.sendall(b'HTTP/1.1 200 OK\r\nCall: c1\r\n\r\nsome')
        self.release.wait(peer_cases.WAIT_S)
        raise ConnectionAbortedError

    # The users' BUDGET: a server that asked a host for rest gets nothing from
    # it, by way of that host neither.
    def test_peer_sends_nothing_to_an_endpoint_that_wants_a_pause_of_it(self):
        for peer in self.peers:
            peer.notices.withheld = True
            peer.notices.is_withheld = lambda endpoint: True
        with (
            self.assertRaises(errors.NoPathError),
            self.open() as exchange,
        ):
            self.send(exchange)
        self.assertEqual([], self.received)

    def test_host_without_peers_has_no_path(self):
        self.hosts = []
        with self.assertRaises(errors.NoPathError):
            self.open()

    def test_peer_without_a_path_of_its_own_is_not_asked(self):
        self.hosts[0].reaches_endpoints = False
        for _ in range(4):
            with self.open() as exchange:
                self.assertEqual('h1', exchange.peer.name)

    def test_link_with_another_secret_is_refused(self):
        self.links = peer_links.PeerLinks(
            fleets.Host('own', '', 'p1'), b'other', lambda: self.hosts
        )
        with self.assertRaises(errors.NoPathError):
            self.open()


def lower(headers):
    return [(name.lower(), value) for name, value in headers]
