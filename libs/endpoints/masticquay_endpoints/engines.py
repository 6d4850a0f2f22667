"""Client of model engines over HTTP."""

from collections import abc
import json
import re
import typing

from masticquay_endpoints import bodies
from masticquay_endpoints import connections
from masticquay_endpoints import errors
from masticquay_endpoints import interrupts
from masticquay_endpoints import protocols

MAX_EVENT_BYTES = 262_144
MAX_ANSWER_BYTES = 1_048_576
JSON_HEADERS = [('Content-Type', 'application/json')]
EVENT_END = b'\n\n'

# One token in the form that engines usually write it. The text stays a JSON
# string, so that no token is parsed and written again.
TOKEN_EVENT = re.compile(
    rb'data: ?\{"index": ?(\d+), ?"text": ?("(?:[^"\\\x00-\x1f]|\\.)*")\}\n\n'
)


class HttpEngine:
    """One engine; see ``protocols.Engine``.

    Each call has a connection of its own, so that a late or crossed answer
    can never be taken for that of another call.
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
        """Runs the prompt and holds its KV cache for import."""
        body = {
            'request_id': request_id,
            'attempt': attempt,
            'model': model,
            'prompt': prompt.decode(),
            'priority': priority,
        }
        answer = self._ask('/v1/prefill', body, timeout_ms, interrupt)
        _check_match(answer, request_id, attempt)
        try:
            return protocols.PrefillResult(
                str(answer['handle']),
                int(answer['prompt_tokens']),
                int(answer['cached_tokens']),
                int(answer['expires_ms']),
            )
        except (KeyError, TypeError, ValueError) as cause:
            raise errors.GarbledError(f'prefill: {cause!r}') from cause

    def decode(
        self,
        request: protocols.DecodeRequest,
        first_timeout_ms: int,
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
            first_timeout_ms,
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
        """Streams a running answer again."""
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
        """Frees all that a request holds; returns once acknowledged."""
        body = {'request_id': request_id}
        self._ask('/v1/cancel', body, timeout_ms, None)

    def _ask(
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
            content = exchange.read_body(MAX_ANSWER_BYTES)
            if response.status != 200:
                raise _refusal(response.status, content)
        return _parse_object(content)

    def _stream(
        self,
        path: str,
        body: dict[str, typing.Any],
        first_index: int,
        first_timeout_ms: int,
        stall_timeout_ms: int,
        interrupt: interrupts.Interrupt | None,
    ) -> abc.Iterator[protocols.TokenBatch]:
        data = json.dumps(body).encode()
        parser = EventParser(first_index)
        with connections.Exchange(self._pool, interrupt, True) as exchange:
            response = exchange.send(
                'POST', path, JSON_HEADERS, data, first_timeout_ms
            )
            if response.status != 200:
                content = exchange.read_body(MAX_ANSWER_BYTES)
                raise _refusal(response.status, content)
            _check_headers(response, body)
            source = bodies.StreamBody(response, exchange.connection.http.sock)
            with exchange.translated_errors():
                yield from _read_batches(
                    source, parser, exchange.connection, stall_timeout_ms
                )


def _read_batches(
    source: bodies.StreamBody,
    parser: 'EventParser',
    connection: connections.Connection,
    stall_timeout_ms: int,
) -> abc.Iterator[protocols.TokenBatch]:
    """Yields tokens as they arrive; the first may take longer than others."""
    waiting_first = True
    while not parser.finished:
        chunk = source.read()
        if not chunk:
            raise errors.EndpointError('the stream broke off')
        batch = parser.feed(chunk)
        if batch is None:
            continue
        if waiting_first:
            connection.set_stream_timeout(stall_timeout_ms)
            waiting_first = False
        yield batch


class EventParser:
    """Reads the event stream of one answer and checks its indexes."""

    __slots__ = ('_next_index', '_rest', 'finished')

    def __init__(self, first_index: int):
        self._next_index = first_index
        self._rest = b''
        self.finished = False

    def feed(self, chunk: bytes) -> protocols.TokenBatch | None:
        """Takes bytes; returns the tokens that are whole now.

        :raises GarbledError: when the bytes break the protocol
        """
        data = self._rest + chunk if self._rest else chunk
        first_index = self._next_index
        found = TOKEN_EVENT.fullmatch(data)
        if found is not None and int(found[1]) == first_index:
            self._next_index = first_index + 1
            self._rest = b''
            return protocols.TokenBatch(first_index, [found[2]])
        texts: list[bytes] = []
        finish_reason = ''
        position = 0
        match = TOKEN_EVENT.match
        while not self.finished:
            found = match(data, position)
            if found is not None:
                self._take(int(found[1]), found[2], texts)
                position = found.end()
                continue
            end = data.find(EVENT_END, position)
            if end < 0:
                break
            finish_reason = self._take_other(data[position:end], texts)
            position = end + len(EVENT_END)
        self._rest = data[position:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.GarbledError('an event is too long')
        if not texts and not finish_reason:
            return None
        return protocols.TokenBatch(first_index, texts, finish_reason)

    def _take(self, index: int, text: bytes, texts: list[bytes]) -> None:
        if index != self._next_index:
            raise errors.GarbledError(
                f'token {index} in place of {self._next_index}'
            )
        self._next_index = index + 1
        texts.append(text)

    def _take_other(self, event: bytes, texts: list[bytes]) -> str:
        """Reads a last event, or a token written in an unusual form."""
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
            raise errors.GarbledError('an event without index')
        finish_reason = fields.get('finish_reason')
        if finish_reason:
            if index != self._next_index:
                raise errors.GarbledError(
                    f'{index} tokens said, {self._next_index} received'
                )
            self.finished = True
            return str(finish_reason)
        text = fields.get('text')
        if not isinstance(text, str):
            raise errors.GarbledError('a token without text')
        self._take(index, json.dumps(text).encode(), texts)
        return ''


def _refusal(status: int, content: bytes) -> errors.RefusedError:
    code = ''
    try:
        code = str(json.loads(content)['error']['code'])
    except (ValueError, LookupError, TypeError):
        code = 'unreadable'
    return errors.RefusedError(status, code)


def _parse_object(data: bytes) -> dict[str, typing.Any]:
    try:
        fields = json.loads(data)
    except ValueError as cause:
        raise errors.GarbledError('no JSON') from cause
    if not isinstance(fields, dict):
        raise errors.GarbledError('no JSON object')
    return fields


def _check_match(
    fields: abc.Mapping[str, typing.Any], request_id: str, attempt: int
) -> None:
    """Refuses an answer that says it belongs to another request."""
    if str(fields.get('request_id', request_id)) != request_id:
        raise errors.GarbledError('the answer to another request')
    if str(fields.get('attempt', attempt)) != str(attempt):
        raise errors.GarbledError('the answer to another attempt')


def _check_headers(response: typing.Any, body: dict[str, typing.Any]) -> None:
    fields = {}
    for key, name in (('request_id', 'Request-Id'), ('attempt', 'Attempt')):
        value = response.headers.get(name)
        if value is not None:
            fields[key] = value
    _check_match(fields, body['request_id'], body['attempt'])
