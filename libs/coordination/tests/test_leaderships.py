"""Tests of the leader of the control group."""

from concurrent import futures
import queue
import types
import unittest

from masticquay_consensus import errors as consensus_errors
from masticquay_coordination import admissions
from masticquay_coordination import leaderships
from masticquay_coordination import table_machines
from masticquay_coordination import updates
from masticquay_routing import endpoint_notices
from masticquay_routing import fleet_views
from masticquay_routing import messages
from masticquay_routing import placement_messages
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
        self.fails_proposals = False
        self.apply = None
        self.log_is_blank = True
        self.commit_index = 0
        self.replica = self
        self.state = types.SimpleNamespace(applied_index=0, has_caught_up=True)

    def read_barrier(self):
        if not self.is_leading:
            raise consensus_errors.NotLeaderError('')
        return self.commit_index

    def propose(self, command):
        proposal = futures.Future()
        if self.fails_proposals:
            proposal.set_exception(consensus_errors.NotLeaderError(''))
        else:
            proposal.set_result(self.apply(1, command))
        return proposal

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
        self.close_hooks = []

    def on_close(self, hook):
        self.close_hooks.append(hook)

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
        self.node.apply = self.machine.apply
        self.reader = CountingReader()
        self.lister = fakes.FakeLister()
        self.clock = clocks.ManualClock(10_000)
        self.sent_orders = []
        self.next_number = 100
        self.link = QueueLink()
        self.make_leadership()

    def make_leadership(self):
        """Makes the duties of a replica over the machine of the log."""
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

    # Guards against CONFIG: a host that reached followers only got no table,
    # as only the leader sent it.
    def test_host_that_asks_a_follower_gets_the_newest_table(self):
        self.commit_tables(4, 5)
        with self.assertRaises(wire_errors.RemoteError):
            self.renew()
        update = self.link.notifications.get(timeout=WAIT_S)
        self.assertEqual(5, update.version)

    # The same cause: the table changed after the host had asked.
    def test_host_that_asked_a_follower_gets_the_next_table(self):
        with self.assertRaises(wire_errors.RemoteError):
            self.renew()
        self.commit_tables(6)
        self.leadership.publish_new_table()
        update = self.link.notifications.get(timeout=WAIT_S)
        self.assertEqual(6, update.version)

    # Guards against CONFIG: hosts lost their leader with each change, as it
    # refused renewals while it had not applied the change yet.
    def test_leader_with_an_entry_to_apply_renews_sessions(self):
        self.lead()
        self.renew()
        self.node.commit_index = 1
        self.assertEqual(TERM, self.renew().term)

    def test_leader_that_has_not_applied_earlier_terms_renews_nothing(self):
        self.node.commit_index = 1
        self.lead()
        with self.assertRaises(wire_errors.RemoteError):
            self.renew()
        self.node.state.applied_index = 1
        self.assertEqual(TERM, self.renew().term)

    # Guards against QUOTA: a leader that had yet to apply the table let any
    # request run, as it knew no limit, and dropped the usage that it was told.
    def test_leader_serves_once_it_has_the_limits_of_the_stored_table(self):
        self.node.log_is_blank = False
        self.node.commit_index = 1
        self.lead()
        self.commit_tables(1)
        self.node.state.applied_index = 1
        # No list of endpoints comes in time.
        self.clock.advance_ms(admissions.LIST_WAIT_MS)
        answer = self.handlers[placement_messages.Admit](
            fakes.make_admit(1, workspace='w', cost=3_000.0), self.link
        )
        self.assertTrue(answer.over_rate)

    # The account of the earlier process would end requests of the later one.
    def test_late_renewal_of_an_earlier_process_is_refused(self):
        self.lead()
        handle = self.handlers[messages.Renew]
        for incarnation in (1, 2):
            handle(fakes.make_renewal(incarnation=incarnation), self.link)
        with self.assertRaises(wire_errors.RemoteError) as refused:
            handle(fakes.make_renewal(incarnation=1), self.link)
        self.assertEqual(messages.CODE_REPLACED, refused.exception.code)

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

    def lead_with_engines(self, *versions):
        self.commit_tables(1)
        self.lister.endpoints = fakes.make_engines(0, len(versions))
        for engine, version in zip(
            self.lister.endpoints, versions, strict=True
        ):
            engine.software_version = version
        self.lead()
        self.renew()
        self.leadership.refresh_endpoints()

    def next_endpoint_update(self):
        while True:
            update = self.link.notifications.get(timeout=WAIT_S)
            if isinstance(update, messages.EndpointUpdate):
                return update

    def test_versions_are_stored_before_hosts_get_the_list(self):
        self.lead_with_engines('v1', 'v2')
        self.assertEqual({'llm': ['v1', 'v2']}, self.machine.software_versions)
        update = self.next_endpoint_update()
        self.assertEqual({'llm': ['v1', 'v2']}, update.stream_versions)

    def test_list_is_held_back_until_its_versions_are_stored(self):
        """The next leader must know every version at which streams begin."""
        self.node.fails_proposals = True
        self.lead_with_engines('v1')
        self.renew()
        self.node.fails_proposals = False
        self.clock.advance_ms(leaderships.LIST_RETRY_MS)
        self.leadership.refresh_endpoints()
        self.assertEqual(1, self.next_endpoint_update().number)
        self.assertTrue(self.link.notifications.empty())

    def test_next_leader_knows_the_versions_of_the_previous_one(self):
        self.node.log_is_blank = False
        self.machine.apply(
            1, table_machines.encode_software_versions({'llm': ['v1']})
        )
        self.lead_with_engines('v2')
        update = self.next_endpoint_update()
        self.assertEqual({'llm': ['v1', 'v2']}, update.stream_versions)

    def test_leader_whose_log_has_no_versions_knows_none(self):
        """The previous leader ran an earlier release."""
        self.node.log_is_blank = False
        self.lead_with_engines('v1')
        self.assertIsNone(self.next_endpoint_update().stream_versions)
        self.assertIsNone(self.machine.software_versions)

    # Guards against a new leader whose first list lets hosts use endpoints
    # that an earlier leader had them leave alone.
    def test_first_list_of_a_term_has_the_stored_evacuations(self):
        self.node.commit_index = 1
        self.commit_tables(1)
        self.lister.endpoints = fakes.make_engines(0, 1)
        self.lead()
        self.leadership.refresh_endpoints()
        command = table_machines.encode_evacuation('p1', True)
        self.machine.apply(1, command)
        self.node.state.applied_index = 1
        self.leadership.notify_evacuation()
        self.leadership.publish_evacuations()
        self.renew()
        update = self.next_endpoint_update()
        self.assertEqual((1, ['p1']), (update.number, update.evacuated))
        self.assertTrue(update.endpoints[0].leaving)

    # Guards against a platform list that cannot be read when a term begins.
    def test_order_reaches_hosts_without_an_endpoint_list(self):
        self.lister.fails = True
        self.lead_with_engines('v1')
        self.machine.apply(2, table_machines.encode_evacuation('p1', True))
        self.leadership.notify_evacuation()
        self.leadership.publish_evacuations()
        update = self.next_endpoint_update()
        self.assertEqual((0, ['p1']), (update.number, update.evacuated))
        self.clock.advance_ms(updates.RESEND_AFTER_MS)
        self.renew()
        self.assertEqual(['p1'], self.next_endpoint_update().evacuated)

    def test_order_is_sent_without_reading_the_list_again(self):
        self.lead_with_engines('v1')
        self.assertFalse(self.next_endpoint_update().endpoints[0].leaving)
        reads = self.lister.read_count
        self.machine.on_evacuation = self.leadership.notify_evacuation
        self.machine.apply(2, table_machines.encode_evacuation('p1', True))
        self.leadership.publish_evacuations()
        self.assertTrue(self.next_endpoint_update().endpoints[0].leaving)
        self.assertEqual(reads, self.lister.read_count)

    def begin_streams(self, *versions):
        """Has stream c0, c1, ... of a host begin at the given versions."""
        self.renew('lost')
        for number, version in enumerate(versions):
            self.handlers[placement_messages.Decoding](
                placement_messages.Decoding(
                    'lost', 'llm', number, f'c{number}', version
                ),
                QueueLink(),
            )

    def lose_leader(self, *renewed):
        """Has another replica lead, to which hosts tell what they keep.

        :param renewed: what the last leader answered to the hosts' renewals
        """
        self.node.log_is_blank = False
        self.make_leadership()
        self.lead()
        self.leadership.refresh_endpoints()
        for number, answer in enumerate(renewed):
            renewal = fakes.make_renewal(f'h{number}', origins=answer.origins)
            self.handlers[messages.Renew](renewal, QueueLink())

    def take_up(self, call_id):
        """Returns the engine at which a caller's stream goes on."""
        self.next_number += 1
        answer = self.handlers[placement_messages.Admit](
            fakes.make_admit(
                self.next_number, resumes=True, first_call_id=call_id
            ),
            self.link,
        )
        if isinstance(answer, futures.Future):
            return answer.result(0).decode_id
        return 'refused'

    # Guards against LOST, where streams whose host and leader were killed at
    # once were refused while engines of two software versions served.
    def test_streams_whose_host_and_leader_are_lost_go_on(self):
        self.lead_with_engines('v1', 'v2')
        self.begin_streams('v2', 'v1')
        self.lose_leader(self.renew('other'))
        self.assertEqual(['e1', 'e0'], [self.take_up(c) for c in ('c0', 'c1')])

    # Guards against LOST in a series of losses.
    def test_streams_go_on_after_the_loss_of_another_leader_and_host(self):
        self.lead_with_engines('v1', 'v2')
        self.begin_streams('v2')
        self.lose_leader(self.renew('other'))
        self.lose_leader(self.renew('third'))
        self.assertEqual('e1', self.take_up('c0'))

    def test_streams_begun_before_a_release_go_on_after_the_loss(self):
        """Hosts get them once a second version makes them unclear."""
        self.lead_with_engines('v1', 'v1')
        self.begin_streams('v1')
        self.assertEqual([], self.renew('other').origins)
        self.lister.endpoints[1].software_version = 'v2'
        self.clock.advance_ms(leaderships.LIST_INTERVAL_MS)
        self.leadership.refresh_endpoints()
        self.lose_leader(self.renew('other'))
        self.assertEqual('e0', self.take_up('c0'))

    def test_stream_that_no_other_host_heard_of_is_refused(self):
        self.lead_with_engines('v1', 'v2')
        self.begin_streams('v1')
        self.lose_leader()
        self.assertEqual('refused', self.take_up('c0'))

    def renew_leaving(self, host, *endpoint_ids, started_ms=0, age_ms=0):
        reports = [
            endpoint_notices.LeavingReport(endpoint_id, started_ms, age_ms)
            for endpoint_id in endpoint_ids
        ]
        renewal = fakes.make_renewal(host, leaving=reports)
        self.handlers[messages.Renew](renewal, QueueLink())

    def leaving_ids(self):
        return [
            e.endpoint_id
            for e in self.next_endpoint_update().endpoints
            if e.leaving
        ]

    def test_endpoint_that_told_one_host_that_it_leaves_leaves_for_all(self):
        """The platform's list shows it as leaving only seconds later."""
        self.lead_with_engines('v1', 'v1')
        self.assertEqual([], self.leaving_ids())
        self.renew_leaving('h2', 'e1')
        self.assertEqual(['e1'], self.leaving_ids())

    def test_word_on_an_earlier_start_of_an_endpoint_is_ignored(self):
        self.lead_with_engines('v1')
        self.next_endpoint_update()
        self.renew_leaving('h2', 'e0', started_ms=77)
        self.renew_leaving('h2', 'e9')
        self.assertTrue(self.link.notifications.empty())

    def test_endpoint_that_the_list_shows_as_back_is_used_again(self):
        self.lead_with_engines('v1', 'v1')
        self.next_endpoint_update()
        self.renew_leaving('h2', 'e1')
        self.assertEqual(['e1'], self.leaving_ids())
        for is_leaving in (True, False):
            self.lister.endpoints[1].leaving = is_leaving
            self.clock.advance_ms(leaderships.LIST_INTERVAL_MS)
            self.leadership.refresh_endpoints()
        self.assertEqual([], self.leaving_ids())
        # A host that was cut off meanwhile tells what it heard before.
        self.renew_leaving('h3', 'e1', age_ms=1_000)
        self.assertTrue(self.link.notifications.empty())
