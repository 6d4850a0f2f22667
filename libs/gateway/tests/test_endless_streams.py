"""Tests of engines whose answers go on without what was asked for."""

from concurrent import futures
import contextlib
import time
import tracemalloc
import unittest
import unittest.mock

from masticquay_gateway import decodes
from masticquay_gateway import exchanges
from masticquay_gateway import failures
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import prefills
from masticquay_gateway import relays
from masticquay_gateway import retries
from masticquay_routing import engine_states
from masticquay_routing import fleets
from masticquay_routing import tables
from masticquay_serving import counters
from tests import endless_endpoints
from tests import fakes
from tests import streamer_cases

# A stream without an event for this time is broken, in these tests.
GAP_MS = 400
MAX_LATE_MS = 500
ROUTE_MS = 10_000
EVENT = b'id: %d\ndata: x\n\n'


def make_chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


def make_stream_script(start, piece, pause_ms):
    """Returns a script of a chunked stream, endless for a test's purpose."""
    return endless_endpoints.make_script(
        endless_endpoints.CHUNKED_HEAD + (make_chunk(start) if start else b''),
        make_chunk(piece),
        pause_ms,
        endless_endpoints.SENDING_MS,
    )


class EngineTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.state = fakes.FakeState([])
        self.notices = fakes.make_notices(self.state)
        self.pools = exchanges.ConnectionPools()
        self.stack.callback(self.pools.close)
        self.placer = streamer_cases.FakePlacer([])
        self.registry = counters.Registry()

    def open_engine(self, script, role):
        engine = endless_endpoints.RawEndpoint(0, script, role)
        self.stack.callback(engine.close)
        return engine.endpoint

    def make_job(self, timeout_ms=ROUTE_MS):
        route = fakes.make_route(tables.RouteKind.STREAM)
        route.timeout_ms = timeout_ms
        job = fakes.make_job(route)
        job.call.deadline_ms = None
        return job

    @contextlib.contextmanager
    def assert_ends_within(self, limit_ms):
        started_s = time.monotonic()
        yield
        duration_ms = (time.monotonic() - started_s) * 1000
        self.assertLess(duration_ms, limit_ms)


class EndlessStreamsTest(EngineTest):
    def run_decode(self, script, job=None):
        """Runs a request on a decode engine and returns its reply."""
        endpoint = self.open_engine(script, fleets.ROLE_DECODE)
        decoder = decodes.Decoder(
            fakes.FakeProtocol(),
            paths.DirectPaths(self.pools),
            self.placer,
            self.notices,
            self.registry,
        )
        self.job = job or self.make_job()
        placement = placed_requests.RequestPlacement(
            None, endpoint, None, False
        )
        with unittest.mock.patch.object(decodes, 'MAX_STREAM_GAP_MS', GAP_MS):
            decoder.run(self.job, placement, relays.RelayedStream())

    def assert_times_out(self, script):
        with (
            self.assert_ends_within(GAP_MS + MAX_LATE_MS),
            self.assertRaises(exchanges.ExchangeTimeoutError),
        ):
            self.run_decode(script)

    # Each of these streams went on for as long as the engine sent.

    def test_stream_without_a_complete_first_event_times_out(self):
        self.assert_times_out(make_stream_script(b'', b'x', 50))

    def test_stream_stuck_within_a_later_event_times_out(self):
        self.assert_times_out(make_stream_script(EVENT % 1, b'x', 50))
        self.assertEqual(EVENT % 1, self.job.reply.body)

    def test_stream_that_repeats_an_event_times_out(self):
        self.assert_times_out(make_stream_script(EVENT % 1, EVENT % 1, 50))
        self.assertEqual(EVENT % 1, self.job.reply.body)

    # Seen: such a stream lasted as long as its route, though another engine
    # could have gone on with it.
    def test_stream_of_comments_or_empty_lines_times_out(self):
        for piece in (b': c\n\n', b':\n\n', b'\n\n', b'\n'):
            with self.subTest(piece):
                self.assert_times_out(make_stream_script(EVENT % 1, piece, 50))
                self.assertTrue(self.job.reply.body.startswith(EVENT % 1))

    def test_event_that_grows_byte_by_byte_times_out(self):
        self.assert_times_out(make_stream_script(b'data: ', b'x', 100))

    def test_stream_that_goes_on_ends_with_the_time_of_its_route(self):
        script = make_stream_script(b'', b'data: x\n\n', 0)
        with (
            self.assert_ends_within(GAP_MS + MAX_LATE_MS),
            self.assertRaises(exchanges.ExchangeTimeoutError),
        ):
            self.run_decode(script, self.make_job(GAP_MS))

    def test_slow_stream_of_complete_events_is_relayed(self):
        """Its events come within the pause allowed, but take longer."""

        def send(sock):
            sock.sendall(endless_endpoints.CHUNKED_HEAD)
            for number in range(1, 6):
                time.sleep(GAP_MS / 2_000)
                sock.sendall(make_chunk(EVENT % number))
            sock.sendall(b'0\r\n\r\n')

        self.run_decode(send)
        self.assertTrue(self.job.reply.finished)
        self.assertEqual(5, self.job.reply.body.count(b'\n\n'))

    def test_silent_stream_is_not_reported_as_unfinished(self):
        script = endless_endpoints.make_script(
            endless_endpoints.CHUNKED_HEAD + make_chunk(EVENT % 1),
            b'',
            50,
            endless_endpoints.SENDING_MS,
        )
        with self.assertRaises(exchanges.StalledError) as caught:
            self.run_decode(script)
        self.assertNotIsInstance(
            caught.exception, exchanges.ExchangeTimeoutError
        )

    # It raised an error that no caller expects.
    def test_stream_with_an_endless_event_raises_an_endpoint_error(self):
        with self.assertRaises(exchanges.EndpointError):
            self.run_decode(
                make_stream_script(b'', endless_endpoints.BLOCK, 0)
            )


class ManyEndlessStreamsTest(EngineTest):
    STREAM_COUNT = 200
    # Of all exchanges together, as the users ask.
    MAX_HELD_BYTES = 32 * 1024 * 1024

    def run_decode(self, endpoint):
        decoder = decodes.Decoder(
            fakes.FakeProtocol(),
            paths.DirectPaths(self.pools),
            self.placer,
            self.notices,
            self.registry,
        )
        placement = placed_requests.RequestPlacement(
            None, endpoint, None, False
        )
        job = self.make_job()
        with self.assertRaises(exchanges.EndpointError):
            decoder.run(job, placement, relays.RelayedStream())

    # Each held up to the limit of an event.
    def test_200_streams_with_endless_events_hold_bounded_memory(self):
        address = endless_endpoints.start_endless(self.addCleanup)[-1]
        endpoint = fleets.Endpoint(
            'e0', 'svc', address, 'p1', 8, False, fleets.ROLE_DECODE
        )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before_bytes, _ = tracemalloc.get_traced_memory()
        with futures.ThreadPoolExecutor(self.STREAM_COUNT) as executor:
            list(executor.map(self.run_decode, [endpoint] * self.STREAM_COUNT))
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes - before_bytes, self.MAX_HELD_BYTES)


class EndlessPrefillsTest(EngineTest):
    def make_prefiller(self):
        limits = retries.RetryBudgetLimits(0.2, 10, 10_000)
        return prefills.Prefiller(
            fakes.FakeProtocol(),
            paths.DirectPaths(self.pools),
            self.placer,
            retries.RetryBudgets(limits, self.state),
            failures.FailureReporter(
                self.placer, paths.DirectPaths(self.pools), self.registry
            ),
            self.notices,
            self.registry,
        )

    # The wait for the handle went on for as long as the engine sent.
    def test_prefill_with_an_endless_answer_fails_in_time(self):
        endpoint = self.open_engine(
            endless_endpoints.SLOW_BODY, fleets.ROLE_PREFILL
        )
        placement = placed_requests.RequestPlacement(
            endpoint, endpoint, None, False
        )
        placement.prefill_ms = 100
        job = self.make_job()
        limit_ms = (
            engine_states.MIN_EXPECTED_PREFILL_MS
            * engine_states.PREFILL_TIMEOUT_FACTOR
        )
        with self.assert_ends_within(limit_ms + MAX_LATE_MS):
            handle = self.make_prefiller().prefill(job, placement, endpoint)
        self.assertIsNone(handle)
        self.assertIn('e0', job.tried_ids)

    # The thread of a release lived for as long as the engine sent.
    def test_release_with_an_endless_answer_ends_in_time(self):
        endpoint = self.open_engine(
            endless_endpoints.SLOW_BODY, fleets.ROLE_PREFILL
        )
        prefiller = self.make_prefiller()
        handle = relays.PrefillHandle(endpoint, 'h1', 1.0)
        with self.assert_ends_within(
            prefills.RELEASE_TIMEOUT_MS + MAX_LATE_MS
        ):
            prefiller._delete_handle(handle)
