"""Parsing of completion request bodies in the OpenAI API format."""

import json
import typing

from masticquay_entry import refusals
from masticquay_scheduling import prefixes

MAX_MODEL_NAME_CHARS = 200
Fields = dict[str, typing.Any]


class CompletionRequest:
    """A parsed completion request.

    :param include_usage: whether a stream ends with the usage block
    :param chat: whether it came as a chat completion
    """

    __slots__ = (
        'model',
        'prompt',
        'prompt_tokens',
        'max_tokens',
        'stream',
        'include_usage',
        'chat',
    )

    def __init__(
        self,
        model: str,
        prompt: bytes,
        max_tokens: int,
        stream: bool,
        include_usage: bool,
        chat: bool,
    ):
        self.model = model
        self.prompt = prompt
        self.prompt_tokens = prefixes.count_tokens(prompt)
        self.max_tokens = max_tokens
        self.stream = stream
        self.include_usage = include_usage
        self.chat = chat


class CompletionReader:
    """Parses and validates request bodies.

    :param default_tokens: output limit when the body names none
    :param limit_tokens: highest output limit that a body may name
    """

    def __init__(self, default_tokens: int, limit_tokens: int):
        self._default_tokens = default_tokens
        self._limit_tokens = limit_tokens

    def read(self, body: bytes, chat: bool) -> CompletionRequest:
        """Parses one body.

        :raises Refusal: when the body is malformed or not supported
        """
        fields = _parse(body)
        _check_single_choice(fields)
        text = _read_messages(fields) if chat else _read_prompt(fields)
        stream = _read_flag(fields, 'stream')
        options = fields.get('stream_options') or {}
        if not isinstance(options, dict):
            raise _bad_field('stream_options')
        return CompletionRequest(
            _read_model(fields),
            _encode(text),
            self._read_max_tokens(fields),
            stream,
            _read_flag(options, 'include_usage'),
            chat,
        )

    def _read_max_tokens(self, fields: Fields) -> int:
        value = fields.get('max_completion_tokens')
        if value is None:
            value = fields.get('max_tokens')
        if value is None:
            return self._default_tokens
        if type(value) is not int or not 1 <= value <= self._limit_tokens:
            raise refusals.bad_request(
                'bad-max-tokens',
                f'max_tokens must be from 1 to {self._limit_tokens}',
            )
        return value


def _parse(body: bytes) -> Fields:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as cause:
        raise refusals.bad_request(
            'malformed-json', 'the body is no valid JSON'
        ) from cause
    if not isinstance(fields, dict):
        raise refusals.bad_request('malformed-json', 'the body is no object')
    return fields


def _bad_field(name: str) -> refusals.Refusal:
    return refusals.bad_request('bad-field', f'{name} cannot be served')


def _check_single_choice(fields: Fields) -> None:
    for name in ('n', 'best_of'):
        if fields.get(name) not in (None, 1):
            raise _bad_field(name)


def _read_flag(fields: Fields, name: str) -> bool:
    value = fields.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise _bad_field(name)
    return value


def _read_model(fields: Fields) -> str:
    model = fields.get('model')
    if not isinstance(model, str) or len(model) > MAX_MODEL_NAME_CHARS:
        raise _bad_field('model')
    return model


def _read_prompt(fields: Fields) -> str:
    prompt = fields.get('prompt')
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt:
        raise _bad_field('prompt')
    return prompt


def _read_messages(fields: Fields) -> str:
    messages = fields.get('messages')
    if not isinstance(messages, list) or not messages:
        raise _bad_field('messages')
    parts = [_read_message(message) for message in messages]
    return ''.join(parts) + 'assistant: '


def _read_message(message: typing.Any) -> str:
    if not isinstance(message, dict):
        raise _bad_field('messages')
    role, content = message.get('role'), message.get('content')
    if isinstance(content, list):
        content = _join_parts(content)
    if not isinstance(role, str) or not isinstance(content, str):
        raise _bad_field('messages')
    return f'{role}: {content}\n'


def _join_parts(parts: list) -> str:
    texts = []
    for part in parts:
        text = part.get('text') if isinstance(part, dict) else None
        if not isinstance(text, str):
            raise _bad_field('messages')
        texts.append(text)
    return ''.join(texts)


def _encode(text: str) -> bytes:
    try:
        return text.encode()
    except UnicodeEncodeError as cause:
        raise refusals.bad_request(
            'malformed-text', 'the text is no valid Unicode'
        ) from cause
