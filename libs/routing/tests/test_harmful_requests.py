"""Tests of whole requests that end the endpoints which run them."""

import random
import unittest

from masticquay_routing import end_evidence
from masticquay_routing import harmful_prompts

KEY = 'request:1'
ENDS = harmful_prompts.MIN_ENDS_OF_REQUEST


def make_request(key=KEY):
    return harmful_prompts.Prompt(key, [])


class HarmfulRequestsTest(unittest.TestCase):
    def setUp(self):
        self.harmful = harmful_prompts.HarmfulPrompts(ENDS)

    def end(self, number, now_ms, is_trial=True):
        return self.harmful.add_end(
            make_request(), f'e{number}', now_ms, is_trial=is_trial
        )

    # Guards against incident BUDGET, where a request that ends servers was
    # sent to one after the other.
    def test_request_is_quarantined_after_its_first_end_and_two_trials(self):
        self.assertEqual([], self.end(1, 1_000, is_trial=False))
        self.assertEqual([], self.end(2, 2_000))
        self.assertEqual([KEY], self.end(3, 3_000))
        self.assertEqual([KEY], list(self.harmful.quarantined(3_100)))
        self.assertGreater(self.harmful.begin_trial(KEY, 3_100), 100_000)

    def test_copies_that_are_no_trials_prove_nothing_beyond_the_first(self):
        """Many endpoints that run the same request may crash at a time."""
        for number in range(10):
            found = self.end(number, 1_000 + number, is_trial=False)
            self.assertEqual([], found)
        self.assertEqual({}, self.harmful.quarantined(2_000))
        self.assertEqual([KEY], self.harmful.suspects(2_000))

    def test_one_copy_of_a_suspect_runs_at_a_time(self):
        self.end(1, 1_000, is_trial=False)
        self.assertEqual(0, self.harmful.begin_trial(KEY, 1_100))
        self.assertGreater(self.harmful.begin_trial(KEY, 1_110), 0)
        self.harmful.end_trial(KEY)
        self.assertEqual(0, self.harmful.begin_trial(KEY, 1_200))

    def test_trial_whose_end_is_never_told_ends_by_itself(self):
        self.end(1, 1_000)
        self.harmful.begin_trial(KEY, 1_100)
        late_ms = 1_100 + harmful_prompts.PROBE_MS
        self.assertEqual(0, self.harmful.begin_trial(KEY, late_ms))

    def test_survivor_is_no_suspect(self):
        self.end(1, 1_000)
        self.end(2, 2_000)
        self.harmful.add_survivor(make_request())
        self.assertEqual([], self.harmful.suspects(2_100))
        self.assertEqual([], self.end(3, 3_000))

    def test_request_that_no_endpoint_ended_under_lately_is_no_suspect(self):
        self.end(1, 1_000)
        late_ms = 1_001 + end_evidence.SUSPICION_MS
        self.assertEqual([], self.harmful.suspects(late_ms))

    def test_one_end_after_the_quarantine_brings_a_longer_one(self):
        for number in range(ENDS):
            self.end(number, 1_000 * number)
        first_ms = self.harmful.quarantined(3_000)[KEY]
        after_ms = 4_000 + first_ms
        self.assertEqual([KEY], self.harmful.suspects(after_ms))
        self.assertEqual([KEY], self.end(9, after_ms))
        self.assertGreater(
            self.harmful.quarantined(after_ms + 60)[KEY], 1.5 * first_ms
        )

    def test_adopted_quarantine_is_followed_by_trials(self):
        self.harmful.adopt({KEY: 5_000}, 1_000)
        self.assertEqual([KEY], self.harmful.suspects(7_000))
        self.assertEqual([KEY], self.end(1, 7_100))

    def test_keys_of_prompts_and_requests_are_told_apart(self):
        prompts, requests = harmful_prompts.split_keys({'aa': 1, KEY: 2})
        self.assertEqual(({'aa': 1}, {KEY: 2}), (prompts, requests))


class MassCrash:
    """Popular requests that run everywhere while endpoints crash in waves.

    Hosts hear of suspects after a while; until then their copies run freely.
    """

    STEP_MS = 5
    RUN_MS = 20
    TELL_MS = 400
    DOWN_MS = 3_000

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.harmful = harmful_prompts.HarmfulPrompts(ENDS)
        self.keys = [f'request:{number}' for number in range(8)]
        self.suspected_from_ms = {}
        self.running = []
        self.found = []
        self.crash_ms = self.draw_crashes(self.random.randint(3, 12))

    def draw_crashes(self, count):
        """Returns when each endpoint crashes; half of them in each wave."""
        crash_ms = {}
        for endpoint in range(count):
            times_ms = []
            for wave_ms in (500, 4_500):
                if self.random.random() < 0.5:
                    spread_ms = self.random.choice((0, 40, 500))
                    times_ms.append(
                        wave_ms + self.random.randint(0, spread_ms)
                    )
            crash_ms[endpoint] = times_ms
        return crash_ms

    def is_up(self, endpoint, now_ms):
        return not any(
            t <= now_ms < t + self.DOWN_MS for t in self.crash_ms[endpoint]
        )

    def play(self):
        """Returns the requests that were quarantined for no reason."""
        for now_ms in range(0, 9_000, self.STEP_MS):
            self.end_copies(now_ms)
            if self.random.random() < 0.5:
                self.send(self.random.choice(self.keys), now_ms)
        return self.found

    def send(self, key, now_ms):
        up = [e for e in self.crash_ms if self.is_up(e, now_ms)]
        if not up:
            return
        is_known = now_ms >= self.suspected_from_ms.get(key, now_ms + 1)
        if is_known and self.harmful.begin_trial(key, now_ms):
            return
        self.running.append((key, self.random.choice(up), now_ms, is_known))

    def end_copies(self, now_ms):
        left = []
        for copy in self.running:
            key, endpoint, sent_ms, is_trial = copy
            if not self.is_up(endpoint, now_ms):
                self.found += self.harmful.add_end(
                    make_request(key), f'e{endpoint}', now_ms, 0, is_trial
                )
                self.suspected_from_ms.setdefault(key, now_ms + self.TELL_MS)
            elif now_ms - sent_ms >= self.RUN_MS:
                if is_trial:
                    self.harmful.add_survivor(make_request(key))
                    self.suspected_from_ms.pop(key, None)
            else:
                left.append(copy)
                continue
            if is_trial:
                self.harmful.end_trial(key)
        self.running = left


class MassCrashTest(unittest.TestCase):
    def test_popular_requests_are_not_quarantined_in_800_seeds(self):
        found = [seed for seed in range(800) if MassCrash(seed).play()]
        self.assertEqual([], found)
