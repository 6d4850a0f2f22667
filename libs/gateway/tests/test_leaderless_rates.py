"""Tests of charges to rate limits while the leader is unreachable."""

from concurrent import futures
import unittest

from masticquay_gateway import fleet_states
from masticquay_gateway import leaderless_rates
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import rate_messages
from masticquay_routing import tables
from masticquay_serving import counters
from masticquay_wire import errors as wire_errors
from tests import test_fleet_states

RATE = 36_000.0
HOST_COUNT = 9
LARGE_COST = 3_271.0


class LimitReader:
    """Reads a table with one workspace that has a rate limit."""

    def read(self, document):
        workspace = tables.Workspace('w', ['k'], None, True, 1, RATE, RATE)
        return tables.Table(
            int(document), [], [], [workspace], tables.CallerLimits(1, 2, 3, 4)
        )


class FakeLink:
    """A link to replicas that answer in order, with errors among them.

    :param lost_for_ms: how long ago the leader was lost
    """

    def __init__(self, answers=(), lost_for_ms=10_000):
        self.answers = dict(enumerate(answers))
        self.leader_lost_ms = leaderless_rates._now_ms() - lost_for_ms
        self.leader_is_found = False
        self.finds_leader = False
        self.sent = []

    @property
    def responding_replicas(self):
        return list(self.answers)

    def wait_for_leader(self, timeout_ms):
        return self.leader_is_found or (self.finds_leader and timeout_ms > 0)

    def submit_to(self, address, message, timeout_ms):
        self.sent.append(message)
        future = futures.Future()
        answer = self.answers[address]
        if isinstance(answer, Exception):
            future.set_exception(answer)
        else:
            future.set_result(rate_messages.RateCharged(answer))
        return future


class LeaderlessRatesTest(unittest.TestCase):
    def charge(self, link, cost, workspace='w', host_count=HOST_COUNT):
        self.state = fleet_states.FleetState(LimitReader())
        self.state.apply_table(test_fleet_states.make_update(1))
        hosts = [
            fleets.Host(f'h{n}', f'127.0.0.1:{n}', 'p')
            for n in range(host_count)
        ]
        if hosts:
            self.state.apply_hosts(messages.HostUpdate(1, 1, hosts))
        rates = leaderless_rates.LeaderlessRates(
            'h', link, self.state, counters.Registry()
        )
        return rates.charge(workspace, cost)

    def test_cost_within_the_share_of_the_host_is_charged_to_it(self):
        link = FakeLink([0])
        self.assertEqual(0, self.charge(link, 200.0).wait_ms)
        self.assertEqual([], link.sent)

    def test_larger_cost_is_charged_to_a_replica(self):
        link = FakeLink([0])
        charge = self.charge(link, LARGE_COST)
        self.assertEqual((0, 'replica'), (charge.wait_ms, charge.by))
        sent = link.sent[0]
        self.assertEqual(
            ('w', LARGE_COST, RATE, RATE, 1),
            (
                sent.workspace,
                sent.cost,
                sent.rate_per_s,
                sent.burst,
                sent.table_version,
            ),
        )

    def test_refusals_of_replicas_give_the_shortest_wait(self):
        link = FakeLink(
            [900, wire_errors.RemoteError(messages.CODE_NOT_LEADER, ''), 300]
        )
        charge = self.charge(link, LARGE_COST)
        self.assertEqual((300, 'replica'), (charge.wait_ms, charge.by))

    def test_replica_with_a_short_wait_is_asked_once_more(self):
        link = FakeLink([20])
        charge = self.charge(link, LARGE_COST)
        self.assertEqual((20, 'replica'), (charge.wait_ms, charge.by))
        self.assertEqual(2, len(link.sent))

    # Guards against requests within the limit that are refused while the
    # replicas elect a leader.
    def test_request_that_replicas_refuse_waits_for_the_next_leader(self):
        link = FakeLink([900], lost_for_ms=0)
        link.finds_leader = True
        self.assertTrue(self.charge(link, LARGE_COST).leader_found)
        self.assertEqual(1, len(link.sent))

    def test_request_is_refused_at_once_when_no_leader_is_elected(self):
        link = FakeLink([900])
        link.finds_leader = True
        self.assertEqual(900, self.charge(link, LARGE_COST).wait_ms)

    # Guards against QUOTA: each of many hosts let a request through that cost
    # many times its share of the rate.
    def test_host_without_replicas_rarely_lets_large_requests_run(self):
        let_run = sum(
            not self.charge(FakeLink(), LARGE_COST, host_count=191).wait_ms
            for _ in range(191)
        )
        share = 0.25 * RATE / LARGE_COST
        self.assertLess(let_run, share + 8 * share**0.5)

    def test_host_that_knows_no_hosts_assumes_a_large_fleet(self):
        self.charge(FakeLink(), LARGE_COST, host_count=0)
        self.assertEqual(fleet_states.MOST_HOSTS, self.state.rate_host_count)

    def test_request_is_left_to_a_leader_that_is_found(self):
        link = FakeLink(lost_for_ms=0)
        link.finds_leader = True
        self.assertTrue(self.charge(link, LARGE_COST).leader_found)

    def test_leader_that_is_slow_to_answer_is_not_asked_for_again(self):
        link = FakeLink([0])
        link.leader_is_found = True
        charge = self.charge(link, LARGE_COST)
        self.assertEqual('draw', charge.by)
        self.assertEqual([], link.sent)

    def test_workspace_without_a_limit_is_not_charged(self):
        link = FakeLink()
        self.assertEqual(0, self.charge(link, 1e9, workspace='x').wait_ms)
