"""Tests of results, bounds and reports."""

import pathlib
import tempfile
import unittest

from masticquay_bench import errors
from masticquay_bench import reports
from masticquay_bench import results
from masticquay_bench import summaries
from tests import fixtures


class ResultsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.bounds = [results.Bound('a.x', 'the target', most=10)]

    def result(self, value):
        histograms = summaries.make_histograms([fixtures.completion()])
        return results.Result({'seed': '1'}, {'a.x': value}, histograms)

    def test_a_value_outside_its_bound_is_found(self):
        self.assertEqual([], results.find_misses(self.result(9), self.bounds))
        missed = results.find_misses(self.result(11), self.bounds)
        self.assertIn('the target', missed[0])

    def test_what_was_not_measured_is_said(self):
        empty = results.Result({})
        self.assertEqual(['a.x'], results.find_unmeasured(empty, self.bounds))
        page = reports.render_markdown(empty, self.bounds)
        self.assertIn('| a.x | not run |', page)

    def test_a_worse_value_than_earlier_is_found(self):
        earlier = self.result(5)
        worse = results.compare(self.result(6), earlier, self.bounds)
        self.assertEqual(1, len(worse))
        better = results.compare(self.result(4), earlier, self.bounds)
        self.assertEqual([], better)

    def test_results_are_read_back_and_plotted(self):
        path = self.folder / 'result.json'
        self.result(3).write(path)
        again = results.Result.read(path)
        self.assertEqual({'a.x': 3}, again.metrics)
        reports.plot_latencies(again, self.folder / 'plot.png')
        self.assertTrue((self.folder / 'plot.png').stat().st_size)

    def test_the_shipped_bounds_are_well_formed(self):
        self.assertTrue(results.load_bounds())

    def test_a_bound_without_limit_is_refused(self):
        path = self.folder / 'bounds.yaml'
        path.write_text('- {metric: a, target: "a stated target"}')
        with self.assertRaisesRegex(errors.WorkloadError, 'no limit'):
            results.load_bounds(path)
