"""Tests of sharing out the slots of a scarce plain service."""

import random
import unittest

from masticquay_routing import fleets
from masticquay_routing import server_loads
from masticquay_routing import slot_messages
from masticquay_routing import slot_pools
from masticquay_routing import slot_returns
from tests import slot_benches

SEEDS = (1, 2, 3, 4)
BURST_FACTOR = 2.3
# 1.2 times what the endpoints can do, so a sixth cannot be on time.
OVERLOAD_FACTOR = 4.6
MAX_OVERLOAD_LATE_SHARE = 1 / 3
WARM_UP_MS = 6_000
BURST_MS = 6_000
MAX_REJECTED_SHARE = 0.02
MAX_LATE_FACTOR = 0.5
# Some endpoints run so much slower for so large a part of the time.
SLOWNESS = 2.5
SLOW_SHARE = 1 / 7
PHASE_MS = 500
NOW_MS = 50_000


def play_burst(seed, has_pool, has_slow_phases=False):
    """Returns a bench after a burst of 2.3 times its usual load."""
    bench = slot_benches.Bench(seed, has_pool)

    def change_phase():
        for server in bench.servers.values():
            is_slow = bench.rng.random() < SLOW_SHARE
            server.slowness = SLOWNESS if is_slow else 1.0
        bench.after(PHASE_MS, change_phase)

    if has_slow_phases:
        change_phase()
    bench.run(WARM_UP_MS)
    bench.reset_counts()
    bench.per_s *= BURST_FACTOR
    bench.run(BURST_MS)
    return bench


class SlotLoadTest(unittest.TestCase):
    # Guards against full endpoints that hosts fill further, as each knows its
    # own requests: 13 % of the arrivals were rejected, 45 % of a burst late.
    def check_bursts(self, has_slow_phases):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                usual = play_burst(seed, False, has_slow_phases)
                pooled = play_burst(seed, True, has_slow_phases)
                self.assertLess(pooled.rejected_share, MAX_REJECTED_SHARE)
                self.assertLessEqual(
                    pooled.late_share, MAX_LATE_FACTOR * usual.late_share
                )
                self.assertLessEqual(pooled.refusals, usual.refusals)

    def test_76_hosts_hardly_overfill_3_endpoints_in_a_burst(self):
        self.check_bursts(has_slow_phases=False)

    def test_endpoints_that_are_slow_at_times_are_not_overfilled(self):
        self.check_bursts(has_slow_phases=True)

    # Guards against a queue in which each request waits until only the
    # quickest endpoint could answer it on time: half of them came late.
    def test_most_are_on_time_beyond_the_capacity_of_the_endpoints(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                bench = slot_benches.Bench(seed, True)
                bench.run(WARM_UP_MS)
                bench.reset_counts()
                bench.per_s *= OVERLOAD_FACTOR
                bench.run(BURST_MS)
                self.assertLess(bench.late_share, MAX_OVERLOAD_LATE_SHARE)

    def test_false_loads_change_little(self):
        """An endpoint may report that it is idle, or busy beyond measure."""
        for load in (
            server_loads.ServerLoad(0, 0, 1_000_000, 1),
            server_loads.ServerLoad(1_000_000, 1_000_000, 1, 1),
        ):
            with self.subTest(load=load):
                bench = slot_benches.Bench(1, True)
                bench.reported_load = load
                bench.per_s *= BURST_FACTOR
                bench.run(BURST_MS)
                self.assertLess(bench.rejected_share, MAX_REJECTED_SHARE)
                self.assertEqual(0, bench.refusals)

    def test_each_endpoint_of_usual_speed_gets_a_quarter_of_its_share(self):
        for per_s in (10.0, 61.6, 140.0):
            with self.subTest(per_s=per_s):
                bench = slot_benches.Bench(
                    1, True, per_s=per_s, works=(63.0, 80.0, 90.0)
                )
                bench.run(WARM_UP_MS)
                counts = [s.arrivals for s in bench.servers.values()]
                self.assertGreaterEqual(min(counts), sum(counts) / 12)


class SlotPoolTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = NOW_MS
        self.pool = slot_pools.SlotPool(random.Random(1))
        self.set_slots(2)

    def set_slots(self, *slots):
        self.pool.set_endpoints(
            [
                fleets.Endpoint(f'e{n}', 'svc', f'127.0.0.1:{n}', 'p', count)
                for n, count in enumerate(slots)
            ]
        )

    def ask(self, number, host='h1', priority=1, target_ms=5_000, **fields):
        """Returns the answer to a request, None while it waits."""
        fields = {'deadline_ms': 10_000, 'tried_ids': [], **fields}
        answer = self.pool.ask(
            slot_messages.AskSlot(
                host, number, 'svc', priority, target_ms, **fields
            ),
            self.now_ms,
        )
        return answer or dict(self.plan()).get((host, number))

    def plan(self):
        return self.pool.plan(self.now_ms)

    def end(self, number, host='h1', **fields):
        """Ends a request; returns the numbers of those that get a slot."""
        ended = slot_messages.SlotEnded(host, number, 'svc', **fields)
        self.pool.end(ended, self.now_ms)
        return [key[1] for key, answer in self.plan() if answer.endpoint_id]

    def fill(self):
        for number in (1, 2):
            self.assertEqual('e0', self.ask(number).endpoint_id)

    def test_waiting_request_gets_the_slot_of_one_that_ended(self):
        self.fill()
        self.assertIsNone(self.ask(3))
        self.assertEqual([3], self.end(1))

    def test_order_is_on_time_before_late_then_priority_then_arrival(self):
        self.fill()
        self.ask(3, target_ms=0)
        self.ask(4, priority=2)
        self.ask(5)
        self.ask(6, age_ms=50)
        order = []
        for number in (1, 2, 6, 5):
            order += self.end(number)
        self.assertEqual([6, 5, 4, 3], order)

    # Guards against starvation: on-time requests come first for ever.
    def test_late_request_that_waited_gets_one_in_eight_grants(self):
        self.fill()
        self.ask(100, target_ms=0, deadline_ms=3_000)
        ended = [1, 2]
        for number in range(3, 40):
            self.now_ms += 50
            self.ask(number)
            # The hosts of waiting requests ask on.
            self.ask(100)
            ended += self.end(ended.pop(0))
            if 100 in ended:
                break
        # It is overdue after a quarter of its remaining time, 600 ms.
        self.assertLessEqual(self.now_ms - NOW_MS, 600 + 9 * 50)

    def test_request_that_cannot_end_by_its_deadline_is_refused_at_once(self):
        self.fill()
        for number in range(3, 20):
            self.ask(number)
        answer = self.ask(50, deadline_ms=300)
        self.assertGreater(answer.return_ms, 0)
        self.assertEqual('', answer.endpoint_id)

    def test_waiting_request_is_refused_when_its_deadline_comes(self):
        self.fill()
        self.assertIsNone(self.ask(3, deadline_ms=200))
        self.now_ms += 170
        [(key, answer)] = self.plan()
        self.assertEqual(('h1', 3), key)
        self.assertGreater(answer.return_ms, 0)

    def test_refused_callers_return_one_after_the_other(self):
        self.fill()
        waits_ms = [
            self.ask(n, deadline_ms=10).return_ms for n in range(3, 13)
        ]
        # Two slots of 100 ms get free each 50 ms.
        steps_ms = [
            later - earlier
            for earlier, later in zip(waits_ms, waits_ms[1:], strict=False)
        ]
        self.assertGreaterEqual(min(steps_ms), 50)
        self.assertLessEqual(max(waits_ms), slot_returns.RETURN_MAX_MS)

    def test_host_hears_that_its_request_waits_and_asks_on(self):
        self.fill()
        self.ask(3)
        self.now_ms += slot_pools.HOLD_MS
        [(_key, answer)] = self.plan()
        self.assertGreater(answer.wait_ms, 0)
        # Nobody waits for the answer meanwhile.
        self.assertEqual([], self.end(1))
        self.assertEqual('e0', self.ask(3).endpoint_id)

    def test_request_whose_host_does_not_ask_on_is_dropped(self):
        self.fill()
        self.ask(3)
        self.now_ms += slot_pools.HOLD_MS
        self.plan()
        self.now_ms += slot_pools.ASK_ON_MS
        self.pool.expire(self.now_ms)
        self.assertEqual(0, self.pool.queue_length)

    def test_new_leader_counts_the_slots_that_hosts_hold(self):
        slots = {
            n: slot_messages.HeldSlot(n, 'svc', 'e0', 5_000) for n in (1, 2)
        }
        self.pool.reconcile('h1', 2, slots, self.now_ms)
        self.assertIsNone(self.ask(3, host='h2'))
        self.assertEqual([3], self.end(1))

    def test_new_leader_counts_what_hosts_run_without_slots(self):
        self.pool.record_others('h1', 'e0', 2, self.now_ms)
        self.assertIsNone(self.ask(1, host='h2'))

    def test_slots_whose_end_was_not_told_are_freed(self):
        self.fill()
        lost = self.pool.reconcile('h1', 2, {}, self.now_ms)
        self.assertEqual([('h1', 1), ('h1', 2)], lost)
        self.assertEqual('e0', self.ask(3).endpoint_id)

    def test_account_from_before_an_end_takes_no_slot(self):
        self.fill()
        self.end(1)
        held = {1: slot_messages.HeldSlot(1, 'svc', 'e0', 5_000)}
        self.pool.reconcile('h1', 1, held, self.now_ms)
        self.assertEqual('e0', self.ask(3).endpoint_id)

    def test_grant_ends_with_its_deadline(self):
        self.ask(1, deadline_ms=1_000)
        self.ask(2)
        self.now_ms += 1_000
        self.pool.expire(self.now_ms)
        self.assertEqual(1, self.pool.granted_count)

    def test_lost_host_frees_its_slots(self):
        self.fill()
        self.ask(3, host='h2')
        self.assertEqual([], self.pool.release_host('h1'))
        [(key, _answer)] = self.plan()
        self.assertEqual(('h2', 3), key)

    # Guards against slots that are granted in vain: an endpoint had asked the
    # host of waiting requests for a pause, and the leader did not know it.
    def test_endpoint_that_pauses_for_a_host_is_granted_to_others_only(self):
        self.set_slots(1, 1)
        self.ask(1)
        self.ask(2)
        self.ask(3)
        self.ask(4, host='h2')
        self.assertEqual([4], self.end(1, pause_ms=3_000))
        # The one that was passed over has kept its place.
        self.ask(5)
        self.assertEqual([3], self.end(2))
        self.now_ms += 3_000
        self.ask(5)
        self.assertEqual([5], self.end(4, host='h2'))

    def test_request_returns_when_the_first_pause_ends_too_late_for_it(self):
        self.fill()
        self.assertIsNone(self.ask(3, deadline_ms=2_900))
        self.pool.record_pause('h1', 'e0', 3_000, self.now_ms)
        [(key, answer)] = self.plan()
        self.assertEqual((('h1', 3), 3_000), (key, answer.return_ms))

    def test_request_waits_for_a_pause_that_ends_in_time(self):
        self.fill()
        self.assertIsNone(self.ask(3))
        self.assertEqual([], self.end(1, pause_ms=3_000))
        self.now_ms += slot_pools.HOLD_MS
        [(_key, answer)] = self.plan()
        self.assertEqual(3_000 - slot_pools.HOLD_MS, answer.wait_ms)
        self.assertIsNone(self.ask(3))
        self.now_ms += answer.wait_ms
        self.assertEqual('e0', self.ask(3).endpoint_id)

    def test_lost_host_ends_its_pauses(self):
        self.pool.record_pause('h1', 'e0', 3_000, self.now_ms)
        self.pool.release_host('h1')
        self.assertEqual('e0', self.ask(1).endpoint_id)

    def test_endpoint_that_rejected_a_request_gets_none_for_a_moment(self):
        self.set_slots(2, 2)
        chosen_id = self.ask(1).endpoint_id
        self.end(1, is_rejected=True)
        others = {self.ask(n).endpoint_id for n in (2, 3)}
        self.assertNotIn(chosen_id, others)
        self.now_ms += 51
        self.assertEqual(chosen_id, self.ask(4).endpoint_id)

    # Guards against an endpoint that rejects all and so always has free slots:
    # it used up the attempts and the retry budget of each request.
    def test_endpoint_that_rejects_all_gets_less_and_less(self):
        self.set_slots(1, 2)
        asked_ids = []
        for number in range(100):
            answer = self.ask(number)
            asked_ids.append(answer.endpoint_id)
            is_rejected = answer.endpoint_id == 'e0'
            self.end(
                number,
                is_rejected=is_rejected,
                duration_ms=0.0 if is_rejected else 20.0,
            )
            self.now_ms += 20
        self.assertLess(asked_ids.count('e0'), 8)
        # It is used again once it runs requests.
        self.now_ms += 800
        self.assertEqual(
            {'e0', 'e1'}, {self.ask(n).endpoint_id for n in (200, 201, 202)}
        )

    def test_endpoints_that_are_unusable_get_nothing(self):
        self.set_slots(2, 2)
        self.pool.set_ejected('e0', self.now_ms + 1_000)
        self.assertEqual('e1', self.ask(1).endpoint_id)
        answer = self.ask(2, tried_ids=['e1'])
        # The host chooses among what the pool does not use.
        self.assertEqual(slot_messages.SlotAnswer(), answer)

    def test_endpoint_at_a_slow_pace_is_the_last_choice(self):
        self.set_slots(4, 4)
        for number, pace in enumerate((250, 100)):
            tried_ids = [f'e{1 - number}']
            self.ask(number, tried_ids=tried_ids)
            load = server_loads.ServerLoad(1, 0, 4, pace)
            self.end(number, duration_ms=100.0 * pace / 100, load=load)
        chosen = {self.ask(n).endpoint_id for n in range(10, 14)}
        self.assertEqual({'e1'}, chosen)

    # Guards against an endpoint that fails at once, whose slots are free.
    def test_endpoint_that_fails_gets_little_until_it_is_sound(self):
        self.set_slots(2, 2)
        counts = dict.fromkeys(('e0', 'e1'), 0)
        for number in range(40):
            endpoint_id = self.ask(number).endpoint_id
            counts[endpoint_id] += 1
            is_failing = endpoint_id == 'e0'
            self.end(
                number,
                duration_ms=0.0 if is_failing else 100.0,
                has_failed=is_failing,
            )
            self.now_ms += 20
        self.assertLess(counts['e0'], 4)
        self.now_ms += 5_000
        chosen = {self.ask(n).endpoint_id for n in (50, 51)}
        self.assertEqual({'e0', 'e1'}, chosen)

    # Guards against a slot that is granted while its endpoint still works.
    def test_request_whose_caller_left_keeps_its_slot_for_its_work(self):
        self.set_slots(1)
        self.ask(1)
        self.assertEqual([], self.end(1, may_run=True))
        self.assertIsNone(self.ask(2))
        self.now_ms += 100
        [(key, _answer)] = self.plan()
        self.assertEqual(('h1', 2), key)

    def test_service_is_scarce_while_most_slots_are_taken(self):
        self.assertFalse(self.pool.is_scarce(self.now_ms))
        self.fill()
        self.assertTrue(self.pool.is_scarce(self.now_ms))
        self.end(1)
        self.end(2)
        self.now_ms += slot_pools.SCARCE_TTL_MS
        self.assertFalse(self.pool.is_scarce(self.now_ms))
