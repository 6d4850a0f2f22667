"""Tests of hosts that look for the leader at a replica."""

import unittest

from masticquay_coordination import seekers
from masticquay_coordination import table_machines
from masticquay_coordination import table_updates
from masticquay_coordination import updates
from masticquay_routing import messages
from masticquay_wire import clocks
from tests import fakes


class SeekersTest(unittest.TestCase):
    def setUp(self):
        self.machine = table_machines.TableMachine()
        self.clock = clocks.ManualClock(10_000)
        self.seekers = seekers.Seekers(
            table_updates.TableUpdates(self.machine),
            lambda: self.has_caught_up,
            self.clock,
        )
        self.has_caught_up = True
        self.link = fakes.FakeLink()

    def commit(self, version):
        document = str(version).encode()
        self.machine.apply(1, table_machines.encode_put(version, document))

    def ask(self, version=-1, link=None):
        renewal = fakes.make_renewal(table_version=version)
        self.seekers.add(renewal, link or self.link)

    def sent_versions(self, link=None):
        return [n.version for n in (link or self.link).notifications]

    def test_host_with_the_newest_table_gets_none(self):
        self.commit(5)
        self.ask(version=5)
        self.seekers.publish_table()
        self.assertEqual([], self.sent_versions())

    # Guards against withdrawn keys that a host without a table accepts after a
    # restart of it and of the replica that it asks.
    def test_host_without_a_table_gets_none_of_an_old_snapshot(self):
        self.has_caught_up = False
        self.commit(5)
        self.ask()
        self.assertEqual([], self.sent_versions())
        self.ask(version=4)
        self.assertEqual([5], self.sent_versions())
        self.has_caught_up = True
        other_link = fakes.FakeLink()
        self.ask(link=other_link)
        self.assertEqual([5], self.sent_versions(other_link))

    def test_host_that_asks_again_gets_the_table_once(self):
        self.commit(5)
        self.ask()
        self.clock.advance_ms(100)
        self.ask()
        self.assertEqual([5], self.sent_versions())

    def test_table_that_a_host_still_lacks_is_sent_again(self):
        self.commit(5)
        self.ask()
        self.clock.advance_ms(updates.RESEND_AFTER_MS)
        self.ask()
        self.assertEqual([5, 5], self.sent_versions())

    def test_host_with_a_new_link_gets_the_table_over_it(self):
        self.commit(5)
        self.ask()
        other_link = fakes.FakeLink()
        self.ask(link=other_link)
        self.link.close_hooks[0]()
        self.commit(6)
        self.seekers.publish_table()
        self.assertEqual([5], self.sent_versions())
        self.assertEqual([5, 6], self.sent_versions(other_link))

    def test_host_that_asks_no_more_gets_no_later_table(self):
        self.ask()
        self.clock.advance_ms(seekers.SEARCH_TTL_MS)
        self.commit(5)
        self.seekers.publish_table()
        self.assertEqual([], self.sent_versions())

    def test_host_whose_link_is_lost_gets_nothing(self):
        self.ask()
        self.link.close_hooks[0]()
        self.commit(5)
        self.seekers.publish_table()
        self.seekers.announce(messages.LeaderChanged(3))
        self.assertEqual([], self.link.notifications)
