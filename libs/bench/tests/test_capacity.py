"""Tests of the capacity page."""

import json
import pathlib
import tempfile
import unittest

from masticquay_bench import capacity
from masticquay_bench import capacity_pages
from masticquay_bench import errors
from masticquay_bench import slopes
from masticquay_bench import targets


def slope(name, value):
    return slopes.Slope(name, value, 'us', 'command', 1, 'abc')


class CapacityTest(unittest.TestCase):
    def render(self, *found):
        measured = capacity.Slopes(list(found))
        model = capacity.Model(measured, targets.Sizes())
        return capacity_pages.render(model, measured.all())

    def test_a_missing_slope_is_said_to_be_so(self):
        page = self.render()
        self.assertIn('relay of a token: not measured', page)
        self.assertNotIn('None', page)

    def test_what_is_over_its_limit_is_said_plainly(self):
        over = self.render(slope('relay_us_per_token', 120))
        self.assertIn('relay of a token: 120.0 us, OVER', over)
        within = self.render(slope('relay_us_per_token', 90))
        self.assertIn('relay of a token: 90.0 us, within', within)

    def test_the_entry_host_is_summed_from_its_slopes(self):
        measured = capacity.Slopes(
            [
                slope('relay_us_per_token', 100),
                slope('entry_us_per_request', 0),
            ]
        )
        model = capacity.Model(measured, targets.Sizes())
        self.assertAlmostEqual(0.3, model.entry_core_share())

    def test_slopes_are_read_from_all_files(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            values = [slope('a', 1).to_wire()]
            (folder / 'a.json').write_text(json.dumps(values))
            found = capacity.read_slopes(folder)
            self.assertEqual(1, found.value('a'))
            (folder / 'b.json').write_text('[{}]')
            with self.assertRaises(errors.WorkloadError):
                capacity.read_slopes(folder)
