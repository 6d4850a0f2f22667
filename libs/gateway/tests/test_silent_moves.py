"""Tests of streams of silent engines that others can go on with."""

import threading
import time
import unittest.mock

from masticquay_endpoints import connections
from masticquay_gateway import decodes
from masticquay_gateway import silences
from tests import streamer_cases

GAP_MS = 300
QUIET_MS = 150
SILENCE_MS = 900


class SilentMovesTest(streamer_cases.StreamerCase):
    def setUp(self):
        super().setUp()
        for module, name, value in (
            (decodes, 'MAX_STREAM_GAP_MS', GAP_MS),
            (silences, 'MIN_QUIET_MS', QUIET_MS),
            (silences, 'WAIT_STEP_MS', GAP_MS),
        ):
            self.patch(module, name, value)
        self.engines = [self.make_decode_engine(n, self.serve) for n in (1, 2)]
        self.first, self.second = [e.endpoint for e in self.engines]
        self.begin = lambda: None
        self.silence_ends = False
        self.released = threading.Event()
        self.stack.callback(self.released.set)

    def patch(self, owner, name, value):
        patch = unittest.mock.patch.object(owner, name, value)
        self.stack.enter_context(patch)

    def serve(self, request, reply):
        """Sends two events and is silent, or goes on with the others."""
        if request.header('resume') is not None:
            self.send_stream(request, reply, start=2)
            return
        reply.begin(200, [('Call', request.header('call'))])
        for event in streamer_cases.EVENTS[:2]:
            reply.write(event)
        self.begin()
        if self.silence_ends:
            time.sleep(SILENCE_MS / 1000)
            self.send_stream_end(reply)
        else:
            self.released.wait()

    def send_stream_end(self, reply):
        for event in streamer_cases.EVENTS[2:]:
            reply.write(event)
        reply.finish()

    def play(self, next_engine):
        self.run_job([(None, self.first), (None, next_engine)], resumable=True)
        self.assertTrue(self.job.reply.finished)
        self.assertEqual(b''.join(streamer_cases.EVENTS), self.job.reply.body)

    # Guards against streams that hung to their end at a silent engine that
    # another way leads to.
    def test_stream_whose_path_is_doubtful_is_taken_up_at_the_only_engine(
        self,
    ):
        self.listed = [self.first]
        self.patch(
            connections.Exchange, 'is_path_doubtful', lambda exchange: True
        )
        self.play(self.first)

    # Guards against streams that hung to their end though another engine
    # could go on, which had come after they began.
    def test_stream_goes_on_at_an_engine_that_came_meanwhile(self):
        self.listed = [self.first]
        self.begin = lambda: self.add_engine(self.second)
        self.play(self.second)

    def add_engine(self, endpoint):
        self.state.by_id[endpoint.endpoint_id] = endpoint

    # Guards against LOST: silence broke streams off whose other engines had
    # left since they began.
    def test_stream_waits_once_all_other_engines_have_left(self):
        self.listed = [self.first, self.second]
        self.begin = lambda: self.state.by_id.pop('e2')
        self.silence_ends = True
        self.run_job([(None, self.first)], resumable=True)
        self.assertTrue(self.job.reply.finished)
