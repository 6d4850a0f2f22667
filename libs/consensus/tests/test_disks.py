"""Tests of the disk of the operating system."""

import pathlib
import tempfile
import unittest

from masticquay_consensus import disks
from masticquay_consensus import errors


class OsDiskTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / 'data'
        self.disk = disks.OsDisk(self.folder)

    def test_files_are_replaced_appended_and_cut(self):
        self.addCleanup(self.disk.close)
        self.disk.replace('log', b'one')
        file = self.disk.open_append('log')
        file.append(b'two')
        file.sync()
        file.close()
        self.assertEqual(b'onetwo', self.disk.read('log'))
        self.disk.truncate('log', 4)
        self.assertEqual(b'onet', self.disk.read('log'))
        self.assertEqual(['log'], self.disk.names())
        self.assertIsNone(self.disk.read('none'))

    def test_a_folder_has_one_user(self):
        with self.assertRaises(errors.StorageError):
            disks.OsDisk(self.folder)
        self.disk.close()
        disks.OsDisk(self.folder).close()

    def test_an_unfinished_replacement_is_no_file(self):
        self.addCleanup(self.disk.close)
        (self.folder / 'log.new').write_bytes(b'half')
        self.assertEqual([], self.disk.names())

    def test_errors_of_the_system_become_storage_errors(self):
        self.addCleanup(self.disk.close)
        with self.assertRaises(errors.StorageError):
            self.disk.open_append('none')
