"""Tests of evacuated places."""

import unittest

from masticquay_routing import evacuations
from masticquay_routing import queued_requests
from tests import builders


class EvacuationsTest(unittest.TestCase):
    def test_repeated_order_changes_nothing(self):
        once = evacuations.Evacuations().change('p1', True)
        self.assertIs(once, once.change('p1', True))
        self.assertEqual((1, {'p1'}), (once.number, once.places))
        never = evacuations.Evacuations()
        self.assertIs(never, never.change('p1', False))

    def test_marks_are_taken_back_from_those_that_do_not_leave(self):
        """An endpoint that drains must not be used after a revert."""
        listed = [
            builders.make_engine(0, 'decode'),
            builders.make_engine(1, 'decode', leaving=True),
        ]
        marked = evacuations.Evacuations(1, ['p1']).mark(listed)
        self.assertEqual([True, True], [e.leaving for e in marked])
        self.assertEqual(listed, evacuations.unmark(marked))


class EvacuatedPoolTest(unittest.TestCase):
    def place(self, *places):
        """Places a request while some places are evacuated."""
        engines = [
            builders.make_engine(0, 'decode'),
            builders.make_engine(1, 'decode', place='p2'),
        ]
        pool = builders.make_pool()
        marked = evacuations.Evacuations(1, places).mark(engines)
        pool.set_engines(marked, builders.MEMORY_TOKENS, 16)
        pool.admit(builders.make_request(1))
        return [outcome for _request, outcome in pool.place_waiting(0)]

    def test_request_goes_to_an_engine_elsewhere(self):
        (placement,) = self.place('p1')
        self.assertEqual('e1', placement.decode.endpoint_id)

    # Guards against requests that wait for engines that stay away.
    def test_request_is_refused_at_once_without_engines_elsewhere(self):
        (outcome,) = self.place('p1', 'p2')
        self.assertIsInstance(outcome, queued_requests.Refusal)
