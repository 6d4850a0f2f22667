"""Tests of the count of prompts read in vain, and of how it is kept low."""

from masticquay_endpoints import errors as endpoint_errors
from masticquay_gateway import ports
from masticquay_routing import placement_messages
from tests import fakes
from tests import streamer_cases

FULL = placement_messages.Refused('engines full', 700)


class WastedPromptsTest(streamer_cases.StreamerCase):
    def assert_counted(self, cause):
        """Checks that the prompt was counted once, by its cause."""
        counted = [
            line
            for line in self.registry.render().splitlines()
            if line.startswith('masticquay_prompt_tokens_in_vain')
        ]
        line = (
            f'masticquay_prompt_tokens_in_vain{{cause="{cause}"}}'
            f' {fakes.PROMPT_TOKENS}'
        )
        self.assertEqual([line] if cause else [], counted)

    def refuse(self, request, reply):
        fakes.send_matching_response(request, reply, 503, [('Not-Run', '1')])

    def run_split(self, answer, *later):
        """Runs a request whose decode engine answers as given."""
        decode = self.make_decode_engine(1, answer)
        return self.run_job([(self.prefill.endpoint, decode.endpoint), *later])

    def test_prompt_of_a_served_request_is_not_counted(self):
        self.run_split(self.send_stream)
        self.assert_counted(None)

    def test_handle_that_no_decode_engine_takes(self):
        self.run_split(self.refuse, FULL)
        self.assert_counted('decode_refused')
        self.assertTrue(self.handle_released.wait(5))

    def test_decode_engine_that_ends_before_the_first_event(self):
        self.run_split(lambda _request, reply: reply.abort())
        self.assert_counted('decode_lost')

    def test_prefill_whose_answer_is_lost(self):
        self.prefill.answer = lambda _request, reply: reply.abort()
        self.run_split(self.send_stream, FULL)
        self.assert_counted('prefill_lost')

    # Guards against a handle that was neither used nor released.
    def test_caller_that_leaves_while_its_handle_waits_for_a_place(self):
        decode = self.make_decode_engine(1, self.refuse)
        left = endpoint_errors.InterruptedCallError('caller left')
        with self.assertRaises(endpoint_errors.InterruptedCallError):
            self.run_job([(self.prefill.endpoint, decode.endpoint), left])
        self.assert_counted('caller_left')
        self.assertTrue(self.handle_released.wait(5))

    # Guards against a prompt that was read again while its handle was valid.
    def test_handle_goes_to_another_engine_if_one_cannot_be_reached(self):
        ended = self.make_decode_engine(1, self.send_stream)
        ended.server.server_close()
        second = self.make_decode_engine(2, self.send_stream)
        self.run_job(
            [(self.prefill.endpoint, ended.endpoint), (None, second.endpoint)]
        )
        self.assertTrue(self.placer.requests[1].prefilled)
        self.assertEqual('h1', second.requests[0].header('handle'))
        self.assertEqual(1, len(self.prefill.requests))
        self.assert_counted(None)

    # Guards against a prefill that ends after the caller gave up.
    def test_prompt_that_cannot_be_read_in_time_is_not_sent(self):
        self.prefill_ms = 60_000
        refusal = self.run_split(self.send_stream)
        self.assertIs(ports.Reason.NOT_RUN, refusal.reason)
        self.assertEqual([], self.prefill.requests)
        self.assert_counted(None)
