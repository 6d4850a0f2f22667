"""Tests of answers that come before all of a request was sent."""

import contextlib
import socket
import struct
import threading
import time
import unittest

from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_routing import tables
from tests import fakes
from tests import raw_endpoints

ONCE = tables.RouteKind.ONCE
MARK = ('Not-Run', '1')
LARGE_BODY_BYTES = 16 * 1024 * 1024


class EarlyAnswerTest(unittest.TestCase):
    """An endpoint answers before it has read the body, then resets."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def run_call(self, answer):
        """Runs a request with a large body; returns the outcome."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.stack.callback(listener.close)
        thread = threading.Thread(target=self.refuse, args=(listener, answer))
        thread.start()
        self.stack.callback(thread.join)
        host, port = listener.getsockname()
        endpoint = fleets.Endpoint(
            'e0', 'svc', f'{host}:{port}', 'p1', 8, False, ''
        )
        state = fakes.FakeState([endpoint])
        forwarder = fakes.make_forwarder(
            self.stack, state, fakes.make_notices(state)
        )
        job = fakes.make_job(fakes.make_route(ONCE))
        job.request.body = b'x' * LARGE_BODY_BYTES
        return forwarder.run(job)

    def refuse(self, listener, answer):
        sock, _address = listener.accept()
        with sock:
            sock.recv(1_000)
            sock.sendall(answer)
            # The caller has it before the reset, as it is busy sending.
            time.sleep(0.2)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )

    # Guards against a whole refusal that is thrown away as sending fails.
    def test_refusal_before_the_end_of_the_body_is_believed(self):
        outcome = self.run_call(
            raw_endpoints.format_answer('c1', 503, b'full', [MARK])
        )
        self.assertIs(ports.Reason.NOT_RUN, outcome.reason)

    def test_early_refusal_of_another_request_is_not_believed(self):
        outcome = self.run_call(
            raw_endpoints.format_answer('c0', 503, b'full', [MARK])
        )
        self.assertIs(ports.Reason.UNKNOWN, outcome.reason)

    # Guards against a part of an answer that passes for the whole: its length
    # is not known, and its end is that of a connection that was reset.
    def test_early_success_without_a_length_is_not_passed_on(self):
        whole = raw_endpoints.format_answer('c1', 200, b'part of it')
        for head in (
            whole.replace(b'Content-Length: 10\r\n', b''),
            whole.replace(b'Content-Length: 10', b'Connection: close'),
        ):
            outcome = self.run_call(head)
            self.assertIs(ports.Reason.UNKNOWN, outcome.reason, head)

    def test_early_refusal_that_is_cut_off_is_not_believed(self):
        whole = raw_endpoints.format_answer('c1', 503, b'full', [MARK])
        endless = whole.replace(b'Content-Length: 4\r\n', b'')
        for answer in (whole[:-1], endless, whole[:20], b''):
            outcome = self.run_call(answer)
            self.assertIs(ports.Reason.UNKNOWN, outcome.reason, answer)
