"""Tests of the prompts that a host refuses."""

import unittest

from masticquay_gateway import ports
from masticquay_gateway import quarantines


def make_call(*parts, key='last:9'):
    return ports.Call(
        'c1', 'a', '/', None, None, prompt_key=key, prompt_parts=list(parts)
    )


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.quarantine = quarantines.Quarantine()

    def test_prompt_with_a_quarantined_part_waits(self):
        self.quarantine.apply({'bad': 5_000})
        wait_ms = self.quarantine.wait_ms(make_call('first', 'bad'))
        self.assertGreater(wait_ms, 4_000)
        self.assertEqual(0, self.quarantine.wait_ms(make_call('first')))
        self.assertEqual(0, self.quarantine.wait_ms(make_call(key='')))

    def test_quarantined_prompt_waits_without_parts(self):
        self.quarantine.apply({'last:9': 5_000})
        self.assertGreater(self.quarantine.wait_ms(make_call()), 0)

    def test_quarantine_ends_by_itself(self):
        self.quarantine.apply({'bad': 0})
        self.assertEqual(0, self.quarantine.wait_ms(make_call('bad')))
        self.assertEqual({}, self.quarantine.remaining())

    def test_newer_quarantine_replaces_an_older_one(self):
        self.quarantine.apply({'bad': 5_000})
        self.quarantine.apply({'other': 5_000})
        self.assertEqual(['other'], list(self.quarantine.remaining()))
