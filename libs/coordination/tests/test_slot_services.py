"""Tests of sharing out slots of scarce plain services, on the leader."""

import unittest

from masticquay_coordination import slot_services
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import slot_messages
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from tests import fakes


class SlotServicesTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock(10_000)
        self.make_services()

    def make_services(self):
        self.services = slot_services.SlotServices(self.clock)
        self.services.set_endpoints(
            [
                fleets.Endpoint('e0', 'svc', '127.0.0.1:1', 'p1', 1),
                *fakes.make_engines(0, 1),
            ]
        )

    def ask(self, number, host='h1', deadline_ms=5_000):
        ask = slot_messages.AskSlot(
            host, number, 'svc', 1, 1_000, deadline_ms, []
        )
        return self.services.ask(ask)

    def end(self, number, host='h1'):
        self.services.end(slot_messages.SlotEnded(host, number, 'svc'))

    def renew(self, host='h1', **fields):
        return self.services.exchange(fakes.make_renewal(host, **fields))

    def assert_granted(self, future):
        self.assertTrue(future.done())
        self.assertEqual(slot_messages.SlotAnswer('e0'), future.result())

    def test_answer_comes_when_a_slot_gets_free(self):
        self.assert_granted(self.ask(1))
        waiting = self.ask(2)
        self.assertFalse(waiting.done())
        self.end(1)
        self.assert_granted(waiting)

    def test_unknown_service_is_left_to_the_host(self):
        ask = slot_messages.AskSlot('h1', 1, 'other', 1, 1_000, 2_000, [])
        self.assertEqual(slot_messages.SlotAnswer(), self.services.ask(ask))

    def test_request_given_up_gets_no_slot(self):
        self.ask(1)
        given_up, waiting = self.ask(2), self.ask(3)
        self.end(2)
        self.end(1)
        self.assertEqual(slot_messages.SlotAnswer(), given_up.result())
        self.assert_granted(waiting)

    def test_slots_of_a_lost_host_are_free(self):
        self.ask(1)
        waiting = self.ask(2, 'h2')
        self.services.release_host('h1')
        self.assert_granted(waiting)

    def test_slot_whose_deadline_has_passed_is_free(self):
        self.ask(1, deadline_ms=60)
        waiting = self.ask(2)
        self.clock.advance_ms(60)
        self.services.tick()
        self.assert_granted(waiting)

    def test_new_leader_learns_the_pauses_that_hosts_keep(self):
        pauses = [slot_messages.Pause('e0', 3_000)]
        self.renew(slots=slot_messages.HeldSlots(0, [], pauses))
        waiting = self.ask(1)
        self.assert_granted(self.ask(1, 'h2'))
        self.assertEqual('', waiting.endpoint_id)

    def test_slot_whose_end_was_lost_is_freed_by_a_renewal(self):
        self.ask(1)
        waiting = self.ask(2, 'h2')
        self.renew(slots=slot_messages.HeldSlots(1, []))
        self.assert_granted(waiting)
        self.assertEqual(1, self.services.gauges()['slots_lost'])

    def test_waiting_hosts_are_told_when_the_term_ends(self):
        self.ask(1)
        waiting = self.ask(2)
        self.services.fail_all()
        error = waiting.exception()
        self.assertIsInstance(error, wire_errors.RemoteError)
        self.assertEqual(messages.CODE_NOT_LEADER, error.code)
        self.assertEqual(slot_messages.SlotAnswer(), self.ask(3))

    def test_next_leader_takes_over_what_hosts_hold(self):
        self.make_services()
        held = slot_messages.HeldSlot(1, 'svc', 'e0', 5_000)
        report = messages.EndpointReport('e0', 1, 0, 0, 0, 0, 0.0)
        self.renew(
            slots=slot_messages.HeldSlots(1, [held]),
            endpoint_reports=[report],
        )
        waiting = self.ask(2, 'h2')
        self.assertFalse(waiting.done())
        self.end(1)
        self.assert_granted(waiting)

    def test_requests_without_slots_take_room(self):
        report = messages.EndpointReport('e0', 1, 0, 0, 0, 0, 0.0)
        self.renew('h2', endpoint_reports=[report])
        self.assertFalse(self.ask(1).done())

    def test_ejected_endpoint_is_left_to_the_host(self):
        self.services.set_views(
            [messages.EndpointView('e0', 0, 0.0, 1.0, ejected_ms=1_000)]
        )
        self.assertEqual(slot_messages.SlotAnswer(), self.ask(1))

    def test_more_than_the_leader_has_time_for_is_left_to_the_hosts(self):
        for number in range(slot_services.MAX_ASKED_PER_S):
            self.ask(number)
        self.assertEqual(slot_messages.SlotAnswer(), self.ask(1_000))
        self.clock.advance_ms(1_000)
        self.assertFalse(self.ask(1_001).done())

    # Guards against hosts that take a leader for lost whose slots are taken
    # and where nothing ends: it answered with the tick of its sessions only.
    def test_host_hears_in_time_that_its_request_waits(self):
        self.ask(1)
        waiting = self.ask(2)
        self.clock.advance_ms(100)
        self.services.answer_waiting()
        self.assertGreater(waiting.result().wait_ms, 0)

    def test_hosts_hear_that_a_service_is_scarce_until_it_is_not(self):
        self.assertEqual([], self.renew())
        self.ask(1)
        with self.assertLogs(slot_services.LOG, 'INFO') as logs:
            self.services.tick()
            self.assertEqual(['svc'], self.renew('h2'))
            self.end(1)
            for _ in range(50):
                self.clock.advance_ms(100)
                self.services.tick()
        self.assertEqual([], self.renew())
        texts = [record.getMessage() for record in logs.records]
        self.assertEqual(
            ['service is scarce', 'service is no longer scarce'], texts
        )
