"""Tests that orders are sent only while this replica leads."""

import functools
import unittest

from masticquay_coordination import errors
from masticquay_coordination import orders
from masticquay_routing import balances
from masticquay_routing import endpoint_notices
from masticquay_wire import clocks
from tests import fakes

TERM = 5


class FakeNode:
    """A replica whose term and lease a test sets."""

    def __init__(self):
        self.current_term = TERM
        self.lease_ms = 500

    def term(self):
        return self.current_term

    def lease_remaining_ms(self):
        return self.lease_ms


class OrderSenderTest(unittest.TestCase):
    def setUp(self):
        self.node = FakeNode()
        self.engine_orders = fakes.FakeEngineOrders()
        self.clock = clocks.ManualClock(1_000)
        self.sender = orders.OrderSender(
            self.node, 'c1', self.engine_orders, self.clock
        )
        engine = fakes.make_engines(1, 0)[0]
        self.order = balances.RoleOrder(engine, 'decode')

    def test_term_is_the_fencing_number_of_an_order(self):
        self.assertTrue(self.sender.send(self.order, TERM))
        self.assertEqual(
            [('e0', 'decode', 'c1', TERM)], self.engine_orders.sent
        )

    def test_leader_of_an_earlier_term_sends_no_order(self):
        self.node.current_term = TERM + 1
        self.assertFalse(self.sender.send(self.order, TERM))
        self.assertEqual([], self.engine_orders.sent)

    def test_no_order_is_sent_when_the_lease_is_about_to_end(self):
        """The lease of a suspended leader has ended when it resumes."""
        self.node.lease_ms = 0
        self.assertFalse(self.sender.send(self.order, TERM))
        self.assertEqual([], self.engine_orders.sent)

    # Guards against orders of a leader that was suspended behind its check.
    def test_no_order_is_sent_when_leadership_ended_while_engine_reports(self):
        for name, value in (('lease_ms', 0), ('current_term', TERM + 1)):
            with self.subTest(name):
                self.node = FakeNode()
                self.sender = orders.OrderSender(
                    self.node, 'c1', self.engine_orders, self.clock
                )
                self.engine_orders.on_wait = functools.partial(
                    setattr, self.node, name, value
                )
                self.assertFalse(self.sender.send(self.order, TERM))
                self.assertEqual([], self.engine_orders.sent)

    def test_engine_that_wants_a_pause_gets_no_order_meanwhile(self):
        self.engine_orders.error = errors.OrderError('status 503', 2_000)
        self.assertFalse(self.sender.send(self.order, TERM))
        self.engine_orders.error = None
        self.clock.advance_ms(1_900)
        self.assertFalse(self.sender.send(self.order, TERM))
        self.assertEqual([], self.engine_orders.sent)
        self.clock.advance_ms(100 + endpoint_notices.MAX_SPREAD_MS)
        self.assertTrue(self.sender.send(self.order, TERM))
