"""Load pattern: more requests wait than the engines can take.

The placement skips requests that surely cannot be placed. It must decide the
same as one that looks at all engines for each waiting request.
"""

import random
import unittest
from unittest import mock

from masticquay_routing import engine_states
from masticquay_routing import failed_placements
from masticquay_routing import fleets
from masticquay_routing import pools
from masticquay_routing import queued_requests
from tests import builders

STEPS = 1_500
MAX_STEP_MS = 30
MEMORY_TOKENS = 29_000


class PlainPool(pools.Pool):
    """Looks at all engines for each waiting request."""

    def place_waiting(self, now_ms):
        with mock.patch.object(
            failed_placements.FailedPlacements,
            'imply_failure_of',
            return_value=False,
        ):
            return super().place_waiting(now_ms)


def make_pool(pool_class, prefills, decodes):
    pool = pool_class()
    engines = [
        builders.make_engine(
            n,
            fleets.ROLE_PREFILL if n < prefills else fleets.ROLE_DECODE,
            place=f'p{n % 3}',
        )
        for n in range(prefills + decodes)
    ]
    pool.set_engines(engines, MEMORY_TOKENS, builders.SLOTS)
    return pool


def describe(outcome):
    """Returns an outcome as a value that can be compared."""
    request, result = outcome
    if isinstance(result, queued_requests.Refusal):
        return request.key, result.reason, result.retry_after_ms
    prefill = result.prefill.endpoint_id if result.prefill else ''
    return request.key, prefill, result.decode.endpoint_id, result.prefill_ms


class SameDecisionsTest(unittest.TestCase):
    def run_both(self, seed):
        """Applies random events to both pools; returns the outcome count."""
        rng = random.Random(seed)
        prefills = rng.randint(0, 3)
        decodes = rng.randint(2, 6)
        both = [
            make_pool(pool_class, prefills, decodes)
            for pool_class in (pools.Pool, PlainPool)
        ]
        now_ms = 0
        running = []
        outcome_count = 0
        for number in range(STEPS):
            now_ms += rng.randrange(MAX_STEP_MS)
            self.admit_both(both, number, now_ms, rng)
            outcomes = [
                [describe(o) for o in p.place_waiting(now_ms)] for p in both
            ]
            self.assertEqual(
                outcomes[1], outcomes[0], f'seed {seed}, step {number}'
            )
            outcome_count += len(outcomes[0])
            running += [o[0] for o in outcomes[0] if len(o) == 4]
            self.end_some(both, running, now_ms, rng)
        return outcome_count

    def admit_both(self, both, number, now_ms, rng):
        fields = {
            'prompt': rng.randint(50, 6_600),
            'output': rng.randint(20, 1_700),
        }
        changes = {
            'pause_ms': rng.choice((150, 300, 300)),
            'prompt_key': str(number if rng.random() < 0.7 else number // 9),
            'prefilled': rng.random() < 0.05,
            'priority': rng.randint(0, 2),
        }
        if rng.random() < 0.1:
            changes['avoided_ids'] = frozenset([f'e{rng.randint(0, 5)}'])
        if rng.random() < 0.05:
            changes['preferred_id'] = f'e{rng.randint(0, 5)}'
        late_ms = now_ms + 2_000
        for pool in both:
            request = builders.make_request(number, now_ms, **fields)
            request.late_placement_deadline_ms = late_ms
            for name, value in changes.items():
                setattr(request, name, value)
            pool.admit(request)

    def end_some(self, both, running, now_ms, rng):
        while running and rng.random() < 0.55:
            key = running.pop(rng.randrange(len(running)))
            kind = rng.random()
            for pool in both:
                pool.finish_prefill(key, now_ms)
                pool.begin_decode(key, now_ms)
                pool.remove(key, succeeded=kind > 0.1)
        if rng.random() < 0.05:
            engine_id = f'e{rng.randint(0, 5)}'
            reached = rng.random() < 0.5
            for pool in both:
                pool.record_failure(engine_id, now_ms, reached)

    def test_decisions_are_those_of_the_plain_placement(self):
        for seed in range(8):
            self.assertGreater(self.run_both(seed), STEPS // 2)


class OverloadTest(unittest.TestCase):
    def count_looks(self, pool_class):
        """Returns the looks at engines in a pass over 200 waiting requests."""
        rng = random.Random(1)
        pool = make_pool(pool_class, prefills=6, decodes=33)
        for number in range(600):
            request = builders.make_request(
                number, 0, prompt=rng.randint(800, 6_600), output=700
            )
            pool.admit(request)
        pool.place_waiting(0)
        self.assertGreater(pool.queue_length, 200)
        with mock.patch.object(
            engine_states.EngineState,
            'has_capacity',
            autospec=True,
            side_effect=engine_states.EngineState.has_capacity,
        ) as looks:
            pool.place_waiting(1)
        return looks.call_count

    def test_waiting_requests_cost_less_than_a_look_at_all_engines(self):
        self.assertLess(
            self.count_looks(pools.Pool),
            0.2 * self.count_looks(PlainPool),
        )
