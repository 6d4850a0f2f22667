"""HTTP client of model engines."""

from collections import abc
import json
import re
import time
import typing

from masticquay_endpoints import bodies
from masticquay_endpoints import connections
from masticquay_endpoints import errors
from masticquay_endpoints import http_connections
from masticquay_endpoints import interrupts
from masticquay_endpoints import protocols

MAX_EVENT_BYTES = 262_144
MAX_RESPONSE_BYTES = 1_048_576
JSON_HEADERS = [('Content-Type', 'application/json')]
EVENT_SEPARATOR = b'\n\n'
# With these statuses, the error of an engine says that it did not execute the
# request. After any other, it may have failed in the middle of it.
NOT_RUN_STATUSES = frozenset([404, 409, 429])

# The usual form of a token event. The text is kept as a JSON string literal,
# so that a token need not be decoded and encoded again.
TOKEN_EVENT_PATTERN = re.compile(
    rb'data: ?\{"index": ?(\d+), ?"text": ?("(?:[^"\\\x00-\x1f]|\\.)*")\}\n\n'
)


class HttpEngine:
    """Client of one engine; see ``protocols.Engine``.

    Each call uses a new connection, so that a late or misdirected response is
    never taken for the response to another call.
    """

    def __init__(self, address: str):
        self.address = address
        self._pool = connections.ConnectionPool(address)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def prefill(
        self,
        request_id: str,
        attempt: int,
        model: str,
        prompt: bytes,
        priority: int,
        timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> protocols.PrefillResult:
        """Prefills the prompt; the engine holds the KV cache for import."""
        body = {
            'request_id': request_id,
            'attempt': attempt,
            'model': model,
            'prompt': prompt.decode(),
            'priority': priority,
        }
        response_fields = self._post(
            '/v1/prefill', body, timeout_ms, interrupt
        )
        try:
            return protocols.PrefillResult(
                str(response_fields['handle']),
                int(response_fields['prompt_tokens']),
                int(response_fields['cached_tokens']),
                int(response_fields['expires_ms']),
            )
        except (KeyError, TypeError, ValueError) as cause:
            raise errors.ProtocolViolationError(
                f'malformed prefill response: {cause!r}'
            ) from cause

    def decode(
        self,
        request: protocols.DecodeRequest,
        first_token_timeout_ms: int,
        stall_timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> abc.Iterator[protocols.TokenBatch]:
        """Imports the KV cache and streams tokens."""
        body = {
            'request_id': request.request_id,
            'attempt': request.attempt,
            'model': request.model,
            'prompt': request.prompt.decode(),
            'max_tokens': request.max_tokens,
            'first_index': request.first_index,
            'output_so_far': request.output_so_far,
            'priority': request.priority,
        }
        if request.handle:
            body['source'] = request.source_address
            body['handle'] = request.handle
        return self._stream(
            '/v1/decode',
            body,
            request.first_index,
            first_token_timeout_ms,
            stall_timeout_ms,
            interrupt,
        )

    def resume(
        self,
        request_id: str,
        attempt: int,
        first_index: int,
        stall_timeout_ms: int,
        interrupt: interrupts.Interrupt | None = None,
    ) -> abc.Iterator[protocols.TokenBatch]:
        """Streams a running generation again, from ``first_index`` on."""
        body = {
            'request_id': request_id,
            'attempt': attempt,
            'first_index': first_index,
        }
        return self._stream(
            '/v1/resume',
            body,
            first_index,
            stall_timeout_ms,
            stall_timeout_ms,
            interrupt,
        )

    def cancel(self, request_id: str, timeout_ms: int) -> None:
        """Frees all resources of a request; returns when acknowledged."""
        body = {'request_id': request_id}
        self._post('/v1/cancel', body, timeout_ms, None)

    def _post(
        self,
        path: str,
        body: dict[str, typing.Any],
        timeout_ms: int,
        interrupt: interrupts.Interrupt | None,
    ) -> dict[str, typing.Any]:
        data = json.dumps(body).encode()
        with connections.Exchange(self._pool, interrupt, True) as exchange:
            response = exchange.send(
                'POST', path, JSON_HEADERS, data, timeout_ms
            )
            content = exchange.read_body(MAX_RESPONSE_BYTES)
        _check_response_headers(response, body)
        if response.status != 200:
            raise _make_refused_error(response.status, content, body)
        fields = _parse_object(content)
        _check_request(fields, body)
        return fields

    def _stream(
        self,
        path: str,
        body: dict[str, typing.Any],
        first_index: int,
        first_token_timeout_ms: int,
        stall_timeout_ms: int,
        interrupt: interrupts.Interrupt | None,
    ) -> abc.Iterator[protocols.TokenBatch]:
        data = json.dumps(body).encode()
        parser = EventParser(first_index)
        with connections.Exchange(self._pool, interrupt, True) as exchange:
            response = exchange.send(
                'POST', path, JSON_HEADERS, data, first_token_timeout_ms
            )
            _check_response_headers(response, body)
            if response.status != 200:
                content = exchange.read_body(MAX_RESPONSE_BYTES)
                raise _make_refused_error(response.status, content, body)
            stream_body = bodies.StreamBody(response, exchange)
            with exchange.translate_errors():
                yield from _read_batches(
                    stream_body,
                    parser,
                    exchange.connection,
                    stall_timeout_ms,
                )


def _read_batches(
    stream_body: bodies.StreamBody,
    parser: 'EventParser',
    connection: http_connections.Connection,
    stall_timeout_ms: int,
) -> abc.Iterator[protocols.TokenBatch]:
    """Yields tokens as they arrive.

    The stall timeout applies from the first token on, between tokens: data
    without one does not prolong it.

    :raises EndpointError: when the connection closes before the last event
    """
    stall_timeout_s = stall_timeout_ms / 1000
    channel = connection.channel
    channel.use_kernel_timeout()
    while not parser.finished:
        chunk = stream_body.read(len(parser.incomplete))
        if not chunk:
            raise errors.EndpointError(
                'connection closed before the end of the stream'
            )
        batch = parser.feed(chunk)
        if batch is None:
            continue
        yield batch
        channel.set_due(time.monotonic() + stall_timeout_s)


class EventParser:
    """Parses the event stream of a generation and checks the token indexes.

    :ivar incomplete: data of an event that is not complete yet
    :ivar finished: whether the last event was parsed
    """

    __slots__ = ('_next_index', 'incomplete', 'finished')

    def __init__(self, first_index: int):
        self._next_index = first_index
        self.incomplete = b''
        self.finished = False

    def feed(self, chunk: bytes) -> protocols.TokenBatch | None:
        """Parses more data and returns the tokens of the completed events.

        Returns None when no token and no finish reason is complete.

        :raises ProtocolViolationError: when the data violates the protocol
        """
        data = self.incomplete + chunk if self.incomplete else chunk
        first_index = self._next_index
        token = TOKEN_EVENT_PATTERN.fullmatch(data)
        if token is not None and int(token[1]) == first_index:
            self._next_index = first_index + 1
            self.incomplete = b''
            return protocols.TokenBatch(first_index, [token[2]])
        texts: list[bytes] = []
        finish_reason = ''
        position = 0
        match_token = TOKEN_EVENT_PATTERN.match
        while not self.finished:
            token = match_token(data, position)
            if token is not None:
                self._append_token(int(token[1]), token[2], texts)
                position = token.end()
                continue
            end = data.find(EVENT_SEPARATOR, position)
            if end < 0:
                break
            finish_reason = self._parse_event(data[position:end], texts)
            position = end + len(EVENT_SEPARATOR)
        self.incomplete = data[position:]
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise errors.ProtocolViolationError(
                'event of the stream is too long'
            )
        if not texts and not finish_reason:
            return None
        return protocols.TokenBatch(first_index, texts, finish_reason)

    def _append_token(
        self, index: int, text: bytes, texts: list[bytes]
    ) -> None:
        if index != self._next_index:
            raise errors.ProtocolViolationError(
                f'engine sent token index {index}, expected {self._next_index}'
            )
        self._next_index = index + 1
        texts.append(text)

    def _parse_event(self, event: bytes, texts: list[bytes]) -> str:
        """Parses an event that is not a token event of the usual form.

        The text of its token, if it has one, is appended to ``texts``.

        :returns: the finish reason, empty unless this is the last event
        """
        data = b''.join(
            line[5:]
            for line in event.splitlines()
            if line.startswith(b'data:')
        )
        if not data:
            return ''
        fields = _parse_object(data)
        index = fields.get('index')
        if type(index) is not int:
            raise errors.ProtocolViolationError(
                'event of the stream has no integer index'
            )
        finish_reason = fields.get('finish_reason')
        if finish_reason:
            if index != self._next_index:
                raise errors.ProtocolViolationError(
                    f'engine sent final index {index}, '
                    f'expected {self._next_index}'
                )
            self.finished = True
            return str(finish_reason)
        text = fields.get('text')
        if not isinstance(text, str):
            raise errors.ProtocolViolationError('token event has no text')
        self._append_token(index, json.dumps(text).encode(), texts)
        return ''


def _make_refused_error(
    status: int, content: bytes, body: dict[str, typing.Any]
) -> errors.RefusedError:
    """Returns the error for an answer that is no success.

    Only a readable error with one of ``NOT_RUN_STATUSES`` says that the
    engine did not execute the request in ``body``.

    :raises ProtocolViolationError: when the answer names another request or
        attempt
    """
    try:
        fields = json.loads(content)
        code = str(fields['error']['code'])
    except (ValueError, LookupError, TypeError):
        return errors.RefusedError(status, 'unreadable')
    _check_request(fields, body)
    if status in NOT_RUN_STATUSES:
        return errors.NotRunError(status, code)
    return errors.RefusedError(status, code)


def _parse_object(data: bytes) -> dict[str, typing.Any]:
    try:
        fields = json.loads(data)
    except ValueError as cause:
        raise errors.ProtocolViolationError(
            'engine sent data that is not valid JSON'
        ) from cause
    if not isinstance(fields, dict):
        raise errors.ProtocolViolationError(
            'engine sent data that is not a JSON object'
        )
    return fields


def _check_request(
    fields: abc.Mapping[str, typing.Any], body: dict[str, typing.Any]
) -> None:
    """Raises an error if a response belongs to another request or attempt.

    A response without these fields is accepted.

    :param body: the request, which names no attempt if it covers all
    :raises ProtocolViolationError: when a field names another request or
        attempt
    """
    for name in ('request_id', 'attempt'):
        if name not in fields or name not in body:
            continue
        if str(fields[name]) != str(body[name]):
            raise errors.ProtocolViolationError(
                f'response has another {name} than the request'
            )


def _check_response_headers(
    response: typing.Any, body: dict[str, typing.Any]
) -> None:
    """Checks that a response belongs to the request in ``body``.

    :raises ProtocolViolationError: when a header names another request or
        attempt
    """
    fields = {}
    for key, name in (('request_id', 'Request-Id'), ('attempt', 'Attempt')):
        value = response.headers.get(name)
        if value is not None:
            fields[key] = value
    _check_request(fields, body)
