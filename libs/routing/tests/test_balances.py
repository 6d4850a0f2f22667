"""Tests of the split into prefill and decode engines."""

import unittest

from masticquay_routing import balances
from masticquay_routing import fleets
from tests import builders

SWITCH_MS = 6_000


class RoleBalancerTest(unittest.TestCase):
    def setUp(self):
        self.balancer = balances.RoleBalancer()

    def plan(self, pool, now_ms):
        return self.balancer.plan(pool, now_ms, SWITCH_MS)

    def test_surplus_prefill_engines_switch_before_traffic(self):
        pool = builders.make_pool(prefills=3, decodes=3)
        self.plan(pool, 0)
        orders = self.plan(pool, balances.STARTUP_DELAY_MS)
        self.assertEqual(2, len(orders))
        self.assertEqual({fleets.ROLE_DECODE}, {o.role for o in orders})

    def test_no_order_while_the_list_grows(self):
        pool = builders.make_pool(prefills=0, decodes=2)
        self.assertEqual([], self.plan(pool, 0))
        pool.set_engines(
            [
                builders.make_engine(n, fleets.ROLE_PREFILL if n < 3 else 'x')
                for n in range(4)
            ],
            builders.MEMORY_TOKENS,
            builders.SLOTS,
        )
        self.assertEqual([], self.plan(pool, 3_900))

    def test_no_order_is_planned_twice(self):
        pool = builders.make_pool(prefills=3, decodes=3)
        self.plan(pool, 0)
        self.assertNotEqual([], self.plan(pool, 4_000))
        self.assertEqual([], self.plan(pool, 4_300))

    def test_lost_prefill_engine_is_replaced(self):
        """All prefill engines are lost: a decode engine changes its role."""
        pool = builders.make_pool(prefills=0, decodes=5)
        self.plan(pool, 0)
        orders = self.plan(pool, 4_000)
        self.assertEqual([fleets.ROLE_PREFILL], [o.role for o in orders])

    # Guards against LOST: the last decode engine of a software version took
    # another role, and its streams could go on nowhere.
    def test_last_decode_engine_of_a_version_keeps_its_role(self):
        pool = builders.make_pool(prefills=0, decodes=5)
        versions = ['v1', 'v2', 'v2', 'v2', 'v2']
        for engine, version in zip(
            pool.engines.values(), versions, strict=True
        ):
            engine.endpoint.software_version = version
            engine.reserved_tokens = 100 if version == 'v2' else 0
        self.plan(pool, 0)
        orders = self.plan(pool, 4_000)
        self.assertEqual(['v2'], [o.endpoint.software_version for o in orders])

    def test_short_outage_of_a_prefill_engine_changes_no_role(self):
        """A role change takes longer than an outage of a few seconds."""
        pool = builders.make_pool(prefills=1, decodes=5)
        self.plan(pool, 0)
        for now_ms in (10_000, 10_100):
            pool.record_failure('e0', now_ms, reached=False)
        self.assertFalse(pool.engines['e0'].is_usable(10_200))
        self.assertEqual([], self.plan(pool, 10_200))
        self.assertEqual([], self.plan(pool, 13_900))
        self.plan(pool, 14_200)
        orders = self.plan(pool, 16_000)
        self.assertEqual([fleets.ROLE_PREFILL], [o.role for o in orders])

    def test_long_prompts_add_a_prefill_engine(self):
        """The load shifts permanently from long answers to long prompts."""
        pool = builders.make_pool(prefills=1, decodes=5)
        self.plan(pool, 0)
        for now_ms in range(0, 10_000, 100):
            self.balancer.record_prompt(5_000, now_ms)
        orders = self.plan(pool, 10_000)
        self.assertEqual([fleets.ROLE_PREFILL], [o.role for o in orders])

    def test_no_decode_engine_switches_while_memory_is_short(self):
        pool = builders.make_pool(prefills=1, decodes=5)
        self.plan(pool, 0)
        for number in range(40):
            pool.adopt(('host', number), f'e{1 + number % 5}', 2_000, 1_000)
        for now_ms in range(0, 10_000, 100):
            self.balancer.record_prompt(5_000, now_ms)
        self.assertEqual([], self.plan(pool, 10_000))

    def test_short_burst_changes_no_role(self):
        """A role change takes longer than the burst."""
        pool = builders.make_pool(prefills=1, decodes=5)
        self.plan(pool, 0)
        for now_ms in range(8_000, 9_000, 50):
            self.balancer.record_prompt(3_000, now_ms)
        self.assertEqual([], self.plan(pool, 9_000))

    def test_last_decode_engine_never_switches(self):
        pool = builders.make_pool(prefills=0, decodes=1)
        self.plan(pool, 0)
        self.assertEqual([], self.plan(pool, 5_000))
