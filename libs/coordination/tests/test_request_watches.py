"""Tests of requests that end endpoints, on the leader."""

import unittest

from masticquay_coordination import request_watches
from masticquay_routing import endpoint_messages
from masticquay_wire import clocks

KEY = 'request:1'


class RequestWatchTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock(100_000)
        self.watch = request_watches.RequestWatch(self.clock)

    def end(self, number, is_trial=True, age_ms=0):
        self.clock.advance_ms(1_000)
        self.watch.record_end(
            endpoint_messages.EndedUnderRequest(
                'h1', f'e{number}', KEY, is_trial, age_ms
            )
        )

    def wait_ms(self):
        return self.watch.begin_trial(
            endpoint_messages.AskTrial('h2', KEY)
        ).wait_ms

    # Guards against incident BUDGET, where a request that ends servers was
    # sent to one after the other.
    def test_request_is_refused_by_all_after_an_end_and_two_trials(self):
        self.end(1, is_trial=False)
        for number in (2, 3):
            self.assertEqual([KEY], self.watch.suspects())
            self.assertEqual(0, self.wait_ms())
            self.end(number)
            ended = endpoint_messages.TrialEnded('h2', KEY, False)
            self.watch.end_trial(ended)
        self.assertEqual([KEY], list(self.watch.quarantined()))
        self.assertGreater(self.wait_ms(), 0)
        self.assertEqual([], self.watch.suspects())

    def test_trial_that_survives_clears_the_request(self):
        self.end(1, is_trial=False)
        self.wait_ms()
        self.watch.end_trial(endpoint_messages.TrialEnded('h2', KEY, True))
        self.assertEqual([], self.watch.suspects())
        self.assertEqual(0, self.wait_ms())
        self.assertEqual(0, self.wait_ms())

    def test_next_leader_goes_on_from_what_hosts_tell(self):
        """The leader is killed between the second and the third end."""
        self.watch = request_watches.RequestWatch(self.clock)
        self.end(1, is_trial=False, age_ms=5_000)
        self.end(2, age_ms=4_000)
        self.assertEqual(0, self.wait_ms())
        self.end(3)
        self.assertEqual([KEY], list(self.watch.quarantined()))

    def test_next_leader_takes_over_what_hosts_refuse(self):
        self.watch.adopt({KEY: 60_000})
        self.assertGreater(self.wait_ms(), 50_000)

    def test_end_that_is_told_twice_counts_once(self):
        self.end(1, is_trial=False)
        self.end(2)
        self.end(2, age_ms=1_000)
        self.assertEqual({}, self.watch.quarantined())
