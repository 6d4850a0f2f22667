"""Tests of exchanges with endpoints by way of another entry host."""

import contextlib
import threading
import time
import unittest

from masticquay_endpoints import interrupts
from masticquay_endpoints import whole_bodies
from masticquay_gateway import answers
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import peer_exchanges
from masticquay_gateway import peer_links
from masticquay_gateway import peer_messages
from masticquay_gateway import peer_services
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_serving import counters
from masticquay_serving import http_servers
from masticquay_serving import requests
from masticquay_wire import peers
from tests import fakes
from tests import raw_endpoints

SECRET = b'secret'
TIMEOUT_MS = 2_000
WAIT_S = 5.0
SILENCE_MS = 200


class FakeWatch:
    """Says what a test sets of a host's path."""

    def __init__(self):
        self.is_lost = False
        self.reaches = True
        self.ended = False

    def reaches_others(self, endpoint):
        return self.reaches

    def has_ended(self, endpoint, cause):
        return self.ended


class Peer:
    """An entry host that takes requests of others."""

    def __init__(self, stack, name, state):
        self.state = state
        self.watch = FakeWatch()
        self.notices = fakes.make_notices(state)
        self.pools = exchanges.ConnectionPools()
        stack.callback(self.pools.close)
        registry = counters.Registry()
        self.service = peer_services.PeerService(
            peers.Address('127.0.0.1', 0),
            SECRET,
            state,
            self.pools,
            self.notices,
            answers.AnswerChecker(
                fakes.FakeProtocol(), self.notices, registry
            ),
            self.watch,
            registry,
        )
        self.service.start()
        stack.callback(self.service.close)
        address = str(self.service._listener.address)
        self.host = fleets.Host(name, '', 'p1', address)


class PeerExchangeTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.received = []
        self.release = threading.Event()
        self.stack.callback(self.release.set)
        self.status = 200
        self.server = http_servers.Server(
            ('127.0.0.1', 0), self.serve, requests.Limits
        )
        self.server.start()
        self.stack.callback(self.server.server_close)
        port = self.server.server_address[1]
        self.endpoint = fleets.Endpoint('e0', 'svc', f'127.0.0.1:{port}', 'p')
        self.state = fakes.FakeState([self.endpoint])
        self.peers = [
            Peer(self.stack, f'h{number}', self.state) for number in range(2)
        ]
        self.hosts = [peer.host for peer in self.peers]
        self.links = peer_links.PeerLinks(
            fleets.Host('own', '', 'p1'), SECRET, lambda: self.hosts
        )
        self.stack.callback(self.links.close)
        self.interrupt = interrupts.Interrupt()

    def serve(self, request, reply):
        self.received.append(request)
        headers = [('Call', request.header('call'))]
        if request.target == '/stream':
            reply.begin(200, headers)
            reply.write(b'first')
            self.release.wait(WAIT_S)
            with contextlib.suppress(Exception):
                reply.write(b'second')
                reply.finish()
            return
        if request.target == '/break':
            reply.begin(200, [*headers, ('Content-Length', '100')])
            reply.write(b'x')
            reply.abort()
            return
        reply.send(self.status, headers, b'answer')

    def open(self, lasts_ms=0):
        exchange = peer_exchanges.PeerExchange(
            self.links,
            self.endpoint,
            ports.ExchangePurpose('c1', lasts_ms=lasts_ms),
            self.interrupt,
            counters.Registry(),
        )
        exchange.connect()
        return exchange

    def send(self, exchange, path='/x', timeout_ms=TIMEOUT_MS):
        return exchange.send(
            'POST', path, [('Call', 'c1')], b'body', timeout_ms
        )

    def wait_for(self, condition):
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)

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
        with self.open(lasts_ms=TIMEOUT_MS) as exchange:
            self.send(exchange, '/stream')
            exchange.connection.set_timeout(TIMEOUT_MS)
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
            return TIMEOUT_MS

        with self.open(lasts_ms=TIMEOUT_MS) as exchange:
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
            self.open(lasts_ms=TIMEOUT_MS) as exchange,
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
            peer.service._begin = lambda link, request, interrupt: None
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
            self.open(lasts_ms=TIMEOUT_MS) as exchange,
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
        exchange.connection.set_timeout(TIMEOUT_MS)
        self.assertEqual(data, exchange.read_body(len(data)))

    # Guards against a body without a length that counts as whole, as the
    # interrupt of its request ends its connection like its end does.
    def test_interrupted_answer_is_not_passed_on_as_whole(self):
        sent = []

        class Link:
            def send(self, message):
                sent.append(message)
                if isinstance(message, peer_messages.PeerData):
                    interrupt.fire('peer left')

        interrupt = interrupts.Interrupt()
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
                Link(), request, endless.endpoint, interrupt
            )
        self.assertEqual([False], [message.is_last for message in sent[1:]])

    def send_without_end(self, request, reply):
        """Sends a part of an answer without a length."""
        reply.sock.sendall(b'HTTP/1.1 200 OK\r\nCall: c1\r\n\r\nsome')
        self.release.wait(WAIT_S)
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
