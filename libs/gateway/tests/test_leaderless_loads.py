"""Load pattern: all hosts of a large fleet lose the control leader at once.

Each host then places its requests without knowledge of the others. They must
not all choose the same engine.
"""

import collections
import unittest

from masticquay_gateway import fleet_states
from masticquay_gateway import local_placers
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import queued_requests
from masticquay_routing import tables
from tests import test_fleet_states

HOST_COUNT = 190
PREFILL_COUNT = 6
DECODE_COUNT = 33


class EngineTableReader:
    """Reads a document that holds only the version."""

    def read(self, document):
        engine = tables.Engine(32, 29_000, 500, 6_000)
        return tables.Table(
            int(document),
            [],
            [tables.Service('llm', '/', 100, engine)],
            None,
            tables.CallerLimits(1, 2, 3, 4),
        )


def make_engines():
    return [
        fleets.Endpoint(
            f'e{n}',
            'llm',
            f'127.0.0.1:{n}',
            f'p{n % 5}',
            32,
            False,
            fleets.ROLE_PREFILL if n < PREFILL_COUNT else fleets.ROLE_DECODE,
        )
        for n in range(PREFILL_COUNT + DECODE_COUNT)
    ]


def make_admit(host):
    return placement_messages.Admit(
        host=host,
        number=1,
        service='llm',
        workspace='',
        cost=0.0,
        prompt_tokens=3_000,
        output_tokens=700,
        priority=1,
        urgent_ms=900,
        wait_ms=540,
        late_wait_ms=2_000,
        prompt_key=host,
        avoid=[],
    )


class LeaderlessLoadTest(unittest.TestCase):
    def test_hosts_spread_their_requests_over_all_engines(self):
        state = fleet_states.FleetState(EngineTableReader())
        state.apply_table(test_fleet_states.make_update(1))
        state.apply_endpoints(messages.EndpointUpdate(1, 1, make_engines()))
        prefills = collections.Counter()
        decodes = collections.Counter()
        for number in range(HOST_COUNT):
            placer = local_placers.LocalPlacer(state)
            outcome = placer.admit(make_admit(f'h{number}'))
            self.assertIsInstance(outcome, queued_requests.Placement)
            prefills[outcome.prefill.endpoint_id] += 1
            decodes[outcome.decode.endpoint_id] += 1
        self.assertLess(max(prefills.values()), 2 * HOST_COUNT / PREFILL_COUNT)
        self.assertLess(max(decodes.values()), 4 * HOST_COUNT / DECODE_COUNT)
