"""Tests of placement and rate limiting on the leader."""

import unittest

from masticquay_coordination import endpoint_limits
from masticquay_coordination import owners
from masticquay_routing import end_evidence
from masticquay_routing import harmful_prompts
from masticquay_routing import messages
from masticquay_routing import named_limits
from masticquay_routing import placement_messages
from masticquay_routing import stream_origins
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from tests import fakes

LIMIT_PER_S = 1.0


class OwnerTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock(100_000)
        self.owner = self.make_owner()

    def make_owner(self, first=True, limits=None):
        owner = owners.Owner(3, self.clock, first, limits)
        owner.set_table(fakes.VersionReader().read(b'1'))
        owner.set_endpoints(fakes.make_engines(1, 2))
        return owner

    def test_request_is_placed_immediately(self):
        placed = self.owner.admit(fakes.make_admit(1)).result(0)
        self.assertEqual('e0', placed.prefill_id)

    # Guards against LIMIT at model engines, whose requests the leader places.
    def test_engines_get_no_more_requests_than_the_limits_they_name(self):
        limits = endpoint_limits.EndpointLimits(self.clock)
        self.owner = self.make_owner(limits=limits)
        words = [
            named_limits.LimitWord(f'e{n}', 0, LIMIT_PER_S, 0)
            for n in range(3)
        ]
        placed_count = 0
        for number in range(40):
            self.clock.advance_ms(100)
            limits.exchange('h1', words)
            future = self.owner.admit(fakes.make_admit(number))
            if not future.done():
                self.owner.finish(
                    placement_messages.Finished('h1', 'llm', number, True)
                )
                continue
            if isinstance(future.result(0), placement_messages.Placed):
                placed_count += 1
                self.owner.finish(
                    placement_messages.Finished('h1', 'llm', number, True)
                )
        # Each of the two decode engines takes 4 s of its limit and 5 more.
        self.assertLessEqual(placed_count, 2 * (4 * LIMIT_PER_S + 5))
        self.assertGreaterEqual(placed_count, 2 * 3 * LIMIT_PER_S)

    def set_versions(self, *versions, possible=None):
        """Gives the decode engines e1, e2 these software versions."""
        engines = fakes.make_engines(1, 2)
        for engine, version in zip(engines[1:], versions, strict=True):
            engine.software_version = version
        self.owner.set_endpoints(engines, possible)

    def resume(self, number, **fields):
        return self.owner.admit(
            fakes.make_admit(number, resumes=True, **fields)
        )

    # Guards against ORDER, where a stream that a caller took up at another
    # host went on at another software version.
    def test_stream_of_another_host_goes_on_at_its_version(self):
        self.set_versions('v1', 'v2')
        for number, version in enumerate(('v1', 'v2')):
            self.owner.begin_decode(
                placement_messages.Decoding(
                    'h2', 'llm', number, f'c{number}', version
                )
            )
            placed = self.resume(number, first_call_id=f'c{number}').result(0)
            self.assertEqual(f'e{number + 1}', placed.decode_id)
            self.assertEqual(version, placed.software_version)

    def test_origins_of_a_host_are_known_to_the_next_leader(self):
        self.set_versions('v1', 'v2')
        origin = stream_origins.StreamOrigin('c1', 'llm', 'v2')
        self.owner.exchange_origins('h2', [origin])
        placed = self.resume(1, first_call_id='c1').result(0)
        self.assertEqual('e2', placed.decode_id)

    def test_stream_of_unknown_origin_is_refused_at_once(self):
        self.set_versions('v1', 'v2', possible={'llm': ['v1', 'v2']})
        refused = self.resume(1, first_call_id='c1')
        self.assertIsInstance(refused, placement_messages.Refused)
        self.assertGreater(refused.retry_after_ms, 0)

    def test_stream_of_unknown_origin_goes_on_at_the_only_version(self):
        self.set_versions('v1', 'v1', possible={'llm': ['v1']})
        placed = self.resume(1).result(0)
        self.assertEqual('v1', placed.software_version)

    def test_stream_of_unknown_origin_is_refused_after_a_release(self):
        """Only one version is listed, but another one has just left."""
        self.set_versions('v2', 'v2', possible={'llm': ['v1', 'v2']})
        self.assertIsInstance(self.resume(1), placement_messages.Refused)

    def test_stream_of_another_service_is_refused(self):
        self.set_versions('v1', 'v1', possible={'llm': ['v1']})
        origin = stream_origins.StreamOrigin('c1', 'other', 'v1')
        self.owner.exchange_origins('h2', [origin])
        refused = self.resume(1, first_call_id='c1')
        self.assertIsInstance(refused, placement_messages.Refused)

    def test_waiting_request_is_placed_when_capacity_is_freed(self):
        for number in range(10):
            self.owner.admit(
                fakes.make_admit(
                    number, prompt_tokens=100, output_tokens=5_571
                )
            )
        waiting = self.owner.admit(fakes.make_admit(90))
        self.assertFalse(waiting.done())
        self.owner.finish(placement_messages.Finished('h1', 'llm', 0, True))
        self.assertIsInstance(waiting.result(0), placement_messages.Placed)

    def test_waiting_request_is_refused_after_its_wait(self):
        for number in range(10):
            self.owner.admit(
                fakes.make_admit(
                    number, prompt_tokens=100, output_tokens=5_571
                )
            )
        waiting = self.owner.admit(fakes.make_admit(90))
        self.clock.advance_ms(501)
        self.owner.place_waiting()
        self.assertIsInstance(waiting.result(0), placement_messages.Refused)

    def fill_engines(self):
        for number in range(100, 110):
            self.owner.admit(
                fakes.make_admit(
                    number, prompt_tokens=100, output_tokens=5_571
                )
            )

    def admit_of_workspace(self, number):
        """Admits a request that takes half of its workspace's burst."""
        return self.owner.admit(
            fakes.make_admit(number, workspace='w', cost=3_000.0)
        )

    def test_refused_request_is_not_charged(self):
        """Load pattern: a workspace in surge while the engines are full.

        Requests that did not run must not use up the workspace's rate.
        """
        self.fill_engines()
        for number in range(2):
            self.admit_of_workspace(number)
        self.clock.advance_ms(501)
        self.owner.place_waiting()
        waiting = [self.admit_of_workspace(number) for number in (2, 3)]
        self.assertFalse(
            any(isinstance(w, placement_messages.Refused) for w in waiting)
        )

    def test_abandoned_request_is_not_charged(self):
        self.fill_engines()
        for number in range(2):
            self.admit_of_workspace(number)
            self.owner.finish(
                placement_messages.Finished('h1', 'llm', number, True)
            )
        waiting = self.admit_of_workspace(2)
        self.assertNotIsInstance(waiting, placement_messages.Refused)

    def test_request_that_was_placed_stays_charged(self):
        for number in range(2):
            self.admit_of_workspace(number).result(0)
            self.owner.finish(
                placement_messages.Finished('h1', 'llm', number, True)
            )
        self.assertIsInstance(
            self.admit_of_workspace(2), placement_messages.Refused
        )

    def test_rate_limit_covers_all_hosts(self):
        outcomes = [
            self.owner.admit(
                fakes.make_admit(n, host=f'h{n}', workspace='w', cost=2_000.0)
            )
            for n in range(5)
        ]
        refused = [
            o for o in outcomes if isinstance(o, placement_messages.Refused)
        ]
        self.assertEqual(2, len(refused))
        self.assertTrue(all(r.over_rate for r in refused))
        self.assertTrue(all(r.retry_after_ms > 0 for r in refused))

    def test_usage_reported_by_hosts_is_charged(self):
        exhausted = self.owner.charge({'w': 7_000.0})
        self.assertIn('w', exhausted)
        answer = self.owner.admit(
            fakes.make_admit(1, workspace='w', cost=10.0)
        )
        self.assertTrue(answer.over_rate)

    def test_retried_request_is_charged_once(self):
        for number in range(8):
            answer = self.owner.admit(
                fakes.make_admit(
                    number,
                    workspace='w',
                    cost=2_000.0,
                    charged=number > 0,
                    prompt_tokens=10,
                    output_tokens=10,
                )
            )
            self.assertNotIsInstance(answer, placement_messages.Refused)

    # Guards against QUOTA: a lost leader had let a burst run, its successor
    # half of another one.
    def test_successor_starts_with_a_quarter_of_the_burst(self):
        successor = self.make_owner(first=False)
        self.assertEqual(1, self.count_placed(successor, range(6)))
        self.clock.advance_ms(3_000)
        self.assertEqual(3, self.count_placed(successor, range(6, 12)))

    def count_placed(self, owner, numbers):
        outcomes = [
            owner.admit(fakes.make_admit(n, workspace='w', cost=1_000.0))
            for n in numbers
        ]
        return sum(
            not isinstance(o, placement_messages.Refused) for o in outcomes
        )

    def test_successor_adopts_running_requests(self):
        running = [
            messages.Running(n, 'llm', f'e{1 + n % 2}', 4_000, 3_000)
            for n in range(10)
        ]
        self.owner.adopt('h1', running)
        waiting = self.owner.admit(fakes.make_admit(90))
        self.assertFalse(waiting.done())

    def test_lost_host_frees_its_reservations(self):
        for number in range(10):
            self.owner.admit(
                fakes.make_admit(
                    number, host='gone', prompt_tokens=100, output_tokens=5_571
                )
            )
        waiting = self.owner.admit(fakes.make_admit(90))
        self.owner.release_host('gone')
        self.assertIsInstance(waiting.result(0), placement_messages.Placed)

    # Nothing has run it, and no later placement may.
    def test_waiting_request_of_a_lost_host_is_refused_for_good(self):
        for number in range(10):
            self.owner.admit(
                fakes.make_admit(
                    number, prompt_tokens=100, output_tokens=5_571
                )
            )
        waiting = self.owner.admit(fakes.make_admit(90, host='gone'))
        self.assertFalse(waiting.done())
        self.owner.release_host('gone')
        self.assertIsInstance(waiting.result(0), placement_messages.Refused)
        self.owner.release_host('h1')
        self.assertEqual(0, self.owner.gauges()['placed_requests'])

    def test_abandoned_request_is_refused(self):
        for number in range(10):
            self.owner.admit(
                fakes.make_admit(
                    number, prompt_tokens=100, output_tokens=5_571
                )
            )
        waiting = self.owner.admit(fakes.make_admit(90))
        self.owner.finish(placement_messages.Finished('h1', 'llm', 90, False))
        self.assertIsInstance(waiting.result(0), placement_messages.Refused)

    def test_waiting_requests_fail_at_the_end_of_the_term(self):
        """The host places the request itself after an error, not a refusal."""
        for number in range(11):
            last = self.owner.admit(
                fakes.make_admit(
                    number, prompt_tokens=100, output_tokens=5_571
                )
            )
        self.owner.fail_all()
        with self.assertRaises(wire_errors.RemoteError) as raised:
            last.result(0)
        self.assertEqual(messages.CODE_NOT_LEADER, raised.exception.code)

    def admit_prompt(self, number, *parts, **fields):
        return self.owner.admit(
            fakes.make_admit(
                number,
                prompt_key=f'last{number}:9',
                prompt_parts=list(parts),
                **fields,
            )
        )

    def report_end(self, number, *parts, age_ms=0):
        """Reports the end of an engine under a prompt of its own."""
        trouble = placement_messages.EndpointTrouble(
            f'h{number}',
            'llm',
            f'i{number}',
            False,
            'ended',
            written_ms=40,
            has_ended=True,
            prompt_key=f'last{number}:9',
            prompt_parts=list(parts),
            age_ms=age_ms,
        )
        self.owner.record_failure(trouble)

    def end_engines(self, *parts):
        """Ends enough engines under prompts to quarantine the last part."""
        for number in range(harmful_prompts.MIN_ENDS):
            self.admit_prompt(number, *parts)
            self.report_end(number, *parts)
            self.owner.finish(
                placement_messages.Finished('h1', 'llm', number, False)
            )
            self.clock.advance_ms(1_000)

    # Guards against BUDGET, where requests with one part in their prompts were
    # placed on engine after engine.
    def test_prompt_with_a_part_that_ended_engines_is_refused(self):
        self.end_engines('first', 'bad')
        refused = self.admit_prompt(90, 'first', 'bad')
        self.assertEqual(messages.REASON_HARMFUL_PROMPT, refused.reason)
        self.assertGreater(refused.retry_after_ms, 100_000)
        self.assertEqual(['bad'], list(self.owner.quarantined_prompts()))
        placed = self.admit_prompt(91, 'first').result(0)
        self.assertIsInstance(placed, placement_messages.Placed)

    def test_waiting_prompt_is_refused_when_its_part_is_quarantined(self):
        self.fill_engines()
        waiting = self.admit_prompt(90, 'first', 'bad', wait_ms=60_000)
        self.assertFalse(waiting.done())
        self.end_engines('first', 'bad')
        refused = waiting.result(0)
        self.assertEqual(messages.REASON_HARMFUL_PROMPT, refused.reason)

    def test_refused_harmful_prompt_is_not_charged(self):
        self.end_engines('bad')
        for number in (90, 91, 92):
            self.admit_prompt(number, 'bad', workspace='w', cost=3_000.0)
        for number in (93, 94):
            waiting = self.admit_of_workspace(number)
            self.assertNotIsInstance(waiting, placement_messages.Refused)

    def test_stream_that_goes_on_elsewhere_clears_its_part(self):
        """It has been written for a while when other engines end."""
        self.admit_prompt(80, 'first')
        self.owner.begin_decode(placement_messages.Decoding('h1', 'llm', 80))
        self.clock.advance_ms(harmful_prompts.SUSPECT_MS)
        self.end_engines('first')
        self.assertEqual({}, self.owner.quarantined_prompts())

    def test_completed_answer_clears_its_part(self):
        self.end_engines('first')
        self.owner.adopt_quarantined({'first': 0})
        self.clock.advance_ms(end_evidence.QUARANTINE_MS)
        self.admit_prompt(80, 'first')
        self.owner.finish(
            placement_messages.Finished('h1', 'llm', 80, True, True)
        )
        self.assertIsInstance(
            self.admit_prompt(81, 'first').result(0), placement_messages.Placed
        )

    def test_next_leader_takes_over_the_quarantine(self):
        self.end_engines('bad')
        quarantined = self.owner.quarantined_prompts()
        self.owner = self.make_owner(first=False)
        self.owner.adopt_quarantined(quarantined)
        refused = self.admit_prompt(90, 'bad')
        self.assertEqual(messages.REASON_HARMFUL_PROMPT, refused.reason)

    # Guards against BUDGET while leaders change: each one waited for as many
    # ends as the first.
    def test_next_leader_counts_the_ends_before_its_term(self):
        for number in range(harmful_prompts.MIN_ENDS - 1):
            for _host in range(2):
                age_ms = 3_000 * (harmful_prompts.MIN_ENDS - number)
                self.report_end(number, 'first', 'bad', age_ms=age_ms)
        self.assertEqual({}, self.owner.quarantined_prompts())
        self.report_end(90, 'first', 'bad')
        self.assertEqual(['bad'], list(self.owner.quarantined_prompts()))

    def report_prefill_end(self, number, *parts):
        """Reports the end of a prefill engine under a prompt of its own."""
        trouble = placement_messages.EndpointTrouble(
            f'h{number}',
            'llm',
            f'p{number}',
            False,
            'ended',
            ended_in_prefill=True,
            prompt_key=f'last{number}:9',
            prompt_parts=list(parts),
        )
        self.owner.record_failure(trouble)

    # Guards against BUDGET at prefill engines.
    def test_part_that_ended_prefill_engines_is_quarantined(self):
        for number in range(harmful_prompts.MIN_ENDS):
            self.admit_prompt(number, 'first', 'bad')
            self.report_prefill_end(number, 'first', 'bad')
            self.owner.finish(
                placement_messages.Finished('h1', 'llm', number, True, True)
            )
            self.clock.advance_ms(1_000)
        self.assertEqual(['bad'], list(self.owner.quarantined_prompts()))

    def test_completed_prefills_clear_their_part(self):
        for number in range(harmful_prompts.MIN_ENDS):
            self.admit_prompt(number, 'first')
            self.owner.finish_prefill(
                placement_messages.PrefillDone('h1', 'llm', number)
            )
            self.report_prefill_end(number, 'first')
            self.clock.advance_ms(1_000)
        self.assertEqual({}, self.owner.quarantined_prompts())
