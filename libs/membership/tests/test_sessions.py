"""Tests of a host's session against a fake control replica."""

from concurrent import futures
import random
import time
import unittest
from unittest import mock

from masticquay_membership import clients
from masticquay_membership import errors
from masticquay_membership import intent_messages
from masticquay_membership import messages as membership_messages
from masticquay_membership import sessions
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import messages
from masticquay_wire import peers

SECRET = b'fleet secret'
WAIT_S = 20


class FakeControl:
    """A control replica whose replies the test sets.

    :ivar code: the failure code of every renewal, empty to grant them
    :ivar drop_begin_replies: whether to record intents without replying
    :ivar intents: all BeginIntent and FinishIntent messages received
    """

    def __init__(self, case):
        self.ttl_ms = 3_000
        self.code = ''
        self.incarnation = 0
        self.drop_begin_replies = False
        self.renewals = []
        self.intents = []
        self.listener = listeners.Listener(
            peers.Address('127.0.0.1', 0), 'control', SECRET
        )
        for message_type, handler in (
            (membership_messages.OpenSession, self.open),
            (membership_messages.RenewSession, self.renew),
            (intent_messages.BeginIntent, self.begin),
            (intent_messages.FinishIntent, self.finish),
            (membership_messages.CloseSession, lambda message, link: None),
            (membership_messages.Subscribe, lambda message, link: None),
        ):
            self.listener.handle(message_type, handler)
        self.listener.start()
        case.addCleanup(self.listener.close)

    def open(self, message, link):
        self.incarnation += 1
        return membership_messages.SessionOpened(self.incarnation)

    def renew(self, message, link):
        self.renewals.append(message)
        if self.code:
            raise wire_errors.RemoteError(self.code, '')
        return membership_messages.SessionRenewed(self.ttl_ms, 0, 0)

    def begin(self, message, link):
        self.intents.append(message)
        if self.drop_begin_replies:
            return futures.Future()
        return intent_messages.IntentState(intent_messages.INTENT_BEGUN)

    def finish(self, message, link):
        self.intents.append(message)
        return messages.Done()


class OffsetClock(clocks.MonotonicClock):
    """A monotonic clock that the test can advance."""

    offset_ms = 0

    def now_ms(self):
        return super().now_ms() + self.offset_ms


class SessionTest(unittest.TestCase):
    def setUp(self):
        self.control = FakeControl(self)
        self.clock = OffsetClock()
        host = membership_messages.Host('h1', 0, 'p1', '', '')
        client = clients.ControlClient(
            [str(self.control.listener.address)], 'h1', SECRET
        )
        self.addCleanup(client.close)
        self.session = sessions.Session(client, host, 'h1', SECRET, self.clock)
        self.session.start()
        self.addCleanup(self.session.close)
        self.wait_for(self.session.lease_valid)

    def wait_for(self, condition):
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)

    def test_lease_expires_when_ttl_has_passed_since_the_last_renewal(self):
        self.control.code = 'no-leader'
        self.clock.offset_ms += self.control.ttl_ms
        self.assertFalse(self.session.lease_valid())
        self.control.code = ''
        self.wait_for(self.session.lease_valid)
        self.assertEqual(1, self.session.host.incarnation)

    def test_evicted_host_opens_a_session_with_a_higher_incarnation(self):
        self.control.code = membership_messages.CODE_EVICTED
        self.wait_for(lambda: not self.session.lease_valid())
        self.control.code = ''
        self.wait_for(self.session.lease_valid)
        self.assertGreater(self.session.host.incarnation, 1)

    def test_lease_stays_valid_while_the_wall_clock_jumps(self):
        rng = random.Random(1)
        renewal_count = len(self.control.renewals)

        def random_time():
            return rng.uniform(0, 4e9)

        with mock.patch('time.time', random_time):
            self.wait_for(
                lambda: len(self.control.renewals) > renewal_count + 2
            )
            self.assertTrue(self.session.lease_valid())
        self.assertEqual(1, self.session.host.incarnation)

    def test_finish_intent_carries_the_call_number_of_its_begin(self):
        for key in ('a', 'b'):
            self.session.begin_intent(
                intent_messages.BeginIntent('s', key, b'', 'h1', 1), 5_000
            )
        self.session.finish_intent(
            intent_messages.FinishIntent('s', 'a', 'h1', 1, 'ran'), 5_000
        )
        numbers = [intent.call_number for intent in self.control.intents]
        self.assertEqual([1, 2, 1], numbers)

    def test_begin_without_reply_can_be_finished_as_not_run(self):
        intent = intent_messages.BeginIntent('s', 'a', b'', 'h1', 1)
        self.control.drop_begin_replies = True
        with self.assertRaises(errors.MembershipError):
            self.session.begin_intent(intent, 500)
        self.session.finish_intent(
            intent_messages.FinishIntent('s', 'a', 'h1', 1, 'not-run'), 5_000
        )
        begun, finished = self.control.intents[0], self.control.intents[-1]
        self.assertEqual('not-run', finished.outcome)
        self.assertEqual(begun.call_number, finished.call_number)

    def test_leave_is_sent_with_a_renewal_and_close_ends_the_lease(self):
        self.session.mark_leaving()
        self.wait_for(lambda: self.control.renewals[-1].host.leaving)
        self.session.close()
        self.assertFalse(self.session.lease_valid())

    def test_call_without_reply_raises_membership_error(self):
        self.control.listener.close()
        with self.assertRaises(errors.MembershipError):
            self.session.begin_intent(
                intent_messages.BeginIntent('s', 'a', b'', 'h1', 1), 300
            )


class LostReplicasTest(unittest.TestCase):
    """A host of seven replicas, which renews at the first."""

    def setUp(self):
        self.controls = [FakeControl(self) for _ in range(7)]
        host = membership_messages.Host('h1', 0, 'p1', '', '')
        addresses = [str(c.listener.address) for c in self.controls]
        client = clients.ControlClient(addresses, 'h1', SECRET)
        self.addCleanup(client.close)
        self.session = sessions.Session(client, host, 'h1', SECRET)
        self.session.start()
        self.addCleanup(self.session.close)

    # Guards against streams that a host cut as it lost its lease: it waited
    # for each lost replica in turn as long as for one that is slow.
    def test_lease_is_kept_when_a_minority_of_the_replicas_is_lost(self):
        deadline_s = time.monotonic() + WAIT_S
        while not self.session.lease_valid():
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)
        for control in self.controls[:3]:
            control.listener.close()
        while not any(c.renewals for c in self.controls[3:]):
            self.assertTrue(self.session.lease_valid(), 'lease lost')
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)
