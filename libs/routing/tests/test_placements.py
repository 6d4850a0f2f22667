"""Tests of the placement of model requests."""

import unittest

from masticquay_routing import engine_states
from masticquay_routing import fleets
from masticquay_routing import tickets
from tests import builders


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = builders.make_pool()

    def admit(self, number, now_ms=0, **more):
        self.pool.admit(builders.make_ticket(number, now_ms, **more))

    def pump(self, now_ms=0):
        return [outcome for _ticket, outcome in self.pool.pump(now_ms)]

    def test_prefill_apart_then_decode(self):
        self.admit(1)
        placement = self.pump()[0]
        self.assertEqual('e0', placement.prefill.endpoint_id)
        self.assertIn(placement.decode.endpoint_id, ('e1', 'e2'))

    def test_memory_is_reserved_before_the_prefill(self):
        """Burst: no prompt is read that finds no decode memory."""
        for number in range(20):
            self.admit(number, prompt=300, output=5_285)
        placed = self.pump()
        self.assertEqual(10, len(placed))
        for state in self.pool.engines.values():
            self.assertLessEqual(state.reserved_tokens, builders.MEMORY_TOKENS)
        self.assertEqual(10, self.pool.queue_length)

    def test_answers_are_counted_by_what_they_hold_on_average(self):
        """Long answers: streams in all stages share one engine's memory."""
        ticket = builders.make_ticket(1, prompt=1_000, output=1_000)
        held = 1_000 + 1_000 * tickets.OUTPUT_SHARE
        self.assertGreaterEqual(ticket.memory_tokens, held)
        self.assertLess(ticket.memory_tokens, held + tickets.BLOCK_TOKENS)

    def test_freed_memory_goes_to_who_waits(self):
        for number in range(11):
            self.admit(number, prompt=300, output=5_285)
        self.assertEqual(10, len(self.pump()))
        self.pool.withdraw(('host', 0), sound=True)
        self.assertEqual(1, len(self.pump()))

    def test_refused_when_it_would_be_late(self):
        for number in range(11):
            self.admit(number, prompt=300, output=5_285)
        self.pump()
        self.assertEqual([], self.pump(499))
        refusal = self.pump(501)[0]
        self.assertIsInstance(refusal, tickets.Refusal)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_who_came_back_late_waits_behind_who_can_be_on_time(self):
        """Clients that come back together do not push others out."""
        for number in range(10):
            self.admit(number, prompt=300, output=5_285)
        self.pump()
        self.admit(90, 10, urgent_until_ms=10, give_up_ms=5_000)
        self.admit(91, 20)
        self.pool.withdraw(('host', 0))
        ticket, _outcome = self.pool.pump(30)[0]
        self.assertEqual(('host', 91), ticket.key)

    def test_refused_request_that_returns_is_known_and_may_wait(self):
        """Clients that come back together: they ask under other numbers."""
        for number in range(10):
            self.admit(number, prompt=300, output=5_285)
        self.pump()
        self.admit(20, prompt_key='k')
        self.assertEqual(1, len(self.pump(501)))
        self.admit(21, 1_000, prompt_key='k', late_give_up_ms=5_000)
        self.assertEqual([], self.pump(4_000))
        self.admit(22, 4_000)
        self.pool.withdraw(('host', 0))
        ticket, _outcome = self.pool.pump(4_001)[0]
        self.assertEqual(('host', 22), ticket.key)

    def test_urgent_workspace_goes_first(self):
        for number in range(10):
            self.admit(number, prompt=300, output=5_285)
        self.pump()
        self.admit(90, 10, priority=2)
        self.admit(91, 20, priority=0)
        self.pool.withdraw(('host', 0))
        ticket, _outcome = self.pool.pump(30)[0]
        self.assertEqual(('host', 91), ticket.key)

    def test_decode_engine_reads_the_prompt_without_prefill_engines(self):
        """One stage lost: service goes on, with prompts spaced out."""
        self.pool = builders.make_pool(prefills=0, decodes=1)
        self.admit(1, 1_000)
        self.admit(2, 1_000)
        placements_made = self.pump(1_000)
        self.assertEqual(1, len(placements_made))
        self.assertIsNone(placements_made[0].prefill)
        later_ms = 1_000 + engine_states.SELF_PREFILL_SPACING_MS
        self.assertEqual(1, len(self.pump(later_ms)))

    def test_long_prefill_queue_spills_over(self):
        """Long prompts: decode engines help when prompts queue up."""
        for number in range(7):
            self.admit(number, 1_000, prompt=2_500)
        made = self.pump(1_000)
        self.assertTrue(any(p.prefill is None for p in made))
        self.assertTrue(any(p.prefill is not None for p in made))

    def test_prompts_read_in_one_batch_are_not_taken_for_speed(self):
        """Burst: completions come together."""
        for number in range(8):
            self.admit(number, prompt=1_000, output=100)
        self.pump()
        for number in range(8):
            pair_end_ms = 80 * (number // 2 + 1)
            self.pool.finish_prefill(('host', number), pair_end_ms)
        self.assertLess(self.pool.prefill_tokens_per_ms, 30)

    def test_prompt_that_could_only_be_late_is_not_read(self):
        """Long prompts: reading one that is late already keeps others out."""
        self.admit(1, prompt=9_000, urgent_until_ms=200, give_up_ms=500)
        self.assertEqual([], self.pump())

    def test_prompt_spacing_on_a_decode_engine(self):
        """Long prompts against long answers: pauses stay in bounds."""
        for number in range(12):
            self.admit(number, 1_000, prompt=2_500, output=100)
        whole = [p for p in self.pump(1_000) if p.prefill is None]
        names = [p.decode.endpoint_id for p in whole]
        self.assertEqual(len(names), len(set(names)))

    def place_whole(self, number, now_ms, prompt, **more):
        self.admit(number, now_ms, prompt=prompt, output=100, **more)
        return self.pump(now_ms)

    def test_slow_decode_engine_reads_only_what_pauses_little(self):
        """Long prompts: a slow engine's streams would pause for too long."""
        self.pool = builders.make_pool(prefills=0, decodes=1)
        for number in range(6):
            now_ms = 1_000 * number
            self.place_whole(number, now_ms, 2_000)
            self.pool.begin_decode(('host', number), now_ms + 600)
        self.pool.set_engines(
            [
                builders.make_engine(0, fleets.ROLE_DECODE),
                builders.make_engine(1, fleets.ROLE_DECODE),
            ],
            builders.MEMORY_TOKENS,
            builders.SLOTS,
        )
        for number in (10, 11):
            made = self.place_whole(number, 10_000 + 1_000 * number, 2_000)
            self.assertEqual('e1', made[0].decode.endpoint_id)

    def test_prompt_that_would_pause_streams_waits_for_the_prefill(self):
        """Long prompts: a queue at the prefill engine is the lesser evil."""
        for number in range(6):
            self.admit(number, 1_000, prompt=4_000, output=100)
        made = self.pump(1_000)
        self.assertTrue(made)
        self.assertTrue(all(p.prefill is not None for p in made))

    def test_long_prompts_share_an_engine_when_a_stage_is_lost(self):
        """One stage lost: one engine's streams pause, not everyone's."""
        self.pool = builders.make_pool(prefills=0, decodes=3)
        readers = set()
        for number in range(4):
            now_ms = 1_000 * number
            made = self.place_whole(number, now_ms, 4_000)
            readers.add(made[0].decode.endpoint_id)
            short = self.place_whole(number + 50, now_ms, 1_000)
            self.assertNotIn(short[0].decode.endpoint_id, readers)
        self.assertEqual(1, len(readers))

    def test_speed_is_learnt_without_the_queue(self):
        """Burst: prompts that queue do not make the engine look slow."""
        for number in range(5):
            self.admit(number, prompt=2_000)
        self.pump()
        for number in range(5):
            self.pool.finish_prefill(('host', number), 100 * (number + 1))
        self.assertAlmostEqual(
            25.9, self.pool.prefill_tokens_per_ms, delta=3.0
        )
        self.assertEqual(0, self.pool.engines['e0'].prefill_tokens)

    def test_time_spent_on_a_failed_prompt_is_not_taken_for_slowness(self):
        """Lost answers: the engine read what never came back."""
        for number in range(2):
            self.admit(number, prompt=3_000)
        self.pump()
        before = self.pool.prefill_tokens_per_ms
        self.pool.withdraw(('host', 0))
        self.pool.finish_prefill(('host', 1), 600)
        self.assertEqual(before, self.pool.prefill_tokens_per_ms)

    def test_failing_engine_is_left_aside_for_a_while(self):
        for _ in range(3):
            self.pool.note_trouble('e1', 0)
        self.admit(1)
        self.assertEqual('e2', self.pump()[0].decode.endpoint_id)
        self.assertFalse(self.pool.engines['e1'].usable(0))
        self.assertTrue(self.pool.engines['e1'].usable(60_000))

    def test_some_lost_answers_are_no_reason_to_leave_it_aside(self):
        """Grey endpoint: one answer in five is lost on its way."""
        for number in range(50):
            self.admit(number, number * 1_000)
            placement = self.pump(number * 1_000)[0]
            self.pool.begin_decode(('host', number), 1_000)
            lost = number % 5 == 0
            if lost:
                self.pool.note_trouble(placement.decode.endpoint_id, 0)
            self.pool.withdraw(('host', number), sound=not lost)
        self.assertTrue(self.pool.engines['e1'].usable(0))
        self.assertTrue(self.pool.engines['e2'].usable(0))

    def test_unreached_engine_is_left_aside_after_two(self):
        for _ in range(2):
            self.pool.note_trouble('e1', 0, reached=False)
        self.assertFalse(self.pool.engines['e1'].usable(0))

    def test_failed_engine_is_probed_by_one_request(self):
        """One stage lost: few requests find out whether it is back."""
        for _ in range(2):
            self.pool.note_trouble('e0', 0, reached=False)
        later_ms = engine_states.EJECT_MIN_MS + 1
        self.admit(1, later_ms)
        self.assertEqual('e0', self.pump(later_ms)[0].prefill.endpoint_id)
        self.admit(2, later_ms)
        self.assertIsNone(self.pump(later_ms)[0].prefill)
        self.pool.finish_prefill(('host', 1), later_ms + 100)
        self.assertTrue(self.pool.engines['e0'].usable(later_ms + 100))

    def test_last_engine_of_a_role_is_tried_again_soon(self):
        for now_ms in range(0, 40_000, 1_600):
            for _ in range(3):
                self.pool.note_trouble('e0', now_ms, reached=False)
        until_ms = self.pool.engines['e0'].ejected_until_ms
        self.assertLessEqual(until_ms, 40_000 + engine_states.EJECT_MIN_MS)

    def test_never_more_than_half_are_left_aside(self):
        for name in ('e0', 'e1', 'e2'):
            for _ in range(5):
                self.pool.note_trouble(name, 0)
        usable = [e for e in self.pool.engines.values() if e.usable(0)]
        self.assertGreaterEqual(len(usable), 2)

    def test_broken_stream_goes_on_where_its_prompt_is_kept(self):
        self.admit(1, prefer='e2')
        placement = self.pump()[0]
        self.assertIsNone(placement.prefill)
        self.assertEqual('e2', placement.decode.endpoint_id)

    def test_failing_engine_is_not_gone_back_to(self):
        for _ in range(2):
            self.pool.note_trouble('e2', 0)
        self.admit(1, prefer='e2')
        self.assertEqual('e1', self.pump()[0].decode.endpoint_id)

    def test_prompt_at_hand_needs_no_prefill(self):
        self.admit(1, prefilled=True)
        self.assertIsNone(self.pump()[0].prefill)

    def test_engine_that_refused_is_left_alone_shortly(self):
        """Its role or memory is not what the list and the account say."""
        self.pool.note_refusal('e1', 0, 300)
        self.admit(1)
        self.assertEqual('e2', self.pump()[0].decode.endpoint_id)
        self.assertTrue(self.pool.engines['e1'].usable(300))

    def test_leaving_engine_gets_no_new_work(self):
        engines = [
            builders.make_engine(0, fleets.ROLE_PREFILL),
            builders.make_engine(1, fleets.ROLE_DECODE, leaving=True),
            builders.make_engine(2, fleets.ROLE_DECODE),
        ]
        self.pool.set_engines(engines, builders.MEMORY_TOKENS, builders.SLOTS)
        for number in range(4):
            self.admit(number)
        names = {p.decode.endpoint_id for p in self.pump()}
        self.assertEqual({'e2'}, names)

    def test_engine_that_returns_keeps_its_account(self):
        self.admit(1)
        placement = self.pump()[0]
        engines = [e.endpoint for e in self.pool.engines.values()]
        self.pool.set_engines([], builders.MEMORY_TOKENS, builders.SLOTS)
        self.pool.set_engines(engines, builders.MEMORY_TOKENS, builders.SLOTS)
        state = self.pool.engines[placement.decode.endpoint_id]
        self.assertEqual(1, state.running)
        self.assertEqual(3_712, state.reserved_tokens)

    def test_lost_host_frees_all_it_held(self):
        for number in range(8):
            self.admit(number)
        self.pump()
        self.pool.release_host('host')
        self.assertEqual(0, self.pool.running_count)
        for state in self.pool.engines.values():
            self.assertEqual(0, state.reserved_tokens)

    def test_adopted_request_counts_once(self):
        self.pool.adopt(('host', 5), 'e1', 4_000, 3_000)
        self.pool.adopt(('host', 5), 'e1', 4_000, 3_000)
        self.assertEqual(4_000, self.pool.engines['e1'].reserved_tokens)


class ExpectedOutputTest(unittest.TestCase):
    def test_hint_is_bounded_by_the_limit(self):
        self.assertEqual(500, tickets.expected_output(800, 500))
        self.assertEqual(110, tickets.expected_output(100, 500))

    def test_without_hint_the_limit_counts(self):
        self.assertEqual(500, tickets.expected_output(None, 500))
