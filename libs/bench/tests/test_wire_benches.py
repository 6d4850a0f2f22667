"""Tests of the bench of links, with few calls."""

import unittest

from masticquay_bench import wire_benches


class LinkHostTest(unittest.TestCase):
    def test_each_compression_is_answered_and_measured(self):
        for compression in wire_benches.COMPRESSIONS:
            found = wire_benches.measure_calls(compression, quick=True)
            self.assertEqual(6, len(found))
            for measured in found:
                self.assertGreater(measured.value, 0)
                self.assertIn(compression, measured.name)
