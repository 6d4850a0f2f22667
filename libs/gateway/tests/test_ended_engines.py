"""Tests of the ends of engines that a host has reported."""

import unittest

from masticquay_gateway import ended_engines
from masticquay_routing import placement_messages


class EndedEnginesTest(unittest.TestCase):
    def test_recent_report_is_returned_with_its_age(self):
        ended = ended_engines.EndedEngines()
        report = placement_messages.EndpointTrouble(
            'h', 'llm', 'e1', False, 'ended', has_ended=True, prompt_key='k'
        )
        ended.add(report)
        (recent,) = ended.recent()
        self.assertEqual('k', recent.prompt_key)
        self.assertGreater(recent.age_ms, 0)
        self.assertEqual(0, report.age_ms)

    def test_number_of_reports_is_bounded(self):
        ended = ended_engines.EndedEngines()
        for number in range(ended_engines.MAX_REPORTS + 5):
            ended.add(
                placement_messages.EndpointTrouble(
                    'h', 'llm', f'e{number}', False, ''
                )
            )
        self.assertEqual(ended_engines.MAX_REPORTS, len(ended.recent()))
