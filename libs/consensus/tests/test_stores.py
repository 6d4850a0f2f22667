"""Tests of the data folder of a replica."""

import random
import unittest

from masticquay_consensus import errors
from masticquay_consensus import messages
from masticquay_consensus import stores
from tests import faulty_disks

GROUP = messages.Configuration([messages.Member('1', 'a', '', True)])


class StoresTest(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(1)
        self.disk = faulty_disks.FaultyDisk(self.random)

    def open(self, name='a'):
        return stores.Store(self.disk, name, self.random)

    def make(self):
        store = self.open()
        store.form(GROUP)
        store.save_ballot(3, 'b')
        return store

    def test_identity_and_ballot_last(self):
        made = self.make()
        opened = self.open()
        self.assertEqual(made.replica_id, opened.replica_id)
        self.assertEqual((3, 'b'), (opened.term, opened.voted_for))

    def test_an_empty_folder_is_another_replica(self):
        old = self.make().replica_id
        self.disk.files.clear()
        self.assertNotEqual(old, self.open().replica_id)

    def test_the_folder_of_another_replica_is_refused(self):
        self.make()
        with self.assertRaisesRegex(errors.StorageError, "replica 'a'"):
            self.open('b')

    def test_each_missing_file_is_refused(self):
        self.make()
        files = dict(self.disk.files)
        for name in files:
            with self.subTest(name=name):
                self.disk.files = dict(files)
                del self.disk.files[name]
                with self.assertRaises(errors.DamagedStorageError):
                    self.open()

    def test_each_damaged_file_is_refused(self):
        self.make()
        files = dict(self.disk.files)
        for name in files:
            for position in range(len(files[name])):
                with self.subTest(name=name, position=position):
                    damaged = bytearray(files[name])
                    damaged[position] ^= 16
                    self.disk.files = {**files, name: bytes(damaged)}
                    with self.assertRaises(errors.DamagedStorageError):
                        self.open()

    def test_a_crash_at_any_point_of_forming_leaves_a_usable_folder(self):
        for steps in range(20):
            with self.subTest(steps=steps):
                self.disk.files.clear()
                store = self.open()
                self.disk.steps_to_crash = steps
                try:
                    store.form(GROUP)
                except faulty_disks.CrashError:
                    self.disk.crash()
                self.disk.steps_to_crash = None
                self.open().form(GROUP)
                self.assertTrue(self.open().formed)
