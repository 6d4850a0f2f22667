"""Tests of ends of requests that the leader is not told."""

import unittest

from masticquay_coordination import owners
from masticquay_routing import held_requests
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_wire import clocks
from tests import fakes


class LostEndsTest(unittest.TestCase):
    def setUp(self):
        self.owner = owners.Owner(3, clocks.ManualClock(100_000), True)
        self.owner.set_table(fakes.VersionReader().read(b'1'))
        self.owner.set_endpoints(fakes.make_engines(1, 2))

    def placed_count(self):
        return self.owner.gauges()['placed_requests']

    def account(self, newest, *numbers):
        held = held_requests.HeldRequests(newest, list(numbers))
        self.owner.drop_ended('h1', held)

    # Guards against model requests that were refused for good (STARVED): the
    # leader kept the places of requests whose ends were lost with a link.
    def test_place_of_a_request_that_ended_unheard_is_freed(self):
        self.owner.admit(fakes.make_admit(1)).result(0)
        self.owner.admit(fakes.make_admit(2)).result(0)
        self.account(2, 2)
        self.assertEqual(1, self.placed_count())
        self.assertEqual(1, self.owner.gauges()['dropped_requests'])

    def test_place_given_while_the_account_was_on_its_way_is_kept(self):
        self.owner.admit(fakes.make_admit(3)).result(0)
        self.account(2)
        self.assertEqual(1, self.placed_count())

    def test_prefill_of_a_request_that_is_held_goes_on(self):
        self.owner.admit(fakes.make_admit(1)).result(0)
        before = self.owner._pools['llm'].describe(100_000)
        self.account(1, 1)
        self.assertEqual(before, self.owner._pools['llm'].describe(100_000))

    def test_waiting_request_that_ended_unheard_is_not_placed(self):
        self.owner.set_endpoints([])
        waiting = self.owner.admit(fakes.make_admit(1))
        self.account(1)
        self.assertIsInstance(waiting.result(0), placement_messages.Refused)
        self.owner.set_endpoints(fakes.make_engines(1, 2))
        self.assertEqual(0, self.placed_count())

    def test_request_that_arrives_after_its_end_is_not_placed(self):
        self.account(4)
        refused = self.owner.admit(fakes.make_admit(4))
        self.assertIsInstance(refused, placement_messages.Refused)
        self.owner.admit(fakes.make_admit(5)).result(0)
        self.assertEqual(1, self.placed_count())

    def test_list_of_running_requests_that_comes_late_is_corrected(self):
        running = [messages.Running(1, 'llm', 'e1', 4_000, 3_000)]
        self.owner.adopt('h1', running)
        self.account(1)
        self.owner.adopt('h1', running)
        self.assertEqual(0, self.placed_count())
