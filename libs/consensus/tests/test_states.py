"""Tests of the state of a replica."""

import random
import types
import unittest

from masticquay_consensus import settings
from masticquay_consensus import states
from masticquay_wire import clocks

SNAPSHOT_INDEX = 4


class CaughtUpTest(unittest.TestCase):
    def setUp(self):
        self.terms = {4: 1, 5: 1, 6: 1, 7: 2}
        store = types.SimpleNamespace(
            replica_id='r1',
            term=2,
            snapshot_index=SNAPSHOT_INDEX,
            raft_log=types.SimpleNamespace(term_at=self.terms.get),
        )
        self.state = states.State(
            store,
            settings.Settings(),
            clocks.ManualClock(0),
            random.Random(1),
        )

    def hear(self, index):
        with self.state.lock:
            self.state.commit(index)
            self.state.note_commits(index)
            self.state.applied_index = index
        return self.state.has_caught_up

    # Guards against a table that was replaced before the restart: a leader
    # with a newer snapshot tells of more than this one's, and not yet of all.
    def test_replica_has_caught_up_once_the_leader_committed_an_entry(self):
        self.assertFalse(self.state.has_caught_up)
        self.assertFalse(self.hear(5))
        self.assertTrue(self.hear(7))

    def test_replica_that_has_yet_to_apply_has_not_caught_up(self):
        self.hear(7)
        self.state.applied_index = 6
        self.assertFalse(self.state.has_caught_up)
