"""Tests that late answers of earlier requests cost callers nothing.

They guard against requests that failed with 502 although their own answer was
about to come behind another one.
"""

import contextlib
import time
import unittest

from masticquay_gateway import answers
from masticquay_gateway import decodes
from masticquay_gateway import exchanges
from masticquay_gateway import forwards
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import ports
from masticquay_gateway import relays
from masticquay_routing import fleets
from masticquay_routing import tables
from masticquay_serving import counters
from tests import fakes
from tests import raw_endpoints
from tests import streamer_cases

ONCE = tables.RouteKind.ONCE
MARK = ('Not-Run', '1')
STAMP = ('Stamp', 's')
EVENT = b'id: 1\ndata: own\n\n'
OTHER_EVENT = b'id: 1\ndata: other\n\n'
# Of the answer of an endpoint that is there.
SOON_S = 1.0


def late_answer(call_id='c1', status=200, body=b'late', extra=(STAMP,)):
    """Returns an answer, by default to the first request."""
    return raw_endpoints.format_answer(call_id, status, body, extra)


class LateAnswerTest(unittest.TestCase):
    own_status = 200
    own_extra = (STAMP,)

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.extra = b''
        self.server = raw_endpoints.RawEndpoint(self.stack, 0, self.answer)
        state = fakes.FakeState([self.server.endpoint])
        self.notices = fakes.make_notices(state)
        self.forwarder = fakes.make_forwarder(self.stack, state, self.notices)

    def answer(self, call_id, count):
        if count == 1:
            return late_answer(call_id, body=b'own')
        own = raw_endpoints.format_answer(
            call_id, self.own_status, b'own', self.own_extra
        )
        return self.extra + own

    def run_call(self, call_id):
        return self.forwarder.run(
            fakes.make_job(fakes.make_route(ONCE), call_id=call_id)
        )

    def run_two(self, extra):
        """Runs two requests on one connection; returns the second's outcome.

        :param extra: comes before the second's answer
        """
        self.extra = extra
        self.run_call('c1')
        outcome = self.run_call('c2')
        self.assertEqual([1, 1], self.server.connection_numbers)
        return outcome

    def assert_served(self, outcome):
        self.assertIsInstance(outcome, forwards.Response)
        self.assertEqual((200, b'own'), (outcome.status, outcome.body))

    def test_request_behind_a_late_answer_gets_its_own(self):
        for extra in (
            late_answer(),
            late_answer(status=500),
            late_answer(status=503, extra=[MARK]),
            late_answer(body=b''),
        ):
            self.assert_served(self.run_two(extra))
            # So that the next two begin on a connection of their own.
            self.setUp()

    # Seen: the caller got the copy, which nothing told from its own answer.
    def test_request_without_an_id_gets_no_copy_of_another_answer(self):
        self.server.script = lambda call_id, count: (
            late_answer(None, body=b'own')
            if count == 1
            else late_answer(None) + late_answer(None, body=b'own')
        )
        for _ in range(3):
            self.assert_served(self.run_call(''))

    # Guards against a copy that costs the next request its own answer.
    def test_request_without_an_id_leaves_no_connection_behind(self):
        self.run_call('')
        self.assert_served(self.run_call('c1'))
        self.assertEqual([1, 2], self.server.connection_numbers)

    def test_refusal_behind_a_late_answer_is_believed(self):
        self.own_status, self.own_extra = 503, [MARK]
        outcome = self.run_two(late_answer())
        self.assertIs(ports.Reason.NOT_RUN, outcome.reason)

    def test_late_refusal_alone_refuses_no_request(self):
        self.answer_late_only()
        outcome = self.run_two(late_answer(status=503, extra=[MARK]))
        self.assertIs(ports.Reason.TIMED_OUT, outcome.reason)

    def answer_late_only(self):
        """Leaves out the second request's own answer."""
        self.server.script = lambda call_id, count: (
            late_answer(call_id) if count == 1 else self.extra
        )

    def test_connection_with_a_late_answer_is_not_used_again(self):
        self.run_two(late_answer())
        self.extra = b''
        self.run_call('c3')
        self.assertEqual([1, 1, 2], self.server.connection_numbers)

    def test_notice_in_a_late_answer_is_not_believed(self):
        self.run_two(
            late_answer(extra=[STAMP, ('Pause-Ms', '30000'), ('Leaving', '1')])
        )
        self.assertFalse(self.notices.is_withheld(self.server.endpoint))

    # Guards against incident BUDGET: a pause that an endpoint asks for in a
    # late refusal, which is read past, was not kept.
    def test_pause_in_a_late_refusal_is_kept(self):
        self.run_two(
            late_answer(status=503, extra=[MARK, ('Pause-Ms', '30000')])
        )
        self.assertTrue(self.notices.is_withheld(self.server.endpoint))

    def test_as_many_late_answers_are_read_as_allowed(self):
        outcome = self.run_two(late_answer() * answers.MAX_EXTRA_ANSWERS)
        self.assert_served(outcome)

    def test_more_late_answers_than_allowed_leave_the_outcome_unknown(self):
        extra = late_answer() * (answers.MAX_EXTRA_ANSWERS + 1)
        outcome = self.run_two(extra)
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)

    def test_larger_late_answer_than_allowed_leaves_the_outcome_unknown(self):
        size_bytes = answers.MAX_EXTRA_BODY_BYTES + 1
        outcome = self.run_two(late_answer(body=b'x' * size_bytes))
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)

    # No other answer may follow one that the connection can't owe, so a wait
    # would be for nothing.
    def test_answer_to_a_request_of_another_connection_ends_it_at_once(self):
        self.answer_late_only()
        started_s = time.monotonic()
        for stray_id in ('c0', None):
            outcome = self.run_two(late_answer(stray_id))
            self.assertIs(ports.Reason.UNKNOWN, outcome.reason)
            self.setUp()
            self.answer_late_only()
        self.assertLess(time.monotonic() - started_s, SOON_S)


class LateEngineAnswerTest(unittest.TestCase):
    """A decode engine answers an earlier request before the present one."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def answer(self, call_id, count):
        own = late_answer(call_id, body=EVENT)
        return own if count == 1 else late_answer(body=OTHER_EVENT) + own

    # As at plain endpoints.
    def test_stream_behind_a_late_one_is_relayed(self):
        engine = raw_endpoints.RawEndpoint(
            self.stack, 0, self.answer, fleets.ROLE_DECODE
        )
        pools = exchanges.ConnectionPools()
        self.stack.callback(pools.close)
        placer = streamer_cases.FakePlacer([])
        notices = fakes.make_notices(fakes.FakeState([engine.endpoint]))
        decoder = decodes.Decoder(
            fakes.FakeProtocol(),
            paths.DirectPaths(pools),
            placer,
            notices,
            counters.Registry(),
        )
        placement = placed_requests.RequestPlacement(
            None, engine.endpoint, None, False
        )
        for call_id in ('c1', 'c2'):
            route = fakes.make_route(tables.RouteKind.STREAM)
            job = fakes.make_job(route, call_id=call_id)
            decoder.run(job, placement, relays.RelayedStream())
            self.assertTrue(job.reply.finished)
            self.assertEqual(EVENT, job.reply.body)
        self.assertEqual([1, 1], engine.connection_numbers)
