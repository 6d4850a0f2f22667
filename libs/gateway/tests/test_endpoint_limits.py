"""Tests of keeping this host's requests within limits of endpoints."""

import contextlib
import unittest

from masticquay_gateway import ports
from tests import fakes

LIMITED = [('Limit-Per-S', '2')]


class LimitedEndpointsTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.permits = fakes.FakePermits(granted=0)
        self.endpoints = []

    def make_forwarder(self, *answers):
        self.endpoints = [
            fakes.FakeEndpoint(self.stack, number, answer)
            for number, answer in enumerate(answers)
        ]
        state = fakes.FakeState([e.endpoint for e in self.endpoints])
        self.limits = fakes.make_limits(state, self.permits)
        return fakes.make_forwarder(
            self.stack, state, fakes.make_notices(state), limits=self.limits
        )

    def run_job(self, forwarder):
        return forwarder.run(fakes.make_job(fakes.make_route()))

    def test_request_without_a_permit_goes_to_another_endpoint(self):
        answer = fakes.send_matching_response
        forwarder = self.make_forwarder(answer, answer)
        self.limits.record(self.endpoints[0].endpoint, 2.0)
        for _ in range(10):
            self.assertEqual(200, self.run_job(forwarder).status)
        self.assertEqual([], self.endpoints[0].requests)

    def test_request_is_refused_at_once_if_no_endpoint_has_room(self):
        forwarder = self.make_forwarder(fakes.send_matching_response)
        self.limits.record(self.endpoints[0].endpoint, 2.0)
        waits_ms = []
        for _ in range(3):
            refusal = self.run_job(forwarder)
            self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
            waits_ms.append(refusal.retry_after_ms)
        self.assertEqual(sorted(set(waits_ms)), waits_ms)
        self.assertEqual([], self.endpoints[0].requests)

    def test_leader_that_has_no_permit_is_not_asked_again_until_it_has(self):
        forwarder = self.make_forwarder(fakes.send_matching_response)
        self.limits.record(self.endpoints[0].endpoint, 2.0)
        for _ in range(20):
            self.run_job(forwarder)
        self.assertEqual(1, self.permits.asked)

    def test_request_with_a_permit_is_served(self):
        self.permits.granted = 1
        forwarder = self.make_forwarder(fakes.send_matching_response)
        self.limits.record(self.endpoints[0].endpoint, 2.0)
        self.assertEqual(200, self.run_job(forwarder).status)

    def test_host_without_a_leader_sends_next_to_nothing(self):
        self.permits.is_reachable = False
        forwarder = self.make_forwarder(fakes.send_matching_response)
        self.limits.record(self.endpoints[0].endpoint, 2.0)
        for _ in range(20):
            self.run_job(forwarder)
        self.assertLessEqual(len(self.endpoints[0].requests), 1)

    def test_engine_placed_on_without_a_leader_keeps_to_a_small_part(self):
        self.make_forwarder(fakes.send_matching_response)
        self.limits.record(self.endpoints[0].endpoint, 2.0)
        placed_ms = []
        for now_ms in range(0, 20_000, 100):
            if self.limits.has_room('e0', now_ms):
                self.limits.charge('e0', now_ms)
                placed_ms.append(now_ms)
        # Half of the limit, as this host is the only one.
        self.assertGreaterEqual(len(placed_ms), 18)
        self.assertLessEqual(len(placed_ms), 21)

    def test_no_permit_is_asked_for_a_request_without_attempts_left(self):
        def refuse(request, reply):
            fakes.send_matching_response(
                request, reply, 503, [('Not-Run', '1')]
            )

        self.permits.granted = 10
        forwarder = self.make_forwarder(refuse, refuse, refuse)
        for endpoint in self.endpoints:
            self.limits.record(endpoint.endpoint, 2.0)
        refusal = self.run_job(forwarder)
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertEqual(2, self.permits.asked)


class NoticesTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.endpoint = fakes.FakeEndpoint(
            self.stack, 0, fakes.send_matching_response
        ).endpoint
        state = fakes.FakeState([self.endpoint])
        self.limits = fakes.make_limits(state)
        self.notices = fakes.make_notices(state, self.limits)

    def test_limit_in_a_refusal_counts(self):
        self.notices.record(self.endpoint, 503, LIMITED, has_run=False)
        self.assertTrue(self.limits.is_limited(self.endpoint))

    def test_limit_ends_with_an_answer_of_a_request_that_ran(self):
        self.notices.record(self.endpoint, 200, LIMITED, has_run=True)
        self.notices.record(self.endpoint, 200, [], has_run=True)
        self.assertFalse(self.limits.is_limited(self.endpoint))

    def test_refusal_without_a_limit_does_not_end_it(self):
        self.notices.record(self.endpoint, 200, LIMITED, has_run=True)
        self.notices.record(self.endpoint, 503, [], has_run=False)
        self.assertTrue(self.limits.is_limited(self.endpoint))

    def test_engine_that_names_a_limit_gets_no_release(self):
        self.assertTrue(self.notices.takes_releases(self.endpoint))
        self.notices.record(self.endpoint, 200, LIMITED, has_run=True)
        self.assertFalse(self.notices.takes_releases(self.endpoint))
