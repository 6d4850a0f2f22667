"""Tests of the choice of the replica to renew at."""

import unittest

from masticquay_membership import replica_choices
from masticquay_wire import peers

ADDRESSES = [peers.Address('127.0.0.1', port) for port in (1, 2, 3)]


class ReplicaChoiceTest(unittest.TestCase):
    def setUp(self):
        self.choice = replica_choices.ReplicaChoice(ADDRESSES)

    def test_replicas_are_chosen_in_turn(self):
        chosen = []
        for _ in range(4):
            chosen.append(self.choice.address.port)
            self.choice.advance()
        self.assertEqual([1, 2, 3, 1], chosen)

    def test_one_round_without_answer_is_quick_and_later_ones_are_not(self):
        delays_ms = [self.choice.record_silence() for _ in range(4)]
        self.assertEqual([100, 100, 500, 500], delays_ms)
        self.choice.record_answer(leader_known=False)
        self.assertEqual(100, self.choice.record_silence())

    def test_replica_without_a_leader_is_left_after_some_renewals(self):
        leave = [
            self.choice.record_answer(leader_known=False) for _ in range(6)
        ]
        self.assertEqual([False] * 4 + [True, False], leave)
