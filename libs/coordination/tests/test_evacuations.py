"""Tests of operators' evacuations, from the log to the hosts."""

from concurrent import futures
import unittest

import cbor2

from masticquay_consensus import errors as consensus_errors
from masticquay_coordination import errors
from masticquay_coordination import evacuations
from masticquay_coordination import seekers
from masticquay_coordination import sessions
from masticquay_coordination import table_machines
from masticquay_coordination import table_updates
from masticquay_routing import evacuations as routing_evacuations
from masticquay_routing import messages
from masticquay_wire import clocks
from tests import fakes

TERM = 3


class FakeNode:
    """A consensus node that leads, and commits unless ``error`` is set."""

    def __init__(self, machine):
        self._machine = machine
        self.error = None
        self.commands = []

    def read_barrier(self):
        return 0

    def propose(self, command):
        self.commands.append(command)
        proposal = futures.Future()
        if self.error is not None:
            proposal.set_exception(self.error)
        else:
            proposal.set_result(self._machine.apply(1, command))
        return proposal

    def term(self):
        return TERM


class EvacuationServiceTest(unittest.TestCase):
    def setUp(self):
        self.machine = table_machines.TableMachine()
        self.node = FakeNode(self.machine)
        self.waits = []
        self.lacking = []
        self.service = evacuations.EvacuationService(
            self.node, self.machine, self.wait_for_hosts
        )

    def wait_for_hosts(self, number, timeout_s):
        self.waits.append(number)
        self.assertLessEqual(timeout_s, evacuations.HOSTS_WAIT_S)
        return self.lacking

    def test_repeated_order_is_acknowledged_and_not_stored_again(self):
        for is_evacuated in (True, True, False, False):
            self.service.order('p1', is_evacuated)
        self.assertEqual(2, len(self.node.commands))
        self.assertEqual([1, 1, 2, 2], self.waits)
        self.assertEqual(frozenset(), self.machine.evacuations.places)

    def test_revert_of_what_was_never_evacuated_is_acknowledged(self):
        self.service.order('p1', False)
        self.assertEqual(([], []), (self.node.commands, self.waits))

    def test_hosts_that_lag_are_named_in_the_log(self):
        self.lacking = ['h1']
        with self.assertLogs(evacuations.LOG, 'WARNING') as logs:
            self.service.order('p1', True)
        self.assertEqual(['h1'], logs.records[0].entry_hosts)

    def test_order_that_may_be_stored_is_not_acknowledged(self):
        self.node.error = consensus_errors.ConsensusError('unknown')
        with self.assertRaises(errors.UnknownOutcomeError):
            self.service.order('p1', True)

    def test_order_that_was_not_stored_names_the_leader(self):
        self.node.error = consensus_errors.NotLeaderError('a:1')
        with self.assertRaises(errors.NotServingError) as refused:
            self.service.order('p1', True)
        self.assertEqual('a:1', refused.exception.leader)


class StoredEvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.machine = table_machines.TableMachine()

    def order(self, place, is_evacuated=True):
        command = table_machines.encode_evacuation(place, is_evacuated)
        self.machine.apply(1, command)
        return command

    def restore(self):
        other = table_machines.TableMachine()
        other.restore(self.machine.snapshot(), 1)
        return other

    def test_snapshot_without_a_table_contains_the_places(self):
        self.order('p1')
        other = self.restore()
        self.assertIsNone(other.stored)
        self.assertEqual((1, {'p1'}), _as_tuple(other.evacuations))

    def test_snapshot_contains_all(self):
        self.order('p1')
        self.machine.apply(2, table_machines.encode_put(7, b'seven'))
        versions = {'llm': ['v1']}
        self.machine.apply(
            3, table_machines.encode_software_versions(versions)
        )
        other = self.restore()
        self.assertEqual(b'seven', other.stored.decompress())
        self.assertEqual(versions, other.software_versions)
        self.assertEqual((1, {'p1'}), _as_tuple(other.evacuations))

    # Guards against replicas of an earlier release that stop at the command
    # or at the snapshot, of which they read the table and the versions.
    def test_earlier_release_ignores_command_and_places(self):
        version, _document = cbor2.loads(self.order('p1'))
        self.assertLessEqual(version, -1)
        version, _document = cbor2.loads(self.machine.snapshot())
        self.assertEqual(-1, version)


class SentEvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.machine = table_machines.TableMachine()
        newest = table_updates.TableUpdates(self.machine)
        self.clock = clocks.ManualClock(10_000)
        self.sessions = sessions.Sessions(TERM, newest, self.clock)
        self.seekers = seekers.Seekers(newest, lambda: True, self.clock)
        self.link = fakes.FakeLink()

    def test_hosts_confirm_with_the_number_of_the_list(self):
        self.sessions.publish_endpoints([])
        self.sessions.renew(fakes.make_renewal(), self.link)
        evacuated = routing_evacuations.Evacuations(5, ['p1'])
        self.sessions.publish_endpoints([], None, evacuated)
        delivery = self.sessions.evacuation_delivery
        held = {'term': TERM, 'endpoints_number': 1}
        self.sessions.renew(fakes.make_renewal(**held), self.link)
        self.assertFalse(delivery.wait(5, 0))
        self.assertEqual(['h1'], delivery.lacking())
        held['endpoints_number'] = 2
        self.sessions.renew(fakes.make_renewal(**held), self.link)
        self.assertTrue(delivery.wait(5, 0))
        update = self.link.last(messages.EndpointUpdate)
        self.assertEqual(['p1'], update.evacuated)
        self.assertEqual(5, update.evacuations_number)

    # Guards against a host that misses an order as it finds no leader.
    def test_host_without_a_leader_gets_the_places_once(self):
        self.seekers.add(fakes.make_renewal(), self.link)
        command = table_machines.encode_evacuation('p1', True)
        self.machine.apply(1, command)
        self.seekers.publish_evacuations()
        self.seekers.add(fakes.make_renewal(), self.link)
        (update,) = self.link.notifications
        self.assertEqual((0, 0, ['p1']), _sent_fields(update))


def _as_tuple(evacuated):
    return evacuated.number, set(evacuated.places)


def _sent_fields(update):
    return update.term, update.number, update.evacuated
