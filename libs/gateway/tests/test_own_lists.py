"""Tests of a host that reads the endpoint list itself, without control."""

import threading
import unittest
from unittest import mock

from masticquay_gateway import daemons
from masticquay_serving import counters

WAIT_S = 5.0


class OwnListTest(unittest.TestCase):
    def setUp(self):
        self.applied = threading.Event()
        self.host = object.__new__(daemons.EntryDaemon)
        self.host.link = mock.Mock(since_renewal_ms=float('inf'))
        self.host.state = mock.Mock()
        self.host.state.apply_local_list = self.apply
        self.host.registry = counters.Registry()
        self.host._draining = threading.Event()
        self.host._endpoint_lister = mock.Mock()
        self.host._endpoint_lister.read.return_value = []
        self.attempts = 0

    def apply(self, endpoints):
        self.attempts += 1
        if self.attempts == 1:
            raise ValueError('failed once')
        self.applied.set()

    # Guards against a host that keeps an old list while control is away, as
    # an exception ended the thread that reads it.
    def test_list_is_read_again_after_an_exception(self):
        with mock.patch.object(daemons, 'LOCAL_LIST_INTERVAL_MS', 1):
            thread = threading.Thread(target=self.host._poll_endpoint_list)
            thread.start()
            applied = self.applied.wait(WAIT_S)
            self.host._draining.set()
            thread.join(WAIT_S)
        self.assertTrue(applied)
        self.assertIn('own endpoint list', self.host.registry.render())
