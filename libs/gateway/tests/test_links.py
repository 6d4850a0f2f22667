"""Tests of the search for the control leader."""

from concurrent import futures
import contextlib
import queue
import socket
import threading
import time
import unittest
from unittest import mock

from masticquay_gateway import fleet_states
from masticquay_gateway import host_reports
from masticquay_gateway import links
from masticquay_gateway import usages
from masticquay_routing import endpoint_notices
from masticquay_routing import fleets
from masticquay_routing import held_requests
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import renewals
from masticquay_routing import stream_origins
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import peers
from tests import test_fleet_states

SECRET = b'secret'
TIMEOUT_S = 10
LEADER_TERM = 7


class EmptyReport:
    """Reports an idle host; ``leader_found`` is set when a leader responds."""

    def __init__(self):
        self.leader_found = threading.Event()
        self.origins = []
        self.kept_origins = []
        self.origins_kept = threading.Event()
        self.quarantined = {}
        self.ends = []
        self.usage = usages.Usage()
        self.newest_number = 0
        self.held = []

    def is_ready(self):
        return False

    def reaches_endpoints(self):
        return True

    def report_usage(self):
        return self.usage.report()

    def confirm_usage(self, number):
        self.usage.confirm(number)

    def running_requests(self):
        return []

    def recent_ends(self):
        return self.ends

    def held_requests(self):
        return held_requests.HeldRequests(self.newest_number, self.held)

    def quarantined_prompts(self):
        return self.quarantined

    def set_quarantined_prompts(self, quarantined):
        self.quarantined = quarantined

    def recent_origins(self):
        return self.origins

    def keep_origins(self, origins):
        self.kept_origins += origins
        if origins:
            self.origins_kept.set()

    def set_exhausted(self, exhausted):
        self.leader_found.set()

    def report_limits(self):
        return []

    def apply_limits(self, words):
        pass

    def held_slots(self):
        return None

    def apply_scarce(self, services):
        self.scarce = services

    def apply_suspects(self, suspects):
        pass

    def collect_endpoint_reports(self):
        return []

    def apply_endpoint_views(self, views):
        pass


class ControlLinkTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.report = EmptyReport()
        self.renewals = []

    def start_replica(self, handler, trouble_handler=None):
        listener = listeners.Listener(
            peers.Address('127.0.0.1', 0), 'control', SECRET
        )
        listener.handle(messages.Renew, handler)
        if trouble_handler is not None:
            listener.handle(
                placement_messages.EndpointTrouble, trouble_handler
            )
        listener.start()
        self.stack.callback(listener.close)
        return str(listener.address)

    def renew_as_leader(self, renewal, link):
        """Handles a renewal as the leader does."""
        self.renewals.append(renewal)
        return messages.Renewed(LEADER_TERM, [], {})

    def start_follower(self, leader):
        """Starts a replica that refuses renewals and names the leader.

        :param leader: the leader's address
        """

        def refuse(renewal, link):
            raise wire_errors.RemoteError(messages.CODE_NOT_LEADER, leader)

        return self.start_replica(refuse)

    def start_silent_server(self):
        """Returns an address that accepts connections and never responds."""
        sock = self.stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        return f'127.0.0.1:{sock.getsockname()[1]}'

    def assert_leader_found(self, seeds):
        state = fleet_states.FleetState(test_fleet_states.VersionReader())
        identity = host_reports.Identity('h', '127.0.0.1:1', 'p', 1)
        link = links.ControlLink(
            identity, SECRET, lambda: seeds, state, self.report
        )
        link.start()
        self.stack.callback(link.close)
        self.assertTrue(self.report.leader_found.wait(TIMEOUT_S))
        self.assertTrue(link.is_leader_reachable)

    def test_leader_among_the_seeds_is_found(self):
        self.assert_leader_found([self.start_replica(self.renew_as_leader)])
        self.assertEqual('h', self.renewals[0].host)

    def test_leader_named_by_a_follower_is_found(self):
        leader = self.start_replica(self.renew_as_leader)
        self.assert_leader_found([self.start_follower(leader)])

    def test_silent_seed_does_not_delay_the_search(self):
        leader = self.start_replica(self.renew_as_leader)
        self.assert_leader_found(
            [self.start_silent_server(), self.start_follower(leader)]
        )

    def test_notice_of_a_new_leader_triggers_a_renewal(self):
        is_leader = threading.Event()

        def answer(renewal, link):
            if is_leader.is_set():
                return self.renew_as_leader(renewal, link)
            is_leader.set()
            link.notify(messages.LeaderChanged(LEADER_TERM))
            raise wire_errors.RemoteError(messages.CODE_NOT_LEADER, '')

        self.assert_leader_found([self.start_replica(answer)])
        self.assertEqual(1, len(self.renewals))

    def test_long_search_repeats_less_often(self):
        """Hosts without a leader must not keep the replicas busy."""
        link = self.make_link([])
        link._search_rounds = links.QUICK_SEARCH_ROUNDS
        self.assertEqual(links.SEARCH_INTERVAL_MS, link._pause_ms())
        link._search_rounds += 1
        self.assertEqual(links.LONG_SEARCH_INTERVAL_MS, link._pause_ms())
        link._leader = '127.0.0.1:2'
        self.assertEqual(renewals.MIN_INTERVAL_MS, link._pause_ms())

    def test_leader_sets_the_interval_of_renewals(self):
        link = self.make_link([])
        link._leader = '127.0.0.1:2'
        renewed = messages.Renewed(LEADER_TERM, [], {}, renew_interval_ms=700)
        link._handle_renewed(renewed)
        self.assertEqual(700, link._pause_ms())

    def test_search_after_a_lost_leader_starts_anew(self):
        link = self.make_link([])
        link._search_rounds = links.QUICK_SEARCH_ROUNDS + 1
        link._begin_search()
        self.assertEqual(links.SEARCH_INTERVAL_MS, link._pause_ms())

    # Guards against ORDER after a change of the leader: the next one did not
    # know where streams had begun.
    def test_leader_that_is_found_gets_the_origins_of_recent_streams(self):
        origin = stream_origins.StreamOrigin('c1', 'llm', 'v1')
        self.report.origins = [origin]
        received = threading.Event()

        def renew(renewal, link):
            if renewal.origins == [origin]:
                received.set()
            return self.renew_as_leader(renewal, link)

        self.assert_leader_found([self.start_replica(renew)])
        self.assertTrue(received.wait(TIMEOUT_S))

    # Guards against LOST: only the leader and a stream's own host knew where
    # it had begun, and both were lost at once.
    def test_origins_in_the_answer_of_a_renewal_are_kept(self):
        origin = stream_origins.StreamOrigin('c1', 'llm', 'v1')

        def renew(renewal, link):
            answer = self.renew_as_leader(renewal, link)
            answer.origins = [origin]
            return answer

        self.assert_leader_found([self.start_replica(renew)])
        self.assertTrue(self.report.origins_kept.wait(TIMEOUT_S))
        self.assertEqual(origin, self.report.kept_origins[0])

    # Guards against BUDGET after a change of the leader: the next one let
    # prompts run again that end engines.
    def test_leader_that_is_found_gets_the_quarantined_prompts(self):
        self.report.quarantined = {'bad': 9_000}
        received = threading.Event()

        def renew(renewal, link):
            if renewal.quarantined:
                received.set()
            return self.renew_as_leader(renewal, link)

        self.assert_leader_found([self.start_replica(renew)])
        self.assertTrue(received.wait(TIMEOUT_S))

    # Guards against BUDGET after a change of the leader: the next one did not
    # know which engines had ended before.
    def test_leader_that_is_found_gets_the_ends_of_engines(self):
        end = placement_messages.EndpointTrouble(
            'h', 'llm', 'e1', False, 'ended', has_ended=True, age_ms=700
        )
        self.report.ends = [end]
        received = queue.Queue()
        leader = self.start_replica(
            self.renew_as_leader, lambda report, link: received.put(report)
        )
        self.assert_leader_found([leader])
        self.assertEqual(end, received.get(timeout=TIMEOUT_S))

    def test_leader_that_is_found_again_gets_the_streams_again(self):
        """Notices that were sent while it could not be reached are lost."""
        link = self.make_link([])
        link._must_report_streams = False
        link._begin_search()
        self.assertTrue(link._must_report_streams)

    # Guards against STARVED: the ends of requests were lost with a link, and
    # the leader was not told what still ran.
    def test_each_renewal_says_which_requests_have_not_ended(self):
        self.report.newest_number = 9
        self.report.held = [7, 9]
        self.assert_leader_found([self.start_replica(self.renew_as_leader)])
        held = self.renewals[-1].held
        self.assertEqual((9, [7, 9]), (held.newest, held.numbers))

    # The same cause: usage in a renewal without answer was never charged, and
    # workspaces got more than their rate.
    def test_usage_is_repeated_until_a_renewal_is_answered(self):
        link = self.make_link([])
        self.addCleanup(link.close)
        self.report.usage.add('ws', 5.0)
        lost_leader = self.start_follower('')
        link._leader = lost_leader
        link._renew(lost_leader)
        self.report.usage.add('ws', 2.0)
        link._leader = self.start_replica(self.renew_as_leader)
        for _renewal in range(3):
            link._renew(link._leader)
        usage = [r.usage for r in self.renewals if r.usage]
        self.assertEqual([{'ws': 5.0}], usage[:1])
        self.assertEqual({'ws': 2.0}, usage[-1])

    # The same cause: a link that is opened anew between two renewals loses
    # what was on its way, although the leader is never missed.
    def test_new_link_to_the_same_leader_repeats_what_may_be_lost(self):
        link = self.make_link([])
        link._must_report_streams = False
        link._leader = '127.0.0.1:1'
        link._handle_new_link('127.0.0.1:2')
        self.assertFalse(link._must_report_streams)
        link._handle_new_link('127.0.0.1:1')
        self.assertTrue(link._must_report_streams)

    # Guards against CONFIG: hosts that a busy leader answered late closed
    # their links to it and opened others, which kept it busy.
    def test_leader_that_answers_late_keeps_its_link(self):
        links_used = set()

        def renew_late(renewal, link):
            links_used.add(id(link))
            time.sleep(1.5 * links.RENEW_TIMEOUT_MS / 1000)
            return self.renew_as_leader(renewal, link)

        self.assert_leader_found([self.start_replica(renew_late)])
        while len(self.renewals) < 4:
            time.sleep(0.01)
        self.assertEqual(1, len(links_used))

    def test_link_on_which_the_leader_is_silent_is_replaced(self):
        answers = queue.Queue()
        silent_links = []

        def renew(renewal, link):
            if link in silent_links:
                return futures.Future()
            answers.put(link)
            return self.renew_as_leader(renewal, link)

        self.assert_leader_found([self.start_replica(renew)])
        silent_links.append(answers.get(timeout=TIMEOUT_S))
        while answers.get(timeout=TIMEOUT_S) in silent_links:
            pass

    # The same cause as of a word that a list without control ended: the leader
    # that does not confirm it was never told.
    def test_word_that_reached_no_leader_is_told_to_the_next_one(self):
        link = self.make_link([])
        endpoint = fleets.Endpoint('e1', 'svc', '127.0.0.1:1', 'p')
        link._state.apply_endpoints(messages.EndpointUpdate(1, 1, [endpoint]))
        link._state.record_leaving(endpoint)
        lost_leader = self.start_follower('')
        link._leader = lost_leader
        link._renew(lost_leader)
        self.assertIsNone(link._leader)
        link._leader = lost_leader
        later_ms = fleet_states._now_ms() + endpoint_notices.CONFIRM_MS + 1
        with mock.patch.object(fleet_states, '_now_ms', return_value=later_ms):
            renewal = link._renewals.make(0, False, [])
        link.close()
        self.assertEqual(['e1'], [r.endpoint_id for r in renewal.leaving])

    def make_link(self, seeds):
        state = fleet_states.FleetState(test_fleet_states.VersionReader())
        identity = host_reports.Identity('h', '127.0.0.1:1', 'p', 1)
        return links.ControlLink(
            identity, SECRET, lambda: seeds, state, self.report
        )

    def test_search_starts_with_few_replicas(self):
        """All hosts search at once while the replicas elect a leader."""
        seeds = [f'127.0.0.1:{n}' for n in range(9)]
        link = self.make_link(seeds)
        asked = link._addresses_to_ask()
        self.assertEqual(links.SEARCH_FANOUT, len(asked))

    def test_search_that_takes_longer_asks_further_replicas(self):
        """Those asked first may be cut off from the leader."""
        seeds = [f'127.0.0.1:{n}' for n in range(9)]
        link = self.make_link(seeds)
        asked = set()
        for _round in range(9 * links.ROUNDS_PER_FURTHER_REPLICA):
            link._responding |= set(link._addresses_to_ask())
            asked |= link._responding
            link._search_rounds += 1
        self.assertEqual(set(seeds), asked)

    def test_replica_that_does_not_respond_is_replaced(self):
        seeds = [f'127.0.0.1:{n}' for n in range(4)]
        link = self.make_link(seeds)
        first = link._addresses_to_ask()
        for address in first:
            link._pending_renewals[address] = futures.Future()
        second = link._addresses_to_ask()
        self.assertEqual(links.SEARCH_FANOUT, len(second))
        self.assertFalse(set(first) & set(second))

    def test_named_leader_is_asked_first(self):
        link = self.make_link(['127.0.0.1:1', '127.0.0.1:2'])
        link._remember_leader(
            wire_errors.RemoteError(messages.CODE_NOT_LEADER, '127.0.0.1:9')
        )
        self.assertEqual('127.0.0.1:9', link._addresses_to_ask()[0])
