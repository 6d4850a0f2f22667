"""Tests of what pool owners learn of endpoints."""

import unittest

from masticquay_bundles import models
from masticquay_endpoints import catalogs
from masticquay_endpoints import watchers
from masticquay_scheduling import messages
from masticquay_standins import daemons


class WatcherTest(unittest.TestCase):
    def setUp(self):
        self.engine = self.start('engine', {'model': 'm', 'event_lag_ms': 0})
        self.service = self.start('service', {})
        host = {'name': 'service', 'address': '', 'state': 'leaving'}
        options = {'lag_ms': 0, 'hosts': [host]}
        self.platform = self.start('platform', options)
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
        self.catalog = catalogs.Catalog()
        self.addCleanup(self.catalog.close)
        self.watcher = watchers.HttpWatcher(lambda: bundle, self.catalog)
        self.addCleanup(self.watcher.close)

    def start(self, kind, options):
        server = daemons.build(kind, kind, '127.0.0.1:0', options)
        server.start()
        self.addCleanup(server.close)
        return server

    def test_load_of_engine_and_service(self):
        self.assertEqual(0, self.watcher.read_load('engine').slots_used)
        self.assertEqual(0, self.watcher.read_load('service').slots_used)

    def test_no_load_of_the_unknown_and_the_dead(self):
        self.assertIsNone(self.watcher.read_load('nobody'))
        self.service.close()
        self.assertIsNone(self.watcher.read_load('service'))

    def test_cache_events_after_a_prefill(self):
        engine = self.catalog.engine(self.engine.address)
        engine.prefill('r', 1, 'm', b'x' * 600, 0, 5_000)
        events = self.watcher.read_cache_events('engine', 0)
        self.assertTrue(all(event.stored for event in events))

    def test_cancel_is_acknowledged_only_by_an_engine_that_lives(self):
        request = messages.RequestId('host', 1, 2)
        self.assertTrue(self.watcher.cancel('engine', request))
        self.engine.close()
        self.assertFalse(self.watcher.cancel('engine', request))

    def test_leaving_endpoints(self):
        self.assertTrue(self.watcher.is_leaving('service'))
        self.assertFalse(self.watcher.is_leaving('engine'))
