"""Tests of regions."""

import unittest

from masticquay_routing import regions


class RegionsTest(unittest.TestCase):
    def setUp(self):
        self.regions = regions.Regions({'p1': 'r1', 'p2': 'r2'})

    def test_all_lists_bind(self):
        """Those of the route and of the workspace."""
        both = ['r1', 'r2']
        self.assertTrue(self.regions.allows('p1', [both, ['r1']]))
        self.assertFalse(self.regions.allows('p2', [both, ['r1']]))
        self.assertFalse(self.regions.allows('p1', [['r1'], ['r2']]))

    def test_unknown_place_is_in_no_region(self):
        self.assertFalse(self.regions.allows('p3', [['r1', 'r2']]))
        self.assertTrue(self.regions.allows('p3', []))

    def test_regions_without_a_place_are_found(self):
        self.assertEqual(['r3'], self.regions.find_empty(['r3', 'r1', 'r3']))
