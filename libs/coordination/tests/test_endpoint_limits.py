"""Tests of sharing out limits of endpoints, on the leader."""

import unittest

from masticquay_coordination import endpoint_limits
from masticquay_coordination import owners
from masticquay_routing import endpoint_messages
from masticquay_routing import fleets
from masticquay_routing import named_limits
from masticquay_wire import clocks

LIMIT = named_limits.LimitWord('e1', 0, 1.0, 0)


class EndpointLimitsTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock(100_000)
        self.limits = endpoint_limits.EndpointLimits(self.clock)

    def ask(self, host='h1'):
        return self.limits.give_permit(
            endpoint_messages.AskPermit(host, LIMIT)
        )

    def has_room(self):
        return self.limits.has_room('e1', self.clock.now_ms())

    def test_first_question_tells_the_limit_and_gets_no_permit(self):
        """An earlier leader may just have granted what there was."""
        answer = self.ask()
        self.assertFalse(answer.granted)
        self.assertGreater(answer.wait_ms, 0)

    # Guards against hosts that end a limit as they ask for a permit, and
    # against cold limits that outlive the cold.
    def test_cold_endpoint_is_limited_without_a_word_of_it(self):
        word = named_limits.KnownLimits().to_word('e1', self.clock.now_ms())
        ask = endpoint_messages.AskPermit('h1', word)
        self.limits.set_cold({'e1': 2.0})
        self.clock.advance_ms(5_000)
        granted = [self.limits.give_permit(ask).granted for _ in range(20)]
        self.assertLessEqual(sum(granted), 2)
        self.assertGreater(sum(granted), 0)
        self.assertEqual([], self.limits.exchange('h1', []))
        self.limits.set_cold({})
        self.assertTrue(self.limits.give_permit(ask).granted)

    def test_permits_of_all_hosts_come_from_one_bucket(self):
        self.ask()
        self.clock.advance_ms(1_000)
        granted = [self.ask(f'h{n}').granted for n in range(5)]
        self.assertEqual(1, sum(granted))

    def test_hosts_get_the_limit_that_one_host_heard(self):
        self.limits.exchange('h1', [LIMIT])
        words = self.limits.exchange('h2', [])
        self.assertEqual(['e1'], [word.endpoint_id for word in words])
        self.assertEqual({'limits_in_force': 1}, self.limits.gauges())

    # Guards against LIMIT by the leader's own orders to an engine.
    def test_order_counts_with_the_question_before_it(self):
        self.limits.exchange('h1', [LIMIT])
        self.clock.advance_ms(1_000)
        self.assertTrue(self.has_room())
        now_ms = self.clock.now_ms()
        self.limits.charge('e1', now_ms, owners.ORDER_REQUESTS)
        self.clock.advance_ms(1_500)
        self.assertFalse(self.has_room())
        self.clock.advance_ms(1_000)
        self.assertTrue(self.has_room())

    def test_limit_of_an_endpoint_that_is_gone_is_dropped(self):
        self.limits.exchange('h1', [LIMIT])
        self.limits.apply_list([fleets.Endpoint('e2', 's', 'a:1', 'p')])
        self.assertEqual({'limits_in_force': 0}, self.limits.gauges())
        self.assertTrue(self.has_room())
