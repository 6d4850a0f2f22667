"""Tests of what a host that stops still begins."""

import types
import unittest
from unittest import mock

from masticquay_gateway import drains

GRACE_MS = 8_000
ROUTE_TIMEOUT_MS = 14_000


class DrainTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 1_000.0
        patcher = mock.patch.object(
            drains.time, 'monotonic', side_effect=lambda: self.now_s
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.drain = drains.Drain(GRACE_MS)

    def is_begun(self, remaining_ms=ROUTE_TIMEOUT_MS, route='r'):
        """Whether a request is begun now."""
        job = types.SimpleNamespace(
            route=types.SimpleNamespace(name=route), remaining_ms=remaining_ms
        )
        return self.drain.refuse_unfinishable(job) is None

    def begin_and_wait(self, wait_ms):
        self.drain.begin()
        self.now_s += wait_ms / 1_000

    def test_host_that_does_not_stop_begins_every_request(self):
        self.assertTrue(self.is_begun())
        self.assertFalse(self.drain.has_begun)

    # Guards against LOST: streams of some six seconds that a host had taken
    # after SIGTERM were cut at the end of its grace period.
    def test_request_that_would_be_cut_is_refused(self):
        for _request in range(10):
            self.drain.durations.add('r', 6_000)
        self.begin_and_wait(1_000)
        self.assertTrue(self.is_begun())
        self.now_s += 1.0
        self.assertFalse(self.is_begun())

    def test_refusal_says_that_the_request_was_not_run(self):
        self.begin_and_wait(0)
        job = types.SimpleNamespace(
            route=types.SimpleNamespace(name='r'),
            remaining_ms=ROUTE_TIMEOUT_MS,
        )
        refusal = self.drain.refuse_unfinishable(job)
        self.assertTrue(refusal.reason.promises_not_run)
        self.assertEqual(drains.RETRY_AFTER_MS, refusal.retry_after_ms)

    def test_request_of_a_route_never_used_needs_its_timeout(self):
        self.begin_and_wait(0)
        self.assertFalse(self.is_begun())
        self.assertTrue(self.is_begun(remaining_ms=1_500))

    def test_request_whose_deadline_comes_before_the_cut_is_begun(self):
        self.drain.durations.add('r', 60_000)
        self.begin_and_wait(5_000)
        self.assertTrue(self.is_begun(remaining_ms=2_000))
        self.assertFalse(self.is_begun(remaining_ms=2_600))

    def test_rare_long_request_counts_once_callers_can_know(self):
        for _request in range(20):
            self.drain.durations.add('r', 1_000)
        self.drain.durations.add('r', 6_000)
        self.begin_and_wait(drains.ACCEPT_MS - 1)
        self.assertTrue(self.is_begun())
        self.now_s += 0.002
        self.assertFalse(self.is_begun())

    # Guards against LOST: a route that had become slow was judged by its
    # earlier requests; those that came late were begun and cut.
    def test_earlier_requests_tell_nothing_once_callers_can_know(self):
        for _request in range(drains.KEPT_DURATIONS):
            self.drain.durations.add('r', 50)
        self.begin_and_wait(drains.ACCEPT_MS - 1)
        self.assertTrue(self.is_begun())
        self.now_s += 0.002
        self.assertFalse(self.is_begun())
        self.assertTrue(self.is_begun(remaining_ms=600))

    def test_second_signal_does_not_begin_the_grace_period_anew(self):
        self.begin_and_wait(1_000)
        left_ms = self.drain.remaining_ms
        self.drain.begin()
        self.assertEqual(left_ms, self.drain.remaining_ms)

    def test_old_durations_are_forgotten(self):
        self.drain.durations.add('r', 60_000)
        for _request in range(drains.KEPT_DURATIONS):
            self.drain.durations.add('r', 100)
        self.assertEqual(100, self.drain.durations.within('r', 1.0))

    def test_short_grace_period_is_used_by_its_share(self):
        drain = drains.Drain(1_000)
        drain.begin()
        self.assertEqual(850, drain.remaining_ms)
