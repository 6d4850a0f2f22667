"""Tests of periodic work."""

import threading
import unittest

from masticquay_wire import duties


class DutyTest(unittest.TestCase):
    def setUp(self):
        self.error = None
        self.runs = 0
        self.counted = []

    def task(self):
        self.runs += 1
        if self.error is not None:
            raise self.error

    def make_duty(self):
        return duties.Duty('sweep', self.task, self.counted.append)

    def test_exceptions_are_counted_and_logged_once_for_each_cause(self):
        duty = self.make_duty()
        with self.assertLogs(duties.LOG, 'INFO') as logs:
            self.error = ValueError('a')
            self.assertEqual([False] * 3, [duty.run_once() for _ in range(3)])
            self.error = KeyError('b')
            self.assertFalse(duty.run_once())
            self.error = None
            self.assertTrue(duty.run_once())
            self.assertTrue(duty.run_once())
        messages = [record.getMessage() for record in logs.records]
        self.assertEqual(
            ['duty failed', 'duty failed', 'duty succeeds again'], messages
        )
        self.assertEqual([3, 1], list(logs.records[-1].failures.values()))
        self.assertEqual(4, duty.failed_count)
        self.assertEqual(['sweep'] * 4, self.counted)

    def test_thread_of_a_failing_duty_goes_on_until_it_is_stopped(self):
        self.error = ValueError('a')
        stopping = threading.Event()
        duty = self.make_duty()
        thread = threading.Thread(target=duty.run, args=(stopping, 0.001))
        with self.assertLogs(duties.LOG, 'ERROR'):
            thread.start()
            while self.runs < 3 and thread.is_alive():
                stopping.wait(0.001)
            stopping.set()
            thread.join(20)
        self.assertGreaterEqual(self.runs, 3)
        self.assertFalse(thread.is_alive())
