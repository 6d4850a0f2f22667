"""Tests of the measures of a run."""

import unittest

from masticquay_bench import calls
from masticquay_bench import evidence
from masticquay_bench import summaries
from masticquay_standins import journals
from tests import fixtures

TARGETS = {'standard': summaries.Targets(490, 35)}


class SummariesTest(unittest.TestCase):
    def test_latency_counts_from_when_a_call_was_due(self):
        late = fixtures.completion(due_ms=400.0, first_token_ms=1_100.0)
        soon = fixtures.completion(due_ms=900.0, first_token_ms=1_100.0)
        target = TARGETS['standard']
        self.assertFalse(summaries.meets_targets(late, target))
        self.assertTrue(summaries.meets_targets(soon, target))

    def test_the_worst_workspace_is_found(self):
        good = fixtures.completion('c1', due_ms=990.0, first_token_ms=1_000.0)
        bad = fixtures.completion('c2', workspace='b', end=calls.END_BROKEN)
        measures = summaries.summarize(fixtures.found([good, bad]), TARGETS)
        self.assertEqual(0.5, measures['goodput_share'])
        self.assertEqual(0.0, measures['worst_workspace_goodput'])

    def test_prefills_that_no_decode_imported_are_wasted(self):
        prefill = fixtures.event(
            journals.EVENT_PREFILL, request_id='r', prompt_id='', tokens=30
        )
        other = {**prefill, 'request_id': 'q', 'tokens': 10}
        release = fixtures.event(
            journals.EVENT_RELEASED,
            request_id='r',
            stage='prefill',
            reason='exported',
        )
        found = fixtures.found([], [prefill, other, release])
        self.assertEqual(0.25, summaries.wasted_prefill_share(found))

    def test_a_refusal_within_the_rate_is_wrongful(self):
        def refuse(spent):
            used = fixtures.completion('c1', due_ms=1.0, max_tokens=spent)
            refused = fixtures.completion(
                'c2',
                due_ms=2.0,
                max_tokens=20,
                end=calls.END_REFUSED,
                error_code='over-rate',
            )
            rate = evidence.Rate('desk', 1, 100)
            found = fixtures.found([used, refused], rates=[rate])
            return summaries.find_wrongful_refusals(found)

        self.assertEqual(1, len(refuse(20)))
        self.assertEqual(0, len(refuse(80)))

    def test_what_is_sent_beyond_the_rate_may_be_refused(self):
        refused = [
            fixtures.completion(
                f'c{n}',
                due_ms=1.0 + n,
                max_tokens=70,
                end=calls.END_REFUSED,
                error_code='over-rate',
            )
            for n in range(4)
        ]
        rate = evidence.Rate('desk', 1, 100)
        found = fixtures.found(refused, rates=[rate])
        wrongful = summaries.find_wrongful_refusals(found)
        self.assertEqual(['c0'], [call.call_id for call in wrongful])

    def test_the_use_of_a_rate_is_measured(self):
        used = fixtures.completion(first_token_ms=1_500.0, max_tokens=40)
        rate = evidence.Rate('desk', 100, 100)
        found = fixtures.found([used], rates=[rate])
        use = summaries.rate_use(found, 'desk', 1_000.0, 2_000.0)
        self.assertEqual(0.5, use)

    def test_histograms_hold_the_percentiles(self):
        made = summaries.make_histograms([fixtures.completion(due_ms=1_000.0)])
        self.assertEqual(1, made['whole/completion/standard']['count'])
