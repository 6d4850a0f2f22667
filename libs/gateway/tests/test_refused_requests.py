"""Tests that a request which runs is never refused as not run.

They guard against requests that ran after their callers were told that they
had not run and never would.
"""

import contextlib
import unittest

from masticquay_gateway import forwards
from masticquay_gateway import ports
from masticquay_routing import tables
from tests import fakes
from tests import raw_endpoints

ONCE = tables.RouteKind.ONCE
MARK = ('Not-Run', '1')
STAMP = ('Stamp', 's')


class RefusedRequestTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.server = None
        self.forwarder = None
        self.stray_answer = b''

    def make_forwarder(self, script):
        """Returns a forwarder with one endpoint."""
        self.server = raw_endpoints.RawEndpoint(self.stack, 0, script)
        state = fakes.FakeState([self.server.endpoint])
        self.notices = fakes.make_notices(state)
        return fakes.make_forwarder(self.stack, state, self.notices)

    def run_call(self, forwarder, call_id):
        job = fakes.make_job(fakes.make_route(ONCE), call_id=call_id)
        return forwarder.run(job)

    def send_stray_then_own(self, call_id, count):
        """Runs a request; a stray answer arrives before its own."""
        own = raw_endpoints.format_answer(call_id, extra=[STAMP])
        return own if count == 1 else self.stray_answer + own

    def run_two(self, stray_answer):
        """Runs two calls on one connection; returns the second's outcome."""
        self.stray_answer = stray_answer
        self.forwarder = self.make_forwarder(self.send_stray_then_own)
        self.run_call(self.forwarder, 'c1')
        outcome = self.run_call(self.forwarder, 'c2')
        self.assertEqual(['c1', 'c2'], self.server.calls)
        self.assertEqual([1, 1], self.server.connection_numbers)
        return outcome

    def assert_no_promise(self, outcome):
        if isinstance(outcome, ports.Refusal):
            self.assertIsNot(ports.Reason.NOT_RUN, outcome.reason)

    # Incident REFUSED: a late 503 for an earlier request was taken for the
    # answer to the next one, which ran.
    def test_late_refusal_of_another_request_refuses_no_request_that_runs(
        self,
    ):
        for status in (429, 503, 421):
            with self.subTest(status=status):
                stray = raw_endpoints.format_answer(
                    'c1', status, b'full', [MARK]
                )
                self.assert_no_promise(self.run_two(stray))

    # Incident REFUSED: the same with an answer that names no request.
    def test_refusal_without_request_id_refuses_no_request_that_runs(self):
        stray = raw_endpoints.format_answer(None, 503, b'full', [MARK])
        self.assert_no_promise(self.run_two(stray))

    # Incident REFUSED: an answer with a mark beside a stamp, or beside a
    # status that promises nothing, says both that the request ran and that it
    # did not.
    def test_answer_that_contradicts_itself_promises_nothing(self):
        for status, extra in (
            (503, [MARK, STAMP]),
            (421, [STAMP]),
            (200, [MARK]),
            (500, [MARK]),
            (504, [MARK]),
        ):
            with self.subTest(status=status, extra=extra):
                forwarder = self.make_forwarder(
                    lambda call_id, count, status=status, extra=extra: (
                        raw_endpoints.format_answer(
                            call_id, status, extra=extra
                        )
                    )
                )
                outcome = self.run_call(forwarder, 'c1')
                self.assertIs(ports.Reason.UNKNOWN, outcome.reason)

    # Incident REFUSED: a marked answer that breaks off is not yet an answer.
    def test_refusal_that_breaks_off_promises_nothing(self):
        cut = raw_endpoints.format_answer('c1', 503, b'full', [MARK])[:-2]
        forwarder = self.make_forwarder(lambda call_id, count: cut)
        route = fakes.make_route(ONCE, timeout_ms=300)
        outcome = forwarder.run(fakes.make_job(route, call_id='c1'))
        self.assertIsNot(ports.Reason.NOT_RUN, outcome.reason)

    def test_own_refusal_is_passed_on_as_not_run(self):
        forwarder = self.make_forwarder(
            lambda call_id, count: raw_endpoints.format_answer(
                call_id, 503, b'full', [MARK]
            )
        )
        outcome = self.run_call(forwarder, 'c1')
        self.assertIs(ports.Reason.NOT_RUN, outcome.reason)

    # Incident REFUSED: a connection that had brought another request's answer
    # was used again, and each later request got the answer of the one before.
    def test_connection_that_brought_another_answer_is_not_used_again(self):
        stray = raw_endpoints.format_answer('c0', extra=[STAMP])
        self.run_two(stray)
        self.stray_answer = b''
        for number in range(3, 6):
            outcome = self.run_call(self.forwarder, f'c{number}')
            self.assertIsInstance(outcome, forwards.Response)
        self.assertNotIn(1, self.server.connection_numbers[2:])

    # Found with incident REFUSED: a pause in a late answer of another request
    # kept all requests from an endpoint.
    def test_notice_in_an_answer_to_another_request_is_not_believed(self):
        for stray_id in ('c0', None):
            stray = raw_endpoints.format_answer(
                stray_id, 503, extra=[MARK, ('Pause-Ms', '30000')]
            )
            self.run_two(stray)
            self.assertFalse(self.notices.is_withheld(self.server.endpoint))
            stray = raw_endpoints.format_answer(
                stray_id, extra=[STAMP, ('Leaving', '1')]
            )
            self.run_two(stray)
            self.assertFalse(self.notices.is_withheld(self.server.endpoint))
