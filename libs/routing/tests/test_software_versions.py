"""Tests of the software versions at which streams may have begun."""

import unittest

from masticquay_routing import fleets
from masticquay_routing import software_versions
from masticquay_routing import stream_origins

RETENTION_MS = stream_origins.RETENTION_MS


def make_list(*versions):
    return [
        fleets.Endpoint(
            f'e{n}', 'llm', '127.0.0.1:1', 'p1', software_version=version
        )
        for n, version in enumerate(versions)
    ]


class SoftwareVersionsTest(unittest.TestCase):
    def make_versions(self, known):
        return software_versions.SoftwareVersions(known, 0)

    def test_first_leader_of_all_knows_the_listed_versions(self):
        versions = self.make_versions({})
        versions.record(make_list('v1', 'v1'), 0)
        self.assertEqual({'llm': ['v1']}, versions.possible(0))

    def test_nothing_is_known_after_a_start_without_a_record(self):
        versions = self.make_versions(None)
        versions.record(make_list('v1'), 0)
        self.assertIsNone(versions.possible(RETENTION_MS))
        versions.record(make_list('v1'), RETENTION_MS + 1)
        self.assertEqual({'llm': ['v1']}, versions.possible(RETENTION_MS + 1))

    def test_version_that_the_previous_leader_knew_stays_possible(self):
        versions = self.make_versions({'llm': ['v1']})
        versions.record(make_list('v2'), 0)
        self.assertEqual({'llm': ['v1', 'v2']}, versions.possible(0))

    def test_version_that_left_the_list_is_dropped_after_a_while(self):
        versions = self.make_versions({})
        versions.record(make_list('v1', 'v2'), 0)
        versions.record(make_list('v2'), 10_000)
        versions.record(make_list('v2'), 10_000 + RETENTION_MS)
        self.assertEqual(['v1', 'v2'], versions.possible(0)['llm'])
        versions.record(make_list('v2'), 10_001 + RETENTION_MS)
        self.assertEqual(['v2'], versions.possible(0)['llm'])

    def test_list_that_could_not_be_read_for_long_was_in_use_until_now(self):
        versions = self.make_versions({})
        versions.record(make_list('v1'), 0)
        versions.record(make_list('v2'), 3 * RETENTION_MS)
        self.assertEqual(['v1', 'v2'], versions.possible(0)['llm'])

    def test_only_version_needs_a_single_known_one(self):
        only_version = software_versions.only_version
        self.assertEqual('v1', only_version({'llm': ['v1']}, 'llm'))
        self.assertIsNone(only_version({'llm': ['v1', 'v2']}, 'llm'))
        self.assertIsNone(only_version({}, 'llm'))
        self.assertIsNone(only_version(None, 'llm'))
