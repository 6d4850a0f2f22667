"""Tests of which failures of a call say that it had no effect."""

import unittest

from masticquay_membership import clients
from masticquay_membership import errors
from masticquay_membership import messages as membership_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

SECRET = b'fleet secret'
TIMEOUT_MS = 500


class ControlClientTest(unittest.TestCase):
    def setUp(self):
        # The failures of the next calls, which are carried out regardless.
        self.failures = []
        self.handled_count = 0
        listener = listeners.Listener(
            peers.Address('127.0.0.1', 0), 'control', SECRET
        )
        listener.handle(membership_messages.CloseSession, self.handle)
        listener.start()
        self.addCleanup(listener.close)
        self.client = clients.ControlClient([listener.address], 'h', SECRET)
        self.addCleanup(self.client.close)

    def handle(self, message, link):
        self.handled_count += 1
        if self.failures:
            raise self.failures.pop(0)

    def call(self):
        message = membership_messages.CloseSession('h', 1)
        return self.client.call(message, TIMEOUT_MS)

    def test_refused_call_is_not_sent_again(self):
        self.failures = [wire_errors.RemoteError('evicted', '')]
        with self.assertRaises(wire_errors.RemoteError):
            self.call()
        self.assertEqual(1, self.handled_count)

    # Guards against a call that counts as refused although it took effect,
    # such as the outcome of an intent that is then never recorded.
    def test_call_that_may_have_had_an_effect_is_sent_again(self):
        for failure in (
            wire_errors.RemoteError(listeners.CODE_ANSWER_LOST, ''),
            wire_errors.RemoteError('uncertain', ''),
            ValueError('a fault of the replica'),
        ):
            self.failures = [failure]
            with self.assertNoLogs('masticquay_membership'):
                self.assertIsInstance(self.call(), messages.Done)

    # As above, if no replica gives another answer in time.
    def test_call_that_may_have_had_an_effect_does_not_count_as_refused(self):
        self.failures = [ValueError('a fault of the replica')] * 100
        with self.assertRaises(errors.MembershipError):
            self.call()
