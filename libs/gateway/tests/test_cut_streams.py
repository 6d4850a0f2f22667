"""Tests of streams that break off between two events."""

import contextlib
import time
import unittest

from masticquay_endpoints import interrupts
from masticquay_gateway import decodes
from masticquay_gateway import errors
from masticquay_gateway import events
from masticquay_gateway import exchanges
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import relays
from masticquay_routing import fleets
from masticquay_routing import tables
from masticquay_serving import counters
from tests import fakes
from tests import streamer_cases

COMMENT = b': c\n\n'
EVENT = b'id: 1\ndata: 1\n\n'
PAUSE_S = 0.1


def make_length(length_bytes):
    """Returns the header of a body of a length."""
    return f'Content-Length: {length_bytes}\r\n'


class CutStreamTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def run_stream(self, framing, end=None, content=EVENT, last_id=None):
        """Runs a stream, by default of one event.

        :param framing: headers that announce the stream's length
        :param end: called with the job once the event has been sent; without
            it, the connection ends there
        :param last_id: id of the event behind which the stream is resumed
        """
        self.job = fakes.make_job(fakes.make_route(tables.RouteKind.STREAM))

        def send_event(request, reply):
            head = (
                f'HTTP/1.1 200 OK\r\nCall: {request.header("call")}\r\n'
                f'{framing}\r\n'
            )
            body = content
            if 'chunked' in framing:
                body = b'%x\r\n%s\r\n' % (len(content), content)
            reply.sock.sendall(head.encode() + body)
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
        stream = relays.RelayedStream()
        stream.splitter = events.EventSplitter(last_id)
        stream.started = last_id is not None
        try:
            decoder.run(self.job, placement, stream)
        finally:
            self.assertEqual(content, self.job.reply.body)
        return self.job.reply

    def test_whole_stream_with_a_length_is_finished(self):
        self.assertTrue(self.run_stream(make_length(len(EVENT))).finished)

    # Guards against a stream that ends as complete before its last event.
    def test_stream_shorter_than_its_length_is_not_finished(self):
        with self.assertRaises(
            (errors.TruncatedStreamError, exchanges.EndpointError)
        ):
            self.run_stream(make_length(2 * len(EVENT)))

    # Seen: an engine that sent a comment and ended, without a length, left its
    # caller with a complete stream that had no event.
    def test_stream_of_a_comment_only_is_not_finished(self):
        with self.assertRaises(errors.TruncatedStreamError):
            self.run_stream('', content=COMMENT)

    # Seen: a comment before the event cost the stream this engine, too.
    def test_resumed_stream_may_go_on_with_a_comment(self):
        content = COMMENT + EVENT
        framing = make_length(len(content))
        reply = self.run_stream(framing, content=content, last_id='0')
        self.assertTrue(reply.finished)

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
