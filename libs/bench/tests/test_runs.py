"""Tests of the marks that a run keeps."""

import unittest

from masticquay_bench import runs


class QuietFleet:
    """A fleet that takes a platform list and does nothing."""

    def list_endpoints(self, leaving):
        self.leaving = leaving


class RunTest(unittest.TestCase):
    def test_an_endpoint_that_leaves_twice_has_two_marks(self):
        run = runs.Run(QuietFleet())
        for names in ({'e'}, set(), {'e'}, set()):
            run.list_leaving(names)
        first, second = run.marks
        self.assertTrue(first.end_ms)
        self.assertLessEqual(first.end_ms, second.begin_ms)
        self.assertLess(second.begin_ms, second.end_ms)

    def test_endpoints_still_listed_go_on_leaving(self):
        run = runs.Run(QuietFleet())
        run.list_leaving({'e', 'f'})
        run.list_leaving({'e'})
        ended = {mark.subject: bool(mark.end_ms) for mark in run.marks}
        self.assertEqual({'e': False, 'f': True}, ended)
