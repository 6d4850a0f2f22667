"""Tests of charges that wait for an answer of their rate limiter."""

import unittest

from masticquay_scheduling import charges
from masticquay_scheduling import grants
from masticquay_scheduling import messages
from masticquay_scheduling import rate_messages
from masticquay_scheduling import settings as scheduling_settings

OWNER = ('h2', 1)
WAIT_MS = 500


class ChargeQueueTest(unittest.TestCase):
    def setUp(self):
        holder = grants.GrantHolder(
            'w', 'h1', 1, scheduling_settings.SchedulingSettings()
        )
        self.queue = charges.ChargeQueue(holder)
        self.queue.switch_owner(OWNER, {OWNER})
        self.charge = charges.Charge(100, 1_000 + WAIT_MS)
        self.assertFalse(self.queue.add(self.charge, 1_000))

    def answer(self, request, tokens, now_ms):
        grant = rate_messages.Grant(request.sequence, tokens, 5_000, 0)
        self.queue.handle_answer(request.sequence, grant, OWNER, now_ms)

    # Guards against callers within their rate that were told that they are
    # over it, as the answer of a limiter came late.
    def test_charge_is_paid_by_an_answer_after_its_longest_wait(self):
        request = self.queue.next_request(1, 1_000)
        self.assertEqual(([], []), self.queue.serve(1_000 + WAIT_MS))
        self.answer(request, 100, 1_700)
        self.assertEqual(([self.charge], []), self.queue.serve(1_700))

    def test_charge_that_no_limiter_judged_is_not_refused_as_over_rate(self):
        self.queue.next_request(1, 1_000)
        limit_ms = 1_000 + WAIT_MS + charges.ANSWER_MARGIN_MS
        self.assertEqual(([], []), self.queue.serve(limit_ms - 1))
        self.assertEqual(([], [self.charge]), self.queue.serve(limit_ms))
        self.charge.refuse()
        refused = self.charge.future.result().failure()
        self.assertEqual(messages.REASON_NO_LIMITER, refused.reason)

    def test_charge_that_its_limiter_cannot_pay_is_refused_at_once(self):
        request = self.queue.next_request(1, 1_000)
        self.answer(request, 0, 1_100)
        self.assertEqual(([], [self.charge]), self.queue.serve(1_100))
        self.charge.refuse()
        refused = self.charge.future.result().failure()
        self.assertEqual(messages.REASON_OVER_RATE, refused.reason)
