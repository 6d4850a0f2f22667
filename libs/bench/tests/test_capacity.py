"""Tests of the capacity page."""

import json
import pathlib
import tempfile
import unittest

from masticquay_bench import bench_slopes
from masticquay_bench import capacity
from masticquay_bench import capacity_pages
from masticquay_bench import errors
from masticquay_bench import results
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

    def test_the_leader_is_drawn_as_a_line(self):
        measured = capacity.Slopes(
            [
                slope('control_leader_core_share_9', 0.01),
                slope('control_leader_core_share_150', 0.02),
            ]
        )
        model = capacity.Model(measured, targets.Sizes())
        self.assertAlmostEqual(0.03, model.leader_core_share(291))
        self.assertAlmostEqual(291, model.largest_fleet(0.03))

    def test_a_bench_result_gives_its_slopes(self):
        context = {'command': 'run', 'seed': '1', 'commit': 'abc'}
        result = results.Result(context, {'relay.us_per_token': 130.0})
        found = bench_slopes.take(result)
        self.assertEqual(['relay_us_per_token'], [s.name for s in found])
        self.assertEqual(130.0, found[0].value)
