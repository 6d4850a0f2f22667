"""Tests of the placement of model requests."""

import unittest

from masticquay_routing import engine_states
from masticquay_routing import fleets
from masticquay_routing import queued_requests
from tests import builders


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = builders.make_pool()

    def admit(self, number, now_ms=0, **overrides):
        self.pool.admit(builders.make_request(number, now_ms, **overrides))

    def place_waiting(self, now_ms=0):
        return [
            outcome for _request, outcome in self.pool.place_waiting(now_ms)
        ]

    def test_prefill_and_decode_run_on_separate_engines(self):
        self.admit(1)
        placement = self.place_waiting()[0]
        self.assertEqual('e0', placement.prefill.endpoint_id)
        self.assertIn(placement.decode.endpoint_id, ('e1', 'e2'))

    def test_memory_is_reserved_before_the_prefill(self):
        """In a burst, no prompt is prefilled without decode memory."""
        for number in range(20):
            self.admit(number, prompt=300, output=5_285)
        placed = self.place_waiting()
        self.assertEqual(10, len(placed))
        for state in self.pool.engines.values():
            self.assertLessEqual(state.reserved_tokens, builders.MEMORY_TOKENS)
        self.assertEqual(10, self.pool.queue_length)

    def test_average_length_of_answers_is_reserved(self):
        """Long answers on one engine are at different stages of generation."""
        request = builders.make_request(1, prompt=1_000, output=1_000)
        held_tokens = 1_000 + 1_000 * queued_requests.MEAN_OUTPUT_SHARE
        self.assertGreaterEqual(request.memory_tokens, held_tokens)
        self.assertLess(
            request.memory_tokens, held_tokens + queued_requests.BLOCK_TOKENS
        )

    def test_freed_memory_goes_to_a_waiting_request(self):
        for number in range(11):
            self.admit(number, prompt=300, output=5_285)
        self.assertEqual(10, len(self.place_waiting()))
        self.pool.remove(('host', 0), succeeded=True)
        self.assertEqual(1, len(self.place_waiting()))

    def test_stall_of_an_engine_that_serves_others_is_no_failure(self):
        """Its queue is long; without it, no prompt could be prefilled."""
        self.admit(1)
        self.place_waiting()
        self.pool.finish_prefill(('host', 1), 100)
        for _ in range(10):
            self.pool.record_failure('e0', 200, reached=True, stalled=True)
        self.assertTrue(self.pool.engines['e0'].is_usable(200))

    def test_stall_of_an_engine_that_serves_nothing_is_a_failure(self):
        for _ in range(10):
            self.pool.record_failure('e0', 5_000, reached=True, stalled=True)
        self.assertFalse(self.pool.engines['e0'].is_usable(5_000))

    def test_request_is_refused_after_its_wait(self):
        for number in range(11):
            self.admit(number, prompt=300, output=5_285)
        self.place_waiting()
        self.assertEqual([], self.place_waiting(499))
        refusal = self.place_waiting(501)[0]
        self.assertIsInstance(refusal, queued_requests.Refusal)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_late_request_waits_behind_one_that_can_be_on_time(self):
        """Late requests, such as immediate retries, do not delay new ones."""
        for number in range(10):
            self.admit(number, prompt=300, output=5_285)
        self.place_waiting()
        self.admit(90, 10, target_deadline_ms=10, placement_deadline_ms=5_000)
        self.admit(91, 20)
        self.pool.remove(('host', 0))
        request, _outcome = self.pool.place_waiting(30)[0]
        self.assertEqual(('host', 91), request.key)

    def test_retry_of_a_refused_request_is_late_and_may_wait(self):
        """Retries have new request numbers, but the same prompt."""
        for number in range(10):
            self.admit(number, prompt=300, output=5_285)
        self.place_waiting()
        self.admit(20, prompt_key='k')
        self.assertEqual(1, len(self.place_waiting(501)))
        self.admit(21, 1_000, prompt_key='k', late_placement_deadline_ms=5_000)
        self.assertEqual([], self.place_waiting(4_000))
        self.admit(22, 4_000)
        self.pool.remove(('host', 0))
        request, _outcome = self.pool.place_waiting(4_001)[0]
        self.assertEqual(('host', 22), request.key)

    def test_lower_priority_number_goes_first(self):
        for number in range(10):
            self.admit(number, prompt=300, output=5_285)
        self.place_waiting()
        self.admit(90, 10, priority=2)
        self.admit(91, 20, priority=0)
        self.pool.remove(('host', 0))
        request, _outcome = self.pool.place_waiting(30)[0]
        self.assertEqual(('host', 91), request.key)

    def test_local_prefills_without_prefill_engines(self):
        """All prefill engines are lost: local prefills run at intervals."""
        self.pool = builders.make_pool(prefills=0, decodes=1)
        self.admit(1, 1_000)
        self.admit(2, 1_000)
        placements = self.place_waiting(1_000)
        self.assertEqual(1, len(placements))
        self.assertIsNone(placements[0].prefill)
        later_ms = 1_000 + engine_states.LOCAL_PREFILL_INTERVAL_MS
        self.assertEqual(1, len(self.place_waiting(later_ms)))

    def test_long_prefill_backlog_causes_local_prefills(self):
        """Decode engines run local prefills when long prompts queue up."""
        for number in range(7):
            self.admit(number, 1_000, prompt=2_500)
        placements = self.place_waiting(1_000)
        self.assertTrue(any(p.prefill is None for p in placements))
        self.assertTrue(any(p.prefill is not None for p in placements))

    def test_prompts_of_one_batch_do_not_raise_the_speed(self):
        """In a burst, prefills complete together."""
        for number in range(8):
            self.admit(number, prompt=1_000, output=100)
        self.place_waiting()
        for number in range(8):
            step_end_ms = 80 * (number // 2 + 1)
            self.pool.finish_prefill(('host', number), step_end_ms)
        self.assertLess(self.pool.prefill_tokens_per_ms, 30)

    def test_prompt_that_would_be_late_is_not_placed(self):
        """Prefilling a long prompt that is late anyway delays others."""
        self.admit(
            1, prompt=9_000, target_deadline_ms=200, placement_deadline_ms=500
        )
        self.assertEqual([], self.place_waiting())

    def test_prompt_that_cannot_be_read_in_time_is_refused_at_once(self):
        """Its caller would have gone when the prompt was read."""
        for number, give_up_at_ms in ((1, 100), (2, 400), (3, 0)):
            self.admit(number, prompt=9_000, give_up_at_ms=give_up_at_ms)
        outcomes = {
            request.key[1]: outcome
            for request, outcome in self.pool.place_waiting(0)
        }
        self.assertIsInstance(outcomes[1], queued_requests.Refusal)
        self.assertIsInstance(outcomes[2], queued_requests.Placement)
        self.assertNotIn(3, outcomes)

    def test_stream_that_goes_on_is_not_refused_for_lack_of_time(self):
        """Its caller has a part of it, and goes on reading."""
        self.admit(1, prompt=9_000, give_up_at_ms=100, preferred_id='e1')
        self.assertEqual('e1', self.place_waiting()[0].decode.endpoint_id)

    def test_prefill_without_result_is_no_backlog_after_the_first_token(self):
        """The decode engine has read the prompt instead."""
        self.admit(1, prompt=9_000)
        self.place_waiting()
        self.pool.begin_decode(('host', 1), 700)
        self.assertEqual(0, self.pool.engines['e0'].pending_prefill_tokens)

    def test_one_local_prefill_at_a_time_per_engine(self):
        """Long prompts stall the streams of long answers only briefly."""
        for number in range(12):
            self.admit(number, 1_000, prompt=2_500, output=100)
        local_prefills = [
            p for p in self.place_waiting(1_000) if p.prefill is None
        ]
        names = [p.decode.endpoint_id for p in local_prefills]
        self.assertEqual(len(names), len(set(names)))

    def admit_and_pump(self, number, now_ms, prompt, **overrides):
        self.admit(number, now_ms, prompt=prompt, output=100, **overrides)
        return self.place_waiting(now_ms)

    def test_slow_decode_engine_gets_no_local_prefill_that_stalls(self):
        """On a slow engine a long prompt would stall streams for too long."""
        self.pool = builders.make_pool(prefills=0, decodes=1)
        for number in range(6):
            now_ms = 1_000 * number
            self.admit_and_pump(number, now_ms, 2_000)
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
            placements = self.admit_and_pump(
                number, 10_000 + 1_000 * number, 2_000
            )
            self.assertEqual('e1', placements[0].decode.endpoint_id)

    def test_prompt_that_would_stall_streams_uses_the_prefill_engine(self):
        """A backlog at the prefill engine is better than stalled streams."""
        for number in range(6):
            self.admit(number, 1_000, prompt=4_000, output=100)
        placements = self.place_waiting(1_000)
        self.assertTrue(placements)
        self.assertTrue(all(p.prefill is not None for p in placements))

    def test_long_local_prefills_share_one_engine(self):
        """All prefill engines are lost: only one engine's streams stall."""
        self.pool = builders.make_pool(prefills=0, decodes=3)
        long_prompt_engines = set()
        for number in range(4):
            now_ms = 1_000 * number
            placements = self.admit_and_pump(number, now_ms, 4_000)
            long_prompt_engines.add(placements[0].decode.endpoint_id)
            short_prompt_placements = self.admit_and_pump(
                number + 50, now_ms, 1_000
            )
            self.assertNotIn(
                short_prompt_placements[0].decode.endpoint_id,
                long_prompt_engines,
            )
        self.assertEqual(1, len(long_prompt_engines))

    def test_queueing_does_not_lower_the_speed(self):
        """In a burst, the time in the queue is no part of the sample."""
        for number in range(5):
            self.admit(number, prompt=2_000)
        self.place_waiting()
        for number in range(5):
            self.pool.finish_prefill(('host', number), 100 * (number + 1))
        self.assertAlmostEqual(
            25.9, self.pool.prefill_tokens_per_ms, delta=3.0
        )
        self.assertEqual(0, self.pool.engines['e0'].pending_prefill_tokens)

    def test_cancelled_prefill_does_not_lower_the_speed(self):
        """Part of the time was spent on the cancelled prompt."""
        for number in range(2):
            self.admit(number, prompt=3_000)
        self.place_waiting()
        before = self.pool.prefill_tokens_per_ms
        self.pool.remove(('host', 0))
        self.pool.finish_prefill(('host', 1), 600)
        self.assertEqual(before, self.pool.prefill_tokens_per_ms)

    def test_failing_engine_is_ejected_for_a_while(self):
        for _ in range(3):
            self.pool.record_failure('e1', 0)
        self.admit(1)
        self.assertEqual('e2', self.place_waiting()[0].decode.endpoint_id)
        self.assertFalse(self.pool.engines['e1'].is_usable(0))
        self.assertTrue(self.pool.engines['e1'].is_usable(60_000))

    def test_occasional_failures_do_not_eject(self):
        """One answer in five is lost on the network."""
        for number in range(50):
            self.admit(number, number * 1_000)
            placement = self.place_waiting(number * 1_000)[0]
            self.pool.begin_decode(('host', number), 1_000)
            lost = number % 5 == 0
            if lost:
                self.pool.record_failure(placement.decode.endpoint_id, 0)
            self.pool.remove(('host', number), succeeded=not lost)
        self.assertTrue(self.pool.engines['e1'].is_usable(0))
        self.assertTrue(self.pool.engines['e2'].is_usable(0))

    def test_unreachable_engine_is_ejected_after_two_failures(self):
        for _ in range(2):
            self.pool.record_failure('e1', 0, reached=False)
        self.assertFalse(self.pool.engines['e1'].is_usable(0))

    def test_failed_engine_is_probed_by_one_request(self):
        """Other requests are held back until the probe succeeds."""
        for _ in range(2):
            self.pool.record_failure('e0', 0, reached=False)
        later_ms = engine_states.EJECT_MIN_MS + 1
        self.admit(1, later_ms)
        self.assertEqual(
            'e0', self.place_waiting(later_ms)[0].prefill.endpoint_id
        )
        self.admit(2, later_ms)
        self.assertIsNone(self.place_waiting(later_ms)[0].prefill)
        self.pool.finish_prefill(('host', 1), later_ms + 100)
        self.assertTrue(self.pool.engines['e0'].is_usable(later_ms + 100))

    def test_last_engine_of_a_role_is_retried_soon(self):
        for now_ms in range(0, 40_000, 1_600):
            for _ in range(3):
                self.pool.record_failure('e0', now_ms, reached=False)
        until_ms = self.pool.engines['e0'].ejected_until_ms
        self.assertLessEqual(until_ms, 40_000 + engine_states.EJECT_MIN_MS)

    def test_at_most_half_of_the_engines_are_ejected(self):
        for name in ('e0', 'e1', 'e2'):
            for _ in range(5):
                self.pool.record_failure(name, 0)
        usable = [e for e in self.pool.engines.values() if e.is_usable(0)]
        self.assertGreaterEqual(len(usable), 2)

    def test_broken_stream_resumes_on_the_preferred_engine(self):
        self.admit(1, preferred_id='e2')
        placement = self.place_waiting()[0]
        self.assertIsNone(placement.prefill)
        self.assertEqual('e2', placement.decode.endpoint_id)

    def test_broken_stream_does_not_resume_on_a_failing_engine(self):
        for _ in range(2):
            self.pool.record_failure('e2', 0)
        self.admit(1, preferred_id='e2')
        self.assertEqual('e1', self.place_waiting()[0].decode.endpoint_id)

    def test_prefilled_prompt_needs_no_prefill(self):
        self.admit(1, prefilled=True)
        self.assertIsNone(self.place_waiting()[0].prefill)

    def test_engine_that_refused_is_paused(self):
        """Its role or free memory differs from what the pool assumes."""
        self.pool.record_refusal('e1', 0, 300)
        self.admit(1)
        self.assertEqual('e2', self.place_waiting()[0].decode.endpoint_id)
        self.assertTrue(self.pool.engines['e1'].is_usable(300))

    def test_leaving_engine_gets_no_new_requests(self):
        engines = [
            builders.make_engine(0, fleets.ROLE_PREFILL),
            builders.make_engine(1, fleets.ROLE_DECODE, leaving=True),
            builders.make_engine(2, fleets.ROLE_DECODE),
        ]
        self.pool.set_engines(engines, builders.MEMORY_TOKENS, builders.SLOTS)
        for number in range(4):
            self.admit(number)
        names = {p.decode.endpoint_id for p in self.place_waiting()}
        self.assertEqual({'e2'}, names)

    def test_relisted_engine_keeps_its_reservations(self):
        self.admit(1)
        placement = self.place_waiting()[0]
        engines = [e.endpoint for e in self.pool.engines.values()]
        self.pool.set_engines([], builders.MEMORY_TOKENS, builders.SLOTS)
        self.pool.set_engines(engines, builders.MEMORY_TOKENS, builders.SLOTS)
        state = self.pool.engines[placement.decode.endpoint_id]
        self.assertEqual(1, state.running_count)
        self.assertEqual(3_712, state.reserved_tokens)

    def test_lost_host_frees_its_reservations(self):
        for number in range(8):
            self.admit(number)
        self.place_waiting()
        self.pool.release_host('host')
        self.assertEqual(0, self.pool.running_count)
        for state in self.pool.engines.values():
            self.assertEqual(0, state.reserved_tokens)

    def test_adopted_request_is_reserved_once(self):
        self.pool.adopt(('host', 5), 'e1', 4_000, 3_000)
        self.pool.adopt(('host', 5), 'e1', 4_000, 3_000)
        self.assertEqual(4_000, self.pool.engines['e1'].reserved_tokens)


class ExpectedOutputTest(unittest.TestCase):
    def test_hint_is_capped_at_the_limit(self):
        self.assertEqual(500, queued_requests.expected_output(800, 500))
        self.assertEqual(110, queued_requests.expected_output(100, 500))

    def test_limit_is_expected_without_a_hint(self):
        self.assertEqual(500, queued_requests.expected_output(None, 500))
