"""Tests of the hosts that callers are told to use."""

import unittest

from masticquay_gateway import caller_hosts
from masticquay_routing import fleets


def make_hosts(count, lost=()):
    return [
        fleets.Host(
            f'h{number}', f'10.0.0.{number}:1', 'p', '', number not in lost
        )
        for number in range(count)
    ]


class ListForCallersTest(unittest.TestCase):
    def list_names(self, hosts, own_number=0, is_own_usable=True):
        listed = caller_hosts.list_for_callers(
            hosts, hosts[own_number], is_own_usable
        )
        return sorted(host.name for host in listed)

    def test_all_hosts_with_a_path_are_listed(self):
        self.assertEqual(['h0', 'h1', 'h2'], self.list_names(make_hosts(3)))

    def test_hosts_without_a_path_are_left_out_if_half_have_one(self):
        hosts = make_hosts(4, lost=(0, 3))
        self.assertEqual(['h1', 'h2'], self.list_names(hosts))

    def test_hosts_without_a_path_are_listed_if_most_have_none(self):
        hosts = make_hosts(3, lost=(0, 1))
        self.assertEqual(['h0', 'h1', 'h2'], self.list_names(hosts))

    def test_all_are_listed_if_none_has_a_path(self):
        hosts = make_hosts(2, lost=(0, 1))
        self.assertEqual(['h0', 'h1'], self.list_names(hosts))

    def test_own_host_is_listed_as_it_is_now(self):
        listed = make_hosts(3)
        own = make_hosts(3, lost=(0,))[0]
        names = [
            host.name
            for host in caller_hosts.list_for_callers(listed, own, True)
        ]
        self.assertEqual(['h1', 'h2'], names)

    def test_host_that_stops_is_not_listed(self):
        self.assertEqual(
            ['h1', 'h2'], self.list_names(make_hosts(3), is_own_usable=False)
        )
