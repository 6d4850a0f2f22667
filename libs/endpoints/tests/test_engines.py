"""Tests of the parsing of event streams and chunked bodies."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from masticquay_endpoints import bodies
from masticquay_endpoints import engines
from masticquay_endpoints import errors
from masticquay_endpoints import protocols
from tests import test_connections

TIMEOUT_MS = 5_000
TOKEN_TEXTS = strategies.lists(strategies.text(max_size=12), max_size=12)
PIECE_SIZES = strategies.lists(
    strategies.integers(1, 40), min_size=1, max_size=60
)


def encode_events(texts, first_index=0):
    events = [
        {'index': index, 'text': text}
        for index, text in enumerate(texts, first_index)
    ]
    events.append({'index': first_index + len(texts), 'finish_reason': 'stop'})
    return b''.join(
        b'data: ' + json.dumps(event).encode() + b'\n\n' for event in events
    )


def split(data, sizes):
    """Splits bytes into pieces, whose sizes are taken in turn from a list."""
    pieces = []
    number = 0
    while data:
        size = sizes[number % len(sizes)]
        pieces.append(data[:size])
        data = data[size:]
        number += 1
    return pieces


class EventParserTest(unittest.TestCase):
    @hypothesis.settings(deadline=None, derandomize=True)
    @hypothesis.given(TOKEN_TEXTS, PIECE_SIZES, strategies.integers(0, 10**6))
    def test_each_token_is_parsed_once_however_stream_is_split(
        self, texts, sizes, first_index
    ):
        parser = engines.EventParser(first_index)
        decoded = []
        for piece in split(encode_events(texts, first_index), sizes):
            batch = parser.feed(piece)
            if batch is not None:
                self.assertEqual(first_index + len(decoded), batch.first_index)
                decoded += [json.loads(text) for text in batch.texts]
        self.assertEqual(texts, decoded)
        self.assertTrue(parser.finished)

    def test_unusual_forms_of_token_event_are_parsed(self):
        for event in (
            b'data:{"index":0,"text":"a"}\n\n',
            b'data: {"text": "a", "index": 0}\n\n',
            b': note\ndata: {"index": 0, "text": "a", "id": 1}\n\n',
        ):
            batch = engines.EventParser(0).feed(event)
            self.assertEqual([b'"a"'], batch.texts)

    def assert_rejected(self, data, first_index=0):
        with self.assertRaises(errors.ProtocolViolationError):
            engines.EventParser(first_index).feed(data)

    def test_wrong_token_indexes_are_rejected(self):
        for index in (0, 2):
            event = b'data: {"index": %d, "text": "a"}\n\n' % index
            self.assert_rejected(event, first_index=1)
        repeated = b'data: {"index": 0, "text": "a"}\n\n' * 2
        self.assert_rejected(repeated)

    def test_wrong_final_index_is_rejected(self):
        self.assert_rejected(
            b'data: {"index": 5, "finish_reason": "stop"}\n\n'
        )

    def test_malformed_events_are_rejected(self):
        self.assert_rejected(b'data: \x00\xff\n\n')
        self.assert_rejected(b'data: [1]\n\n')
        self.assert_rejected(b'data: {"index": "0", "text": "a"}\n\n')
        self.assert_rejected(b'data: {"index": 0, "text": 5}\n\n')
        self.assert_rejected(b'x' * (engines.MAX_EVENT_BYTES + 1))


class ChunkDecoderTest(unittest.TestCase):
    @hypothesis.settings(deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(strategies.binary(min_size=1, max_size=300)),
        PIECE_SIZES,
    )
    def test_content_is_decoded_however_data_is_split(self, contents, sizes):
        chunks = [b'%x\r\n%b\r\n' % (len(c), c) for c in contents]
        decoder = bodies.ChunkDecoder()
        decoded = b''
        for piece in split(b''.join(chunks) + b'0\r\n\r\n', sizes):
            decoded += decoder.feed(piece)
            if decoder.ended:
                break
        self.assertEqual(b''.join(contents), decoded)
        self.assertTrue(decoder.ended)

    def test_malformed_chunks_are_rejected(self):
        for data in (
            b'xyz\r\n',
            b'-1\r\n',
            b'1\r\nabc',
            b'ffffffff\r\n',
            b'0' * 500,
        ):
            with self.assertRaises(errors.ProtocolViolationError):
                bodies.ChunkDecoder().feed(data)


class AnswerTest(unittest.TestCase):
    """Tests of what is believed of the answer to the first attempt of one."""

    def start_engine(self, status, body=b'', headers=''):
        answer = (
            f'HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n'
            f'{headers}\r\n'
        ).encode()
        server = test_connections.ScriptedServer(
            lambda sock: sock.sendall(answer + body)
        )
        self.addCleanup(server.close)
        engine = engines.HttpEngine(server.address)
        self.addCleanup(engine.close)
        return engine

    def prefill(self, engine):
        return engine.prefill('one', 1, 'm', b'text', 0, TIMEOUT_MS)

    def decode(self, engine):
        request = protocols.DecodeRequest(
            'one', 1, 'm', b'text', '', '', 10, 0, '', 0
        )
        return list(engine.decode(request, TIMEOUT_MS, TIMEOUT_MS))

    def refusal_of(self, call, status, fields, headers=''):
        body = fields if isinstance(fields, bytes) else json.dumps(fields)
        if isinstance(body, str):
            body = body.encode()
        engine = self.start_engine(status, body, headers)
        with self.assertRaises(errors.RefusedError) as caught:
            call(engine)
        return caught.exception

    # Guards against a retry as not run of what the engine refused.
    def test_error_of_a_refusal_says_that_nothing_was_executed(self):
        for call in (self.prefill, self.decode):
            for status in (404, 409, 429):
                fields = {'error': {'code': 'full'}}
                refusal = self.refusal_of(call, status, fields)
                self.assertIsInstance(refusal, errors.NotRunError)

    # Guards against "not run" for a request that failed while it ran.
    def test_other_error_does_not_say_that_nothing_was_executed(self):
        for call in (self.prefill, self.decode):
            for status in (500, 502, 503, 504):
                fields = {'error': {'code': 'broken'}}
                refusal = self.refusal_of(call, status, fields)
                self.assertNotIsInstance(refusal, errors.NotRunError)

    # Guards against "not run" by an answer that is not an engine's error.
    def test_unreadable_error_does_not_say_that_nothing_was_executed(self):
        for call in (self.prefill, self.decode):
            for body in (b'', b'{"error": {"co', b'{"handle": "h"}', b'[1]'):
                refusal = self.refusal_of(call, 429, body)
                self.assertNotIsInstance(refusal, errors.NotRunError)

    # Guards against "not run" by the refusal of another request or attempt.
    def test_refusal_of_another_request_is_rejected(self):
        error = {'code': 'full'}
        for call in (self.prefill, self.decode):
            for headers, fields in (
                ('Request-Id: two\r\n', {'error': error}),
                ('Attempt: 2\r\n', {'error': error}),
                ('', {'error': error, 'request_id': 'two'}),
                ('', {'error': error, 'attempt': 2}),
            ):
                body = json.dumps(fields).encode()
                engine = self.start_engine(429, body, headers)
                with self.assertRaises(errors.ProtocolViolationError):
                    call(engine)
