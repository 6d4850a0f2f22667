"""Tests of the leader of the control group."""

import queue
import types
import unittest

from masticquay_consensus import errors as consensus_errors
from masticquay_coordination import leaderships
from masticquay_coordination import table_machines
from masticquay_routing import fleet_views
from masticquay_routing import messages
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from tests import fakes

TERM = 3
WAIT_S = 10
ORDER_LEASE_MS = 20_000


class FakeNode:
    """A consensus node that is the leader while ``is_leading`` is set.

    It stands in for its own ``replica``, too.
    """

    def __init__(self):
        self.is_leading = False
        self.log_is_blank = True
        self.replica = self
        self.state = types.SimpleNamespace(applied_index=0)

    def read_barrier(self):
        if not self.is_leading:
            raise consensus_errors.NotLeaderError('')
        return 0

    def has_no_commands(self):
        return self.log_is_blank

    def is_leader(self):
        return self.is_leading

    def leader(self):
        return None

    def status(self):
        return types.SimpleNamespace(members=[])


class QueueLink:
    """A link whose notifications a test can wait for."""

    def __init__(self):
        self.notifications = queue.Queue()

    def notify(self, message):
        self.notifications.put(message)

    def notify_encoded(self, notice):
        self.notify(notice.message)


class CountingReader(fakes.VersionReader):
    """Counts the documents that it parses."""

    def __init__(self):
        self.read_count = 0

    def read(self, document):
        self.read_count += 1
        return super().read(document)


class LeadershipTest(unittest.TestCase):
    def setUp(self):
        self.node = FakeNode()
        self.machine = table_machines.TableMachine()
        self.reader = CountingReader()
        self.lister = fakes.FakeLister()
        self.clock = clocks.ManualClock(10_000)
        self.sent_orders = []
        self.leadership = leaderships.Leadership(
            self.node,
            self.machine,
            self.reader,
            self.lister,
            # The test case is the order sender; see its ``send``.
            self,
            ORDER_LEASE_MS,
            self.clock,
        )
        self.machine.on_change = self.leadership.notify_table_change
        self.handlers = {}
        listener = types.SimpleNamespace(handle=self.handlers.__setitem__)
        self.leadership.register(listener)
        self.link = QueueLink()

    def renew(self, host='h', reports=()):
        renewal = messages.Renew(
            host=host,
            incarnation=1,
            address='127.0.0.1:1',
            place='p',
            ready=False,
            table_version=-1,
            endpoints_number=0,
            hosts_number=0,
            term=0,
            usage={},
            running=[],
            endpoint_reports=list(reports),
        )
        return self.handlers[messages.Renew](renewal, self.link)

    def lead(self):
        self.node.is_leading = True
        self.leadership.change_role(True, TERM)

    def commit_tables(self, *versions):
        for index, version in enumerate(versions):
            document = str(version).encode()
            command = table_machines.encode_put(version, document)
            self.machine.apply(index, command)

    def test_host_that_could_not_renew_is_notified_of_the_leader(self):
        with self.assertRaises(wire_errors.RemoteError):
            self.renew()
        self.lead()
        notification = self.link.notifications.get(timeout=WAIT_S)
        self.assertIsInstance(notification, messages.LeaderChanged)
        self.assertEqual(TERM, self.renew().term)

    def test_only_the_newest_of_many_tables_is_parsed(self):
        """A restarted replica applies all tables since its snapshot."""
        self.lead()
        self.renew()
        self.commit_tables(*range(1, 51))
        self.leadership.publish_new_table()
        self.assertEqual(1, self.reader.read_count)
        update = self.link.notifications.get(timeout=WAIT_S)
        self.assertEqual(50, update.version)

    def send(self, order, term):
        """Records an order, as the order sender of the leadership."""
        self.sent_orders.append(order)
        return True

    def lead_without_prefill_engines(self, log_is_blank):
        """Leads for ten seconds without any prefill engine."""
        self.node.log_is_blank = log_is_blank
        self.lister.endpoints = fakes.make_engines(0, 6)
        self.lead()
        self.commit_tables(1)
        for _second in range(10):
            self.leadership.refresh_endpoints()
            self.leadership.send_due_orders()
            self.clock.advance_ms(1_000)

    def test_first_leader_sends_orders_without_delay(self):
        self.lead_without_prefill_engines(log_is_blank=True)
        self.assertTrue(self.sent_orders)

    def test_leader_after_a_full_restart_delays_orders(self):
        """Its log is not empty, although it has applied no entry yet."""
        self.lead_without_prefill_engines(log_is_blank=False)
        self.assertEqual([], self.sent_orders)

    def test_table_is_applied_before_the_first_endpoint_list(self):
        self.lead()
        self.commit_tables(1)
        self.leadership.refresh_endpoints()
        self.assertEqual(1, self.reader.read_count)
        self.leadership.publish_new_table()
        self.assertEqual(1, self.reader.read_count)

    def test_answer_to_a_renewal_has_the_view_of_all_hosts(self):
        self.commit_tables(1)
        self.lister.endpoints = fakes.make_engines(1, 1)
        self.lead()
        self.leadership.refresh_endpoints()
        for host in ('h1', 'h2'):
            report = messages.EndpointReport('e0', 2, 1, 0, 0, 0, 50.0)
            self.renew(host, [report])
        self.clock.advance_ms(fleet_views.VIEWS_INTERVAL_MS)
        views = self.renew('h3').endpoint_views
        self.assertEqual(['e0'], [v.endpoint_id for v in views])
        self.assertEqual(4, views[0].in_flight)
