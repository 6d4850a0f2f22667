"""Tests of reading event streams."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from masticquay_endpoints import bodies
from masticquay_endpoints import engines
from masticquay_endpoints import errors

TEXTS = strategies.lists(strategies.text(max_size=12), max_size=12)
CUTS = strategies.lists(strategies.integers(1, 40), min_size=1, max_size=60)


def write_stream(texts, first_index=0):
    events = [
        {'index': index, 'text': text}
        for index, text in enumerate(texts, first_index)
    ]
    events.append({'index': first_index + len(texts), 'finish_reason': 'stop'})
    return b''.join(
        b'data: ' + json.dumps(event).encode() + b'\n\n' for event in events
    )


def cut(data, sizes):
    """Cuts bytes into pieces, taking the sizes in turn."""
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
    @hypothesis.given(TEXTS, CUTS, strategies.integers(0, 10**6))
    def test_any_cut_gives_each_token_once(self, texts, sizes, first_index):
        parser = engines.EventParser(first_index)
        found = []
        for piece in cut(write_stream(texts, first_index), sizes):
            batch = parser.feed(piece)
            if batch is not None:
                self.assertEqual(first_index + len(found), batch.first_index)
                found += [json.loads(text) for text in batch.texts]
        self.assertEqual(texts, found)
        self.assertTrue(parser.finished)

    def test_unusual_forms_of_a_token(self):
        for event in (
            b'data:{"index":0,"text":"a"}\n\n',
            b'data: {"text": "a", "index": 0}\n\n',
            b': note\ndata: {"index": 0, "text": "a", "id": 1}\n\n',
        ):
            batch = engines.EventParser(0).feed(event)
            self.assertEqual([b'"a"'], batch.texts)

    def assert_garbled(self, data, first_index=0):
        with self.assertRaises(errors.GarbledError):
            engines.EventParser(first_index).feed(data)

    def test_wrong_indexes_are_refused(self):
        for index in (0, 2):
            event = b'data: {"index": %d, "text": "a"}\n\n' % index
            self.assert_garbled(event, first_index=1)
        repeated = b'data: {"index": 0, "text": "a"}\n\n' * 2
        self.assert_garbled(repeated)

    def test_wrong_count_at_the_end_is_refused(self):
        self.assert_garbled(b'data: {"index": 5, "finish_reason": "stop"}\n\n')

    def test_garbage_is_refused(self):
        self.assert_garbled(b'data: \x00\xff\n\n')
        self.assert_garbled(b'data: [1]\n\n')
        self.assert_garbled(b'data: {"index": "0", "text": "a"}\n\n')
        self.assert_garbled(b'data: {"index": 0, "text": 5}\n\n')
        self.assert_garbled(b'x' * (engines.MAX_EVENT_BYTES + 1))


class ChunkDecoderTest(unittest.TestCase):
    @hypothesis.settings(deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(strategies.binary(min_size=1, max_size=300)), CUTS
    )
    def test_any_cut_gives_the_content(self, contents, sizes):
        chunks = [b'%x\r\n%b\r\n' % (len(c), c) for c in contents]
        decoder = bodies.ChunkDecoder()
        found = b''
        for piece in cut(b''.join(chunks) + b'0\r\n\r\n', sizes):
            found += decoder.feed(piece)
            if decoder.ended:
                break
        self.assertEqual(b''.join(contents), found)
        self.assertTrue(decoder.ended)

    def test_garbage_is_refused(self):
        for data in (
            b'xyz\r\n',
            b'-1\r\n',
            b'1\r\nabc',
            b'ffffffff\r\n',
            b'0' * 500,
        ):
            with self.assertRaises(errors.GarbledError):
                bodies.ChunkDecoder().feed(data)
