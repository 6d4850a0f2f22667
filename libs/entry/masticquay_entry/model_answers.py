"""Answers to completion requests, whole or as streams."""

import contextlib
import time
import typing

from masticquay_entry import backends
from masticquay_entry import call_reports
from masticquay_entry import completions
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
    """Serves one completion, whole or as a stream.

    The first batch is waited for before the head of the answer is sent, so
    that all that fails until then has a status of its own.
    """

    def __init__(
        self,
        parts: backends.Backends,
        run: runs.Run,
        completion: completions.CompletionRequest,
        stack: contextlib.ExitStack,
    ):
        self._parts = parts
        self._run = run
        self._completion = completion
        self._stack = stack
        self._report = call_reports.CallReport(parts, run, completion.model)
        self._call = model_calls.ModelCall(parts, run, completion)
        self._renderer = renderers.Renderer(
            completion, str(run.request), int(time.time())
        )
        self._gaps = metrics.GapHistogram()

    def serve(self, start_response: responses.StartResponse) -> responses.Body:
        """Runs the call and answers."""
        tokens = self._completion.prompt_tokens + self._completion.max_tokens
        self._parts.usage.open(tokens)
        self._stack.callback(self._parts.usage.close, tokens)
        batches = self._stack.enter_context(
            contextlib.closing(self._call.stream())
        )
        try:
            first = next(batches)
        except refusals.Refusal as refusal:
            self._note_refusal(refusal)
            raise call_reports.CountedRefusal(refusal) from refusal
        self._note_first()
        if not self._completion.stream:
            return self._serve_whole(first, batches, start_response)
        start_response(refusals.status_line(200), STREAM_HEADERS)
        # From here on the stack belongs to the stream that is returned.
        stack = self._stack.pop_all()
        stack.callback(self._note_left)
        self._ended = False
        return _Stream(self._render(first, batches), stack)

    def _serve_whole(
        self,
        batch: typing.Any,
        batches: model_calls.Batches,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        try:
            for later in batches:
                batch = later
        except refusals.Refusal as refusal:
            self._note_refusal(refusal)
            raise call_reports.CountedRefusal(refusal) from refusal
        body = self._renderer.render_whole(
            self._call.texts, batch.finish_reason
        )
        self._note_end()
        headers = [
            responses.JSON_TYPE,
            (refusals.OUTCOME_HEADER, refusals.RAN),
        ]
        return responses.answer(200, headers, body, start_response)

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
            self._note_refusal(refusal)
            self._parts.metrics.count_cut(refusal.code)
            yield renderers.render_failure(refusal)
            return
        self._ended = True
        self._note_end()
        yield renderer.render_finish(
            batch.finish_reason, self._call.output_tokens
        )

    def _note_first(self) -> None:
        admission = self._run.admission
        self._parts.metrics.record_first_token(
            admission.workspace,
            admission.service_class.name,
            self._parts.clock.now_ms() - self._run.arrived_ms,
        )

    def _note_end(self) -> None:
        self._report.note_answer(
            self._call.queue_wait_ms,
            self._completion.prompt_tokens,
            self._call.output_tokens,
        )
        self._merge_gaps()

    def _note_refusal(self, refusal: refusals.Refusal) -> None:
        self._report.note_refusal(
            refusal, self._completion.prompt_tokens, self._call.output_tokens
        )
        self._merge_gaps()

    def _note_left(self) -> None:
        """Counts a stream that the caller left before its end."""
        if not self._ended:
            refusal = self._run.refusal_for(runs.CALLER_GONE)
            self._note_refusal(refusal)

    def _merge_gaps(self) -> None:
        admission = self._run.admission
        self._parts.metrics.gaps.merge(
            admission.workspace, admission.service_class.name, self._gaps
        )


class _Stream:
    """A streamed body that owns all that its request holds."""

    __slots__ = ('_chunks', '_stack')

    def __init__(
        self, chunks: typing.Iterator[bytes], stack: contextlib.ExitStack
    ):
        self._chunks = chunks
        self._stack = stack

    def __iter__(self) -> typing.Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Ends the request, wherever it stands."""
        self._stack.close()
