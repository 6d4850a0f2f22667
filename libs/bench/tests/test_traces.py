"""Tests of traces."""

import unittest

from masticquay_bench import errors
from masticquay_bench import traces

SHORT = """
name: short
deployment: kalamu
duration_s: 20
rate_per_s: 30
"""


class TracesTest(unittest.TestCase):
    def test_a_seed_gives_the_same_arrivals(self):
        trace = traces.parse(SHORT)
        first, again = trace.arrivals(7), trace.arrivals(7)
        self.assertEqual(
            [(a.at_ms, a.workspace, a.kind) for a in first],
            [(a.at_ms, a.workspace, a.kind) for a in again],
        )
        self.assertNotEqual(
            [a.at_ms for a in first], [a.at_ms for a in trace.arrivals(8)]
        )

    def test_a_surge_multiplies_one_workspace(self):
        surge = '{workspace: thesis-desk, from_s: 0, to_s: 20, factor: 5}'
        calm = traces.parse(SHORT).arrivals(1)
        high = traces.parse(SHORT + f'surges: [{surge}]').arrivals(1)

        def count(arrivals, workspace):
            return sum(a.workspace == workspace for a in arrivals)

        before = count(calm, 'thesis-desk')
        self.assertGreater(count(high, 'thesis-desk'), 3 * before)
        before = count(calm, 'nairobi-proofs')
        self.assertEqual(before, count(high, 'nairobi-proofs'))

    def test_unknown_keys_are_named(self):
        with self.assertRaisesRegex(errors.WorkloadError, 'speed'):
            traces.parse(SHORT + 'speed: 3')

    def test_every_shipped_trace_is_well_formed(self):
        names = traces.list_names()
        self.assertGreaterEqual(len(names), 8)
        for name in names:
            trace = traces.load(name)
            self.assertEqual(name, trace.name)
            self.assertTrue(trace.values['outcomes'])
            self.assertTrue(trace.arrivals(1))
