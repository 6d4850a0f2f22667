"""Tests of the replicated state."""

import unittest

from masticquay_coordination import table_machines


class TableMachineTest(unittest.TestCase):
    def setUp(self):
        self.machine = table_machines.TableMachine()
        self.changes = 0
        self.machine.on_change = self.count

    def count(self):
        self.changes += 1

    def put(self, index, version, text):
        self.machine.apply(index, table_machines.encode_put(version, text))

    def test_highest_version_stays(self):
        self.put(1, 7, b'seven')
        self.put(2, 5, b'five')
        self.assertEqual(7, self.machine.version)
        self.assertEqual(b'seven', self.machine.stored.text())
        self.assertEqual(1, self.changes)

    def test_other_content_under_the_version_held_changes_nothing(self):
        """Two operators race under one version: the first wins."""
        self.put(1, 7, b'first')
        self.put(2, 7, b'second')
        self.assertEqual(b'first', self.machine.stored.text())

    def test_snapshot_holds_everything(self):
        self.put(1, 7, b'seven')
        other = table_machines.TableMachine()
        other.restore(self.machine.snapshot(), 1)
        self.assertEqual(7, other.version)
        self.assertEqual(b'seven', other.stored.text())

    def test_empty_snapshot(self):
        self.machine.restore(b'', 0)
        self.assertEqual(-1, self.machine.version)
