"""Tests of the data folder on a file system."""

import contextlib
import os
import pathlib
import resource
import tempfile
import unittest
from unittest import mock

from masticquay_consensus import disks
from masticquay_consensus import errors


@contextlib.contextmanager
def limit_file_size(size_bytes):
    """Lets no file grow beyond a size, as on a full disk."""
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size_bytes, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)


class OsDiskTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / 'data'
        self.disk = disks.OsDisk(self.folder)

    def test_replaced_appended_and_truncated_content_is_read_back(self):
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

    def test_opening_a_folder_that_is_in_use_raises(self):
        with self.assertRaises(errors.StorageError):
            disks.OsDisk(self.folder)
        self.disk.close()
        disks.OsDisk(self.folder).close()

    def test_temporary_file_of_an_interrupted_replace_is_not_listed(self):
        self.addCleanup(self.disk.close)
        (self.folder / 'log.new').write_bytes(b'half')
        self.assertEqual([], self.disk.names())

    def test_temporary_files_are_removed_on_opening(self):
        (self.folder / 'log.new').write_bytes(b'half')
        (self.folder / 'log').write_bytes(b'whole')
        self.disk.close()
        disk = disks.OsDisk(self.folder)
        self.addCleanup(disk.close)
        self.assertFalse((self.folder / 'log.new').exists())
        self.assertEqual(b'whole', disk.read('log'))

    def test_append_without_room_leaves_nothing_of_it(self):
        self.addCleanup(self.disk.close)
        self.disk.replace('log', b'kept')
        file = self.disk.open_append('log')
        self.addCleanup(file.close)
        for size_bytes in range(4, 10):
            with self.subTest(size_bytes=size_bytes):
                with (
                    limit_file_size(size_bytes),
                    self.assertRaises(errors.NoRoomError),
                ):
                    file.append(b'refused')
                self.assertEqual(b'kept', self.disk.read('log'))
        file.append(b' taken')
        file.sync()
        self.assertEqual(b'kept taken', self.disk.read('log'))

    def test_torn_tail_that_cannot_be_cut_is_cut_before_the_next_append(self):
        self.addCleanup(self.disk.close)
        self.disk.replace('log', b'kept')
        file = self.disk.open_append('log')
        self.addCleanup(file.close)
        refusal = OSError(28, 'no space left')
        with mock.patch.object(os, 'ftruncate', side_effect=refusal):
            for _attempt in range(2):
                with (
                    limit_file_size(6),
                    self.assertRaises(errors.NoRoomError),
                ):
                    file.append(b'refused')
            # There is room, but the tail cannot be cut yet.
            with self.assertRaises(errors.NoRoomError):
                file.append(b'refused')
        self.assertEqual(b'keptre', self.disk.read('log'))
        file.append(b' taken')
        self.assertEqual(b'kept taken', self.disk.read('log'))

    def test_replace_without_room_leaves_the_file_and_no_other(self):
        self.addCleanup(self.disk.close)
        self.disk.replace('log', b'kept')
        for size_bytes in range(4):
            with self.subTest(size_bytes=size_bytes):
                with (
                    limit_file_size(size_bytes),
                    self.assertRaises(errors.NoRoomError),
                ):
                    self.disk.replace('log', b'refused')
                self.assertEqual(b'kept', self.disk.read('log'))
                self.assertFalse((self.folder / 'log.new').exists())

    def test_rename_without_room_leaves_the_file_and_no_other(self):
        self.addCleanup(self.disk.close)
        self.disk.replace('log', b'kept')
        refusal = OSError(28, 'no space left')
        with (
            mock.patch.object(os, 'rename', side_effect=refusal),
            self.assertRaises(errors.NoRoomError),
        ):
            self.disk.replace('log', b'refused')
        self.assertEqual(b'kept', self.disk.read('log'))
        self.assertFalse((self.folder / 'log.new').exists())

    def test_sync_that_finds_no_room_is_a_failed_sync(self):
        self.addCleanup(self.disk.close)
        self.disk.replace('log', b'kept')
        file = self.disk.open_append('log')
        self.addCleanup(file.close)
        refusal = OSError(28, 'no space left')
        for function, step in (
            ('fdatasync', file.sync),
            ('fsync', lambda: self.disk.replace('log', b'new')),
        ):
            with (
                mock.patch.object(os, function, side_effect=refusal),
                self.assertRaises(errors.StorageError) as caught,
            ):
                step()
            self.assertNotIsInstance(caught.exception, errors.NoRoomError)

    def test_opening_a_missing_file_raises_storage_error(self):
        self.addCleanup(self.disk.close)
        with self.assertRaises(errors.StorageError):
            self.disk.open_append('none')
