"""Tests of the bounds on log lines."""

import logging
import unittest

from masticquay_serving import logs


def make_record(message):
    """Returns a record as a logger makes it."""
    return logging.LogRecord('n', logging.INFO, 'p', 1, message, None, None)


class CauseLimitTest(unittest.TestCase):
    def test_one_cause_is_bounded_and_others_pass(self):
        limit = logs.CauseLimit(lines=3)
        passed = [limit.filter(make_record('served')) for _ in range(10)]
        self.assertEqual(3, sum(passed))
        self.assertTrue(limit.filter(make_record('refused')))
