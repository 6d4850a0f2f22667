"""Tests of streams whose engine says nothing for a while."""

import time
import unittest.mock

from masticquay_gateway import decodes
from masticquay_gateway import exchanges
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import relays
from masticquay_gateway import silences
from masticquay_routing import fleets
from tests import endless_endpoints
from tests import fakes
from tests import test_endless_streams

GAP_MS = 200
QUIET_MS = 100
SILENCE_MS = 600
ROUTE_MS = 4_000
MAX_LATE_MS = 500


class SilencesTest(test_endless_streams.EngineTest):
    def setUp(self):
        super().setUp()
        self.patch(decodes, 'MAX_STREAM_GAP_MS', GAP_MS)
        self.patch(silences, 'MIN_QUIET_MS', QUIET_MS)
        self.patch(silences, 'WAIT_STEP_MS', GAP_MS)

    def patch(self, module, name, value):
        patch = unittest.mock.patch.object(module, name, value)
        self.stack.enter_context(patch)

    def run_decode(self, script, can_move=False):
        endpoint = self.open_engine(script, fleets.ROLE_DECODE)
        decoder = decodes.Decoder(
            fakes.FakeProtocol(),
            paths.DirectPaths(self.pools),
            self.placer,
            self.notices,
            self.registry,
        )
        self.job = self.make_job(ROUTE_MS)
        placement = placed_requests.RequestPlacement(
            None, endpoint, None, False
        )
        stream = relays.RelayedStream()
        stream.can_move = lambda: can_move
        decoder.run(self.job, placement, stream)

    def send_around_a_silence(self, first, second):
        def send(sock):
            sock.sendall(endless_endpoints.CHUNKED_HEAD + first)
            time.sleep(SILENCE_MS / 1000)
            sock.sendall(second)

        return send

    def make_event(self, number):
        event = test_endless_streams.EVENT % number
        return test_endless_streams.make_chunk(event)

    # Guards against LOST: streams that nobody else could go on with were
    # broken off when their engine had been silent for a while.
    def test_stream_that_cannot_move_goes_on_after_a_silence(self):
        self.run_decode(
            self.send_around_a_silence(
                self.make_event(1), self.make_event(2) + b'0\r\n\r\n'
            )
        )
        self.assertTrue(self.job.reply.finished)
        self.assertEqual(2, self.job.reply.body.count(b'\n\n'))

    # The same, if the silence begins within a chunk's size line.
    def test_silence_at_any_byte_of_a_stream_is_outlasted(self):
        stream = self.make_event(1) + self.make_event(2) + b'0\r\n\r\n'
        start = len(self.make_event(1)) - 2
        for place in (*range(start, start + 8), len(stream) - 3):
            with self.subTest(place=place):
                self.run_decode(
                    self.send_around_a_silence(stream[:place], stream[place:])
                )
                self.assertTrue(self.job.reply.finished)
                self.assertEqual(2, self.job.reply.body.count(b'\n\n'))

    # The same, if the engine sends comments meanwhile.
    def test_stream_that_cannot_move_goes_on_after_comments(self):
        comment = test_endless_streams.make_chunk(b': c\n\n')

        def send(sock):
            sock.sendall(endless_endpoints.CHUNKED_HEAD + self.make_event(1))
            for _ in range(2 * SILENCE_MS // QUIET_MS):
                time.sleep(QUIET_MS / 2_000)
                sock.sendall(comment)
            sock.sendall(self.make_event(2) + b'0\r\n\r\n')

        self.run_decode(send)
        self.assertTrue(self.job.reply.finished)
        self.assertIn(b'id: 2\n', self.job.reply.body)

    def test_silence_is_told_to_the_placer_once(self):
        self.run_decode(
            self.send_around_a_silence(
                self.make_event(1), self.make_event(2) + b'0\r\n\r\n'
            )
        )
        self.assertEqual([('e0', True)], self.placer.failures)

    def test_silent_stream_that_can_move_is_given_up(self):
        with self.assertRaises(exchanges.StalledError):
            self.run_decode(
                self.send_around_a_silence(self.make_event(1), b''),
                can_move=True,
            )
        self.assertEqual([], self.placer.failures)

    def test_stream_silent_for_good_ends_with_the_time_of_its_route(self):
        script = endless_endpoints.make_script(
            endless_endpoints.CHUNKED_HEAD + self.make_event(1),
            b'',
            50,
            ROUTE_MS + endless_endpoints.SENDING_MS,
        )
        with (
            self.assert_ends_within(ROUTE_MS + MAX_LATE_MS),
            self.assertRaises(exchanges.StalledError),
        ):
            self.run_decode(script)

    def test_stream_that_trickles_within_an_event_is_given_up(self):
        # Far above the time between two pieces, also beside load.
        self.patch(silences, 'MIN_QUIET_MS', ROUTE_MS)
        script = test_endless_streams.make_stream_script(
            test_endless_streams.EVENT % 1, b'x', 50
        )
        with (
            self.assert_ends_within(GAP_MS + MAX_LATE_MS),
            self.assertRaises(exchanges.ExchangeTimeoutError),
        ):
            self.run_decode(script)
