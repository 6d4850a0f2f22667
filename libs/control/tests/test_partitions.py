"""Tests of replicas and hosts that lose each other silently."""

import shutil
import unittest

from masticquay_membership import errors
from masticquay_membership import operator_messages
from masticquay_wire import errors as wire_errors
from tests import fixtures
from tests import links

NAMES = ('c1', 'c2', 'c3')


class PartitionTest(unittest.TestCase):
    def setUp(self):
        self.cluster = fixtures.Cluster(self)
        self.cluster.network = links.Network()
        self.cluster.log_settings = None
        self.cluster.start(*NAMES)
        self.approvers = fixtures.Approvers('ada')

    def cut_off(self, name):
        own = self.cluster.address_of(name)
        for other in NAMES:
            if other != name:
                address = self.cluster.address_of(other)
                self.cluster.network.cut(own, address)
                self.cluster.network.cut(address, own)

    def roll(self, version, previous=None, operator=None):
        bundle = fixtures.make_bundle(version, self.approvers)
        signed = self.approvers.sign(bundle)
        operator = operator or self.cluster.client()
        operator.call(
            fixtures.make_roll(signed, previous), 4 * fixtures.CALL_MS
        )
        return bundle

    def test_minority_leader_and_its_host_stop_and_come_back(self):
        first = self.roll(1)
        lost = self.cluster.leader()
        near = self.cluster.session('near', [self.cluster.address_of(lost)])
        others = [self.cluster.address_of(n) for n in NAMES if n != lost]
        far = self.cluster.session('far', others)
        for host in (near, far):
            fixtures.wait_for(host.lease_valid, 'a lease')
        old = near.host.incarnation
        self.cut_off(lost)
        self.wait_for_eviction(near, far)
        leadership = self.cluster.replicas[lost].leadership
        self.assertFalse(leadership.acting())
        operator = self.cluster.client(addresses=others)
        second = self.roll(2, first, operator)
        self.assert_silent(lost)
        leader = self.acting_other(lost)
        term = self.cluster.replicas[leader].log.term()
        self.cluster.network.heal()
        fixtures.wait_for(near.lease_valid, 'the lease after the partition')
        self.assertGreater(near.host.incarnation, old)
        fixtures.wait_for(lambda: near.state().bundle == second)
        self.assertTrue(self.cluster.replicas[leader].leadership.acting())
        self.assertEqual(term, self.cluster.replicas[leader].log.term())

    def wait_for_eviction(self, near, far):
        """The host's own lease must end before anyone sees it evicted."""

        def evicted():
            return far.state().view.host('near') is None

        def check():
            gone = evicted()
            self.assertFalse(gone and near.lease_valid())
            return gone

        fixtures.wait_for(check, 'the eviction')

    def assert_silent(self, name):
        """A replica without a quorum answers no query."""
        address = self.cluster.address_of(name)
        operator = self.cluster.client(addresses=[address])
        with self.assertRaises(
            (errors.MembershipError, wire_errors.WireError)
        ):
            operator.call(operator_messages.QueryBundle(), 1_000)

    def acting_other(self, name):
        return fixtures.wait_for(
            lambda: next(
                (
                    n
                    for n, r in self.cluster.replicas.items()
                    if n != name and r.leadership.acting()
                ),
                None,
            ),
            'a leader on the other side',
        )

    def test_follower_that_cannot_send_does_not_disturb_the_leader(self):
        self.roll(1)
        leader = self.cluster.leader()
        term = self.cluster.replicas[leader].log.term()
        mute = next(n for n in NAMES if n != leader)
        for other in NAMES:
            self.cluster.network.cut(
                self.cluster.address_of(mute), self.cluster.address_of(other)
            )
        host = self.cluster.session(
            'h1', [self.cluster.address_of(n) for n in (mute, leader)]
        )
        fixtures.wait_for(host.lease_valid, 'a lease over the other replica')
        self.cluster.network.heal()
        fixtures.wait_for(
            lambda: self.cluster.replicas[mute].machine.bundles.version == 1
        )
        self.assertEqual(term, self.cluster.replicas[leader].log.term())

    def test_second_replica_lost_after_a_repair_was_reported_done(self):
        first = self.roll(1)
        leader = self.cluster.leader()
        broken, second = [n for n in NAMES if n != leader]
        self.cluster.stop(broken)
        shutil.rmtree(self.cluster.folder / broken)
        self.cluster.start(broken)
        operator = self.cluster.client()
        answer = operator.call(
            operator_messages.AddReplica(
                broken, self.cluster.address_of(broken)
            ),
            60_000,
        )
        self.assertEqual(3, len(answer.replicas))
        self.cluster.stop(second)
        second_bundle = self.roll(2, first)
        stored = operator.call(
            operator_messages.QueryBundle(), fixtures.CALL_MS
        )
        self.assertEqual(second_bundle, stored.bundle)
