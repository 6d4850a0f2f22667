"""Tests of the Raft log and its file, also with torn writes and corruption."""

import random
import unittest

from masticquay_consensus import errors
from masticquay_consensus import messages
from masticquay_consensus import raft_logs
from tests import faulty_disks


def make_entry(index, term=1, command=b'command'):
    return messages.Entry(index, term, messages.KIND_COMMAND, command)


class RaftLogTest(unittest.TestCase):
    def setUp(self):
        self.disk = faulty_disks.FaultyDisk(random.Random(1))
        raft_logs.RaftLog.create(self.disk, 0, 0)
        self.raft_log = raft_logs.RaftLog(self.disk)

    def flush(self, *entries):
        self.raft_log.append(list(entries))
        batch = self.raft_log.take_pending()
        self.raft_log.flush(batch)
        self.raft_log.mark_flushed(batch)

    def reopen(self):
        return raft_logs.RaftLog(self.disk)

    def damage(self, position):
        content = bytearray(self.disk.read(raft_logs.FILE_NAME))
        content[position] ^= 1
        self.disk.files[raft_logs.FILE_NAME] = bytes(content)
        self.disk.unsynced = {}

    def test_flushed_entries_are_read_back(self):
        self.flush(make_entry(1), make_entry(2))
        self.assertEqual(2, self.raft_log.synced_index)
        reopened = self.reopen()
        self.assertEqual(make_entry(2), reopened.entry(2))
        self.assertEqual(2, reopened.synced_index)

    def test_replaced_suffix_is_not_read_back(self):
        self.flush(make_entry(1), make_entry(2), make_entry(3))
        self.raft_log.append([make_entry(2, term=2)])
        self.assertEqual(1, self.raft_log.synced_index)
        self.flush()
        reopened = self.reopen()
        self.assertEqual(2, reopened.last_index)
        self.assertEqual(2, reopened.last_term)

    def test_torn_write_of_any_length_is_truncated_on_opening(self):
        self.flush(make_entry(1))
        before = self.disk.files[raft_logs.FILE_NAME]
        self.flush(make_entry(2))
        after = self.disk.files[raft_logs.FILE_NAME]
        for size in range(len(before), len(after)):
            with self.subTest(size=size):
                self.disk.files[raft_logs.FILE_NAME] = after[:size]
                self.disk.unsynced = {}
                self.assertEqual(1, self.reopen().last_index)
                truncated = self.disk.files[raft_logs.FILE_NAME]
                self.assertLessEqual(len(truncated), size)

    def test_corrupt_synced_byte_raises_or_all_entries_are_read(self):
        self.flush(make_entry(1))
        self.flush(make_entry(2))
        self.flush(make_entry(3))
        content = self.disk.read(raft_logs.FILE_NAME)
        for position in range(len(content)):
            with self.subTest(position=position):
                self.damage(position)
                try:
                    reopened = self.reopen()
                except errors.DamagedStorageError:
                    pass
                else:
                    # The corrupt byte is in a marker between batches.
                    self.assertEqual(3, reopened.last_index)
                self.disk.files[raft_logs.FILE_NAME] = content

    def test_batch_taken_before_compaction_is_not_written_after_it(self):
        self.flush(make_entry(1))
        self.raft_log.append([make_entry(2)])
        batch = self.raft_log.take_pending()
        self.raft_log.append([make_entry(3)])
        self.raft_log.compact(1, 1)
        self.raft_log.flush(batch)
        self.assertEqual(3, self.reopen().last_index)

    def test_opening_a_missing_log_file_raises(self):
        del self.disk.files[raft_logs.FILE_NAME]
        with self.assertRaises(errors.DamagedStorageError):
            self.reopen()

    def test_log_goes_on_after_any_write_found_no_room(self):
        for writes in range(6):
            with self.subTest(writes=writes):
                self.setUp()
                self.disk.writes_to_full = writes
                synced = 0
                for index in range(1, 5):
                    self.raft_log.append([make_entry(index)])
                    batch = self.raft_log.take_pending()
                    try:
                        self.raft_log.flush(batch)
                    except errors.NoRoomError:
                        self.raft_log.restore_pending(batch)
                        self.assertTrue(self.raft_log.lacks_room)
                        continue
                    self.raft_log.mark_flushed(batch)
                    synced = index
                self.assertEqual(synced, self.raft_log.synced_index)
                self.assertEqual(synced, self.reopen().last_index)
                self.disk.make_room()
                self.flush(make_entry(5))
                self.assertFalse(self.raft_log.lacks_room)
                self.assertFalse(self.raft_log.has_pending)
                self.assertEqual(5, self.reopen().last_index)
                self.assertEqual(
                    self.raft_log.size_bytes,
                    len(self.disk.read(raft_logs.FILE_NAME)),
                )

    def test_missing_sync_marker_is_written_once_there_is_room(self):
        self.disk.writes_to_full = 1
        self.flush(make_entry(1))
        self.assertEqual(1, self.raft_log.synced_index)
        self.assertTrue(self.raft_log.has_pending)
        before = self.disk.read(raft_logs.FILE_NAME)
        self.disk.make_room()
        self.flush()
        self.assertFalse(self.raft_log.has_pending)
        self.assertGreater(
            len(self.disk.read(raft_logs.FILE_NAME)), len(before)
        )

    def test_compaction_without_room_changes_nothing(self):
        self.flush(make_entry(1), make_entry(2))
        self.raft_log.append([make_entry(3)])
        self.disk.full = True
        with self.assertRaises(errors.NoRoomError):
            self.raft_log.compact(1, 1)
        self.assertEqual((0, 3), self.indexes())
        self.assertTrue(self.raft_log.has_pending)
        self.disk.make_room()
        self.raft_log.compact(1, 1)
        self.assertEqual((1, 3), self.indexes())
        self.assertEqual(3, self.reopen().synced_index)

    def indexes(self):
        return self.raft_log.base_index, self.raft_log.last_index
