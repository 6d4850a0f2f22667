"""Tests of serving callers' requests."""

from concurrent import futures
import contextlib
import socket
import threading
import time
import types
import unittest
import zlib

from masticquay_gateway import calls
from masticquay_gateway import drains
from masticquay_gateway import exchanges
from masticquay_gateway import fleet_states
from masticquay_gateway import forwards
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import tables
from masticquay_serving import counters
from masticquay_serving import disconnects
from masticquay_serving import http_servers
from masticquay_serving import requests
from tests import fakes

GRACE_MS = 8_000
TIMEOUT_S = 5.0
REQUEST = b'GET /a/x HTTP/1.1\r\nHost: a.example\r\n\r\n'


class OneRouteReader:
    """Returns a table with one route for any document."""

    def read(self, document):
        limits = tables.CallerLimits(1, 2, 3, 4)
        services = [tables.Service('svc', '/', 10, None)]
        return tables.Table(1, [fakes.make_route()], services, None, limits)


class FixedCallProtocol:
    """Returns the same call for every request."""

    def __init__(self, deadline_ms):
        self.deadline_ms = deadline_ms

    def read(self, request):
        return ports.Call('c1', 'a.example', '/a/x', None, self.deadline_ms)

    def refusal_response(self, call, refusal):
        status = 503 if refusal.reason.promises_not_run else 502
        return ports.RefusalResponse(status, [], refusal.detail.encode())


def make_request():
    """Returns a request that has just arrived."""
    return requests.Request('GET', '/a/x', [], b'', time.monotonic())


class CallServiceTest(unittest.TestCase):
    def setUp(self):
        self.state = fleet_states.FleetState(OneRouteReader())
        self.registry = counters.Registry()

    def make_service(self, deadline_ms=None, run=None, watched=None):
        forwarder = types.SimpleNamespace(
            run=run or (lambda job: forwards.Response(200, [], b'ok'))
        )
        disconnect_watcher = types.SimpleNamespace(
            watched=watched or (lambda sock, hook: contextlib.nullcontext())
        )
        return calls.CallService(
            self.state,
            FixedCallProtocol(deadline_ms),
            forwarder,
            None,
            None,
            None,
            disconnect_watcher,
            self.registry,
            drains.Drain(GRACE_MS),
        )

    def serve(self, service):
        reply = fakes.FakeReply()
        reply.sock = None
        service.serve(make_request(), reply)
        return reply

    def set_fleet_state(self):
        self.state.apply_table(messages.TableUpdate(1, zlib.compress(b'1')))
        endpoint = fleets.Endpoint('e1', 'svc', '127.0.0.1:1', 'p')
        self.state.apply_endpoints(messages.EndpointUpdate(1, 1, [endpoint]))

    def test_request_right_after_the_start_waits_for_the_fleet_state(self):
        """Guards against refusing callers that reconnect after a restart."""
        service = self.make_service()
        timer = threading.Timer(0.05, self.set_fleet_state)
        timer.start()
        self.addCleanup(timer.join)
        self.assertEqual(200, self.serve(service).status)

    def test_wait_is_bounded_by_the_callers_deadline(self):
        service = self.make_service(deadline_ms=40)
        self.assertEqual(503, self.serve(service).status)

    def test_host_refuses_at_once_after_the_startup_period(self):
        service = self.make_service()
        service._started_s -= calls.STARTUP_PERIOD_MS / 1000
        started_s = time.monotonic()
        self.assertEqual(503, self.serve(service).status)
        waited_ms = (time.monotonic() - started_s) * 1000
        self.assertLess(waited_ms, calls.STARTUP_WAIT_MS)

    def test_refusal_is_counted_before_it_is_sent(self):
        """The refusal must be counted even if sending it fails."""
        service = self.make_service(deadline_ms=1)
        reply = fakes.FakeReply()
        reply.sock = None
        rendered = []
        reply.send = lambda *_args: rendered.append(self.registry.render())
        service.serve(make_request(), reply)
        self.assertIn('masticquay_refused', rendered[0])

    # Incident REFUSED: a promise must rest on proof for each attempt, whatever
    # the code that refuses says.
    def test_refusal_that_contradicts_an_attempt_promises_nothing(self):
        def run(job):
            with (
                contextlib.suppress(exchanges.EndpointError),
                job.attempts.sending('e1'),
            ):
                raise exchanges.EndpointError('reset')
            return ports.Refusal(ports.Reason.NOT_RUN, 'full')

        self.set_fleet_state()
        with self.assertLogs('masticquay_gateway.calls', 'ERROR') as logs:
            reply = self.serve(self.make_service(run=run))
        self.assertEqual(502, reply.status)
        self.assertEqual(['e1: may have run'], logs.records[0].attempts)
        self.assertIn(
            'masticquay_promises_contradicted{service="svc"} 1',
            self.registry.render(),
        )

    def test_request_is_served_if_the_fleet_state_is_known(self):
        self.set_fleet_state()
        self.assertEqual(200, self.serve(self.make_service()).status)

    # Guards against the answer to a caller's next request on the connection,
    # which the caller would take for the answer to the interrupted one.
    def test_interrupted_request_ends_its_connection(self):
        def raise_interrupted(job):
            raise exchanges.InterruptedCallError('caller disconnected')

        self.set_fleet_state()
        reply = self.serve(self.make_service(run=raise_interrupted))
        self.assertTrue(reply.aborted)

    def cut_while_it_waits(self, attempt, begin=False):
        """Cuts a request that waits for an endpoint; returns its reply.

        :param attempt: whether it was sent to an endpoint
        :param begin: whether its answer has begun
        """
        waiting = threading.Event()

        def run(job):
            with contextlib.ExitStack() as stack:
                if attempt:
                    stack.enter_context(job.attempts.sending('e1'))
                if begin:
                    job.reply.begin(200, [])
                waiting.set()
                job.interrupt.wait(futures.Future(), TIMEOUT_S * 1_000)

        self.set_fleet_state()
        service = self.make_service(run=run)
        replies = []
        thread = threading.Thread(
            target=lambda: replies.append(self.serve(service))
        )
        thread.start()
        self.assertTrue(waiting.wait(TIMEOUT_S))
        service.cut()
        thread.join(TIMEOUT_S)
        self.assertEqual(0, service.active_count)
        return replies[0]

    # Guards against LOST: at the end of the grace period a request that waited
    # for its endpoint ended without an answer.
    def test_request_that_is_cut_while_it_runs_gets_an_answer(self):
        self.assertEqual(502, self.cut_while_it_waits(attempt=True).status)

    # As above, for one that waited for a place.
    def test_request_that_is_cut_before_it_was_sent_is_refused(self):
        self.assertEqual(503, self.cut_while_it_waits(attempt=False).status)

    def test_stream_that_is_cut_is_broken_off(self):
        reply = self.cut_while_it_waits(attempt=True, begin=True)
        self.assertEqual((200, True), (reply.status, reply.aborted))
        self.assertIn(
            'masticquay_requests_cut{route="r"} 1', self.registry.render()
        )

    def start_server(self, run):
        """Starts an HTTP server that watches its callers."""
        self.set_fleet_state()
        watcher = disconnects.DisconnectWatcher()
        self.addCleanup(watcher.close)
        service = self.make_service(run=run, watched=watcher.watched)
        limits = requests.Limits(10_000, 10_000, 5_000, 5_000)
        server = http_servers.Server(
            ('127.0.0.1', 0), service.serve, lambda: limits
        )
        server.start()
        self.addCleanup(server.server_close)
        return server

    # As above, over a connection on which the next request waits already.
    def test_caller_gets_no_answer_to_the_request_after_an_interrupted_one(
        self,
    ):
        served = []

        def run(job):
            served.append(job)
            if len(served) == 1:
                job.interrupt.wait(futures.Future(), TIMEOUT_S * 1_000)
            return forwards.Response(200, [], b'second')

        server = self.start_server(run)
        caller = socket.create_connection(server.server_address, TIMEOUT_S)
        self.addCleanup(caller.close)
        caller.sendall(REQUEST * 2)
        caller.shutdown(socket.SHUT_WR)
        received = b''
        with contextlib.suppress(ConnectionResetError):
            received = caller.recv(10_000)
        self.assertEqual(b'', received)
        self.assertEqual(1, len(served))

    # Guards against a host that takes its own end of reading for its caller's
    # and resets a request that came in while it closed idle connections.
    def test_request_that_crosses_the_close_of_idle_connections_is_served(
        self,
    ):
        def run(job):
            server.close_idle()
            with contextlib.suppress(exchanges.StalledError):
                job.interrupt.wait(futures.Future(), 300)
            return forwards.Response(200, [], b'ok')

        server = self.start_server(run)
        caller = socket.create_connection(server.server_address, TIMEOUT_S)
        self.addCleanup(caller.close)
        caller.sendall(REQUEST[:8])
        time.sleep(0.05)
        server.close_idle()
        caller.sendall(REQUEST[8:])
        self.assertIn(b' 200 ', caller.recv(10_000))
