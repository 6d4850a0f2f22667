"""Tests of the stand-ins for service, weight store and platform list."""

from http import client
import json
import pathlib
import tempfile
import time
import unittest

from masticquay_standins import daemons
from masticquay_standins import journals

WAIT_S = 10


class ServicesTest(unittest.TestCase):
    def start(self, kind, folder=None, **options):
        server = daemons.build(kind, 's', '127.0.0.1:0', options, folder)
        server.start()
        self.addCleanup(server.close)
        return server

    def call(self, server, method, path, body=None, headers=None):
        link = client.HTTPConnection(server.address, timeout=WAIT_S)
        self.addCleanup(link.close)
        link.request(method, path, body, headers or {})
        return link.getresponse()

    def test_each_run_is_kept_in_the_journal_file(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            server = self.start('service', folder)
            for _ in range(2):
                self.call(
                    server, 'POST', '/pay', 'body', {'Idempotency-Key': 'k'}
                ).read()
            runs = [
                event['idempotency_key']
                for event in journals.read_folder(folder)
                if event['event'] == journals.EVENT_RUN
            ]
            server.application.journal.close()
        self.assertEqual(['k', 'k'], runs)

    def test_refusals_are_counted_down(self):
        server = self.start('service')
        self.call(server, 'POST', '/standin/faults', '{"refuse": 1}').read()
        self.assertEqual(503, self.call(server, 'GET', '/x').status)
        self.assertEqual(200, self.call(server, 'GET', '/x').status)

    def test_weights_are_sent_within_the_rate(self):
        server = self.start(
            'weights', rate_bytes_per_s=1_000_000, weights_bytes=200_000
        )
        start_s = time.monotonic()
        data = self.call(server, 'GET', '/v1/weights/m/1').read()
        self.assertEqual(200_000, len(data))
        self.assertGreaterEqual(time.monotonic() - start_s, 0.19)

    def test_the_platform_list_lags(self):
        server = self.start('platform', lag_ms=300)
        hosts = [{'name': 'e', 'address': '127.0.0.1:1', 'state': 'leaving'}]
        body = json.dumps({'hosts': hosts})
        self.call(server, 'POST', '/standin/hosts', body).read()
        path = '/v1/hosts'
        first = json.loads(self.call(server, 'GET', path).read())
        self.assertEqual([], first['hosts'])
        end_s = time.monotonic() + WAIT_S
        while time.monotonic() < end_s:
            shown = json.loads(self.call(server, 'GET', path).read())
            if shown['hosts']:
                break
            time.sleep(0.05)
        self.assertEqual(hosts, shown['hosts'])
