"""Tests of the comparison of usage with the callers' records."""

import unittest

from masticquay_bench import calls
from masticquay_bench import usage_checks
from tests import fixtures


def report(requests, tokens, **facts):
    row = {
        'workspace': 'desk',
        'target': 'm',
        'class': 'standard',
        'requests': requests,
        'prompt_tokens': tokens,
        'output_tokens': 0,
    }
    return {'gaps': [], 'missing_tokens_at_most': 0, 'rows': [row], **facts}


class UsageChecksTest(unittest.TestCase):
    def setUp(self):
        self.calls = [fixtures.completion('c1'), fixtures.completion('c2')]

    def test_an_exact_report_agrees(self):
        self.assertEqual([], usage_checks.check(self.calls, report(2, 24)))

    def test_too_little_without_a_gap_is_found(self):
        self.assertTrue(usage_checks.check(self.calls, report(1, 12)))

    def test_a_gap_covers_no_more_than_its_bound(self):
        for bound, expected in ((12, 0), (11, 1)):
            said = report(
                1, 12, gaps=['entry-0/1'], missing_tokens_at_most=bound
            )
            found = usage_checks.check(self.calls, said)
            self.assertEqual(expected, len(found))

    def test_too_much_is_found_also_with_a_gap(self):
        said = report(2, 25, gaps=['entry-0/1'], missing_tokens_at_most=9)
        self.assertTrue(usage_checks.check(self.calls, said))

    def test_a_call_that_broke_may_have_used_up_to_its_limit(self):
        broken = fixtures.completion('c3', end=calls.END_BROKEN, max_tokens=9)
        recorded = [*self.calls, broken]
        self.assertEqual([], usage_checks.check(recorded, report(3, 43)))
        self.assertTrue(usage_checks.check(recorded, report(3, 44)))

    def test_refusals_are_compared_one_by_one(self):
        refused = fixtures.completion(
            end=calls.END_REFUSED, error_code='over-rate'
        )
        row = {'workspace': 'desk', 'over-rate': 1}
        agree = usage_checks.check_refusals([refused], {'rows': [row]})
        self.assertEqual([], agree)
        self.assertTrue(usage_checks.check_refusals([refused], {'rows': []}))
