"""Load pattern: prompts with one part end each engine that answers them.

They come mixed with sound prompts that share their other parts. Engines come
back a few seconds after their end, and streams beside a harmful one break.
"""

import random
import unittest

from masticquay_routing import end_evidence
from masticquay_routing import harmful_prompts

SEED_COUNT = 50
MIN_ENDS = harmful_prompts.MIN_ENDS
# When a part is quarantined whose first end was at 0, with one end a second.
QUARANTINED_MS = (MIN_ENDS - 1) * 1_000
ENGINE_COUNT = 6
RESTART_MS = 4_000
PLAY_MS = 60_000
# The rule of the users' platform: after this many ends and this time, no more
# than this many harmful requests reach engines.
COUNTED_ENDS = 5
CONTACT_MS = 3_000
MAX_REQUESTS_AFTER = 3
# A host reports the end of an engine so much later.
REPORT_MS = 20
ANSWER_MS = 1_400
SOUND_INTERVAL_MS = 160
FIRST_PARTS = ('w1', 'w2', 'w3', 'w4', 'w5')


def make_prompt(number, *parts):
    return harmful_prompts.Prompt(f'last{number}:9', list(parts))


class HarmfulLoad:
    """Plays requests on engines for ``PLAY_MS``, in steps of 10 ms.

    Sound prompts have one of ``FIRST_PARTS``, harmful ones the first of them
    and then ``bad``.

    :ivar end_times_ms: when engines ended
    :ivar harmful_times_ms: when harmful requests were placed
    :ivar late_sound: sound prompts that were refused after the counted ends
    """

    def __init__(self, seed, harmful_interval_ms):
        self.random = random.Random(seed)
        self.harmful_interval_ms = harmful_interval_ms
        self.harmful_prompts = harmful_prompts.HarmfulPrompts()
        self.down_until_ms = dict.fromkeys(range(ENGINE_COUNT), 0)
        # Engine, prompt, whether it is harmful, and when its answer began.
        self.running = []
        self.reports = []
        self.end_times_ms = []
        self.harmful_times_ms = []
        self.refused_sound = 0
        self.number = 0

    def run(self):
        for now_ms in range(0, PLAY_MS, 10):
            self.handle_reports(now_ms)
            self.advance(now_ms)
            if now_ms % SOUND_INTERVAL_MS == 0:
                self.request(now_ms, self.random.choice(FIRST_PARTS))
            if self.random.random() < 10 / self.harmful_interval_ms:
                self.request(now_ms, FIRST_PARTS[0], 'bad')

    def request(self, now_ms, *parts):
        self.number += 1
        prompt = make_prompt(self.number, *parts)
        is_harmful = 'bad' in parts
        if self.harmful_prompts.wait_ms(prompt, now_ms):
            self.refused_sound += not is_harmful
            return
        self.harmful_prompts.add_request(prompt, now_ms)
        self.harmful_prompts.begin_probe(prompt, now_ms)
        up = [e for e, until in self.down_until_ms.items() if until <= now_ms]
        if not up:
            return
        if is_harmful:
            self.harmful_times_ms.append(now_ms)
        began_ms = now_ms + self.random.randrange(50, 300)
        self.running.append(
            (self.random.choice(up), prompt, is_harmful, began_ms)
        )

    def advance(self, now_ms):
        for engine, prompt, is_harmful, began_ms in list(self.running):
            entry = (engine, prompt, is_harmful, began_ms)
            if entry not in self.running:
                continue
            if is_harmful and now_ms >= began_ms:
                self.end(engine, now_ms)
            elif now_ms >= began_ms + ANSWER_MS:
                self.running.remove(entry)
                self.harmful_prompts.add_survivor(prompt)

    def end(self, engine, now_ms):
        self.end_times_ms.append(now_ms)
        self.down_until_ms[engine] = now_ms + RESTART_MS
        for entry in [r for r in self.running if r[0] == engine]:
            self.running.remove(entry)
            written_ms = now_ms - entry[3]
            report = (now_ms + REPORT_MS, entry[1], engine, written_ms)
            self.reports.append(report)

    def handle_reports(self, now_ms):
        due = [r for r in self.reports if r[0] <= now_ms]
        for report in due:
            self.reports.remove(report)
            _due_ms, prompt, engine, written_ms = report
            if written_ms >= harmful_prompts.SUSPECT_MS:
                self.harmful_prompts.add_survivor(prompt)
                continue
            for _engine, other, _is_harmful, began_ms in self.running:
                if now_ms - began_ms >= harmful_prompts.SUSPECT_MS:
                    self.harmful_prompts.add_survivor(other)
            self.harmful_prompts.add_end(prompt, f'e{engine}', now_ms)

    def count_late_requests(self):
        if len(self.end_times_ms) < COUNTED_ENDS:
            return 0
        counted_ms = self.end_times_ms[COUNTED_ENDS - 1] + CONTACT_MS
        return sum(t > counted_ms for t in self.harmful_times_ms)


class HarmfulPrefillLoad(HarmfulLoad):
    """Harmful prompts end prefill engines; decode engines answer them."""

    def advance(self, now_ms):
        for entry in list(self.running):
            engine, prompt, is_harmful, began_ms = entry
            if entry not in self.running or now_ms < began_ms:
                continue
            if is_harmful:
                self.end(engine, now_ms)
            else:
                self.running.remove(entry)
                self.harmful_prompts.add_prefilled(prompt, now_ms)
                self.harmful_prompts.add_survivor(prompt)

    def handle_reports(self, now_ms):
        for report in [r for r in self.reports if r[0] <= now_ms]:
            self.reports.remove(report)
            _due_ms, prompt, engine, _written_ms = report
            self.harmful_prompts.add_end(
                prompt, f'p{engine}', now_ms, in_prefill=True
            )
            # A decode engine reads the prompt itself and answers it.
            self.harmful_prompts.add_survivor(prompt)


class HarmfulLoadTest(unittest.TestCase):
    # Guards against BUDGET, where requests with one part in their prompts
    # ended engine after engine.
    def test_harmful_part_among_sound_ones_is_quarantined(self):
        self.check_load(HarmfulLoad)

    # Guards against BUDGET at prefill engines.
    def test_part_that_ends_prefill_engines_is_quarantined(self):
        self.check_load(HarmfulPrefillLoad)

    def check_load(self, make_load):
        for harmful_interval_ms in (200, 1_000, 4_000):
            for seed in range(SEED_COUNT):
                load = make_load(seed, harmful_interval_ms)
                load.run()
                with self.subTest(seed=seed, interval=harmful_interval_ms):
                    self.assertLessEqual(
                        load.count_late_requests(), MAX_REQUESTS_AFTER
                    )
                    self.assertLess(len(load.end_times_ms), 12)
                    self.assertEqual(0, load.refused_sound)


class HarmfulPromptsTest(unittest.TestCase):
    def setUp(self):
        self.harmful = harmful_prompts.HarmfulPrompts()

    def end_engines(self, count, *parts, start_ms=0):
        """Reports ends under different prompts, one a second."""
        found = []
        for number in range(count):
            now_ms = start_ms + 1_000 * number
            prompt = make_prompt(start_ms + number, *parts)
            self.harmful.add_request(prompt, now_ms)
            found += self.harmful.add_end(prompt, f'e{now_ms}', now_ms)
        return found

    def wait_ms(self, now_ms, *parts):
        return self.harmful.wait_ms(make_prompt(99_999, *parts), now_ms)

    def test_part_is_quarantined_after_ends_under_several_prompts(self):
        self.assertEqual([], self.end_engines(MIN_ENDS - 1, 'bad'))
        found = self.end_engines(1, 'bad', start_ms=5_000)
        self.assertEqual(['bad'], found)
        wait_ms = self.wait_ms(5_000, 'bad')
        self.assertEqual(end_evidence.QUARANTINE_MS, wait_ms)
        self.assertEqual(0, self.wait_ms(5_000, 'other'))

    def test_part_with_a_survivor_is_not_quarantined(self):
        self.end_engines(MIN_ENDS - 1, 'first')
        self.harmful.add_survivor(make_prompt(50, 'first'))
        found = self.end_engines(MIN_ENDS - 1, 'first', start_ms=5_000)
        self.assertEqual([], found)

    def test_part_that_more_requests_have_is_not_the_culprit(self):
        """A workspace's first part, right after a change of the leader."""
        self.harmful.add_request(make_prompt(50, 'bad', 'usual'), 0)
        self.harmful.add_request(make_prompt(51, 'usual'), 0)
        self.assertEqual(['bad'], self.end_engines(MIN_ENDS, 'bad', 'usual'))

    def test_of_parts_that_always_come_together_the_last_is_found(self):
        self.assertEqual(['bad'], self.end_engines(MIN_ENDS, 'first', 'bad'))

    def test_prompt_that_ended_two_engines_is_refused(self):
        prompt = make_prompt(1, 'first')
        self.assertEqual([], self.harmful.add_end(prompt, 'e1', 0))
        found = self.harmful.add_end(prompt, 'e2', 500)
        self.assertEqual([prompt.key], found)
        self.assertGreater(self.harmful.wait_ms(prompt, 500), 0)
        self.assertEqual(0, self.wait_ms(500, 'first'))

    def test_reports_of_several_hosts_on_one_engine_count_once(self):
        for number in range(5):
            prompt = make_prompt(number, 'first')
            self.assertEqual(
                [], self.harmful.add_end(prompt, 'e1', 10 * number)
            )

    def test_first_request_after_a_quarantine_is_a_probe(self):
        self.end_engines(MIN_ENDS, 'bad')
        over_ms = QUARANTINED_MS + end_evidence.QUARANTINE_MS
        self.assertEqual(0, self.wait_ms(over_ms, 'bad'))
        self.harmful.begin_probe(make_prompt(7, 'bad'), over_ms)
        self.assertGreater(self.wait_ms(over_ms + 1, 'bad'), 0)

    def test_probe_that_ends_an_engine_doubles_the_quarantine(self):
        self.end_engines(MIN_ENDS, 'bad')
        over_ms = QUARANTINED_MS + end_evidence.QUARANTINE_MS
        self.assertEqual(['bad'], self.end_engines(1, 'bad', start_ms=over_ms))
        self.assertEqual(
            2 * end_evidence.QUARANTINE_MS, self.wait_ms(over_ms, 'bad')
        )

    def test_survivor_ends_a_quarantine(self):
        self.end_engines(MIN_ENDS, 'sound')
        self.harmful.add_survivor(make_prompt(60, 'sound'))
        self.assertEqual(0, self.wait_ms(QUARANTINED_MS, 'sound'))
        self.assertEqual({}, self.harmful.quarantined(QUARANTINED_MS))

    def test_quarantine_of_an_earlier_leader_is_taken_over(self):
        self.end_engines(MIN_ENDS, 'bad')
        successor = harmful_prompts.HarmfulPrompts()
        successor.adopt(self.harmful.quarantined(QUARANTINED_MS), 100)
        wait_ms = successor.wait_ms(make_prompt(8, 'bad'), 100)
        self.assertEqual(end_evidence.QUARANTINE_MS, wait_ms)

    def test_report_of_a_sound_prompt_on_an_explained_end_is_ignored(self):
        self.end_engines(MIN_ENDS, 'bad')
        for number in range(MIN_ENDS):
            prompt = make_prompt(100 + number, 'sound')
            endpoint_id = f'e{1_000 * number}'
            found = self.harmful.add_end(prompt, endpoint_id, QUARANTINED_MS)
            self.assertEqual([], found)

    def test_part_beside_the_culprit_is_not_held_responsible(self):
        """The sound prompts beside it were young at every end."""
        for number in range(MIN_ENDS + 1):
            now_ms = 200 * number
            for part in ('sound', 'bad'):
                prompt = make_prompt(f'{part}{number}', part)
                self.harmful.add_request(prompt, now_ms)
                self.harmful.add_request(make_prompt(number, 'sound'), now_ms)
                self.harmful.add_end(prompt, f'e{number}', now_ms)
        self.assertEqual(['bad'], list(self.harmful.quarantined(now_ms)))

    def test_old_evidence_is_dropped(self):
        self.end_engines(MIN_ENDS - 1, 'once')
        late_ms = 10_000 + harmful_prompts.EVIDENCE_OF_ENDS_MS
        self.harmful.add_request(make_prompt(1, 'other'), late_ms)
        self.assertEqual([], self.end_engines(1, 'once', start_ms=late_ms))

    def test_part_that_comes_rarely_is_quarantined(self):
        """Each prompt ends an engine, more than a minute after the last."""
        interval_ms = 2 * harmful_prompts.EVIDENCE_MS
        for number in range(MIN_ENDS):
            now_ms = number * interval_ms
            self.harmful.add_request(make_prompt(500, 'other'), now_ms)
            found = self.end_engines(1, 'bad', start_ms=now_ms)
        self.assertEqual(['bad'], found)

    def end_prefills(self, count, *parts, start_ms=0, interval_ms=1_000):
        """Reports ends of prefill engines under different prompts."""
        found = []
        for number in range(count):
            now_ms = start_ms + interval_ms * number
            prompt = make_prompt(start_ms + number, *parts)
            self.harmful.add_request(prompt, now_ms)
            found += self.harmful.add_end(
                prompt, f'p{now_ms}', now_ms, in_prefill=True
            )
        return found

    # Guards against BUDGET at prefill engines: a decode engine that reads such
    # a prompt itself and survives it cleared it.
    def test_answer_that_was_written_clears_no_end_in_prefill(self):
        self.end_prefills(MIN_ENDS - 1, 'bad')
        self.harmful.add_survivor(make_prompt(50, 'bad'))
        found = self.end_prefills(1, 'bad', start_ms=5_000)
        self.assertEqual(['bad'], found)
        self.harmful.add_survivor(make_prompt(51, 'bad'))
        self.assertGreater(self.wait_ms(5_000, 'bad'), 0)

    def test_prompt_that_ends_any_engine_is_found_as_soon(self):
        self.end_engines(MIN_ENDS // 2, 'bad')
        left = MIN_ENDS - MIN_ENDS // 2
        found = self.end_prefills(left, 'bad', start_ms=5_000)
        self.assertEqual(['bad'], found)

    def test_completed_prefill_clears_ends_in_prefill(self):
        self.end_prefills(MIN_ENDS - 1, 'first')
        self.harmful.add_prefilled(make_prompt(50, 'first'), 3_000)
        late_ms = 3_001 + harmful_prompts.PREFILL_PROOF_MS
        found = self.end_prefills(MIN_ENDS - 1, 'first', start_ms=late_ms)
        self.assertEqual([], found)

    def test_completed_prefill_clears_no_end_under_a_written_answer(self):
        self.end_engines(MIN_ENDS - 1, 'bad')
        self.harmful.add_prefilled(make_prompt(50, 'bad'), 4_000)
        found = self.end_engines(1, 'bad', start_ms=5_000)
        self.assertEqual(['bad'], found)

    def test_completed_prefill_ends_no_quarantine_of_an_earlier_leader(self):
        self.harmful.adopt({'bad': 5_000}, 0)
        self.harmful.add_prefilled(make_prompt(50, 'bad'), 100)
        self.assertGreater(self.wait_ms(200, 'bad'), 0)

    def test_prefill_ends_at_one_time_told_to_a_new_leader_count_once(self):
        """It does not know which prefills were completed before."""
        for number in range(2 * MIN_ENDS):
            found = self.harmful.add_end(
                make_prompt(number, 'first'),
                f'p{number}',
                1_000,
                age_ms=700 + 10 * number,
                in_prefill=True,
            )
            self.assertEqual([], found)

    def test_prefill_ends_told_to_a_new_leader_count(self):
        for number in range(MIN_ENDS):
            found = self.harmful.add_end(
                make_prompt(number, 'bad'),
                f'p{number}',
                9_000,
                age_ms=1_000 * (MIN_ENDS - number),
                in_prefill=True,
            )
        self.assertEqual(['bad'], found)

    def test_prefill_completed_just_before_clears_an_end(self):
        self.harmful.add_request(make_prompt(50, 'first'), 0)
        self.harmful.add_prefilled(make_prompt(50, 'first'), 0)
        self.assertEqual([], self.end_prefills(MIN_ENDS, 'first'))
