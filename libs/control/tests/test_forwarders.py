"""Tests of forwarding to a leader that is lost."""

import unittest

from masticquay_consensus import messages as log_messages
from masticquay_control import forwarders
from masticquay_membership import messages as membership_messages
from masticquay_membership import sessions
from masticquay_wire import dialers
from masticquay_wire import errors as wire_errors
from tests import fixtures

HOST = membership_messages.Host('h1', 1, 'p1', '', '')


class FakeLog:
    """A log whose leader is a replica that has ended."""

    def __init__(self, address):
        self._leader = log_messages.Member('r1', 'leader', address, True)

    def leader(self):
        return self._leader


class LostLeaderTest(unittest.TestCase):
    def setUp(self):
        address = f'127.0.0.1:{fixtures.find_free_port("127.0.0.1")}'
        self.forwarder = forwarders.Forwarder(
            'follower',
            FakeLog(address),
            lambda address: dialers.WebsocketPeer(
                address, 'follower', fixtures.SECRET
            ),
            lambda address: dialers.WebsocketPeer(
                address, 'follower', fixtures.SECRET, resend=False
            ),
        )
        self.forwarder.start()
        self.addCleanup(self.forwarder.close)

    # Guards against hosts that left a sound follower, and lost their lease on
    # the way to the next: it held their renewals for a leader that had ended.
    def test_renewal_is_refused_before_its_host_gives_up_the_replica(self):
        pending = self.forwarder.renew(
            membership_messages.RenewSession(HOST, 1, 1)
        )
        with self.assertRaises(wire_errors.RemoteError) as caught:
            pending.result(sessions.RENEW_TIMEOUT_MS / 1_000)
        self.assertEqual(
            membership_messages.CODE_NO_LEADER, caught.exception.code
        )
