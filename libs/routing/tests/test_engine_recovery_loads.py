"""Load pattern: a model engine was slow for a while and is sound again."""

import unittest

from masticquay_routing import fleets
from masticquay_routing import slowdowns
from tests import builders

PROMPT_TOKENS = 2_000
PROMPT_MS = 70
# A prompt comes each 60 ms, and two sound prefill engines have room for 28 a
# second.
INTERVAL_MS = 60
SLOWNESS = 5
SLOW_UNTIL_MS = 6_000
RECOVERY_MS = 2_000
END_MS = 12_000
# A decode engine has had no local prefill for this long.
IDLE_MS = 30_000
MIN_SHARE = 0.25


class EngineRecoveryTest(unittest.TestCase):
    def test_prefill_engine_that_was_slow_has_its_share_within_2_s(self):
        pool = builders.make_pool(prefills=2, decodes=4)
        free_ms = {'e0': 0, 'e1': 0}
        ends = []
        counts = {'e0': 0, 'e1': 0}
        for number in range(END_MS // INTERVAL_MS):
            now_ms = number * INTERVAL_MS
            for end_ms, key in sorted(e for e in ends if e[0] <= now_ms):
                pool.finish_prefill(key, end_ms)
                pool.begin_decode(key, end_ms)
                pool.remove(key, succeeded=True)
            ends = [e for e in ends if e[0] > now_ms]
            pool.admit(
                builders.make_request(
                    number, now_ms, prompt=PROMPT_TOKENS, output=100
                )
            )
            for request, outcome in pool.place_waiting(now_ms):
                prefill = getattr(outcome, 'prefill', None)
                if prefill is None:
                    pool.release(request.key)
                    continue
                engine_id = prefill.endpoint_id
                is_slow = engine_id == 'e0' and now_ms < SLOW_UNTIL_MS
                work_ms = PROMPT_MS * (SLOWNESS if is_slow else 1)
                start_ms = max(now_ms, free_ms[engine_id])
                free_ms[engine_id] = start_ms + work_ms
                ends.append((free_ms[engine_id], request.key))
                if now_ms >= SLOW_UNTIL_MS + RECOVERY_MS:
                    counts[engine_id] += 1
        self.assertGreaterEqual(
            counts['e0'], MIN_SHARE * sum(counts.values()), str(counts)
        )

    # Guards against issue 38: what is learnt of an engine has no age.
    def test_decode_engine_that_was_slow_gets_local_prefills_again(self):
        pool = builders.make_pool(prefills=0, decodes=1)
        for number in range(6):
            now_ms = 1_000 * number
            self.place(pool, number, now_ms)
            pool.begin_decode(('host', number), now_ms + 600)
            pool.remove(('host', number), succeeded=True)
        pool.set_engines(
            [builders.make_engine(n, fleets.ROLE_DECODE) for n in range(2)],
            builders.MEMORY_TOKENS,
            builders.SLOTS,
        )
        chosen_ids = []
        for number in range(6, 30):
            now_ms = IDLE_MS + 1_000 * number
            chosen_ids.append(self.place(pool, number, now_ms))
            pool.begin_decode(('host', number), now_ms + PROMPT_MS)
            pool.remove(('host', number), succeeded=True)
        self.assertIn('e0', chosen_ids)

    # Guards against streams that are paused again and again because what was
    # learnt of their engine is forgotten too soon.
    def test_decode_engine_that_stays_slow_reads_once_in_a_half_life(self):
        pool = builders.make_pool(prefills=0, decodes=2)
        chosen_ids = []
        for number in range(60):
            now_ms = 1_000 * number
            engine_id = self.place(pool, number, now_ms)
            work_ms = PROMPT_MS if engine_id == 'e1' else 600
            pool.begin_decode(('host', number), now_ms + work_ms)
            pool.remove(('host', number), succeeded=True)
            chosen_ids.append(engine_id)
        half_lives = 60_000 / slowdowns.HALF_LIFE_MS
        self.assertLessEqual(chosen_ids.count('e0'), half_lives)

    def place(self, pool, number, now_ms):
        """Places a request; returns the id of its decode engine."""
        pool.admit(
            builders.make_request(
                number, now_ms, prompt=PROMPT_TOKENS, output=100
            )
        )
        outcomes = pool.place_waiting(now_ms)
        return outcomes[0][1].decode.endpoint_id
