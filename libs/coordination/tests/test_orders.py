"""Tests of giving orders only while leading."""

import unittest

from masticquay_coordination import orders
from masticquay_routing import balances
from tests import fakes

TERM = 5


class FakeNode:
    """A replica whose lead a test sets."""

    def __init__(self):
        self.current_term = TERM
        self.lease_ms = 500

    def term(self):
        return self.current_term

    def lease_remaining_ms(self):
        return self.lease_ms


class OrderGiverTest(unittest.TestCase):
    def setUp(self):
        self.node = FakeNode()
        self.orders = fakes.FakeOrders()
        self.giver = orders.OrderGiver(self.node, 'c1', self.orders)
        engine = fakes.make_engines(1, 0)[0]
        self.order = balances.RoleOrder(engine, 'decode')

    def test_order_carries_the_term_as_fence(self):
        self.assertTrue(self.giver.give(self.order, TERM))
        self.assertEqual([('e0', 'decode', 'c1', TERM)], self.orders.given)

    def test_leader_that_was_deposed_gives_none(self):
        self.node.current_term = TERM + 1
        self.assertFalse(self.giver.give(self.order, TERM))
        self.assertEqual([], self.orders.given)

    def test_lease_about_to_end_gives_none(self):
        """A leader that was suspended wakes with its lease run out."""
        self.node.lease_ms = 0
        self.assertFalse(self.giver.give(self.order, TERM))
        self.assertEqual([], self.orders.given)
