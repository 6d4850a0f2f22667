"""Tests of the replicated state machine."""

import unittest

import cbor2

from masticquay_coordination import table_machines

VERSIONS = {'llm': ['v1', 'v2']}


class TableMachineTest(unittest.TestCase):
    def setUp(self):
        self.machine = table_machines.TableMachine()
        self.changes = 0
        self.machine.on_change = self.count_change

    def count_change(self):
        self.changes += 1

    def put(self, index, version, document):
        self.machine.apply(index, table_machines.encode_put(version, document))

    def test_highest_version_is_kept(self):
        self.put(1, 7, b'seven')
        self.put(2, 5, b'five')
        self.assertEqual(7, self.machine.version)
        self.assertEqual(b'seven', self.machine.stored.decompress())
        self.assertEqual(1, self.changes)

    def test_other_document_with_the_stored_version_is_ignored(self):
        """Of two concurrent writes of the same version the first wins."""
        self.put(1, 7, b'first')
        self.put(2, 7, b'second')
        self.assertEqual(b'first', self.machine.stored.decompress())

    def test_snapshot_contains_the_table(self):
        self.put(1, 7, b'seven')
        other = table_machines.TableMachine()
        other.restore(self.machine.snapshot(), 1)
        self.assertEqual(7, other.version)
        self.assertEqual(b'seven', other.stored.decompress())

    def test_empty_snapshot_restores_no_table(self):
        self.machine.restore(b'', 0)
        self.assertEqual(-1, self.machine.version)

    def put_versions(self, index):
        command = table_machines.encode_software_versions(VERSIONS)
        self.machine.apply(index, command)

    def test_software_versions_leave_the_table_alone(self):
        self.put(1, 7, b'seven')
        self.put_versions(2)
        self.assertEqual(VERSIONS, self.machine.software_versions)
        self.assertEqual(b'seven', self.machine.stored.decompress())

    def test_snapshot_contains_the_software_versions(self):
        self.put(1, 7, b'seven')
        self.put_versions(2)
        other = table_machines.TableMachine()
        other.restore(self.machine.snapshot(), 2)
        self.assertEqual(7, other.version)
        self.assertEqual(VERSIONS, other.software_versions)

    def test_snapshot_of_an_earlier_release_has_no_software_versions(self):
        self.put(1, 7, b'seven')
        other = table_machines.TableMachine()
        other.restore(self.machine.snapshot(), 1)
        self.assertIsNone(other.software_versions)

    def test_earlier_release_reads_the_table_of_a_snapshot(self):
        """It decodes the first item and takes two values from it."""
        self.put(1, 7, b'seven')
        self.put_versions(2)
        version, _document = cbor2.loads(self.machine.snapshot())
        self.assertEqual(7, version)

    def test_earlier_release_ignores_the_command_for_versions(self):
        """It stores a table only if its version is above the stored one's."""
        command = table_machines.encode_software_versions(VERSIONS)
        version, _document = cbor2.loads(command)
        self.assertLessEqual(version, table_machines.TableMachine().version)
