"""Seeded runs of replicas under faults."""

import unittest

from tests import simulations

SEEDS = 200


class ReplicasTest(unittest.TestCase):
    def test_seeded_runs_keep_the_rules(self):
        commands = leaders = wiped = handed_over = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                world = simulations.run_seed(seed)
                commands += len(world.acknowledged)
                leaders += len(world.leaders)
                wiped += world.wiped_count
                handed_over += world.handed_over
        # The runs must exercise what they check.
        self.assertGreater(commands, 10 * SEEDS)
        self.assertGreater(leaders, SEEDS)
        self.assertGreater(wiped, SEEDS / 10)
        self.assertGreater(handed_over, SEEDS / 10)
