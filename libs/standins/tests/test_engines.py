"""Tests of the engine stand-in over HTTP."""

from http import client
import json
import time
import unittest

from masticquay_standins import answers
from masticquay_standins import daemons
from masticquay_standins import journals

WAIT_S = 10


class EngineTest(unittest.TestCase):
    def start(self, **options):
        options = {'step_ms': 2, 'prefill_token_us': 1, **options}
        server = daemons.build('engine', 'e', '127.0.0.1:0', options)
        server.start()
        self.addCleanup(server.close)
        self.addCleanup(server.application.close)
        return server

    def post(self, server, path, body):
        link = client.HTTPConnection(server.address, timeout=WAIT_S)
        self.addCleanup(link.close)
        link.request('POST', path, json.dumps(body))
        return link.getresponse()

    def call(self, server, path, body):
        response = self.post(server, path, body)
        return response.status, json.loads(response.read())

    def decode(self, server, **changes):
        body = {
            'request_id': 'r',
            'attempt': 1,
            'model': 'style-guide',
            'prompt': 'chapter [[tokens=12]]',
            'source': '',
            'handle': '',
            'max_tokens': 100,
            'first_index': 0,
            'output_so_far': '',
            'priority': 0,
            **changes,
        }
        return self.post(server, '/v1/decode', body)

    def events(self, response):
        lines = response.read().decode().split('\n\n')
        return [json.loads(line[6:]) for line in lines if line]

    def until(self, condition):
        end_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), end_s, 'condition not met')
            time.sleep(0.01)

    def load(self, server):
        link = client.HTTPConnection(server.address, timeout=WAIT_S)
        self.addCleanup(link.close)
        link.request('GET', '/v1/load')
        return json.loads(link.getresponse().read())

    def prefill(self, server, **changes):
        body = {
            'request_id': 'r',
            'attempt': 1,
            'model': 'style-guide',
            'prompt': 'chapter [[tokens=12]]',
            'priority': 0,
            **changes,
        }
        return self.call(server, '/v1/prefill', body)

    def test_prefill_is_imported_and_the_answer_is_whole(self):
        source, target = self.start(), self.start()
        status, done = self.prefill(source)
        self.assertEqual(200, status)
        stream = self.decode(
            target, source=source.address, handle=done['handle']
        )
        events = self.events(stream)
        expected = answers.make_answer('chapter [[tokens=12]]', 100)
        self.assertEqual(
            expected.text(), ''.join(e.get('text', '') for e in events)
        )
        self.assertEqual({'index': 12, 'finish_reason': 'stop'}, events[-1])
        self.assertEqual(0, self.load(source)['pieces_used'])

    def test_prefill_result_is_evicted(self):
        server = self.start(kept_ms=20)
        _, done = self.prefill(server)
        journal = server.application.journal
        self.until(
            lambda: (
                journals.EVENT_RELEASED
                in [e['event'] for e in journal.events()]
            )
        )
        stream = self.decode(
            server, source=server.address, handle=done['handle']
        )
        self.assertEqual(409, stream.status)

    def test_slots_are_limited_and_freed_by_cancel(self):
        server = self.start(slots=1, load_lag_ms=0)
        prompt = '[[tokens=100000]]'
        first = self.decode(server, prompt=prompt, max_tokens=20_000)
        self.assertEqual(200, first.status)
        self.assertEqual(429, self.decode(server, request_id='s').status)
        status, answer = self.call(server, '/v1/cancel', {'request_id': 'r'})
        self.assertEqual((200, {'cancelled': 1}), (status, answer))
        self.until(lambda: self.load(server)['pieces_used'] == 0)
        self.assertEqual(409, self.decode(server).status)
        self.assertEqual(200, self.decode(server, attempt=2).status)

    def test_a_cut_answer_is_resumed_without_gap(self):
        server = self.start()
        self.call(server, '/standin/faults', {'cut': 1})
        with self.assertRaises(client.IncompleteRead):
            self.decode(server).read()
        body = {'request_id': 'r', 'attempt': 1, 'first_index': 3}
        events = self.events(self.post(server, '/v1/resume', body))
        self.assertEqual(list(range(3, 13)), [e['index'] for e in events])

    def test_a_continuation_starts_at_its_index(self):
        server = self.start()
        expected = answers.make_answer('chapter [[tokens=12]]', 100)
        events = self.events(
            self.decode(server, first_index=5, output_so_far=expected.text(5))
        )
        self.assertEqual(expected.token(5), events[0]['text'])

    def test_cache_events_come_late_and_prefixes_are_cached(self):
        server = self.start(event_lag_ms=50, event_lost_share=0.0)
        prompt = 'x' * 600
        self.prefill(server, prompt=prompt)
        _, again = self.prefill(server, prompt=prompt, attempt=2)
        self.assertEqual(128, again['cached_tokens'])
        cache = server.application._cache
        self.until(lambda: len(cache.events(0)[1]) == 2)

    def test_stale_fencing_is_refused_only_where_checked(self):
        for checks, expected in ((True, 409), (False, 202)):
            server = self.start(checks_fencing=checks)
            order = {
                'order_id': 'a',
                'fencing_number': 5,
                'kind': 'change-role',
                'roles': ['decode'],
            }
            self.assertEqual(202, self.call(server, '/v1/orders', order)[0])
            order.update(order_id='b', fencing_number=4)
            answer = self.call(server, '/v1/orders', order)
            self.assertEqual(expected, answer[0])

    def test_headers_are_recorded(self):
        server = self.start()
        link = client.HTTPConnection(server.address, timeout=WAIT_S)
        self.addCleanup(link.close)
        link.request('POST', '/v1/cancel', '{}', {'X-Test': 'seen'})
        link.getresponse().read()
        link.request('GET', '/standin/record')
        events = json.loads(link.getresponse().read())['events']
        seen = [e for e in events if e['event'] == journals.EVENT_REQUEST]
        self.assertIn(['X-Test', 'seen'], seen[0]['headers'])
