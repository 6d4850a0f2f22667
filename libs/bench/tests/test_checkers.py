"""Tests of the checkers: each passes a good record and fails a bad one."""

import unittest

from masticquay_bench import calls
from masticquay_bench import change_checkers
from masticquay_bench import checkers
from masticquay_bench import evidence
from masticquay_bench import request_checkers
from masticquay_standins import journals
from tests import fixtures

MARK = evidence.Mark
PROBE = evidence.Probe


class CheckersTest(unittest.TestCase):
    def judge(self, checker, good, bad):
        self.assertEqual([], checker.check(good))
        self.assertNotEqual([], checker.check(bad))

    def test_orphaned_memory(self):
        call = fixtures.completion(end=calls.END_CANCELLED)
        hold = fixtures.held(1_200.0)
        self.judge(
            request_checkers.NoOrphanedMemory(),
            fixtures.found([call], [hold, fixtures.released(2_500.0)]),
            fixtures.found([call], [hold]),
        )

    def test_memory_of_a_killed_engine_counts_until_its_end(self):
        def kill(time_ms):
            start = fixtures.event(journals.EVENT_START, 30_000.0)
            mark = MARK(evidence.MARK_ENGINE_KILLED, 's', time_ms, time_ms)
            events = [fixtures.held(1_200.0), start]
            call = fixtures.completion()
            return fixtures.found([call], events, marks=[mark])

        self.judge(
            request_checkers.NoOrphanedMemory(), kill(1_900.0), kill(1_100.0)
        )

    def test_answered_once(self):
        twice = fixtures.completion(text=fixtures.TEXT * 2)
        self.judge(
            request_checkers.AnsweredOnce(),
            fixtures.found([fixtures.completion()]),
            fixtures.found([twice]),
        )

    def test_own_workspace_only(self):
        refused = fixtures.completion(may_run=False, end=calls.END_REFUSED)
        self.judge(
            request_checkers.OwnWorkspaceOnly(),
            fixtures.found([refused]),
            fixtures.found([refused], [fixtures.decode()]),
        )

    def test_a_foreign_call_is_known_by_the_end_of_its_path(self):
        foreign = fixtures.effect(
            'f1', may_run=False, idempotent=True, end=calls.END_REFUSED
        )
        ran = fixtures.event(journals.EVENT_RUN, path='/private/f1', body='')
        self.judge(
            request_checkers.OwnWorkspaceOnly(),
            fixtures.found([foreign]),
            fixtures.found([foreign], [ran]),
        )

    def test_no_key_at_endpoint(self):
        def request(value):
            headers = [['X-Other', value]]
            made = fixtures.event(journals.EVENT_REQUEST, headers=headers)
            return fixtures.found(events=[made], key_texts=['secret-1'])

        self.judge(
            request_checkers.NoKeyAtEndpoint(),
            request('plain'),
            request('Bearer secret-1'),
        )

    def test_withdrawn_key_stops(self):
        def withdraw(call):
            mark = MARK(evidence.MARK_WITHDRAWN, 'desk/0', 0.0, 900.0)
            return fixtures.found([call], marks=[mark])

        self.judge(
            change_checkers.WithdrawnKeyStops(),
            withdraw(fixtures.completion(end=calls.END_REFUSED)),
            withdraw(fixtures.completion()),
        )

    def test_a_stream_ends_after_the_withdrawal(self):
        mark = MARK(evidence.MARK_WITHDRAWN, 'desk/0', 1_100.0, 1_300.0)
        call = fixtures.completion(end_ms=9_000.0)
        found = fixtures.found([call], marks=[mark])
        self.assertNotEqual(
            [], change_checkers.WithdrawnKeyStops().check(found)
        )

    def test_within_rate(self):
        def use(tokens):
            used = [
                fixtures.completion(f'c{n}', output_tokens=tokens)
                for n in range(10)
            ]
            rate = evidence.Rate('desk', 100, 200)
            return fixtures.found(used, rates=[rate])

        self.judge(request_checkers.WithinRate(), use(20), use(21))

    def test_whole_own_answer(self):
        for text in (fixtures.TEXT[:-1], 'cccc bbbb '):
            self.judge(
                request_checkers.WholeOwnAnswer(),
                fixtures.found([fixtures.completion()]),
                fixtures.found([fixtures.completion(text=text)]),
            )

    def test_a_broken_answer_may_be_short_but_not_foreign(self):
        short = fixtures.completion(text='aaaa ', end=calls.END_BROKEN)
        foreign = fixtures.completion(text='cccc ', end=calls.END_BROKEN)
        self.judge(
            request_checkers.WholeOwnAnswer(),
            fixtures.found([short]),
            fixtures.found([foreign]),
        )

    def test_truthful_not_run(self):
        call = fixtures.completion(outcome='not-run', end=calls.END_REFUSED)
        self.judge(
            request_checkers.TruthfulNotRun(),
            fixtures.found([call]),
            fixtures.found([call], [fixtures.decode()]),
        )

    def test_at_most_once(self):
        first, again = fixtures.effect('e1'), fixtures.effect('e2')
        runs = [fixtures.run('e1'), fixtures.run('e2')]
        self.judge(
            request_checkers.AtMostOnce(),
            fixtures.found([first, again], runs[:1]),
            fixtures.found([first, again], runs),
        )

    def test_the_key_of_another_workspace_is_another_call(self):
        other = fixtures.effect('e2', workspace='other')
        runs = [fixtures.run('e1'), fixtures.run('e2')]
        found = fixtures.found([fixtures.effect('e1'), other], runs)
        self.assertEqual([], request_checkers.AtMostOnce().check(found))

    def test_leaving_endpoint_quiet(self):
        def work(time_ms):
            mark = MARK(evidence.MARK_LEAVING, 's', 1_000.0, 0.0)
            event = fixtures.decode(time_ms=time_ms)
            return fixtures.found([], [event], marks=[mark])

        self.judge(
            change_checkers.LeavingEndpointQuiet(),
            work(4_400.0),
            work(4_600.0),
        )

    def test_graceful_stop_cuts_nothing(self):
        def stop(end):
            mark = MARK(evidence.MARK_DRAIN, 'h', 1_500.0, 9_000.0)
            call = fixtures.completion(host='h', end=end)
            return fixtures.found([call], marks=[mark])

        self.judge(
            change_checkers.GracefulStopCutsNothing(),
            stop(calls.END_OK),
            stop(calls.END_BROKEN),
        )

    def test_bundle_stays_in_force(self):
        def probe(*served):
            mark = MARK(evidence.MARK_ROLLED, '2', 0.0, 1_000.0)
            probes = [
                PROBE('h', 2, ok, 100.0 * n, 100.0 * n + 1)
                for n, ok in enumerate(served)
            ]
            return fixtures.found(marks=[mark], probes=probes)

        self.judge(
            change_checkers.BundleStaysInForce(),
            probe(False, True, True),
            probe(False, True, False),
        )

    def test_a_host_without_the_bundle_is_found(self):
        mark = MARK(evidence.MARK_ROLLED, '2', 0.0, 1_000.0)
        late = PROBE('h', 2, False, 1_500.0, 1_501.0)
        found = fixtures.found(marks=[mark], probes=[late])
        self.assertNotEqual(
            [], change_checkers.BundleStaysInForce().check(found)
        )

    def test_verdicts_name_what_was_not_exercised(self):
        text = checkers.format_verdicts(checkers.judge(fixtures.found()))
        self.assertEqual(len(checkers.ALL), text.count('not exercised'))
