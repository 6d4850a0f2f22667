"""Tests of updates that come late, twice or in another order."""

import random
import unittest

from masticquay_membership import messages as membership
from masticquay_membership import states

CHANGES = 40
SEEDS = 200


def make_update(start, end, snapshot=False):
    """Makes an update whose content follows from its indexes."""
    first = 0 if snapshot else start
    return membership.StateUpdate(
        first,
        end,
        snapshot,
        [],
        [
            membership.WithdrawalChange(index, f'key {index}')
            for index in range(first + 1, end + 1)
        ],
        [membership.ViewChange(end, membership.View(end, []))],
        [membership.EndpointsChange(end, [f'e{end}'])],
    )


class StateHolderTest(unittest.TestCase):
    def test_index_never_falls_and_nothing_is_missing(self):
        for seed in range(SEEDS):
            self.run_seed(seed)

    def run_seed(self, seed):
        chance = random.Random(seed)
        holder = states.StateHolder()
        seen = []
        holder.add_listener(lambda old, new: seen.append(new.applied_index))
        while holder.state.applied_index < CHANGES:
            start = chance.randrange(CHANGES)
            end = chance.randint(start + 1, CHANGES)
            update = make_update(start, end, chance.random() < 0.1)
            before = holder.state.applied_index
            whole = holder.apply(update)
            state = holder.state
            self.assertEqual(whole, state.applied_index >= end, f'seed {seed}')
            self.assertGreaterEqual(state.applied_index, before)
            self.assertEqual(state.applied_index, len(state.withdrawn))
            self.assertEqual(state.applied_index, state.view.number)
        self.assertEqual(sorted(set(seen)), seen, f'seed {seed}')

    def test_adopted_view_number_never_falls(self):
        holder = states.StateHolder()
        for number in (3, 1, 3, 2):
            holder.adopt(number)
        self.assertEqual(3, holder.state.adopted_view_number)

    def test_failing_listener_does_not_stop_the_others(self):
        holder = states.StateHolder()
        seen = []
        holder.add_listener(lambda old, new: 1 // 0)
        holder.add_listener(lambda old, new: seen.append(new))
        with self.assertLogs('masticquay_membership.states'):
            holder.apply(make_update(0, 1))
        self.assertEqual(1, len(seen))
