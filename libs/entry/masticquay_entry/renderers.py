"""Rendering of completions in the OpenAI API format."""

from collections import abc
import json
import typing

from masticquay_endpoints import protocols
from masticquay_entry import completions
from masticquay_entry import refusals

DONE_EVENT = b'data: [DONE]\n\n'


class Renderer:
    """Renders the answer to one request.

    The constant parts of an event are rendered once. Tokens are copied as
    the JSON strings that the engine sent.

    :param created_s: wall-clock time for the ``created`` field
    """

    __slots__ = (
        '_request',
        '_common_fields',
        '_object_type',
        '_token_prefix',
        '_token_suffix',
        '_role_event',
    )

    def __init__(
        self,
        request: completions.CompletionRequest,
        request_id: str,
        created_s: int,
    ):
        self._request = request
        prefix = 'chatcmpl' if request.chat else 'cmpl'
        self._common_fields = {
            'id': f'{prefix}-{request_id}',
            'object': '',
            'created': created_s,
            'model': request.model,
        }
        self._object_type = (
            'chat.completion' if request.chat else 'text_completion'
        )
        event_object_type = (
            'chat.completion.chunk' if request.chat else self._object_type
        )
        event_fields = json.dumps(
            {**self._common_fields, 'object': event_object_type}
        )[:-1]
        field = '"delta": {"content": ' if request.chat else '"text": '
        self._token_prefix = (
            f'data: {event_fields}, "choices": [{{"index": 0, {field}'
        ).encode()
        closing = '}' if request.chat else ''
        self._token_suffix = (
            f'{closing}, "finish_reason": null}}]}}\n\n'.encode()
        )
        self._role_event = b''
        if request.chat:
            self._role_event = (
                f'data: {event_fields}, "choices": [{{"index": 0, "delta": '
                '{"role": "assistant", "content": ""}, '
                '"finish_reason": null}]}\n\n'
            ).encode()

    def render_batch(self, batch: protocols.TokenBatch) -> bytes:
        """Returns the events of the tokens of a batch.

        A chat starts with an event that names the role. The finish reason is
        left to ``render_finish``.
        """
        token_prefix, token_suffix = self._token_prefix, self._token_suffix
        texts = batch.texts
        if len(texts) == 1 and batch.first_index:
            return token_prefix + texts[0] + token_suffix
        parts = [] if batch.first_index else [self._role_event]
        for text in texts:
            parts += (token_prefix, text, token_suffix)
        return b''.join(parts)

    def render_finish(self, finish_reason: str, output_tokens: int) -> bytes:
        """Returns the events that end a stream."""
        event_object_type = self._object_type + (
            '.chunk' if self._request.chat else ''
        )
        event_fields = {**self._common_fields, 'object': event_object_type}
        choice: dict[str, typing.Any] = {'index': 0}
        if self._request.chat:
            choice['delta'] = {}
        else:
            choice['text'] = ''
        choice['finish_reason'] = finish_reason
        events = [_render_event({**event_fields, 'choices': [choice]})]
        if self._request.include_usage:
            usage = self._usage(output_tokens)
            events.append(
                _render_event({**event_fields, 'choices': [], 'usage': usage})
            )
        events.append(DONE_EVENT)
        return b''.join(events)

    def render_whole(
        self,
        texts: abc.Sequence[bytes],
        finish_reason: str,
    ) -> bytes:
        """Returns the complete answer as one JSON object."""
        text = ''.join(json.loads(literal) for literal in texts)
        choice: dict[str, typing.Any] = {'index': 0}
        if self._request.chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
            choice['logprobs'] = None
        choice['finish_reason'] = finish_reason
        answer = {
            **self._common_fields,
            'object': self._object_type,
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
    """Returns the event that ends a failed stream."""
    return b'data: ' + refusal.body() + b'\n\n'


def _render_event(fields: dict[str, typing.Any]) -> bytes:
    return b'data: ' + json.dumps(fields).encode() + b'\n\n'
