"""Tests of the threads of an entry host's scheduling after an exception."""

import contextlib
import time
import unittest
from unittest import mock

from masticquay_membership import messages as membership_messages
from tests import fakes
from tests import test_clients


class FailingOnce:
    """Raises an exception at the first call, then calls a function."""

    def __init__(self, function):
        self._function = function
        self.calls = 0

    def __call__(self, *arguments):
        self.calls += 1
        if self.calls == 1:
            raise ValueError('failed once')
        return self._function(*arguments)


class ThreadsTest(unittest.TestCase):
    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        self.node = test_clients.Node('h1', stack)
        view = membership_messages.View(1, [self.node.host])
        self.node.start(fakes.make_state(view))
        self.node.membership.change(
            bundle=fakes.make_bundle(
                [
                    fakes.make_engine('p1', ['prefill']),
                    fakes.make_engine('d1', ['decode']),
                ]
            )
        )
        self.wait_for(self.node.service.pools)
        self.node.rates.refund('shop', 1)

    def wait_for(self, condition):
        limit_s = time.monotonic() + fakes.WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), limit_s, 'the thread ended')
            time.sleep(0.01)

    # Guards against a thread that ends for good by one exception, so that
    # its host no longer places, polls, charges or hands over anything.
    def test_threads_go_on_after_an_exception(self):
        service = self.node.service
        for part, method in (
            (service, '_time_to_next_tick_ms'),
            (service, '_change_pools'),
            (service._endpoint_poller, '_poll'),
            (self.node.pools, '_retry_admits'),
            (self.node.rates, '_report'),
        ):
            with self.subTest(method=method):
                failing = FailingOnce(getattr(part, method))
                with mock.patch.object(part, method, failing):
                    self.wait_for(lambda f=failing: f.calls > 2)
