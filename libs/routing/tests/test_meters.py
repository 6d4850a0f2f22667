"""Tests of the rate limits of workspaces."""

import unittest

from masticquay_routing import meters

RATE = 1_000.0
BURST = 2_000.0


class TokenBucketTest(unittest.TestCase):
    def test_empty_bucket_refills_at_the_rate(self):
        bucket = meters.TokenBucket(RATE, BURST, 0)
        bucket.charge(BURST, 0)
        self.assertFalse(bucket.allows(500, 0))
        self.assertEqual(501, bucket.wait_ms(500, 0))
        self.assertTrue(bucket.allows(500, 501))

    def test_cost_above_the_burst_is_allowed_when_full(self):
        bucket = meters.TokenBucket(RATE, BURST, 0)
        self.assertTrue(bucket.allows(BURST * 2, 0))
        bucket.charge(BURST * 2, 0)
        self.assertFalse(bucket.allows(1, 1_000))

    def test_refused_callers_return_one_after_the_other(self):
        """Load pattern: a workspace sends many times its rate for a while."""
        bucket = meters.TokenBucket(RATE, BURST, 0)
        bucket.charge(BURST, 0)
        returns_ms = [bucket.plan_return_ms(500, 0) for _ in range(4)]
        self.assertEqual([501, 1_001, 1_501, 2_001], returns_ms)

    def test_refused_callers_return_within_the_maximum(self):
        bucket = meters.TokenBucket(RATE, BURST, 0)
        bucket.charge(BURST, 0)
        returns_ms = [bucket.plan_return_ms(500, 0) for _ in range(50)]
        self.assertEqual(meters.MAX_RETURN_MS, max(returns_ms))

    def test_caller_refused_after_a_pause_returns_soon(self):
        bucket = meters.TokenBucket(RATE, BURST, 0)
        bucket.charge(BURST, 0)
        bucket.plan_return_ms(500, 0)
        bucket.charge(BURST, 60_000)
        self.assertEqual(501, bucket.plan_return_ms(500, 60_000))

    def test_lower_limit_applies_immediately(self):
        bucket = meters.TokenBucket(RATE, BURST, 0)
        bucket.set_limit(10.0, 100.0, 0)
        self.assertTrue(bucket.allows(100, 0))
        bucket.charge(100, 0)
        self.assertFalse(bucket.allows(100, 5_000))

    def test_backward_clock_step_refills_nothing(self):
        bucket = meters.TokenBucket(RATE, BURST, 10_000)
        bucket.charge(BURST, 10_000)
        self.assertFalse(bucket.allows(1, 5_000))


class RateLimiterTest(unittest.TestCase):
    def test_busy_workspace_does_not_affect_others(self):
        limiter = meters.RateLimiter()
        limiter.set_limits({'hot': (RATE, BURST), 'calm': (RATE, BURST)}, 0)
        allowed_count = sum(
            not limiter.charge_if_allowed('hot', 100, 0) for _ in range(200)
        )
        self.assertEqual(BURST / 100, allowed_count)
        self.assertEqual(0, limiter.charge_if_allowed('calm', 100, 0))

    def test_workspace_over_its_burst_is_exhausted_until_refilled(self):
        limiter = meters.RateLimiter()
        limiter.set_limits({'w': (RATE, BURST)}, 0)
        limiter.charge('w', BURST + 500, 0)
        self.assertEqual({'w': 502}, limiter.exhausted(0))
        self.assertEqual({}, limiter.exhausted(600))

    def test_shares_of_disconnected_hosts_stay_within_the_limit(self):
        host_count = 6
        total = 0
        for _host in range(host_count):
            host_limiter = meters.RateLimiter(share=0.5 / host_count)
            host_limiter.set_limits({'w': (RATE, BURST)}, 0)
            for now_ms in range(0, 8_000, 10):
                if not host_limiter.charge_if_allowed('w', 10, now_ms):
                    total += 10
        self.assertLessEqual(total, RATE * 8 + BURST)

    def test_request_of_a_workspace_without_limit_is_allowed(self):
        limiter = meters.RateLimiter()
        limiter.set_limits({}, 0)
        self.assertEqual(0, limiter.charge_if_allowed('w', 1e9, 0))
