"""Tests of the leader's lease table with a manual clock."""

import unittest

from masticquay_control import commands
from masticquay_control import leases
from masticquay_control import state_machines
from masticquay_membership import messages as membership_messages
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages


class LeaseTableTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock(10_000)
        self.state_machine = state_machines.ControlStateMachine()
        self.table = leases.LeaseTable(self.state_machine, self.clock)
        self.table.begin()
        self.index = 0
        self.hosts = {}
        for name in ('h1', 'h2'):
            self.join(name)

    def apply(self, message):
        self.index += 1
        record = commands.Command(0, messages.pack(message))
        reply = self.state_machine.apply(self.index, messages.pack(record))
        return messages.unpack(reply)

    def open_session(self, name):
        opened = self.apply(
            membership_messages.OpenSession(name, b'%d' % self.index)
        )
        self.hosts[name] = membership_messages.Host(
            name, opened.incarnation, 'p1', '', ''
        )

    def join(self, name):
        """Opens a session and adds the host to the next view."""
        self.open_session(name)
        self.assertEqual(0, self.renew(name).ttl_ms)
        self.change_view()
        self.assertEqual(leases.TTL_MS, self.renew(name).ttl_ms)

    def renew(self, name, **applied):
        """Renews a session, by default with all changes applied.

        :param applied: an older ``view_number`` or ``index`` to report
        """
        view_number = self.state_machine.views.view.number
        return self.table.renew(
            membership_messages.RenewSession(
                self.hosts[name],
                applied.get('view_number', view_number),
                applied.get('index', self.state_machine.change_index),
            )
        )

    def plan_view_change(self):
        """Returns the next view change after the batching delay."""
        self.table.plan_view_change()
        self.clock.advance_ms(leases.VIEW_BATCH_MS)
        return self.table.plan_view_change()

    def change_view(self):
        change = self.plan_view_change()
        self.assertEqual(messages.Done(), self.apply(change))
        return change

    def live_names(self):
        return [host.name for host in self.state_machine.views.view.hosts]

    def test_host_without_renewal_is_evicted_after_lease_and_margin(self):
        self.renew('h2')
        self.clock.advance_ms(leases.TTL_MS)
        self.renew('h1')
        self.assertIsNone(self.plan_view_change())
        self.change_view()
        self.assertEqual(['h1'], self.live_names())
        with self.assertRaisesRegex(wire_errors.RemoteError, 'evicted'):
            self.renew('h2')

    def test_host_with_planned_eviction_cannot_renew(self):
        self.renew('h2')
        self.clock.advance_ms(leases.TTL_MS + leases.CLOCK_DRIFT_MARGIN_MS + 1)
        self.renew('h1')
        change = self.plan_view_change()
        self.assertEqual(['h2'], [r.host for r in change.removed])
        with self.assertRaisesRegex(wire_errors.RemoteError, 'evicted'):
            self.renew('h2')
        self.table.cancel_view_change()
        self.assertEqual(leases.TTL_MS, self.renew('h2').ttl_ms)

    def test_host_without_the_new_view_renews_only_in_the_push_grace(self):
        old = self.state_machine.views.view.number
        index = self.state_machine.change_index
        self.join('h3')
        self.renew('h1', view_number=old, index=index)
        self.clock.advance_ms(leases.PUSH_GRACE_MS)
        with self.assertRaisesRegex(wire_errors.RemoteError, 'adopt-view'):
            self.renew('h1', view_number=old, index=index)

    def test_change_is_in_force_once_pending_hosts_are_evicted(self):
        index = self.state_machine.change_index
        self.join('h3')
        changed = self.state_machine.change_index
        self.renew('h1')
        progress = self.table.progress(changed)
        self.assertEqual(
            (False, ['h2']), (progress.in_force, progress.pending)
        )
        self.clock.advance_ms(leases.TTL_MS + leases.CLOCK_DRIFT_MARGIN_MS + 1)
        self.renew('h1')
        self.renew('h3')
        change = self.change_view()
        self.assertEqual(['h2'], [r.host for r in change.removed])
        progress = self.table.progress(changed)
        self.assertTrue(progress.in_force)
        self.assertEqual(['h2'], progress.evicted)
        self.assertGreater(changed, index)

    def test_leaving_host_is_marked_in_the_next_view(self):
        host = self.hosts['h1']
        self.hosts['h1'] = membership_messages.Host(
            'h1', host.incarnation, 'p1', '', '', leaving=True
        )
        self.renew('h1')
        self.renew('h2')
        change = self.change_view()
        self.assertEqual([self.hosts['h1']], change.put)
        self.assertTrue(self.state_machine.views.view.host('h1').leaving)
        self.assertIsNone(self.plan_view_change())

    def test_new_leader_treats_all_hosts_in_the_view_as_renewed(self):
        self.clock.advance_ms(leases.TTL_MS + leases.CLOCK_DRIFT_MARGIN_MS + 1)
        self.table.begin()
        self.assertIsNone(self.plan_view_change())
        self.assertEqual(0, self.table.adopted_view_number())
        self.assertEqual(leases.TTL_MS, self.renew('h1').ttl_ms)

    def test_restarted_host_joins_once_its_old_lease_has_expired(self):
        self.renew('h2')
        old = self.hosts['h1']
        self.renew('h1')
        self.open_session('h1')
        self.assertEqual(0, self.renew('h1').ttl_ms)
        self.assertIsNone(self.plan_view_change())
        self.clock.advance_ms(leases.TTL_MS)
        self.renew('h1')
        self.renew('h2')
        self.change_view()
        found = self.state_machine.views.view.host('h1')
        self.assertGreater(found.incarnation, old.incarnation)
        self.hosts['h1'] = old
        with self.assertRaisesRegex(wire_errors.RemoteError, 'evicted'):
            self.renew('h1')

    def test_hosts_that_expire_together_are_evicted_in_one_view(self):
        self.join('h3')
        number = self.state_machine.views.view.number
        self.clock.advance_ms(leases.TTL_MS + leases.CLOCK_DRIFT_MARGIN_MS + 1)
        self.renew('h1')
        change = self.change_view()
        self.assertEqual(2, len(change.removed))
        self.assertEqual(number + 1, self.state_machine.views.view.number)

    def test_refusals_are_logged_once_for_each_cause_and_evictions_all(self):
        old = self.state_machine.change_index
        self.join('h3')
        self.clock.advance_ms(leases.PUSH_GRACE_MS)
        with self.assertLogs(leases.LOG, 'INFO') as logs:
            for _ in range(2):
                with self.assertRaises(wire_errors.RemoteError):
                    self.renew('h1', index=old)
            self.clock.advance_ms(
                leases.TTL_MS + leases.CLOCK_DRIFT_MARGIN_MS + 1
            )
            self.renew('h3')
            self.renew('h2')
            self.change_view()
        self.assertEqual(
            [
                ('renewal refused', 'h1', ''),
                ('host is evicted', 'h1', 'adopt-view'),
            ],
            [
                (
                    r.getMessage(),
                    r.session_host,
                    getattr(r, 'refusal_code', ''),
                )
                for r in logs.records
            ],
        )
        self.assertGreater(logs.records[0].due_index, old)
