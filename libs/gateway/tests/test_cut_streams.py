"""Tests of streams that break off between two events."""

import contextlib
import unittest

from masticquay_endpoints import interrupts
from masticquay_gateway import decodes
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import placers
from masticquay_gateway import relays
from masticquay_routing import fleets
from masticquay_routing import tables
from masticquay_serving import counters
from tests import fakes
from tests import test_streams

EVENT = b'id: 1\ndata: 1\n\n'


class CutStreamTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def run_stream(self, length_bytes):
        """Runs a stream of one event that announces its length."""

        def send_event(request, reply):
            head = (
                f'HTTP/1.1 200 OK\r\nCall: {request.header("call")}\r\n'
                f'Content-Length: {length_bytes}\r\n\r\n'
            )
            reply.sock.sendall(head.encode() + EVENT)
            raise ConnectionAbortedError

        engine = fakes.FakeEndpoint(
            self.stack, 1, send_event, fleets.ROLE_DECODE
        )
        pools = exchanges.ConnectionPools()
        self.stack.callback(pools.close)
        placer = test_streams.FakePlacer([(None, engine.endpoint)])
        job = fakes.make_job(fakes.make_route(tables.RouteKind.STREAM))
        placement = placer.place(None, interrupts.Interrupt())
        self.assertIsInstance(placement, placers.RequestPlacement)
        notices = fakes.make_notices(fakes.FakeState([engine.endpoint]))
        decoder = decodes.Decoder(
            fakes.FakeProtocol(), pools, placer, notices, counters.Registry()
        )
        try:
            decoder.run(job, placement, relays.RelayedStream())
        finally:
            self.assertEqual(EVENT, job.reply.body)
        return job.reply

    def test_whole_stream_with_a_length_is_finished(self):
        self.assertTrue(self.run_stream(len(EVENT)).finished)

    # Guards against a stream that ends as complete before its last event.
    def test_stream_shorter_than_its_length_is_not_finished(self):
        with self.assertRaises(
            (errors.TruncatedStreamError, exchanges.EndpointError)
        ):
            self.run_stream(2 * len(EVENT))
