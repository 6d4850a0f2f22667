"""What tests of running model requests share."""

import contextlib
import queue
import threading
import unittest

from masticquay_gateway import exchanges
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import quarantines
from masticquay_gateway import retries
from masticquay_gateway import streams
from masticquay_routing import fleets
from masticquay_routing import placement_messages
from masticquay_routing import tables
from masticquay_serving import counters
from tests import fakes

STREAM = tables.RouteKind.STREAM
EVENTS = [b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 6)]


class FakePlacer:
    """Returns the given placements in order and records its calls.

    :param placements: pairs of prefill and decode endpoint, refusals, or
        errors to raise
    """

    def __init__(self, placements, prefill_ms=0):
        self.placements = list(placements)
        self.prefill_ms = prefill_ms
        self.requests = []
        self.released = []
        self.failures = []
        self.refusals = []
        self.origins = []
        self.completed = []
        self.ends = queue.Queue()
        self.known_version = ''

    def place(self, request, interrupt):
        self.requests.append(request)
        placement = self.placements.pop(0)
        if isinstance(placement, Exception):
            raise placement
        if isinstance(placement, placement_messages.Refused):
            return placement
        prefill, decode = placement
        return placed_requests.RequestPlacement(
            prefill, decode, request, False, self.prefill_ms
        )

    def finish_prefill(self, placement):
        pass

    def find_version(self, job):
        return self.known_version

    def begin_decode(self, placement, first_call_id):
        self.origins.append((first_call_id, placement.decode.software_version))

    def release(self, placement, engine_ok, completed=False):
        self.released.append(engine_ok)
        self.completed.append(completed)

    def report_refusal(self, service, endpoint, pause_ms):
        self.refusals.append((endpoint.endpoint_id, pause_ms))

    def report_failure(
        self, service, endpoint, reached, stalled, reason, broken=None
    ):
        self.failures.append((endpoint.endpoint_id, reached))
        if broken is not None and not reached:
            self.ends.put((endpoint.endpoint_id, broken.written_ms))


class StreamerCase(unittest.TestCase):
    """Runs model requests at stand-in engines."""

    budget_slack = 10
    resume_job = False
    prompt_parts = ()
    prefill_ms = 0

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.handle_released = threading.Event()
        self.quarantine = quarantines.Quarantine()
        self.notices = None
        self.registry = counters.Registry()
        self.listed = []
        self.prefill = fakes.FakeEndpoint(
            self.stack, 0, self.serve_prefill, fleets.ROLE_PREFILL
        )

    def serve_prefill(self, request, reply):
        if request.method == 'DELETE':
            self.handle_released.set()
        fakes.send_matching_response(request, reply, body=b'h1')

    def make_decode_engine(self, number, answer):
        return fakes.FakeEndpoint(
            self.stack, number, answer, fleets.ROLE_DECODE
        )

    def send_stream(self, request, reply, start=0, end=5, complete=True):
        reply.begin(200, [('Call', request.header('call'))])
        for event in EVENTS[start:end]:
            reply.write(event)
        if complete:
            reply.finish()
        else:
            reply.write(b'id: 9')
            # The reset must not overtake the data that was sent.
            fakes.time.sleep(0.1)
            reply.abort()

    def run_job(self, placements, resumable=False, reply=None, **job_options):
        state = self.state = fakes.FakeState(self.listed)
        if self.notices is None:
            self.notices = fakes.make_notices(state)
        pools = exchanges.ConnectionPools()
        self.stack.callback(pools.close)
        self.placer = FakePlacer(placements, self.prefill_ms)
        limits = retries.RetryBudgetLimits(0.2, self.budget_slack, 10_000)
        streamer = streams.Streamer(
            'host',
            state,
            fakes.FakeProtocol(),
            paths.DirectPaths(pools),
            self.placer,
            retries.RetryBudgets(limits, state),
            self.quarantine,
            self.notices,
            self.registry,
        )
        self.job = fakes.make_job(
            fakes.make_route(STREAM, resumable=resumable), reply, **job_options
        )
        self.job.call.prompt_parts = self.prompt_parts
        if self.resume_job:
            self.placer.known_version = 'v1'
            self.job.call.last_event_id = '2'
            self.job.call.first_call_id = 'c0'
        return streamer.run(self.job)
