"""Tests of the sessions of entry hosts."""

import unittest

from masticquay_coordination import sessions
from masticquay_coordination import table_machines
from masticquay_coordination import table_updates
from masticquay_coordination import updates
from masticquay_routing import endpoint_changes
from masticquay_routing import messages
from masticquay_routing import renewals
from masticquay_wire import clocks
from tests import fakes

TERM = 3
SESSION_TIMEOUT_MS = renewals.session_timeout_ms(renewals.MIN_INTERVAL_MS)


class SessionsTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.machine = table_machines.TableMachine()
        self.sessions = sessions.Sessions(
            TERM, table_updates.TableUpdates(self.machine), self.clock
        )
        self.clock.advance_ms(sessions.HOST_LIST_DELAY_MS)
        self.link = fakes.FakeLink()

    def commit_table(self, version):
        document = str(version).encode()
        self.machine.apply(1, table_machines.encode_put(version, document))

    def test_host_gets_the_updates_that_it_lacks(self):
        self.commit_table(4)
        self.sessions.publish_endpoints(fakes.make_engines(1, 1))
        self.sessions.renew(fakes.make_renewal(), self.link)
        self.sessions.publish_hosts()
        self.assertEqual(4, self.link.last(messages.TableUpdate).version)
        update = self.link.last(messages.EndpointUpdate)
        self.assertEqual(2, len(update.endpoints))
        hosts = self.link.last(messages.HostUpdate).hosts
        self.assertEqual(['h1'], [host.name for host in hosts])

    def test_host_that_is_up_to_date_gets_no_update(self):
        self.commit_table(4)
        self.sessions.publish_endpoints([])
        self.sessions.renew(fakes.make_renewal(), self.link)
        self.sessions.publish_hosts()
        self.link.notifications.clear()
        self.clock.advance_ms(updates.RESEND_AFTER_MS)
        self.sessions.renew(
            fakes.make_renewal(
                table_version=4,
                endpoints_number=1,
                hosts_number=1,
                term=TERM,
            ),
            self.link,
        )
        self.sessions.publish_hosts()
        self.assertEqual([], self.link.notifications)

    def test_update_on_its_way_is_not_sent_again(self):
        self.commit_table(4)
        self.sessions.renew(fakes.make_renewal(), self.link)
        self.link.notifications.clear()
        self.sessions.renew(fakes.make_renewal(), self.link)
        self.assertEqual([], self.link.notifications)

    def test_update_that_stays_missing_is_sent_again(self):
        self.commit_table(4)
        self.sessions.renew(fakes.make_renewal(), self.link)
        self.link.notifications.clear()
        self.clock.advance_ms(updates.RESEND_AFTER_MS)
        self.sessions.renew(fakes.make_renewal(), self.link)
        self.assertEqual(4, self.link.last(messages.TableUpdate).version)

    def test_host_with_a_new_link_gets_all_updates_again(self):
        """What was sent over the lost link may not have arrived."""
        self.commit_table(4)
        self.sessions.renew(fakes.make_renewal(), self.link)
        new_link = fakes.FakeLink()
        self.sessions.renew(fakes.make_renewal(), new_link)
        self.assertEqual(4, new_link.last(messages.TableUpdate).version)

    def take_usage(self, number, incarnation=1):
        renewal = fakes.make_renewal(
            usage={'ws': 5.0}, usage_number=number, incarnation=incarnation
        )
        self.sessions.renew(renewal, self.link)
        return self.sessions.take_usage(renewal)

    # Guards against usage that is charged twice because it is repeated, as
    # the answer to a renewal was lost.
    def test_repeated_usage_is_charged_once(self):
        self.assertEqual({'ws': 5.0}, self.take_usage(1))
        self.assertEqual({}, self.take_usage(1))
        self.assertEqual({'ws': 5.0}, self.take_usage(2))
        self.assertEqual({}, self.take_usage(1))

    def test_usage_of_a_restarted_host_is_charged(self):
        self.take_usage(3)
        self.assertEqual({'ws': 5.0}, self.take_usage(1, incarnation=2))

    # Guards against places that are dropped while their requests run: a
    # renewal of the process before a restart comes late, over its own link.
    def test_late_renewal_of_an_earlier_process_is_no_restart(self):
        self.sessions.renew(fakes.make_renewal(incarnation=1), self.link)
        new_link = fakes.FakeLink()
        restarted = fakes.make_renewal(incarnation=2)
        self.assertTrue(self.sessions.renew(restarted, new_link))
        late = fakes.make_renewal(incarnation=1)
        self.assertFalse(self.sessions.renew(late, self.link))
        self.assertFalse(self.sessions.renew(restarted, new_link))

    def test_usage_of_an_earlier_release_is_charged(self):
        self.assertEqual({'ws': 5.0}, self.take_usage(0))
        self.assertEqual({'ws': 5.0}, self.take_usage(0))

    def test_list_numbers_of_another_term_are_ignored(self):
        self.sessions.publish_endpoints([])
        self.sessions.renew(
            fakes.make_renewal(endpoints_number=1, term=TERM - 1), self.link
        )
        self.assertIsNotNone(self.link.last(messages.EndpointUpdate))

    def test_new_table_is_sent_to_all_hosts(self):
        links = {name: fakes.FakeLink() for name in ('h1', 'h2')}
        for name, link in links.items():
            self.sessions.renew(fakes.make_renewal(name), link)
        links['h1'].disconnected = True
        self.commit_table(9)
        self.sessions.publish_table()
        self.assertEqual(9, links['h2'].last(messages.TableUpdate).version)

    def test_unchanged_list_is_not_sent_again(self):
        self.sessions.renew(fakes.make_renewal(), self.link)
        self.sessions.publish_endpoints(fakes.make_engines(1, 1))
        self.link.notifications.clear()
        self.sessions.publish_endpoints(fakes.make_engines(1, 1))
        self.assertEqual([], self.link.notifications)

    def test_silent_host_is_removed_from_the_host_list(self):
        other = fakes.FakeLink()
        self.sessions.renew(fakes.make_renewal('h1'), self.link)
        self.sessions.renew(fakes.make_renewal('h2'), other)
        self.sessions.publish_hosts()
        self.clock.advance_ms(SESSION_TIMEOUT_MS + 1)
        self.sessions.renew(fakes.make_renewal('h2'), other)
        self.assertEqual(['h1'], self.sessions.expire())
        self.sessions.publish_hosts()
        hosts = other.last(messages.HostUpdate).hosts
        self.assertEqual(['h2'], [host.name for host in hosts])

    def test_draining_host_is_removed_from_the_host_list(self):
        self.sessions.renew(fakes.make_renewal(), self.link)
        self.sessions.publish_hosts()
        self.clock.advance_ms(sessions.HOST_LIST_INTERVAL_MS)
        self.sessions.renew(fakes.make_renewal(ready=False), self.link)
        self.sessions.publish_hosts()
        self.assertEqual([], self.link.last(messages.HostUpdate).hosts)

    def test_new_leader_delays_the_host_list(self):
        """Few hosts have found the new leader at first."""
        new_leader_sessions = sessions.Sessions(
            TERM + 1, table_updates.TableUpdates(self.machine), self.clock
        )
        new_leader_sessions.renew(fakes.make_renewal(), self.link)
        new_leader_sessions.publish_hosts()
        self.assertIsNone(self.link.last(messages.HostUpdate))
        self.clock.advance_ms(sessions.HOST_LIST_DELAY_MS)
        new_leader_sessions.publish_hosts()
        self.assertIsNotNone(self.link.last(messages.HostUpdate))

    def test_restart_of_a_host_is_detected(self):
        self.assertFalse(self.sessions.renew(fakes.make_renewal(), self.link))
        self.assertFalse(self.sessions.renew(fakes.make_renewal(), self.link))
        self.assertTrue(
            self.sessions.renew(fakes.make_renewal(incarnation=2), self.link)
        )


class EndpointChangesTest(unittest.TestCase):
    """Hosts that read changes get whole lists only where they need them."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.sessions = sessions.Sessions(
            TERM,
            table_updates.TableUpdates(table_machines.TableMachine()),
            self.clock,
        )
        self.link = fakes.FakeLink()
        self.endpoints = fakes.make_engines(2, 4)
        self.sessions.publish_endpoints(self.endpoints)

    def renew(self, number, link=None, reads_changes=True):
        self.sessions.renew(
            fakes.make_renewal(
                endpoints_number=number,
                term=TERM,
                reads_endpoint_changes=reads_changes,
            ),
            link or self.link,
        )

    def publish_without(self, count):
        self.sessions.publish_endpoints(self.endpoints[count:])

    def take(self, link=None):
        """Returns what a host was sent, by the type of the message."""
        link = link or self.link
        sent = [type(message).__name__ for message in link.notifications]
        link.notifications.clear()
        return sent

    def test_host_gets_the_whole_list_and_then_changes(self):
        self.renew(0)
        self.assertEqual(['PackedEndpoints'], self.take())
        self.publish_without(1)
        changes = self.link.last(endpoint_changes.EndpointChanges)
        self.assertEqual(1, changes.base_number)
        self.assertEqual([self.endpoints[0].endpoint_id], changes.removed_ids)
        self.take()
        # The second change comes before the host has confirmed the first.
        self.publish_without(2)
        self.assertEqual(['EndpointChanges'], self.take())

    def test_host_of_an_earlier_release_gets_whole_lists(self):
        self.renew(0, reads_changes=False)
        self.publish_without(1)
        self.assertEqual(['EndpointUpdate'] * 2, self.take())

    def test_host_that_confirms_no_newer_list_gets_the_whole_one(self):
        self.renew(0)
        self.publish_without(1)
        self.take()
        self.clock.advance_ms(updates.RESEND_AFTER_MS)
        self.renew(1)
        self.assertEqual(['PackedEndpoints'], self.take())

    def test_host_on_a_new_link_gets_what_it_lacks(self):
        self.renew(0)
        self.publish_without(1)
        link = fakes.FakeLink()
        self.renew(2, link)
        self.assertEqual([], self.take(link))
        self.publish_without(2)
        self.assertEqual(['EndpointChanges'], self.take(link))
        other = fakes.FakeLink()
        self.renew(1, other)
        self.assertEqual(['PackedEndpoints'], self.take(other))
