"""Tests of ownership by rendezvous hashing."""

import unittest

from masticquay_membership import messages
from masticquay_membership import ownership


def make_view(names, leaving=()):
    hosts = [
        messages.Host(name, 1, name[0], '', '', name in leaving)
        for name in names
    ]
    return messages.View(1, hosts)


class OwnershipTest(unittest.TestCase):
    def find(self, view, name, place=''):
        return ownership.find_owner(
            view, ownership.KIND_POOL, name, place
        ).name

    def test_only_the_lost_hosts_things_move(self):
        before = make_view(['a1', 'a2', 'b1', 'b2'])
        after = make_view(['a1', 'a2', 'b1'])
        for number in range(50):
            old = self.find(before, f'pool{number}')
            if old != 'b2':
                self.assertEqual(old, self.find(after, f'pool{number}'))

    def test_hosts_of_the_place_come_first(self):
        view = make_view(['a1', 'a2', 'b1'])
        self.assertEqual('b1', self.find(view, 'pool', 'b'))

    def test_leaving_hosts_own_nothing(self):
        view = make_view(['a1', 'b1'], leaving=['b1'])
        self.assertEqual('a1', self.find(view, 'pool', 'b'))
