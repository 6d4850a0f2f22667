"""Tests of cutting streams into events."""

import unittest

from masticquay_gateway import events


class EventCutterTest(unittest.TestCase):
    def test_only_whole_events_are_returned(self):
        cutter = events.EventCutter()
        self.assertEqual(b'', cutter.feed(b'id: 1\ndata'))
        self.assertEqual(b'id: 1\ndata: a\n\n', cutter.feed(b': a\n\nid: 2'))
        self.assertEqual('1', cutter.last_id)
        self.assertEqual(b'id: 2', cutter.rest)

    def test_events_that_were_returned_are_left_out(self):
        """A resumed stream may begin with what the caller has."""
        cutter = events.EventCutter('2')
        whole = cutter.feed(b'id: 2\n\nid: 3\n\n')
        self.assertEqual(b'id: 3\n\n', whole)

    def test_events_without_id_pass(self):
        cutter = events.EventCutter('2')
        self.assertEqual(b'data: x\n\n', cutter.feed(b'data: x\n\n'))

    def test_endless_event_is_an_error(self):
        cutter = events.EventCutter()
        with self.assertRaises(ValueError):
            cutter.feed(b'x' * (events.MAX_EVENT_BYTES + 1))
