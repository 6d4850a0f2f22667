"""Load pattern: a burst of prompts whose callers give up after 3.6 s.

Refused callers come back with the time that is left to them, while a half of
the prefill engines is 4 times slower.
"""

import heapq
import itertools
import random
import unittest

from masticquay_routing import queued_requests
from tests import builders

PREFILLS = 4
DECODES = 8
GIVE_UP_MS = 3_600
TARGET_MS = 900
# As hosts ask for them.
WAIT_MS = 540
LATE_WAIT_MS = 2_600
LATE_RESERVE_MS = 1_000
TOKENS_PER_MS = 30
SLOWNESS = 4
LOCAL_SLOWNESS = 2.5
SLOW_IDS = ('e0', 'e1')
PROMPT_TOKENS = (1_000, 3_000, 9_000, 18_000)
ARRIVALS_PER_S = 40
BURST_MS = range(1_000, 7_000)
END_MS = 12_000
SEEDS = range(5)
# With one speed for all engines and no check before a prefill (d3dab56).
WASTED_TOKENS_BEFORE = 573_000
SERVED_BEFORE = 761


class GiveUpPlay:
    """Callers, and engines that read prompts one after another.

    :ivar wasted_tokens: the prompts whose first token came too late
    :ivar served_count: the other prompts that were read
    """

    def __init__(self, seed):
        self.wasted_tokens = 0
        self.served_count = 0
        self._pool = builders.make_pool(PREFILLS, DECODES)
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._events = []
        self._free_ms = {}
        self._give_ups = {}

    def run(self):
        for at_ms in BURST_MS:
            if self._random.random() < ARRIVALS_PER_S / 1_000:
                tokens = self._random.choice(PROMPT_TOKENS)
                self._push(at_ms, self._arrive, tokens, at_ms + GIVE_UP_MS)
        for now_ms in range(0, END_MS, 5):
            while self._events and self._events[0][0] <= now_ms:
                at_ms, _, act, args = heapq.heappop(self._events)
                act(at_ms, *args)
            for request, outcome in self._pool.place_waiting(now_ms):
                self._handle(request, outcome, now_ms)

    def _push(self, at_ms, act, *args):
        heapq.heappush(self._events, (at_ms, next(self._numbers), act, args))

    def _arrive(self, now_ms, tokens, give_up_at_ms):
        left_ms = give_up_at_ms - now_ms
        if left_ms <= 0:
            return
        late_wait_ms = min(LATE_WAIT_MS, left_ms - LATE_RESERVE_MS)
        request = builders.make_request(
            next(self._numbers),
            now_ms,
            tokens,
            100,
            target_deadline_ms=now_ms + TARGET_MS,
            placement_deadline_ms=now_ms + min(WAIT_MS, left_ms),
            late_placement_deadline_ms=now_ms + max(0, late_wait_ms),
            prompt_key=str(give_up_at_ms),
            give_up_at_ms=give_up_at_ms,
        )
        self._give_ups[request.key] = give_up_at_ms
        self._pool.admit(request)

    def _handle(self, request, outcome, now_ms):
        give_up_at_ms = self._give_ups.pop(request.key)
        if isinstance(outcome, queued_requests.Refusal):
            self._push(
                now_ms + outcome.retry_after_ms,
                self._arrive,
                request.prompt_tokens,
                give_up_at_ms,
            )
            return
        engine = outcome.prefill or outcome.decode
        slowness = SLOWNESS if engine.endpoint_id in SLOW_IDS else 1
        if outcome.prefill is None:
            slowness = LOCAL_SLOWNESS
        start_ms = max(now_ms, self._free_ms.get(engine.endpoint_id, 0))
        end_ms = start_ms + request.prompt_tokens * slowness // TOKENS_PER_MS
        self._free_ms[engine.endpoint_id] = end_ms
        self._push(end_ms, self._end, request, give_up_at_ms)

    def _end(self, now_ms, request, give_up_at_ms):
        self._pool.finish_prefill(request.key, now_ms)
        self._pool.begin_decode(request.key, now_ms)
        self._pool.remove(request.key, succeeded=True)
        if now_ms > give_up_at_ms:
            self.wasted_tokens += request.prompt_tokens
        else:
            self.served_count += 1


class GiveUpTest(unittest.TestCase):
    # Guards against prompts that are read for callers that have gone.
    def test_prompts_read_in_vain_are_half_of_those_before(self):
        plays = [GiveUpPlay(seed) for seed in SEEDS]
        for play in plays:
            play.run()
        wasted_tokens = sum(play.wasted_tokens for play in plays)
        self.assertLessEqual(wasted_tokens, WASTED_TOKENS_BEFORE / 2)
        served_count = sum(play.served_count for play in plays)
        self.assertGreaterEqual(served_count, SERVED_BEFORE)
