"""Tests of the polling of endpoints and the platform list."""

import contextlib
import json
import socket
import threading
import types
import unittest

from masticquay_bundles import models
from masticquay_endpoints import client_caches
from masticquay_endpoints import watchers
from masticquay_scheduling import messages
from masticquay_standins import daemons


class WatchersTest(unittest.TestCase):
    def setUp(self):
        self.engine = self.start_standin(
            'engine', {'model': 'm', 'event_lag_ms': 0}
        )
        self.service = self.start_standin('service', {})
        host = {'name': 'service', 'address': '', 'state': 'leaving'}
        options = {'lag_ms': 0, 'hosts': [host]}
        self.platform = self.start_standin('platform', options)
        bundle = models.Bundle(
            *(1, 1, [], [], [], [], [], [], [], []),
            [
                models.Endpoint(
                    'engine', 'engine', self.engine.address, 'p', 4
                ),
                models.Endpoint(
                    'service', 'service', self.service.address, 'p', 4
                ),
            ],
            platform_list=self.platform.address,
        )
        self.client_cache = client_caches.ClientCache()
        self.addCleanup(self.client_cache.close)
        self.watcher = watchers.HttpWatcher(lambda: bundle, self.client_cache)
        self.addCleanup(self.watcher.close)

    def start_standin(self, kind, options):
        server = daemons.build(kind, kind, '127.0.0.1:0', options)
        server.start()
        self.addCleanup(server.close)
        return server

    def test_load_of_engine_and_service_is_read(self):
        self.assertEqual(0, self.watcher.read_load('engine').slots_used)
        self.assertEqual(0, self.watcher.read_load('service').slots_used)

    def test_load_of_unknown_or_closed_endpoint_is_none(self):
        self.assertIsNone(self.watcher.read_load('nobody'))
        self.service.close()
        self.assertIsNone(self.watcher.read_load('service'))

    def test_cache_events_are_read_after_prefill(self):
        engine = self.client_cache.engine(self.engine.address)
        engine.prefill('r', 1, 'm', b'x' * 600, 0, 5_000)
        events = self.watcher.read_cache_events('engine', 0)
        self.assertTrue(all(event.stored for event in events))

    def test_cancel_is_acknowledged_only_by_running_engine(self):
        request = messages.RequestId('host', 1, 2)
        self.assertTrue(self.watcher.cancel('engine', request))
        self.engine.close()
        self.assertFalse(self.watcher.cancel('engine', request))

    def test_only_endpoint_listed_as_leaving_is_leaving(self):
        self.assertTrue(self.watcher.is_leaving('service'))
        self.assertFalse(self.watcher.is_leaving('engine'))


class OutOfStepTest(unittest.TestCase):
    def start_engine(self, *connections):
        """Answers the requests on each connection with the given objects."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def run():
            for answers in connections:
                with contextlib.suppress(OSError):
                    sock, _ = listener.accept()
                    self.addCleanup(sock.close)
                    for answer in answers:
                        sock.recv(65_536)
                        body = json.dumps(answer)
                        sock.sendall(
                            f'HTTP/1.1 200 x\r\nContent-Length: {len(body)}'
                            f'\r\n\r\n{body}'.encode()
                        )

        threading.Thread(target=run, daemon=True).start()
        host, port = listener.getsockname()
        return f'{host}:{port}'

    # Guards against a connection that stays an answer behind, so that every
    # answer on it belongs to an earlier request.
    def test_connection_is_not_used_after_an_answer_to_another_request(self):
        load, events = {'slots_used': 3}, {'events': []}
        address = self.start_engine((load, load, events), ({'slots_used': 4},))
        engine = models.Endpoint('engine', 'engine', address, 'p', 4)
        bundle = types.SimpleNamespace(endpoints=[engine])
        watcher = watchers.HttpWatcher(lambda: bundle, None)
        self.addCleanup(watcher.close)
        self.assertEqual(3, watcher.read_load('engine').slots_used)
        self.assertEqual([], watcher.read_cache_events('engine', 0))
        self.assertEqual(4, watcher.read_load('engine').slots_used)
