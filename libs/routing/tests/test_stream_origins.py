"""Tests of the record of where streams began."""

import unittest

from masticquay_routing import stream_origins


def make_origin(call_id='c1', version='v1'):
    return stream_origins.StreamOrigin(call_id, 'llm', version)


class StreamOriginsTest(unittest.TestCase):
    def setUp(self):
        self.origins = stream_origins.StreamOrigins()

    def test_added_origin_is_found(self):
        self.origins.add(make_origin(), 0)
        self.assertEqual(make_origin(), self.origins.find('c1', 10))

    def test_unknown_request_has_no_origin(self):
        self.assertIsNone(self.origins.find('c1', 0))

    def test_origin_expires(self):
        self.origins.add(make_origin(), 0)
        late_ms = stream_origins.RETENTION_MS + 1
        self.assertIsNone(self.origins.find('c1', late_ms))
        self.origins.add(make_origin('c2'), late_ms)
        self.assertEqual(1, len(self.origins))

    def test_first_origin_stays_when_the_stream_is_taken_up(self):
        """Each attempt that goes on keeps it for another while."""
        self.origins.add(make_origin(), 0)
        self.origins.add(make_origin(version='v2'), 20_000)
        found = self.origins.find('c1', stream_origins.RETENTION_MS + 10_000)
        self.assertEqual('v1', found.software_version)

    def test_origin_without_id_or_version_is_not_added(self):
        self.origins.add(make_origin(call_id=''), 0)
        self.origins.add(make_origin(version=''), 0)
        self.assertEqual([], self.origins.list_all(0))

    def test_number_of_origins_is_bounded(self):
        for number in range(stream_origins.MAX_STREAMS + 10):
            self.origins.add(make_origin(f'c{number}'), 0)
        self.assertEqual(stream_origins.MAX_STREAMS, len(self.origins))
        self.assertIsNone(self.origins.find('c0', 0))
