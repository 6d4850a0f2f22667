"""Tests of forwarding requests to plain services."""

import contextlib
import unittest

from masticquay_gateway import ports
from masticquay_routing import tables
from tests import fakes

ONCE = tables.RouteKind.ONCE


class ForwarderTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.endpoints = []
        self.notices = None

    def add_endpoint(self, answer):
        number = len(self.endpoints)
        self.endpoints.append(fakes.FakeEndpoint(self.stack, number, answer))

    def run_job(self, route, slack=10):
        state = fakes.FakeState([e.endpoint for e in self.endpoints])
        if self.notices is None:
            self.notices = fakes.make_notices(state)
        forwarder = fakes.make_forwarder(
            self.stack, state, self.notices, slack
        )
        return forwarder.run(fakes.make_job(route))

    def count_requests(self):
        return sum(len(e.requests) for e in self.endpoints)

    def refuse(self, request, reply):
        fakes.send_matching_response(request, reply, 503, [('Not-Run', '1')])

    def reset(self, request, reply):
        reply.abort()

    def return_error(self, request, reply):
        fakes.send_matching_response(request, reply, 500, body=b'bad')

    def test_response_is_returned(self):
        self.add_endpoint(fakes.send_matching_response)
        response = self.run_job(fakes.make_route())
        self.assertEqual((200, b'ok'), (response.status, response.body))

    def test_refused_request_is_retried_at_another_endpoint(self):
        for _ in range(2):
            self.add_endpoint(self.refuse)
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.NOT_RUN, outcome.reason)
        self.assertEqual(2, self.count_requests())

    def test_non_idempotent_request_is_not_retried(self):
        """A payout whose response was lost must not be paid twice."""
        for _ in range(2):
            self.add_endpoint(self.reset)
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)
        self.assertEqual(1, self.count_requests())

    def test_idempotent_request_is_retried(self):
        for _ in range(2):
            self.add_endpoint(self.reset)
        self.run_job(fakes.make_route())
        self.assertEqual(2, self.count_requests())

    def test_unknown_outcome_is_not_reported_as_not_run(self):
        """The first endpoint resets the connection, the second refuses."""
        for _ in range(2):
            self.add_endpoint(self.reset_then_refuse)
        outcome = self.run_job(fakes.make_route())
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)
        self.assertEqual(2, self.count_requests())

    def reset_then_refuse(self, request, reply):
        if self.count_requests() == 1:
            self.reset(request, reply)
        else:
            self.refuse(request, reply)

    def test_attempts_of_the_route_limit_the_endpoints_tried(self):
        for _ in range(4):
            self.add_endpoint(self.refuse)
        self.run_job(fakes.make_route(attempts=3))
        self.assertEqual(3, self.count_requests())

    def test_request_is_not_retried_without_budget(self):
        for _ in range(2):
            self.add_endpoint(self.refuse)
        self.run_job(fakes.make_route(), slack=0)
        self.assertEqual(1, self.count_requests())

    def test_error_response_is_returned_unchanged(self):
        self.add_endpoint(self.return_error)
        response = self.run_job(fakes.make_route(ONCE))
        self.assertEqual((500, b'bad'), (response.status, response.body))

    def test_idempotent_request_is_retried_after_an_error_response(self):
        for _ in range(2):
            self.add_endpoint(self.return_error)
        response = self.run_job(fakes.make_route())
        self.assertEqual(500, response.status)
        self.assertEqual(2, self.count_requests())

    def test_response_to_another_request_is_not_returned(self):
        """A late response can arrive after its connection has been reused."""
        self.add_endpoint(
            lambda request, reply: reply.send(200, [('Call', 'x')])
        )
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)

    def test_response_with_a_truncated_body_is_not_returned(self):
        def truncate(request, reply):
            reply.begin(200, [('Call', 'c1'), ('Content-Length', '99')])
            reply.abort()

        self.add_endpoint(truncate)
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)

    def test_silent_endpoint_times_out(self):
        self.add_endpoint(lambda request, reply: fakes.time.sleep(1))
        outcome = self.run_job(fakes.make_route(ONCE, timeout_ms=200))
        self.assertIs(ports.Reason.TIMED_OUT, outcome.reason)

    def test_request_to_an_unreachable_endpoint_counts_as_not_run(self):
        self.add_endpoint(fakes.send_matching_response)
        self.endpoints[0].endpoint.address = '127.0.0.1:1'
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.NOT_RUN, outcome.reason)

    def pause(self, request, reply):
        headers = [('Not-Run', '1'), ('Pause-Ms', '30000')]
        fakes.send_matching_response(request, reply, 503, headers)

    def leave(self, request, reply):
        fakes.send_matching_response(request, reply, extra=[('Leaving', '1')])

    def test_endpoint_that_wants_a_pause_gets_no_further_request(self):
        self.add_endpoint(self.pause)
        self.add_endpoint(fakes.send_matching_response)
        for _ in range(6):
            self.assertEqual(200, self.run_job(fakes.make_route()).status)
        self.assertLessEqual(len(self.endpoints[0].requests), 1)

    def test_request_is_refused_while_all_endpoints_want_a_pause(self):
        self.add_endpoint(self.pause)
        self.run_job(fakes.make_route())
        refusal = self.run_job(fakes.make_route())
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertGreaterEqual(refusal.retry_after_ms, 29_000)
        self.assertEqual(1, self.count_requests())

    def test_endpoint_that_says_that_it_leaves_gets_no_further_request(self):
        self.add_endpoint(self.leave)
        self.add_endpoint(fakes.send_matching_response)
        for _ in range(6):
            self.assertEqual(200, self.run_job(fakes.make_route()).status)
        self.assertLessEqual(len(self.endpoints[0].requests), 1)
