"""Tests of requests that come before a leader's first list of endpoints."""

import unittest

from masticquay_coordination import admissions
from masticquay_coordination import owners
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from tests import fakes


class AdmissionsTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock(10_000)
        self.owner = owners.Owner(3, self.clock, first=False)
        self.owner.set_table(fakes.VersionReader().read(b'1'))
        self.admissions = admissions.Admissions(self.owner, self.clock)

    def admit(self, number, **fields):
        return self.admissions.admit(fakes.make_admit(number, **fields))

    def read_list(self):
        self.owner.set_endpoints(fakes.make_engines(1, 2))
        self.admissions.begin()

    def wait_in_vain(self):
        self.clock.advance_ms(admissions.LIST_WAIT_MS)
        self.admissions.expire()

    def assert_left_to_host(self, error):
        self.assertEqual(messages.CODE_NO_ENDPOINTS, error.code)

    # Guards against streams that are refused ("no engine") in the moment in
    # which a new leader has no list yet.
    def test_request_waits_for_the_first_list(self):
        early = self.admit(1)
        self.assertFalse(early.done())
        self.read_list()
        self.assertIsInstance(early.result(0), placement_messages.Placed)
        later = self.admit(2)
        self.assertIsInstance(later.result(0), placement_messages.Placed)

    # The same, while the list can't be read for longer (review/10).
    def test_request_is_left_to_its_host_without_a_list_in_time(self):
        early = self.admit(1)
        self.wait_in_vain()
        self.assert_left_to_host(early.exception(0))
        with self.assertRaises(wire_errors.RemoteError) as raised:
            self.admit(2)
        self.assert_left_to_host(raised.exception)
        self.read_list()
        self.assertIsInstance(
            self.admit(3).result(0), placement_messages.Placed
        )

    # Guards against QUOTA: hosts place what this leader has charged.
    def test_request_over_its_rate_is_not_left_to_its_host(self):
        self.wait_in_vain()
        allowed, refused = 0, 0
        for number in range(10):
            try:
                answer = self.admit(number, workspace='w', cost=500.0)
            except wire_errors.RemoteError:
                allowed += 1
            else:
                self.assertTrue(answer.over_rate)
                refused += 1
        # A quarter of the burst, and what was refilled since.
        self.assertEqual((4, 6), (allowed, refused))

    def test_waiting_requests_of_callers_that_left_are_dropped(self):
        early, other = self.admit(1), self.admit(2, host='h2')
        self.admissions.finish(
            placement_messages.Finished('h1', 'llm', 1, True)
        )
        self.assertIsInstance(early.result(0), placement_messages.Refused)
        self.admissions.release_host('h2')
        self.assertIsInstance(other.result(0), placement_messages.Refused)
        third = self.admit(3)
        self.admissions.fail_all()
        self.assertEqual(messages.CODE_NOT_LEADER, third.exception(0).code)
