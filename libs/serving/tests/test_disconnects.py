"""Tests of the detection of disconnected callers."""

import os
import select
import socket
import threading
import unittest
from unittest import mock

from masticquay_serving import disconnects

TIMEOUT_S = 5.0


class DelayedEpoll:
    """An epoll whose events are returned only once ``released`` is set.

    It stands for a thread that is not run between two steps.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self.register = self._epoll.register
        self.modify = self._epoll.modify
        self.unregister = self._epoll.unregister
        self.fetched = threading.Event()
        self.released = threading.Event()

    def poll(self, timeout_s):
        found = self._epoll.poll(timeout_s)
        if found:
            self.fetched.set()
            self.released.wait(TIMEOUT_S)
        return found


class DisconnectWatcherTest(unittest.TestCase):
    def setUp(self):
        self.watcher = disconnects.DisconnectWatcher()
        self.addCleanup(self.watcher.close)
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        # The hook sets this when the caller has left.
        self.left = threading.Event()

    def test_disconnect_runs_the_hook(self):
        with self.watcher.watched(self.near, self.left.set):
            self.far.close()
            self.assertTrue(self.left.wait(TIMEOUT_S))

    def test_pipelined_request_does_not_run_the_hook(self):
        with self.watcher.watched(self.near, self.left.set):
            self.far.sendall(b'GET / HTTP/1.1\r\n\r\n')
            self.assertFalse(self.left.wait(0.1))

    def test_hook_does_not_run_after_the_context(self):
        with self.watcher.watched(self.near, self.left.set):
            pass
        self.far.close()
        self.assertFalse(self.left.wait(0.1))

    def test_connection_watched_again_still_runs_the_hook(self):
        for _ in range(2):
            with self.watcher.watched(self.near, self.left.set):
                pass
        with self.watcher.watched(self.near, self.left.set):
            self.far.close()
            self.assertTrue(self.left.wait(TIMEOUT_S))

    # Guards against requests that run on for callers that have left, as one
    # hook's exception ended the thread that watches all connections.
    def test_disconnect_is_seen_after_another_hook_raised_an_exception(self):
        other, other_far = socket.socketpair()
        self.addCleanup(other.close)
        failed = threading.Event()

        def fail():
            failed.set()
            raise ValueError('hook failed')

        with (
            self.watcher.watched(other, fail),
            self.watcher.watched(self.near, self.left.set),
        ):
            other_far.close()
            self.assertTrue(failed.wait(TIMEOUT_S))
            self.far.close()
            self.assertTrue(self.left.wait(TIMEOUT_S))


class ReusedDescriptorTest(unittest.TestCase):
    def setUp(self):
        self.epoll = DelayedEpoll()
        with mock.patch.object(select, 'epoll', return_value=self.epoll):
            self.watcher = disconnects.DisconnectWatcher()
        self.addCleanup(self.watcher.close)
        self.left = threading.Event()

    def open_pair(self):
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        return near, far

    def replace_connection(self, old):
        """Returns both ends of a new connection with the old one's number."""
        fd = old.fileno()
        old.close()
        near, far = self.open_pair()
        if near.fileno() != fd:
            os.dup2(near.fileno(), fd)
            near.close()
            near = socket.socket(fileno=fd)
            self.addCleanup(near.close)
        return near, far

    # Guards against a new caller that gets no answer because the event of an
    # earlier connection with the same file descriptor is taken for its own.
    def test_event_of_closed_connection_does_not_run_the_next_ones_hook(self):
        old, old_far = self.open_pair()
        with self.watcher.watched(old, lambda: None):
            old_far.close()
            self.assertTrue(self.epoll.fetched.wait(TIMEOUT_S))
        near, _far = self.replace_connection(old)
        with self.watcher.watched(near, self.left.set):
            self.epoll.released.set()
            self.assertFalse(self.left.wait(0.2))

    # Guards against a watch that is lost to the event of an earlier one.
    def test_next_connection_is_still_watched_after_a_stale_event(self):
        old, old_far = self.open_pair()
        with self.watcher.watched(old, lambda: None):
            old_far.close()
            self.assertTrue(self.epoll.fetched.wait(TIMEOUT_S))
        near, far = self.replace_connection(old)
        with self.watcher.watched(near, self.left.set):
            self.epoll.released.set()
            self.assertFalse(self.left.wait(0.2))
            far.close()
            self.assertTrue(self.left.wait(TIMEOUT_S))
