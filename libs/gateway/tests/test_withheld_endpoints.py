"""Tests of what changes while a request waits to be sent.

They guard against BUDGET: what was checked before the wait for a connection, a
thread or a placement was not checked again after it.
"""

from unittest import mock

from masticquay_endpoints import connections
from masticquay_gateway import errors
from masticquay_gateway import ports
from tests import fakes
from tests import peer_cases
from tests import streamer_cases

PAUSE = [('Not-Run', '1'), ('Pause-Ms', '3000')]


def pause(notices, endpoint):
    notices.record(endpoint, 503, PAUSE, has_run=False)


def pause_on_connect(notices, endpoint):
    """Has an endpoint want a pause while a connection to it is opened."""
    connect = connections.Exchange.connect

    def connect_late(exchange, timeout_ms):
        connect(exchange, timeout_ms)
        if exchange.connection.http.port == int(
            endpoint.address.rpartition(':')[2]
        ):
            pause(notices, endpoint)

    return mock.patch.object(connections.Exchange, 'connect', connect_late)


class WithheldEngineTest(streamer_cases.StreamerCase):
    def setUp(self):
        super().setUp()
        self.engines = [
            self.make_decode_engine(number, self.send_stream)
            for number in (1, 2)
        ]
        self.listed = [e.endpoint for e in [self.prefill, *self.engines]]
        self.notices = fakes.make_notices(fakes.FakeState(self.listed))

    def play(self, waiting):
        reply = fakes.FakeReply()
        first, second = self.engines
        placements = [
            (self.prefill.endpoint, first.endpoint),
            (None, second.endpoint),
        ]
        with pause_on_connect(self.notices, waiting.endpoint):
            self.assertIsNone(self.run_job(placements, reply=reply))
        self.assertEqual(b''.join(streamer_cases.EVENTS), reply.body)
        self.assertEqual([], waiting.requests)
        # It has said so itself, which is no failure.
        self.assertEqual([], self.placer.failures)
        *earlier, _last = self.job.attempts.describe()
        self.assertFalse([a for a in earlier if 'may have run' in a])

    def test_decode_engine_that_pauses_meanwhile_gets_no_request(self):
        self.play(self.engines[0])

    def test_prefill_engine_that_pauses_meanwhile_gets_no_request(self):
        self.play(self.prefill)


class HarmfulPromptTest(streamer_cases.StreamerCase):
    # Guards against BUDGET: prompts that waited for a placement when the first
    # ones ended engines were sent to further prefill engines.
    def test_prompt_quarantined_while_it_waits_is_not_prefilled(self):
        self.prompt_parts = ['bad']
        decode = self.make_decode_engine(1, self.send_stream)
        place = streamer_cases.FakePlacer.place

        def place_late(*args):
            self.quarantine.apply({'bad': 5_000})
            return place(*args)

        with mock.patch.object(streamer_cases.FakePlacer, 'place', place_late):
            refusal = self.run_job([(self.prefill.endpoint, decode.endpoint)])
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertEqual([], self.prefill.requests)


class WithheldServiceTest(streamer_cases.StreamerCase):
    def test_endpoint_that_pauses_meanwhile_gets_no_request(self):
        endpoints = [
            fakes.FakeEndpoint(
                self.stack, number, fakes.send_matching_response
            )
            for number in (0, 1)
        ]
        state = fakes.FakeState([e.endpoint for e in endpoints])
        notices = fakes.make_notices(state)
        forwarder = fakes.make_forwarder(self.stack, state, notices)
        route = fakes.make_route(attempts=1)
        waiting, other = endpoints
        with pause_on_connect(notices, waiting.endpoint):
            for _ in range(10):
                outcome = forwarder.run(fakes.make_job(route))
                self.assertEqual(200, outcome.status)
        self.assertEqual([], waiting.requests)
        self.assertEqual(10, len(other.requests))


class WithheldByPeerTest(peer_cases.PeerCase):
    def check_not_sent(self):
        with self.assertRaises(errors.NoPathError), self.open() as exchange:
            self.send(exchange)
        self.assertEqual([], self.received)

    def test_endpoint_that_pauses_meanwhile_gets_no_request_of_a_peer(self):
        self.hosts = self.hosts[:1]
        with pause_on_connect(self.peers[0].notices, self.endpoint):
            self.check_not_sent()

    def test_request_that_waits_for_a_thread_is_checked_after_it(self):
        self.hosts = self.hosts[:1]
        service = self.peers[0].service
        run = service._run

        def run_late(*args):
            pause(self.peers[0].notices, self.endpoint)
            run(*args)

        with mock.patch.object(service, '_run', run_late):
            self.check_not_sent()
