"""Load pattern: streams break while engines are released in waves.

Engines of three software versions serve side by side, and all streams break
at once. Each may go on only at the version that began it.
"""

import random
import unittest

from masticquay_routing import fleets
from masticquay_routing import pools
from masticquay_routing import queued_requests
from tests import builders

VERSIONS = ('v1', 'v1.1', 'v1.2')
STREAMS_PER_VERSION = 6
SEED_COUNT = 50


def make_engines(versions, leaving=()):
    """Returns a prefill engine and two decode engines of each version."""
    engines = [builders.make_engine(0, fleets.ROLE_PREFILL)]
    for number, version in enumerate(2 * versions):
        engine = builders.make_engine(number + 1, fleets.ROLE_DECODE)
        engine.software_version = version
        engine.leaving = version in leaving
        engines.append(engine)
    return engines


class ReleaseLoadTest(unittest.TestCase):
    def make_pool(self, engines):
        pool = pools.Pool()
        pool.set_engines(engines, builders.MEMORY_TOKENS, builders.SLOTS)
        return pool

    def admit_broken_streams(self, pool, randomness):
        """Admits the broken streams and as many new ones, in any order."""
        versions = list(VERSIONS * STREAMS_PER_VERSION)
        versions += [''] * len(versions)
        randomness.shuffle(versions)
        for number, version in enumerate(versions):
            request = builders.make_request(
                number, prompt=300, output=300, software_version=version
            )
            pool.admit(request)

    # Guards against ORDER, where a stream that broke went on at an engine of
    # another software version.
    def test_broken_streams_in_a_release_go_on_at_their_version(self):
        for seed in range(SEED_COUNT):
            pool = self.make_pool(make_engines(VERSIONS))
            self.admit_broken_streams(pool, random.Random(seed))
            outcomes = pool.place_waiting(0)
            placed = [
                (request, outcome)
                for request, outcome in outcomes
                if isinstance(outcome, queued_requests.Placement)
                and request.software_version
            ]
            self.assertEqual(STREAMS_PER_VERSION * len(VERSIONS), len(placed))
            for request, placement in placed:
                self.assertEqual(
                    request.software_version,
                    placement.decode.software_version,
                )

    # Guards against LOST: new streams must not fill the few engines at which
    # broken ones may go on.
    def test_streams_that_go_on_are_placed_before_new_ones(self):
        pool = self.make_pool(make_engines(VERSIONS))
        for number in range(200):
            pool.admit(builders.make_request(number))
        pool.admit(builders.make_request(900, software_version='v1'))
        placed = [
            request.key[1] for request, _outcome in pool.place_waiting(0)
        ]
        self.assertIn(900, placed)

    def test_stream_whose_version_is_gone_is_refused_at_once(self):
        pool = self.make_pool(make_engines(VERSIONS, leaving=('v1',)))
        for number, version in enumerate(('v1', 'v0')):
            request = builders.make_request(number, software_version=version)
            pool.admit(request)
        outcomes = [outcome for _request, outcome in pool.place_waiting(0)]
        self.assertEqual(
            [
                'no engine of software version v1',
                'no engine of software version v0',
            ],
            [outcome.reason for outcome in outcomes],
        )

    def test_stream_waits_for_an_engine_of_its_version(self):
        """Its engines are full or failing, and others are not."""
        pool = self.make_pool(make_engines(VERSIONS))
        for engine in pool.engines.values():
            if engine.endpoint.software_version == 'v1':
                engine.paused_until_ms = 100
        pool.admit(builders.make_request(1, software_version='v1'))
        self.assertEqual([], pool.place_waiting(0))
        ((_request, placement),) = pool.place_waiting(100)
        self.assertEqual('v1', placement.decode.software_version)

    def test_request_behind_a_stream_that_waits_is_placed(self):
        pool = self.make_pool(make_engines(VERSIONS))
        for engine in pool.engines.values():
            if engine.endpoint.software_version == 'v1':
                engine.paused_until_ms = 100
        pool.admit(builders.make_request(1, software_version='v1'))
        pool.admit(builders.make_request(2))
        ((request, _placement),) = pool.place_waiting(0)
        self.assertEqual(2, request.key[1])
