"""Tests of the acceptance of callers' requests."""

import contextlib
import threading
import time
import types
import unittest
import zlib

from masticquay_gateway import calls
from masticquay_gateway import fleet_states
from masticquay_gateway import forwards
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import tables
from masticquay_serving import counters
from masticquay_serving import requests
from tests import fakes


class OneRouteReader:
    """Reads any document as a table of one route."""

    def read(self, document):
        limits = tables.CallerLimits(1, 2, 3, 4)
        services = [tables.Service('svc', '/', 10, None)]
        return tables.Table(1, [fakes.make_route()], services, None, limits)


class OpenProtocol:
    """Reads every request as one for the route."""

    def __init__(self, deadline_ms):
        self.deadline_ms = deadline_ms

    def read(self, request):
        return ports.Call('c1', 'a.example', '/a/x', None, self.deadline_ms)

    def refuse(self, call, refusal):
        return ports.RefusalAnswer(503, [], refusal.detail.encode())


def make_request():
    """Returns a request that has just arrived."""
    return requests.Request('GET', '/a/x', [], b'', time.monotonic())


class CallServiceTest(unittest.TestCase):
    def setUp(self):
        self.state = fleet_states.FleetState(OneRouteReader())
        self.registry = counters.Registry()

    def make_service(self, deadline_ms=None):
        forwarder = types.SimpleNamespace(
            run=lambda job: forwards.Answer(200, [], b'ok')
        )
        leavers = types.SimpleNamespace(
            watched=lambda sock, hook: contextlib.nullcontext()
        )
        return calls.CallService(
            self.state,
            OpenProtocol(deadline_ms),
            forwarder,
            None,
            None,
            None,
            leavers,
            self.registry,
        )

    def ask(self, service):
        reply = fakes.FakeReply()
        reply.sock = None
        service.serve(make_request(), reply)
        return reply

    def learn_fleet(self):
        self.state.take_table(messages.TableUpdate(1, zlib.compress(b'1')))
        endpoint = fleets.Endpoint('e1', 'svc', '127.0.0.1:1', 'p')
        self.state.take_endpoints(messages.EndpointUpdate(1, 1, [endpoint]))

    def test_request_right_after_the_start_waits_for_the_fleet(self):
        """Clients that come back together after a total loss."""
        service = self.make_service()
        timer = threading.Timer(0.05, self.learn_fleet)
        timer.start()
        self.addCleanup(timer.join)
        self.assertEqual(200, self.ask(service).status)

    def test_it_waits_for_a_part_of_the_callers_time_at_most(self):
        service = self.make_service(deadline_ms=40)
        self.assertEqual(503, self.ask(service).status)

    def test_older_host_refuses_at_once(self):
        service = self.make_service()
        service._started_s -= calls.STARTING_MS / 1000
        started_s = time.monotonic()
        self.assertEqual(503, self.ask(service).status)
        waited_ms = (time.monotonic() - started_s) * 1000
        self.assertLess(waited_ms, calls.STARTING_WAIT_MS)

    def test_refusal_is_counted_before_it_is_sent(self):
        """Also when the caller has left and takes nothing."""
        service = self.make_service(deadline_ms=1)
        reply = fakes.FakeReply()
        reply.sock = None
        counted = []
        reply.send = lambda *_answer: counted.append(self.registry.render())
        service.serve(make_request(), reply)
        self.assertIn('masticquay_refused', counted[0])

    def test_known_fleet_needs_no_wait(self):
        self.learn_fleet()
        self.assertEqual(200, self.ask(self.make_service()).status)
