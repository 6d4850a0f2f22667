"""Tests of the log lines of renewals that are not granted."""

import unittest

from masticquay_membership import messages as membership_messages
from masticquay_membership import renewal_logs
from masticquay_membership import states

HOST = membership_messages.Host('h1', 3, 'p1', '', '', leaving=True)


class RenewalLogTest(unittest.TestCase):
    def setUp(self):
        self.log = renewal_logs.RenewalLog()

    def record_failure(self, replica, cause, lease_left_ms):
        self.log.record_failure(
            replica, cause, HOST, states.empty_state(), 30, lease_left_ms
        )

    def test_series_of_failures_logs_each_cause_once_and_its_end(self):
        with self.assertLogs(renewal_logs.LOG, 'INFO') as logs:
            self.record_failure('c1', 'no-leader', 1_900)
            self.record_failure('c1', 'no-leader', 1_700)
            self.record_failure('c2', 'PeerUnavailableError', 1_500)
            self.log.record_grant('c3', 20, 1_400)
        self.assertEqual(
            [
                ('renewal not granted', 'c1', 1_900, 1),
                ('renewal not granted', 'c2', 1_500, 3),
                ('renewals are granted again', 'c3', 1_400, 3),
            ],
            [
                (r.getMessage(), r.replica, r.lease_left_ms, r.failed_count)
                for r in logs.records
            ],
        )
        self.assertTrue(logs.records[0].leaving)

    def test_grants_without_failures_before_are_not_logged(self):
        with self.assertNoLogs(renewal_logs.LOG, 'INFO'):
            self.log.record_grant('c1', 20, 2_000)
