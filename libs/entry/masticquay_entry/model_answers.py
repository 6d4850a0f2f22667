"""Answers to completion requests, in one piece or as streams."""

import contextlib
import time
import typing

from masticquay_entry import call_recorders
from masticquay_entry import completions
from masticquay_entry import dependencies
from masticquay_entry import metrics
from masticquay_entry import model_calls
from masticquay_entry import refusals
from masticquay_entry import renderers
from masticquay_entry import responses
from masticquay_entry import runs

STREAM_HEADERS = [
    ('Content-Type', 'text/event-stream; charset=utf-8'),
    ('Cache-Control', 'no-cache'),
    (refusals.OUTCOME_HEADER, refusals.RAN),
]


class ModelAnswer:
    """Serves one completion, in one piece or as a stream.

    The headers are sent after the first batch of tokens has arrived, so that
    a failure before it is answered with its own HTTP status.

    :param stack: releases the resources of the request when it is closed
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        run: runs.Run,
        completion: completions.CompletionRequest,
        stack: contextlib.ExitStack,
    ):
        self._deps = deps
        self._run = run
        self._completion = completion
        self._stack = stack
        self._recorder = call_recorders.CallRecorder(
            deps, run, completion.model
        )
        self._call = model_calls.ModelCall(deps, run, completion)
        self._renderer = renderers.Renderer(
            completion, str(run.request_id), int(time.time())
        )
        self._gaps = metrics.GapHistogram()

    def serve(self, start_response: responses.StartResponse) -> responses.Body:
        """Runs the call and answers.

        :raises RecordedRefusal: when the call ends before the response starts
        """
        tokens = self._completion.prompt_tokens + self._completion.max_tokens
        self._deps.usage.add_active_tokens(tokens)
        self._stack.callback(self._deps.usage.remove_active_tokens, tokens)
        batches = self._stack.enter_context(
            contextlib.closing(self._call.stream())
        )
        try:
            first_batch = next(batches)
        except refusals.Refusal as refusal:
            self._record_refusal(refusal)
            raise call_recorders.RecordedRefusal(refusal) from refusal
        self._record_first_token()
        if not self._completion.stream:
            return self._serve_whole(first_batch, batches, start_response)
        start_response(refusals.status_line(200), STREAM_HEADERS)
        # The returned body takes over the cleanup of the request.
        stack = self._stack.pop_all()
        stack.callback(self._record_abandoned)
        self._ended = False
        return _StreamedBody(self._render(first_batch, batches), stack)

    def _serve_whole(
        self,
        batch: typing.Any,
        batches: model_calls.Batches,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        try:
            for next_batch in batches:
                batch = next_batch
        except refusals.Refusal as refusal:
            self._record_refusal(refusal)
            raise call_recorders.RecordedRefusal(refusal) from refusal
        body = self._renderer.render_whole(
            self._call.texts, batch.finish_reason
        )
        self._record_end()
        headers = [
            responses.JSON_TYPE,
            (refusals.OUTCOME_HEADER, refusals.RAN),
        ]
        return responses.respond(200, headers, body, start_response)

    def _render(
        self, batch: typing.Any, batches: model_calls.Batches
    ) -> typing.Iterator[bytes]:
        renderer, gaps = self._renderer, self._gaps
        previous_s = time.monotonic()
        try:
            yield renderer.render_batch(batch)
            for batch in batches:
                if not batch.texts:
                    continue
                now_s = time.monotonic()
                gaps.add((now_s - previous_s) * 1000)
                previous_s = now_s
                yield renderer.render_batch(batch)
        except refusals.Refusal as refusal:
            self._ended = True
            self._record_refusal(refusal)
            self._deps.metrics.count_cut_stream(refusal.code)
            yield renderers.render_failure(refusal)
            return
        self._ended = True
        self._record_end()
        yield renderer.render_finish(
            batch.finish_reason, self._call.output_tokens
        )

    def _record_first_token(self) -> None:
        admission = self._run.admission
        self._deps.metrics.record_first_token(
            admission.workspace,
            admission.service_class.name,
            self._deps.clock.now_ms() - self._run.arrived_ms,
        )

    def _record_end(self) -> None:
        self._recorder.record_answer(
            self._call.queue_wait_ms,
            self._completion.prompt_tokens,
            self._call.output_tokens,
        )
        self._merge_gaps()

    def _record_refusal(self, refusal: refusals.Refusal) -> None:
        self._recorder.record_refusal(
            refusal, self._completion.prompt_tokens, self._call.output_tokens
        )
        self._merge_gaps()

    def _record_abandoned(self) -> None:
        """Records a stream whose caller disconnected before its end."""
        if not self._ended:
            refusal = self._run.refusal_for(runs.CALLER_GONE)
            self._record_refusal(refusal)

    def _merge_gaps(self) -> None:
        admission = self._run.admission
        self._deps.metrics.gaps.merge(
            admission.workspace, admission.service_class.name, self._gaps
        )


class _StreamedBody:
    """A streamed body that owns the resources of its request."""

    __slots__ = ('_chunks', '_stack')

    def __init__(
        self, chunks: typing.Iterator[bytes], stack: contextlib.ExitStack
    ):
        self._chunks = chunks
        self._stack = stack

    def __iter__(self) -> typing.Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Ends the request, complete or not, and frees its resources."""
        self._stack.close()
