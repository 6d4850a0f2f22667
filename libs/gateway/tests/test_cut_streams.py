"""Tests of streams that break off between two events."""

import contextlib
import time
import unittest

from masticquay_endpoints import interrupts
from masticquay_gateway import decodes
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import relays
from masticquay_routing import fleets
from masticquay_routing import tables
from masticquay_serving import counters
from tests import fakes
from tests import streamer_cases

EVENT = b'id: 1\ndata: 1\n\n'
PAUSE_S = 0.1


def make_length(length_bytes):
    """Returns the header of a body of a length."""
    return f'Content-Length: {length_bytes}\r\n'


class CutStreamTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def run_stream(self, framing, end=None):
        """Runs a stream of one event.

        :param framing: headers that announce the stream's length
        :param end: called with the job once the event has been sent; without
            it, the connection ends there
        """
        self.job = fakes.make_job(fakes.make_route(tables.RouteKind.STREAM))

        def send_event(request, reply):
            head = (
                f'HTTP/1.1 200 OK\r\nCall: {request.header("call")}\r\n'
                f'{framing}\r\n'
            )
            event = EVENT
            if 'chunked' in framing:
                event = b'%x\r\n%s\r\n' % (len(EVENT), EVENT)
            reply.sock.sendall(head.encode() + event)
            if end is not None:
                end(self.job)
            raise ConnectionAbortedError

        engine = fakes.FakeEndpoint(
            self.stack, 1, send_event, fleets.ROLE_DECODE
        )
        pools = exchanges.ConnectionPools()
        self.stack.callback(pools.close)
        placer = streamer_cases.FakePlacer([(None, engine.endpoint)])
        placement = placer.place(None, interrupts.Interrupt())
        self.assertIsInstance(placement, placed_requests.RequestPlacement)
        notices = fakes.make_notices(fakes.FakeState([engine.endpoint]))
        decoder = decodes.Decoder(
            fakes.FakeProtocol(),
            paths.DirectPaths(pools),
            placer,
            notices,
            counters.Registry(),
        )
        try:
            decoder.run(self.job, placement, relays.RelayedStream())
        finally:
            self.assertEqual(EVENT, self.job.reply.body)
        return self.job.reply

    def test_whole_stream_with_a_length_is_finished(self):
        self.assertTrue(self.run_stream(make_length(len(EVENT))).finished)

    # Guards against a stream that ends as complete before its last event.
    def test_stream_shorter_than_its_length_is_not_finished(self):
        with self.assertRaises(
            (errors.TruncatedStreamError, exchanges.EndpointError)
        ):
            self.run_stream(make_length(2 * len(EVENT)))

    # Guards against a stream that counts as whole, or as broken off by its
    # engine, because its caller left: the interrupt ends it like its end does.
    def test_stream_whose_caller_leaves_is_neither_whole_nor_broken(self):
        def leave(job):
            time.sleep(PAUSE_S)
            job.interrupt.fire('caller disconnected')
            time.sleep(PAUSE_S)

        framings = (
            make_length(2 * len(EVENT)),
            'Transfer-Encoding: chunked\r\n',
            '',
        )
        for framing in framings:
            with self.subTest(framing=framing):
                with self.assertRaises(exchanges.InterruptedCallError):
                    self.run_stream(framing, leave)
                self.assertFalse(self.job.reply.finished)
