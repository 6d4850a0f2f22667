"""Tests of replicas in seeded simulations with faults."""

import unittest

from tests import simulations

SEEDS = 200


class ReplicasTest(unittest.TestCase):
    def test_replicas_keep_raft_invariants_under_simulated_faults(self):
        commands = elected = wiped = handovers = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = simulations.run_seed(seed)
                commands += len(simulation.acknowledged)
                elected += len(simulation.invariants.leader_by_term)
                wiped += simulation.wiped_count
                handovers += simulation.handover_count
        # Enough commands, elections, lost disks and leadership transfers must
        # have occurred for the invariants to be tested.
        self.assertGreater(commands, 10 * SEEDS)
        self.assertGreater(elected, SEEDS)
        self.assertGreater(wiped, SEEDS / 10)
        self.assertGreater(handovers, SEEDS / 10)
