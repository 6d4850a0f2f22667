"""Tests of the retry budget."""

import unittest

from masticquay_scheduling import budgets
from masticquay_wire import clocks


class RetryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.budget = budgets.RetryBudget(self.clock, percent=10, reserve=2)

    def take_all(self):
        count = 0
        while self.budget.take():
            count += 1
        return count

    def test_without_successes_only_the_reserve_is_allowed(self):
        self.assertEqual(2, self.take_all())
        self.assertEqual(1, self.budget.refused_count)

    def test_successes_earn_a_share_of_retries(self):
        self.take_all()
        for _ in range(100):
            self.budget.record_success()
        self.assertIn(self.take_all(), (9, 10))

    def test_savings_are_bounded(self):
        for _ in range(10_000):
            self.budget.record_success()
        self.assertLessEqual(self.take_all(), 12)

    def test_the_reserve_comes_back_with_time(self):
        self.take_all()
        self.clock.advance_ms(budgets.WINDOW_MS)
        self.assertEqual(2, self.take_all())
