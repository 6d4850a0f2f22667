"""Tests of the watch over a host's way to endpoints."""

import contextlib
import socket
import time
import unittest

from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import reach_watches
from masticquay_routing import fleets
from masticquay_serving import counters

WAIT_S = 3.0


def make_endpoint(number, port):
    return fleets.Endpoint(f'e-{number}', 's', f'127.0.0.1:{port}', 'p')


class ReachWatchTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.endpoints = []
        self.listeners = []
        for number in range(3):
            listener = socket.create_server(('127.0.0.1', 0))
            self.listeners.append(listener)
            self.stack.callback(listener.close)
            port = listener.getsockname()[1]
            self.endpoints.append(make_endpoint(number, port))
        self.changes = []
        self.watch = reach_watches.ReachWatch(
            lambda: self.endpoints,
            counters.Registry(),
            lambda: self.changes.append(self.watch.is_lost),
        )
        self.stack.callback(self.watch.close)

    def close_all(self):
        for listener in self.listeners:
            listener.close()

    def wait_for(self, condition):
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)

    def test_reaches_others_with_one_endpoint_gone_is_true(self):
        self.listeners[0].close()
        self.assertTrue(self.watch.reaches_others(self.endpoints[0]))
        self.assertFalse(self.watch.is_lost)

    def test_reaches_others_with_all_gone_is_false_and_the_way_lost(self):
        self.close_all()
        self.assertFalse(self.watch.reaches_others(self.endpoints[0]))
        self.assertTrue(self.watch.is_lost)
        self.assertEqual([True], self.changes)

    def test_reaches_others_of_the_only_endpoint_blames_it(self):
        del self.endpoints[1:]
        self.listeners[0].close()
        self.assertTrue(self.watch.reaches_others(self.endpoints[0]))

    def test_connection_to_the_failed_endpoint_itself_proves_nothing(self):
        self.close_all()
        self.watch.record_contact(self.endpoints[0], is_new_connection=True)
        self.assertFalse(self.watch.reaches_others(self.endpoints[0]))

    def test_contact_over_an_old_connection_proves_no_way_for_new_ones(self):
        self.close_all()
        self.watch.record_contact(self.endpoints[1], is_new_connection=False)
        self.assertFalse(self.watch.reaches_others(self.endpoints[0]))

    def test_way_that_returns_is_found_within_a_second(self):
        port = int(self.endpoints[2].address.rpartition(':')[2])
        self.close_all()
        self.watch.reaches_others(self.endpoints[0])
        listener = socket.create_server(('127.0.0.1', port))
        self.stack.callback(listener.close)
        begin_s = time.monotonic()
        self.wait_for(lambda: not self.watch.is_lost)
        self.assertLess(time.monotonic() - begin_s, 1.0)
        self.assertEqual([True, False], self.changes)

    def test_silence_of_all_requests_is_checked(self):
        self.close_all()
        self.watch.record_sent()
        time.sleep(reach_watches.SILENCE_MS / 1000 + 0.05)
        self.watch.record_sent()
        self.wait_for(lambda: self.watch.is_lost)

    def test_silence_after_which_others_answered_is_the_endpoints_own(self):
        self.close_all()
        since_s = time.monotonic()
        self.watch.record_contact(self.endpoints[1], is_new_connection=False)
        self.assertFalse(self.explains_silence(since_s))

    def test_silence_of_all_without_a_path_is_explained(self):
        self.close_all()
        self.assertTrue(self.explains_silence(time.monotonic()))

    def explains_silence(self, since_s):
        cause = exchanges.StalledError('no data')
        return self.watch.explains(self.endpoints[0], cause, since_s)

    def test_reset_is_explained_only_without_a_path(self):
        cause = exchanges.EndpointError('reset')
        endpoint = self.endpoints[0]
        self.assertFalse(self.watch.explains(endpoint, cause, 0.0))
        time.sleep(reach_watches.PROOF_TTL_MS / 1000)
        self.close_all()
        self.assertTrue(self.watch.explains(endpoint, cause, 0.0))

    # Guards against incident RECOVER's other half: hosts without a path told
    # the fleet of ends, and sound requests were refused for them.
    def test_endpoint_has_not_ended_if_no_other_one_is_reached_either(self):
        self.close_all()
        cause = exchanges.EndpointError('reset')
        self.assertFalse(self.watch.has_ended(self.endpoints[0], cause))

    def test_endpoint_has_ended_if_others_are_reached(self):
        self.listeners[0].close()
        cause = exchanges.EndpointError('reset')
        self.assertTrue(self.watch.has_ended(self.endpoints[0], cause))

    def test_endpoint_has_ended_if_a_peer_says_so(self):
        self.close_all()
        self.watch.reaches_others(self.endpoints[0])
        cause = errors.EndpointEndedError('ended')
        self.assertTrue(self.watch.has_ended(self.endpoints[0], cause))

    # Guards against a host that takes its path for lost for ever, as an
    # exception ended the thread that looks for its return.
    def test_return_of_the_path_is_found_after_an_exception(self):
        self.close_all()
        self.assertFalse(self.watch.reaches_others(self.endpoints[0]))
        choose, failed = self.watch._choose_endpoints, []

        def fail_once(endpoint_id):
            if not failed:
                failed.append(endpoint_id)
                raise ValueError('failed once')
            return choose(endpoint_id)

        self.watch._choose_endpoints = fail_once
        self.wait_for(lambda: failed)
        self.endpoints.clear()
        self.wait_for(lambda: not self.watch.is_lost)

    def test_path_that_is_lost_again_has_to_hold_longer(self):
        port = int(self.endpoints[2].address.rpartition(':')[2])
        self.close_all()
        waits_s = []
        for _ in range(3):
            self.watch.reaches_others(self.endpoints[0])
            listener = socket.create_server(('127.0.0.1', port))
            begin_s = time.monotonic()
            self.wait_for(lambda: not self.watch.is_lost)
            waits_s.append(time.monotonic() - begin_s)
            listener.close()
            time.sleep(reach_watches.PROOF_TTL_MS / 1000)
        self.assertEqual(sorted(waits_s), waits_s)
