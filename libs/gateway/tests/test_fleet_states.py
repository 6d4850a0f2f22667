"""Tests of what an entry host knows of the fleet."""

import unittest
import zlib

from masticquay_gateway import fleet_states
from masticquay_routing import errors
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import tables


class NumberReader:
    """Reads a document that is only a version."""

    def read(self, document):
        if document == b'bad':
            raise errors.TableError('document', 'bad')
        limits = tables.CallerLimits(1, 2, 3, 4)
        return tables.Table(int(document), [], [], None, limits)


def make_update(version, document=None):
    """Returns an update of a table."""
    text = document or str(version).encode()
    return messages.TableUpdate(version, zlib.compress(text))


class FleetStateTest(unittest.TestCase):
    def setUp(self):
        self.state = fleet_states.FleetState(NumberReader())

    def test_versions_only_rise(self):
        self.assertTrue(self.state.take_table(make_update(5)))
        self.assertFalse(self.state.take_table(make_update(4)))
        self.assertFalse(self.state.take_table(make_update(5)))
        self.assertEqual(5, self.state.table_version)

    def test_unreadable_table_leaves_the_old_one_in_force(self):
        self.state.take_table(make_update(5))
        self.assertFalse(self.state.take_table(make_update(6, b'bad')))
        self.assertEqual(5, self.state.table_version)

    def test_lists_of_an_earlier_leader_are_not_taken(self):
        one = fleets.Endpoint('e1', 'svc', '127.0.0.1:1', 'p')
        new = messages.EndpointUpdate(2, 1, [one])
        self.assertTrue(self.state.take_endpoints(new))
        old = messages.EndpointUpdate(1, 99, [])
        self.assertFalse(self.state.take_endpoints(old))
        self.assertEqual([one], self.state.endpoints('svc'))

    def test_own_list_is_replaced_by_the_next_update(self):
        one = fleets.Endpoint('e1', 'svc', '127.0.0.1:1', 'p')
        self.state.take_own_list([one])
        self.assertIs(one, self.state.endpoint('e1'))
        self.state.take_endpoints(messages.EndpointUpdate(1, 1, []))
        self.assertIsNone(self.state.endpoint('e1'))
