"""Answers to completion requests in the usual form."""

from collections import abc
import json
import typing

from masticquay_endpoints import protocols
from masticquay_entry import completions
from masticquay_entry import refusals

DONE_EVENT = b'data: [DONE]\n\n'


class Renderer:
    """Writes the answer to one request.

    The parts of an event that stay the same are written once; a token is
    copied as the JSON string that the engine sent.

    :param created_s: wall-clock time for the ``created`` field
    """

    __slots__ = (
        '_request',
        '_head',
        '_kind',
        '_before',
        '_after',
        '_first',
    )

    def __init__(
        self,
        request: completions.CompletionRequest,
        request_id: str,
        created_s: int,
    ):
        self._request = request
        prefix = 'chatcmpl' if request.chat else 'cmpl'
        self._head = {
            'id': f'{prefix}-{request_id}',
            'object': '',
            'created': created_s,
            'model': request.model,
        }
        self._kind = 'chat.completion' if request.chat else 'text_completion'
        kind = 'chat.completion.chunk' if request.chat else self._kind
        head = json.dumps({**self._head, 'object': kind})[:-1]
        field = '"delta": {"content": ' if request.chat else '"text": '
        self._before = (
            f'data: {head}, "choices": [{{"index": 0, {field}'
        ).encode()
        close = '}' if request.chat else ''
        self._after = f'{close}, "finish_reason": null}}]}}\n\n'.encode()
        self._first = b''
        if request.chat:
            self._first = (
                f'data: {head}, "choices": [{{"index": 0, "delta": '
                '{"role": "assistant", "content": ""}, '
                '"finish_reason": null}]}\n\n'
            ).encode()

    def render_batch(self, batch: protocols.TokenBatch) -> bytes:
        """Returns the events of a batch, without the finish."""
        before, after = self._before, self._after
        texts = batch.texts
        if len(texts) == 1 and batch.first_index:
            return before + texts[0] + after
        parts = [] if batch.first_index else [self._first]
        for text in texts:
            parts += (before, text, after)
        return b''.join(parts)

    def render_finish(self, finish_reason: str, output_tokens: int) -> bytes:
        """Returns the events that end a stream."""
        kind = self._kind + ('.chunk' if self._request.chat else '')
        head = {**self._head, 'object': kind}
        choice: dict[str, typing.Any] = {'index': 0}
        if self._request.chat:
            choice['delta'] = {}
        else:
            choice['text'] = ''
        choice['finish_reason'] = finish_reason
        events = [_event({**head, 'choices': [choice]})]
        if self._request.include_usage:
            usage = self._usage(output_tokens)
            events.append(_event({**head, 'choices': [], 'usage': usage}))
        events.append(DONE_EVENT)
        return b''.join(events)

    def render_whole(
        self,
        texts: abc.Sequence[bytes],
        finish_reason: str,
    ) -> bytes:
        """Returns the answer as one JSON object."""
        text = ''.join(json.loads(literal) for literal in texts)
        choice: dict[str, typing.Any] = {'index': 0}
        if self._request.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
            choice['logprobs'] = None
        choice['finish_reason'] = finish_reason
        answer = {
            **self._head,
            'object': self._kind,
            'choices': [choice],
            'usage': self._usage(len(texts)),
        }
        return json.dumps(answer).encode()

    def _usage(self, output_tokens: int) -> dict[str, int]:
        prompt_tokens = self._request.prompt_tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': output_tokens,
            'total_tokens': prompt_tokens + output_tokens,
        }


def render_failure(refusal: refusals.Refusal) -> bytes:
    """Returns the event that ends a stream that failed."""
    return b'data: ' + refusal.body() + b'\n\n'


def _event(fields: dict[str, typing.Any]) -> bytes:
    return b'data: ' + json.dumps(fields).encode() + b'\n\n'
