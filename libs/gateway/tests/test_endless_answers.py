"""Tests of endpoints whose answers go on beyond a request's time."""

from concurrent import futures
import contextlib
import random
import threading
import time
import tracemalloc
import unittest
import unittest.mock

from masticquay_gateway import exchanges
from masticquay_gateway import forwards
from masticquay_gateway import paths
from masticquay_gateway import ports
from masticquay_gateway import retries
from masticquay_routing import choosers
from masticquay_routing import fleets
from masticquay_routing import tables
from masticquay_serving import byte_budgets
from masticquay_serving import counters
from tests import endless_endpoints
from tests import fakes

ROUTE_MS = 500
# How long after the time of its route a caller may wait for the answer.
MAX_LATE_MS = 500
MANY_ROUTE_MS = 1_000


class ForwardingTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.registry = counters.Registry()

    def make_forwarder(self, *endpoints):
        state = fakes.FakeState(list(endpoints))
        notices = fakes.make_notices(state)
        pools = exchanges.ConnectionPools()
        self.stack.callback(pools.close)
        limits = retries.RetryBudgetLimits(0.2, 10, 10_000)
        self.chooser = choosers.Chooser('p1', random.Random(1))
        return forwards.Forwarder(
            state,
            fakes.FakeProtocol(),
            paths.DirectPaths(pools),
            self.chooser,
            retries.RetryBudgets(limits, state),
            notices,
            fakes.make_limits(state),
            fakes.make_watch(),
            fakes.make_slots(),
            self.registry,
        )

    def open_endpoint(self, script):
        endpoint = endless_endpoints.RawEndpoint(0, script)
        self.stack.callback(endpoint.close)
        return endpoint

    def run_job(self, forwarder, timeout_ms=ROUTE_MS, call_id='c1'):
        route = fakes.make_route(tables.RouteKind.ONCE, timeout_ms=timeout_ms)
        return forwarder.run(fakes.make_job(route, call_id=call_id))


class EndlessAnswersTest(ForwardingTest):
    def assert_timed_out_in_time(self, script):
        """Asserts the outcome, and that it tells from a silent endpoint."""
        raw = self.open_endpoint(script)
        forwarder = self.make_forwarder(raw.endpoint)
        started_s = time.monotonic()
        outcome = self.run_job(forwarder)
        duration_ms = (time.monotonic() - started_s) * 1000
        self.assertLess(duration_ms, ROUTE_MS + MAX_LATE_MS)
        self.assertIsInstance(outcome, ports.Refusal)
        self.assertIs(ports.Reason.TIMED_OUT, outcome.reason)
        self.assertIn('unfinished', outcome.detail)
        self.assert_counted('unfinished')

    def assert_counted(self, cause):
        self.assertRegex(
            self.registry.render(),
            f'attempts_timed_out[^\n]*cause="{cause}"[^\n]* 1\n',
        )

    def assert_refused_in_time(self, script):
        """Asserts the outcome where a limit other than time may be met."""
        raw = self.open_endpoint(script)
        forwarder = self.make_forwarder(raw.endpoint)
        started_s = time.monotonic()
        outcome = self.run_job(forwarder)
        duration_ms = (time.monotonic() - started_s) * 1000
        self.assertLess(duration_ms, ROUTE_MS + MAX_LATE_MS)
        self.assertIsInstance(outcome, ports.Refusal)
        self.assertIsNot(ports.Reason.NOT_RUN, outcome.reason)

    # Each of these went on for as long as the endpoint sent.

    def test_slow_body_without_length_ends_with_the_time_of_its_route(self):
        self.assert_timed_out_in_time(endless_endpoints.SLOW_BODY)

    def test_slow_head_ends_with_the_time_of_its_route(self):
        self.assert_timed_out_in_time(endless_endpoints.SLOW_HEAD)

    def test_slow_header_line_ends_with_the_time_of_its_route(self):
        self.assert_timed_out_in_time(endless_endpoints.SLOW_LINE)

    def test_slow_interim_answers_end_with_the_time_of_its_route(self):
        self.assert_refused_in_time(endless_endpoints.SLOW_INTERIM)

    def test_flood_of_interim_answers_ends_in_time(self):
        self.assert_refused_in_time(endless_endpoints.MANY_INTERIM)

    def test_slow_chunk_size_ends_with_the_time_of_its_route(self):
        self.assert_timed_out_in_time(endless_endpoints.SLOW_CHUNK_SIZE)

    def test_slow_trailers_end_with_the_time_of_its_route(self):
        self.assert_timed_out_in_time(endless_endpoints.SLOW_TRAILERS)

    def test_flood_of_trailers_ends_in_time(self):
        self.assert_refused_in_time(endless_endpoints.ENDLESS_TRAILERS)

    def test_body_without_end_ends_in_time(self):
        self.assert_refused_in_time(endless_endpoints.ENDLESS_BODY)

    def test_silent_endpoint_is_counted_as_silent(self):
        raw = self.open_endpoint(lambda sock: time.sleep(1))
        outcome = self.run_job(self.make_forwarder(raw.endpoint))
        self.assertIs(ports.Reason.TIMED_OUT, outcome.reason)
        self.assert_counted('silent')

    def test_wait_for_memory_is_no_failure_of_the_endpoint(self):
        """Guards against endpoints that are blamed for others' answers."""
        budget = byte_budgets.ByteBudget(byte_budgets.STEP_BYTES)
        other_body = byte_budgets.Share(budget)
        other_body.require(byte_budgets.FREE_BYTES + 1, 0)
        body = b'y' * 4 * byte_budgets.FREE_BYTES
        head = endless_endpoints.HEAD + b'Content-Length: %d\r\n\r\n' % len(
            body
        )
        raw = self.open_endpoint(lambda sock: sock.sendall(head + body))
        forwarder = self.make_forwarder(raw.endpoint)
        with unittest.mock.patch.object(byte_budgets, 'BUDGET', budget):
            outcome = self.run_job(forwarder)
        self.assertIs(ports.Reason.TIMED_OUT, outcome.reason)
        self.assert_counted('memory')
        statistics = self.chooser.statistics(raw.endpoint.endpoint_id)
        self.assertIsNone(statistics.collect(raw.endpoint.endpoint_id))

    def test_answer_of_16_mib_is_returned(self):
        body = b'y' * forwards.MAX_RESPONSE_BYTES
        head = endless_endpoints.HEAD + b'Content-Length: %d\r\n\r\n' % len(
            body
        )
        raw = self.open_endpoint(lambda sock: sock.sendall(head + body))
        outcome = self.run_job(self.make_forwarder(raw.endpoint), 20_000)
        self.assertEqual(body, outcome.body)


class ManyEndlessAnswersTest(ForwardingTest):
    """The endpoints run in a process of their own."""

    ANSWER_COUNT = 200
    # Of all exchanges together, as the users ask.
    MAX_HELD_BYTES = 32 * 1024 * 1024

    def setUp(self):
        super().setUp()
        self.forwarders = [
            self.make_forwarder(
                fleets.Endpoint('e', 'svc', address, 'p1', 8, False)
            )
            for address in endless_endpoints.start_endless(self.addCleanup)
        ]
        good = fakes.FakeEndpoint(self.stack, 9, fakes.send_matching_response)
        self.good_forwarder = self.make_forwarder(good.endpoint)
        self.served = 0
        self.serve_other_request()

    def serve_other_request(self):
        # Each has its own id: a connection carries none twice.
        call_id = f'other{self.served}'
        outcome = self.run_job(self.good_forwarder, 5_000, call_id)
        self.assertEqual(200, outcome.status)
        self.served += 1

    def run_timed(self, forwarder):
        started_s = time.monotonic()
        outcome = self.run_job(forwarder, MANY_ROUTE_MS)
        return outcome, (time.monotonic() - started_s) * 1000

    def run_many(self):
        """Runs requests to all endless endpoints, and others beside them.

        :returns: the durations
        """
        with futures.ThreadPoolExecutor(self.ANSWER_COUNT) as executor:
            pending = [
                executor.submit(
                    self.run_timed,
                    self.forwarders[number % len(self.forwarders)],
                )
                for number in range(self.ANSWER_COUNT)
            ]
            while not all(p.done() for p in pending):
                self.serve_other_request()
                time.sleep(0.05)
        durations_ms = []
        for result in pending:
            outcome, duration_ms = result.result()
            self.assertIsInstance(outcome, ports.Refusal)
            durations_ms.append(duration_ms)
        return durations_ms

    # 200 such answers held 312 MB, and a thread each as long as they went on.
    def test_200_endless_answers_end_in_time_beside_other_requests(self):
        threads_before = threading.active_count()
        durations_ms = self.run_many()
        self.assertLess(max(durations_ms), MANY_ROUTE_MS + MAX_LATE_MS)
        self.assertGreater(self.served, 3)
        self.assertLessEqual(threading.active_count(), threads_before)

    def test_200_endless_answers_hold_bounded_memory(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before_bytes, _ = tracemalloc.get_traced_memory()
        self.run_many()
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes - before_bytes, self.MAX_HELD_BYTES)
