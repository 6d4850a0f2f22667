"""Tests of requests that end the plain endpoints which run them."""

import contextlib
import unittest

from masticquay_gateway import ports
from masticquay_gateway import quarantines
from masticquay_gateway import request_keys
from masticquay_routing import slot_messages
from tests import fakes


class EndingEndpointsTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.trials = fakes.FakeTrials()
        self.quarantine = quarantines.Quarantine()
        self.watch = fakes.make_watch(self.trials, self.quarantine)
        self.endpoints = []
        self.first_number = 0

    def make_forwarder(self, *answers, slot_source=None):
        self.endpoints = [
            fakes.FakeEndpoint(self.stack, number, answer)
            for number, answer in enumerate(answers, self.first_number)
        ]
        self.first_number += len(answers)
        state = fakes.FakeState([e.endpoint for e in self.endpoints])
        endpoint_slots = fakes.make_slots(slot_source)
        if slot_source is not None:
            endpoint_slots.apply_scarce(['svc'])
        return fakes.make_forwarder(
            self.stack,
            state,
            fakes.make_notices(state),
            watch=self.watch,
            endpoint_slots=endpoint_slots,
        )

    def run_job(self, forwarder):
        return forwarder.run(fakes.make_job(fakes.make_route()))

    def sent_count(self):
        return sum(len(e.requests) for e in self.endpoints)

    def end(self, request, reply):
        """Ends the endpoint: it takes no connections any more."""
        for endpoint in self.endpoints:
            if request in endpoint.requests:
                endpoint.server.stop_accepting()
        reply.abort()

    def reset(self, request, reply):
        reply.abort()

    def test_end_of_an_endpoint_is_reported_with_the_key(self):
        self.run_job(self.make_forwarder(self.end))
        (report,) = self.trials.reports
        key = request_keys.key_of(fakes.make_job(fakes.make_route()))
        self.assertEqual(('e0', key), (report.endpoint_id, report.key))
        self.assertFalse(report.is_trial)

    def test_repeat_after_an_end_is_a_trial(self):
        self.run_job(self.make_forwarder(self.end, self.end))
        self.assertEqual(1, len(self.trials.asked))
        self.assertEqual(
            [False, True], [r.is_trial for r in self.trials.reports]
        )
        self.assertEqual([False], [s for _, s in self.trials.ended])

    # Guards against incident BUDGET, where a request that ends servers was
    # sent to one after the other.
    def test_suspect_that_has_to_wait_is_not_sent(self):
        forwarder = self.make_forwarder(fakes.send_matching_response)
        key = request_keys.key_of(fakes.make_job(fakes.make_route()))
        self.watch.apply_suspects([key])
        self.trials.wait_ms = 300
        refusal = self.run_job(forwarder)
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertEqual(300, refusal.retry_after_ms)
        self.assertEqual(0, self.sent_count())

    def run_waiting_job(self, change):
        """Runs a request and applies a change while it waits for a slot.

        :returns: the outcome, and the source of the slot
        """
        source = fakes.FakeSlotSource([slot_messages.SlotAnswer('e0')])
        forwarder = self.make_forwarder(
            fakes.send_matching_response, slot_source=source
        )
        ask = source.ask
        source.ask = lambda *args: change() or ask(*args)
        return self.run_job(forwarder), source

    # Guards against BUDGET: copies that already waited for a slot when the
    # first ones ended endpoints were sent to further ones.
    def test_request_that_becomes_a_suspect_while_it_waits_is_not_sent(self):
        key = request_keys.key_of(fakes.make_job(fakes.make_route()))
        self.trials.wait_ms = 300
        for change in (
            lambda: self.quarantine.apply({key: 300}),
            lambda: self.watch.apply_suspects([key]),
        ):
            with self.subTest(change):
                refusal, source = self.run_waiting_job(change)
                self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
                self.assertAlmostEqual(300, refusal.retry_after_ms, delta=100)
                self.assertEqual(0, self.sent_count())
                self.assertEqual(1, len(source.ended))
                self.quarantine.apply({})

    def test_quarantined_request_is_refused_at_once(self):
        forwarder = self.make_forwarder(fakes.send_matching_response)
        key = request_keys.key_of(fakes.make_job(fakes.make_route()))
        self.quarantine.apply({key: 60_000})
        refusal = self.run_job(forwarder)
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 50_000)
        self.assertEqual(0, self.sent_count())

    def test_suspect_that_is_answered_is_reported_as_survivor(self):
        forwarder = self.make_forwarder(fakes.send_matching_response)
        key = request_keys.key_of(fakes.make_job(fakes.make_route()))
        self.watch.apply_suspects([key])
        self.assertEqual(200, self.run_job(forwarder).status)
        self.assertEqual([(key, True)], self.trials.ended)

    def test_refusal_after_an_end_does_not_promise_that_it_was_not_run(self):
        forwarder = self.make_forwarder(self.end, self.end)
        self.trials.wait_ms = 300
        refusal = self.run_job(forwarder)
        self.assertIs(ports.Reason.UNKNOWN, refusal.reason)
        self.assertEqual(1, self.sent_count())

    def test_lost_answer_is_no_end(self):
        self.run_job(self.make_forwarder(self.reset, self.reset))
        self.assertEqual([], self.trials.reports)

    def test_other_requests_are_not_asked_about(self):
        forwarder = self.make_forwarder(fakes.send_matching_response)
        self.watch.apply_suspects(['request:another'])
        self.assertEqual(200, self.run_job(forwarder).status)
        self.assertEqual([], self.trials.asked)

    def test_host_without_a_leader_refuses_after_three_ends(self):
        self.trials.is_reachable = False
        statuses = []
        for _ in range(4):
            forwarder = self.make_forwarder(self.end, self.end)
            statuses.append(self.run_job(forwarder).reason)
        self.assertEqual(3, len(self.trials.reports))
        self.assertIs(ports.Reason.NOT_RUN, statuses[-1])

    def test_recent_ends_are_told_with_their_age(self):
        self.run_job(self.make_forwarder(self.end))
        (report,) = self.watch.recent_ends()
        self.assertGreaterEqual(report.age_ms, 1)
