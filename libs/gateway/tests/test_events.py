"""Tests of splitting streams into events."""

import unittest

from masticquay_gateway import events


class EventSplitterTest(unittest.TestCase):
    def test_only_complete_events_are_returned(self):
        splitter = events.EventSplitter()
        self.assertEqual(b'', splitter.feed(b'id: 1\ndata'))
        self.assertEqual(b'id: 1\ndata: a\n\n', splitter.feed(b': a\n\nid: 2'))
        self.assertEqual('1', splitter.last_id)
        self.assertEqual(b'id: 2', splitter.incomplete)

    def test_repeated_events_are_left_out(self):
        """A resumed stream may begin with events that the caller has."""
        splitter = events.EventSplitter('2')
        complete = splitter.feed(b'id: 2\n\nid: 3\n\n')
        self.assertEqual(b'id: 3\n\n', complete)

    def test_events_without_id_are_returned(self):
        splitter = events.EventSplitter('2')
        self.assertEqual(b'data: x\n\n', splitter.feed(b'data: x\n\n'))

    # Guards against an error's text, or its head, in a stream (ORDER, MIXED).
    def test_lines_that_no_event_has_raise(self):
        for text in (
            b'{"error": "x"}\n\n',
            b'Service Unavailable\n\n',
            b'HTTP/1.1 500 x\r\nA: b\r\n\r\n\n\n',
            b'id: 1\nHTTP/1.1 500 x\n\n',
            b'database: x\n\n',
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                events.EventSplitter().feed(text)

    def test_fields_and_comments_are_no_errors(self):
        text = b': c\n\nid: 1\nevent: e\nretry: 5\ndata\ndata: x\n\nid\n\n'
        self.assertEqual(text, events.EventSplitter().feed(text))

    # Guards against LOST: all streams of a model were reset when its engines
    # named new weights in a field that the splitter did not know.
    def test_fields_that_readers_ignore_are_passed_on(self):
        for line in (
            b'weight-versions:2\n',
            b'weight-versions: 2\n',
            b'trace_id: a:b\n',
        ):
            for text in (
                line + b'id: 3\ndata: x\n\n',
                b'id: 3\n' + line + b'data: x\n\n',
                b': c\n' + line + b'id: 3\n\n',
            ):
                with self.subTest(text):
                    splitter = events.EventSplitter('2')
                    self.assertEqual(text, splitter.feed(text))
                    self.assertEqual('3', splitter.last_id)
                    self.assertTrue(events.has_event(text))
                    self.assertTrue(events.has_id(text))

    def test_repeated_event_is_left_out_with_its_other_fields(self):
        splitter = events.EventSplitter('2')
        text = b'versions: 2\nid: 2\ndata: x\n\nid: 3\n\n'
        self.assertEqual(b'id: 3\n\n', splitter.feed(text))

    def test_fields_that_readers_ignore_are_no_event_by_themselves(self):
        for text in (
            b'error: overloaded\n\n',
            b': c\nerror: overloaded\n\n',
            b'id: 1\n\nerror: overloaded\n\n',
            b'id: 1\nContent-Type: text/plain\n\n',
            b'id: 1\nno field\n\n',
            b'id: 1\n{"error": "x"}\n\n',
            b'id: 1\ndata: x\r\n\r\n\n\n',
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                events.EventSplitter().feed(text)

    # Guards against streams that stall, as no event was ever complete.
    def test_lines_may_end_with_carriage_returns(self):
        text = b'a: 2\r\nid: 1\r\ndata: x\r\n\r\n: c\r\n\r\nid: 2\r\n\r\n'
        splitter = events.EventSplitter()
        self.assertEqual(text, splitter.feed(text))
        self.assertEqual('2', splitter.last_id)
        splitter = events.EventSplitter('1')
        complete = b''.join(splitter.feed(bytes([b])) for b in text)
        self.assertEqual(b': c\r\n\r\nid: 2\r\n\r\n', complete)
        self.assertEqual(b'', splitter.incomplete)
        self.assertTrue(events.has_id(complete))
        self.assertFalse(events.has_event(b': c\r\n\r\n\r\n\r\n'))
        self.assertFalse(events.has_id(b'data: x\r\n\r\n' + complete))

    def test_comments_and_empty_lines_are_no_events(self):
        for text in (b'', b'\n\n', b': c\n\n', b':\n: d\n\n\n\n'):
            with self.subTest(text):
                self.assertFalse(events.has_event(text))
                self.assertFalse(events.has_id(text))
                self.assertTrue(events.has_event(text + b'data\n\n'))
                self.assertTrue(events.has_id(text + b': c\nid: 1\n\n'))
                self.assertFalse(events.has_id(text + b'data: x\n\nid: 1\n\n'))

    def test_oversized_event_raises(self):
        splitter = events.EventSplitter()
        with self.assertRaises(ValueError):
            splitter.feed(b'x' * (events.MAX_EVENT_BYTES + 1))
