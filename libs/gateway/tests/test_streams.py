"""Tests of running model requests."""

import queue
import threading

from masticquay_gateway import failures
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_routing import placement_messages
from tests import fakes
from tests import streamer_cases


class StreamerTest(streamer_cases.StreamerCase):
    def test_prefill_handle_is_passed_to_the_decode_engine(self):
        decode = self.make_decode_engine(1, self.send_stream)
        refusal = self.run_job([(self.prefill.endpoint, decode.endpoint)])
        self.assertIsNone(refusal)
        self.assertEqual(b''.join(streamer_cases.EVENTS), self.job.reply.body)
        self.assertTrue(self.job.reply.finished)
        self.assertEqual('h1', decode.requests[0].header('handle'))
        self.assertEqual([True], self.placer.released)

    def test_refused_placement_is_returned_as_a_refusal(self):
        refused = placement_messages.Refused('engines full', 700)
        refusal = self.run_job([refused])
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertEqual(700, refusal.retry_after_ms)

    def test_placement_refused_over_rate_has_its_own_reason(self):
        refusal = self.run_job(
            [placement_messages.Refused('over rate', 90, True)]
        )
        self.assertIs(ports.Reason.OVER_RATE, refusal.reason)

    def test_short_prompt_is_not_placed_again_after_failed_prefill(self):
        """The prefill engine accepts connections and then resets them."""
        self.prefill.answer = lambda request, reply: reply.abort()
        decode = self.make_decode_engine(1, self.send_stream)
        placement = (self.prefill.endpoint, decode.endpoint)
        self.run_job([placement], prompt_tokens=200)
        self.assertTrue(self.job.reply.finished)
        self.assertIsNone(decode.requests[0].header('handle'))

    def test_long_prompt_is_placed_again_after_failed_prefill(self):
        """Guards against a prefill that stalls a decode engine's streams.

        The prefill engine accepts connections and resets the first one.
        """
        answers = [lambda request, reply: reply.abort(), self.serve_prefill]
        self.prefill.answer = lambda *args: answers.pop(0)(*args)
        decode = self.make_decode_engine(1, self.send_stream)
        placement = (self.prefill.endpoint, decode.endpoint)
        self.assertIsNone(self.run_job([placement, placement]))
        self.assertTrue(self.job.reply.finished)
        self.assertEqual(1, len(decode.requests))
        self.assertEqual('h1', decode.requests[0].header('handle'))
        # Only a response was lost, so the engine may be used again.
        self.assertEqual([], self.placer.requests[1].avoid)

    def test_long_prompt_is_not_placed_again_without_budget(self):
        self.budget_slack = 0
        self.prefill.answer = lambda request, reply: reply.abort()
        decode = self.make_decode_engine(1, self.send_stream)
        self.run_job([(self.prefill.endpoint, decode.endpoint)])
        self.assertTrue(self.job.reply.finished)
        self.assertIsNone(decode.requests[0].header('handle'))

    def test_refusal_of_second_placement_keeps_its_retry_after(self):
        self.prefill.answer = lambda request, reply: reply.abort()
        decode = self.make_decode_engine(1, self.send_stream)
        placement = (self.prefill.endpoint, decode.endpoint)
        refused = placement_messages.Refused('engines full', 1_700)
        refusal = self.run_job([placement, refused])
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertEqual(1_700, refusal.retry_after_ms)
        self.assertEqual([], decode.requests)

    def test_request_refused_by_a_decode_engine_is_placed_again(self):
        """A decode engine refuses a request whose handle has expired."""

        def refuse(request, reply):
            fakes.send_matching_response(
                request, reply, 503, [('Not-Run', '1')]
            )

        first = self.make_decode_engine(1, refuse)
        second = self.make_decode_engine(2, self.send_stream)
        self.run_job(
            [
                (self.prefill.endpoint, first.endpoint),
                (None, second.endpoint),
            ]
        )
        self.assertTrue(self.job.reply.finished)
        self.assertEqual(['e1'], self.placer.requests[1].avoid)
        self.assertTrue(self.placer.requests[1].charged)

    def test_fresh_handle_is_passed_to_the_next_decode_engine(self):
        """Guards against a second prefill when a decode engine is full."""

        def refuse(request, reply):
            fakes.send_matching_response(
                request, reply, 503, [('Not-Run', '1')]
            )

        first = self.make_decode_engine(1, refuse)
        second = self.make_decode_engine(2, self.send_stream)
        self.run_job(
            [(self.prefill.endpoint, first.endpoint), (None, second.endpoint)]
        )
        self.assertTrue(self.placer.requests[1].prefilled)
        self.assertEqual('h1', second.requests[0].header('handle'))
        self.assertEqual(1, len(self.prefill.requests))
        self.assertEqual(
            [('e1', failures.FULL_PAUSE_MS)], self.placer.refusals
        )

    def test_broken_stream_resumes_after_the_last_complete_event(self):
        def answer(request, reply):
            if request.header('resume') is None:
                self.send_stream(request, reply, end=2, complete=False)
            else:
                self.send_stream(request, reply, start=2)

        decode = self.make_decode_engine(1, answer)
        self.run_job(
            [(None, decode.endpoint), (None, decode.endpoint)],
            resumable=True,
        )
        self.assertEqual(b''.join(streamer_cases.EVENTS), self.job.reply.body)
        self.assertEqual('2', decode.requests[1].header('resume'))
        self.assertEqual('e1', self.placer.requests[1].prefer)

    # Guards against ORDER within one response: a broken stream went on at an
    # engine of another software version.
    def test_broken_stream_asks_for_the_software_version_that_began_it(self):
        def answer(request, reply):
            if request.header('resume') is None:
                self.send_stream(request, reply, end=2, complete=False)
            else:
                self.send_stream(request, reply, start=2)

        decode = self.make_decode_engine(1, answer)
        decode.endpoint.software_version = 'v2'
        self.run_job(
            [(None, decode.endpoint), (None, decode.endpoint)],
            resumable=True,
        )
        first, second = self.placer.requests
        self.assertEqual((False, ''), (first.resumes, first.software_version))
        self.assertEqual(
            (True, 'v2'), (second.resumes, second.software_version)
        )
        self.assertEqual([('c1', 'v2')], self.placer.origins)

    def test_stream_of_a_caller_asks_for_the_version_that_is_known_here(self):
        decode = self.make_decode_engine(1, self.send_stream)
        self.resume_job = True
        self.run_job([(None, decode.endpoint)])
        request = self.placer.requests[0]
        self.assertTrue(request.resumes)
        self.assertEqual('c0', request.first_call_id)
        self.assertEqual('v1', request.software_version)
        self.assertEqual('c0', self.placer.origins[0][0])

    # Guards against LOST: a stream was reset at the event that names the new
    # version of its engine's weights, and the engine was reported as failed.
    def test_event_that_names_new_weights_reaches_the_caller(self):
        named = b'weight-versions:2\n' + streamer_cases.EVENTS[2]
        body = b''.join(
            [*streamer_cases.EVENTS[:2], named, *streamer_cases.EVENTS[3:]]
        )

        def answer(request, reply):
            reply.begin(200, [('Call', request.header('call'))])
            reply.write(body)
            reply.finish()

        decode = self.make_decode_engine(1, answer)
        self.run_job([(None, decode.endpoint)])
        self.assertEqual(body, self.job.reply.body)
        self.assertTrue(self.job.reply.finished)
        self.assertEqual([], self.placer.failures)

    def test_broken_stream_resumes_with_an_event_that_names_new_weights(self):
        named = b'weight-versions:2\n' + streamer_cases.EVENTS[2]

        def answer(request, reply):
            if request.header('resume') is None:
                self.send_stream(request, reply, end=2, complete=False)
                return
            reply.begin(200, [('Call', request.header('call'))])
            reply.write(
                b''.join(
                    [
                        streamer_cases.EVENTS[1],
                        named,
                        *streamer_cases.EVENTS[3:],
                    ]
                )
            )
            reply.finish()

        decode = self.make_decode_engine(1, answer)
        self.run_job(
            [(None, decode.endpoint), (None, decode.endpoint)],
            resumable=True,
        )
        expected = b''.join(
            [*streamer_cases.EVENTS[:2], named, *streamer_cases.EVENTS[3:]]
        )
        self.assertEqual(expected, self.job.reply.body)
        self.assertTrue(self.job.reply.finished)

    # Guards against an error of the next engine in the middle of a caller's
    # stream, or a stream that ends there as if it were complete.
    def test_broken_stream_is_aborted_if_the_next_engine_sends_an_error(self):
        def send_error(request, reply):
            reply.send(500, [('Call', request.header('call'))], b'error\n\n')

        def refuse(request, reply):
            headers = [('Call', request.header('call')), ('Not-Run', '1')]
            reply.send(503, headers, b'error\n\n')

        def send_error_as_success(request, reply):
            reply.send(200, [('Call', request.header('call'))], b'error\n\n')

        def send_object(request, reply):
            reply.send(200, [('Call', request.header('call'))], b'{"a": 1}')

        def send_event_without_id(request, reply):
            body = b'data: error\n\n'
            reply.send(200, [('Call', request.header('call'))], body)

        def send_head_in_stream(request, reply):
            reply.begin(200, [('Call', request.header('call'))])
            reply.write(b'HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n\n\n')
            reply.finish()

        for number, fail in enumerate(
            (
                send_error,
                refuse,
                send_error_as_success,
                send_object,
                send_event_without_id,
                send_head_in_stream,
            )
        ):
            with self.subTest(fail.__name__):
                self.check_aborted_after_two_events(10 * number, fail)

    def check_aborted_after_two_events(self, number, fail):
        first = self.make_decode_engine(
            number + 1,
            lambda request, reply: self.send_stream(
                request, reply, end=2, complete=False
            ),
        )
        engines = [first] + [
            self.make_decode_engine(number + n, fail) for n in (2, 3, 4, 5)
        ]
        self.notices = None
        refusal = self.run_job(
            [(None, engine.endpoint) for engine in engines], resumable=True
        )
        self.assertIsNone(refusal)
        self.assertEqual(
            b''.join(streamer_cases.EVENTS[:2]), self.job.reply.body
        )
        self.assertTrue(self.job.reply.aborted)
        self.assertFalse(self.job.reply.finished)

    def test_broken_stream_that_is_not_resumable_is_aborted(self):
        decode = self.make_decode_engine(
            1,
            lambda request, reply: self.send_stream(
                request, reply, end=2, complete=False
            ),
        )
        self.run_job([(None, decode.endpoint)])
        self.assertEqual(
            b''.join(streamer_cases.EVENTS[:2]), self.job.reply.body
        )
        self.assertTrue(self.job.reply.aborted)
        self.assertFalse(self.job.reply.finished)
        self.assertEqual(1, len(decode.requests))

    def test_non_resumable_stream_is_not_retried_after_a_lost_response(self):
        decode = self.make_decode_engine(
            1, lambda request, reply: reply.abort()
        )
        refusal = self.run_job([(None, decode.endpoint)])
        self.assertIs(ports.Reason.UNKNOWN, refusal.reason)
        self.assertEqual(1, len(decode.requests))

    def test_request_to_an_unreachable_engine_is_placed_again(self):
        unreachable = fleets.Endpoint('e7', 'svc', '127.0.0.1:1', 'p1')
        decode = self.make_decode_engine(1, self.send_stream)
        self.run_job([(None, unreachable), (None, decode.endpoint)])
        self.assertTrue(self.job.reply.finished)
        self.assertEqual([('e7', False)], self.placer.failures)

    def test_handle_that_no_engine_used_is_released(self):
        unreachable = fleets.Endpoint('e7', 'svc', '127.0.0.1:1', 'p1')
        refused = placement_messages.Refused('engines full', 700)
        self.run_job([(self.prefill.endpoint, unreachable), refused])
        self.assertTrue(self.handle_released.wait(5))

    def test_caller_disconnect_ends_the_request_at_the_engine(self):
        ended = threading.Event()

        def answer(request, reply):
            reply.begin(200, [('Call', request.header('call'))])
            try:
                for _ in range(500):
                    reply.write(
                        streamer_cases.EVENTS[0] + b'data: x\n\n' * 200
                    )
                    fakes.time.sleep(0.005)
            finally:
                ended.set()

        decode = self.make_decode_engine(1, answer)
        reply = fakes.FakeReply()
        reply.disconnect_after_bytes = 100
        with self.assertRaises(fakes.serving_errors.CallerDisconnectedError):
            self.run_job([(None, decode.endpoint)], reply=reply)
        self.assertTrue(ended.wait(5))

    # Guards against BUDGET: nothing told the end of an engine under a prompt
    # from a connection that broke.
    def test_end_of_an_engine_that_began_to_write_is_reported(self):
        def end(request, reply):
            decode.server.stop_accepting()
            self.send_stream(request, reply, end=1, complete=False)

        decode = self.make_decode_engine(1, end)
        self.run_job([(None, decode.endpoint)])
        endpoint_id, written_ms = self.placer.ends.get(timeout=5)
        self.assertEqual('e1', endpoint_id)
        self.assertLess(written_ms, 1_000)
        self.assertEqual([False], self.placer.completed)

    def test_broken_connection_to_a_running_engine_is_no_end(self):
        decode = self.make_decode_engine(
            1,
            lambda request, reply: self.send_stream(
                request, reply, end=1, complete=False
            ),
        )
        self.run_job([(None, decode.endpoint)])
        with self.assertRaises(queue.Empty):
            self.placer.ends.get(timeout=0.5)

    # Guards against BUDGET: such prompts were sent on to engines.
    def test_quarantined_prompt_is_refused_before_it_is_placed(self):
        self.quarantine.apply({'bad': 5_000})
        self.prompt_parts = ['first', 'bad']
        refusal = self.run_job([])
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 4_000)
        self.assertEqual([], self.placer.requests)

    def test_prompt_quarantined_during_its_prefill_is_not_decoded(self):
        def quarantine(request, reply):
            self.quarantine.apply({'bad': 5_000})
            self.serve_prefill(request, reply)

        self.prefill.answer = quarantine
        self.prompt_parts = ['bad']
        decode = self.make_decode_engine(1, self.send_stream)
        refusal = self.run_job([(self.prefill.endpoint, decode.endpoint)])
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertEqual([], decode.requests)
        self.assertTrue(self.handle_released.wait(5))

    def pause(self, request, reply):
        headers = [('Not-Run', '1'), ('Pause-Ms', '30000')]
        fakes.send_matching_response(request, reply, 503, headers)

    def test_engine_that_wants_a_pause_is_avoided_by_the_next_request(self):
        first = self.make_decode_engine(1, self.pause)
        second = self.make_decode_engine(2, self.send_stream)
        self.listed = [first.endpoint, second.endpoint]
        self.run_job([(None, first.endpoint), (None, second.endpoint)])
        self.run_job([(None, second.endpoint)])
        self.assertEqual(['e1'], self.placer.requests[0].avoid)

    def test_engine_that_began_to_pause_since_placement_gets_no_request(self):
        first = self.make_decode_engine(1, self.pause)
        second = self.make_decode_engine(2, self.send_stream)
        self.listed = [first.endpoint, second.endpoint]
        self.run_job([(None, first.endpoint), (None, second.endpoint)])
        self.run_job([(None, first.endpoint), (None, second.endpoint)])
        self.assertTrue(self.job.reply.finished)
        self.assertEqual(1, len(first.requests))

    def test_request_is_refused_at_once_while_all_engines_want_a_pause(self):
        engine = self.make_decode_engine(1, self.pause)
        self.listed = [engine.endpoint]
        refused = placement_messages.Refused('engines full', 700)
        self.run_job([(None, engine.endpoint), refused])
        refusal = self.run_job([])
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertGreaterEqual(refusal.retry_after_ms, 29_000)
        self.assertEqual(1, len(engine.requests))

    def test_handle_at_an_engine_that_wants_a_pause_is_left_to_expire(self):
        prefill = self.prefill.endpoint
        unreachable = fleets.Endpoint('e7', 'svc', '127.0.0.1:1', 'p1')
        state = fakes.FakeState([])
        self.notices = fakes.make_notices(state)

        def serve(request, reply):
            self.notices.record(
                prefill, 503, [('Pause-Ms', '30000')], has_run=False
            )
            self.serve_prefill(request, reply)

        self.prefill.answer = serve
        refused = placement_messages.Refused('engines full', 700)
        self.run_job([(prefill, unreachable), refused])
        self.assertFalse(self.handle_released.wait(0.5))

    def test_engine_that_leaves_gets_no_request_after_its_answer(self):
        def leave(request, reply):
            reply.begin(
                200, [('Call', request.header('call')), ('Leaving', '1')]
            )
            reply.write(b''.join(streamer_cases.EVENTS))
            reply.finish()

        first = self.make_decode_engine(1, leave)
        second = self.make_decode_engine(2, self.send_stream)
        self.listed = [first.endpoint, second.endpoint]
        self.run_job([(None, first.endpoint)])
        self.run_job([(None, first.endpoint), (None, second.endpoint)])
        self.assertTrue(self.job.reply.finished)
        self.assertEqual(1, len(first.requests))
