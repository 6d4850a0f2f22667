"""Tests of the bench of the log, with few commands."""

import pathlib
import tempfile
import unittest

from masticquay_bench import consensus_benches


class GroupTest(unittest.TestCase):
    def test_a_group_commits_over_the_loss_of_its_leader(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        with consensus_benches.Group(3, pathlib.Path(folder.name)) as group:
            leader = group.find_leader()
            self.assertEqual(10, len(group.commit_many(leader, 10)))
            group.processes[leader].kill()
            other = group.find_leader()
            self.assertNotEqual(leader, other)
            index = group.meters(other).applied_index
            group.processes[leader].start()
            group.wait_applied(leader, index)
