"""Tests of requests to plain services."""

import contextlib
import random
import unittest

from masticquay_gateway import exchanges
from masticquay_gateway import forwards
from masticquay_gateway import ports
from masticquay_gateway import retries
from masticquay_routing import choosers
from masticquay_routing import tables
from masticquay_serving import counters
from tests import fakes

ONCE = tables.RouteKind.ONCE


class ForwarderTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.endpoints = []

    def add(self, answer):
        number = len(self.endpoints)
        self.endpoints.append(fakes.FakeEndpoint(self.stack, number, answer))

    def run_job(self, route, slack=10):
        state = fakes.FakeState([e.endpoint for e in self.endpoints])
        pools = exchanges.Exchanges()
        self.stack.callback(pools.close)
        bounds = retries.BudgetBounds(0.2, slack, 10_000)
        forwarder = forwards.Forwarder(
            state,
            fakes.FakeProtocol(),
            pools,
            choosers.Chooser('p1', random.Random(1)),
            retries.Budgets(bounds, state),
            counters.Registry(),
        )
        return forwarder.run(fakes.make_job(route))

    def count(self):
        return sum(len(e.requests) for e in self.endpoints)

    def refuse(self, request, reply):
        fakes.echo(request, reply, 503, [('Not-Run', '1')])

    def cut(self, request, reply):
        reply.abort()

    def fail(self, request, reply):
        fakes.echo(request, reply, 500, body=b'bad')

    def test_answer_is_passed_on(self):
        self.add(fakes.echo)
        answer = self.run_job(fakes.make_route())
        self.assertEqual((200, b'ok'), (answer.status, answer.body))

    def test_refused_request_goes_to_another_endpoint(self):
        for _ in range(2):
            self.add(self.refuse)
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.NOT_RUN, outcome.reason)
        self.assertEqual(2, self.count())

    def test_what_may_have_run_is_not_sent_again(self):
        """A payout whose answer was lost must not be paid twice."""
        for _ in range(2):
            self.add(self.cut)
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)
        self.assertEqual(1, self.count())

    def test_idempotent_request_is_sent_again(self):
        for _ in range(2):
            self.add(self.cut)
        self.run_job(fakes.make_route())
        self.assertEqual(2, self.count())

    def test_unknown_outcome_is_never_called_not_run(self):
        """The first endpoint cuts, the second refuses."""
        for _ in range(2):
            self.add(self.cut_then_refuse)
        outcome = self.run_job(fakes.make_route())
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)
        self.assertEqual(2, self.count())

    def cut_then_refuse(self, request, reply):
        if self.count() == 1:
            self.cut(request, reply)
        else:
            self.refuse(request, reply)

    def test_attempts_bound_the_endpoints(self):
        for _ in range(4):
            self.add(self.refuse)
        self.run_job(fakes.make_route(attempts=3))
        self.assertEqual(3, self.count())

    def test_budget_bounds_the_repeats(self):
        for _ in range(2):
            self.add(self.refuse)
        self.run_job(fakes.make_route(), slack=0)
        self.assertEqual(1, self.count())

    def test_own_failure_is_passed_on_unchanged(self):
        self.add(self.fail)
        answer = self.run_job(fakes.make_route(ONCE))
        self.assertEqual((500, b'bad'), (answer.status, answer.body))

    def test_failed_idempotent_request_is_tried_once_more(self):
        for _ in range(2):
            self.add(self.fail)
        answer = self.run_job(fakes.make_route())
        self.assertEqual(500, answer.status)
        self.assertEqual(2, self.count())

    def test_answer_to_another_request_is_never_passed_on(self):
        """Answers that arrive late or crossed."""
        self.add(lambda request, reply: reply.send(200, [('Call', 'x')]))
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)

    def test_short_body_is_never_passed_on(self):
        def answer(request, reply):
            reply.begin(200, [('Call', 'c1'), ('Content-Length', '99')])
            reply.abort()

        self.add(answer)
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)

    def test_silent_endpoint_ends_at_the_timeout(self):
        self.add(lambda request, reply: fakes.time.sleep(1))
        outcome = self.run_job(fakes.make_route(ONCE, timeout_ms=200))
        self.assertIs(ports.Reason.TIMED_OUT, outcome.reason)

    def test_unreachable_endpoint_has_not_run_it(self):
        self.add(fakes.echo)
        self.endpoints[0].endpoint.address = '127.0.0.1:1'
        outcome = self.run_job(fakes.make_route(ONCE))
        self.assertIs(ports.Reason.NOT_RUN, outcome.reason)
