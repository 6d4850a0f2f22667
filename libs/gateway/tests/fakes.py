"""Fakes of callers, endpoints and fleet state for the entry daemon."""

from concurrent import futures
import random
import threading
import time

from masticquay_endpoints import interrupts
from masticquay_gateway import endpoint_limits
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import forwards
from masticquay_gateway import jobs
from masticquay_gateway import notices
from masticquay_gateway import paths
from masticquay_gateway import ports
from masticquay_gateway import quarantines
from masticquay_gateway import request_watches
from masticquay_gateway import retries
from masticquay_gateway import slots
from masticquay_routing import choosers
from masticquay_routing import endpoint_messages
from masticquay_routing import fleets
from masticquay_routing import tables
from masticquay_serving import counters
from masticquay_serving import errors as serving_errors
from masticquay_serving import http_servers
from masticquay_serving import requests

PROMPT_TOKENS = 3_000


class FakeReply:
    """Records the response to a caller.

    A write fails once the body is longer than ``disconnect_after_bytes``, if
    that is set.
    """

    def __init__(self):
        self.status = None
        self.body = b''
        self.started = False
        self.finished = False
        self.aborted = False
        self.disconnect_after_bytes = None

    def send(self, status, headers, body=b''):
        self.started = True
        self.status = status
        self.body = body
        self.finished = True

    def begin(self, status, headers):
        self.started = True
        self.status = status

    def write(self, data):
        if (
            self.disconnect_after_bytes is not None
            and len(self.body) > self.disconnect_after_bytes
        ):
            raise serving_errors.CallerDisconnectedError('disconnected')
        self.body += data

    def finish(self):
        self.finished = True

    def abort(self):
        self.started = True
        self.aborted = True


class FakeProtocol:
    """Encodes its arguments in short headers that tests can check.

    An answer without the mark of a refusal counts as stamped.
    """

    def run_headers(self, headers, endpoint, context):
        result = [('Call', dict(headers)['Call'])]
        if context.last_event_id is not None:
            result.append(('Resume', context.last_event_id))
        return result

    def prefill_headers(self, headers, endpoint, context):
        return [*self.run_headers(headers, endpoint, context), ('Pre', '1')]

    def decode_headers(self, headers, endpoint, context, source, handle):
        result = self.run_headers(headers, endpoint, context)
        return [*result, ('Handle', handle)]

    def parse_response_head(self, status, headers):
        fields = dict(headers)
        return ports.ResponseHead(
            status=status,
            answered_ids=frozenset(v for k, v in headers if k == 'Call'),
            not_run_mark=_read_mark(fields),
            has_stamp='Stamp' in fields or 'Not-Run' not in fields,
            load=None,
            headers=[],
        )

    def parse_notice(self, status, headers):
        fields = dict(headers)
        limit_per_s = fields.get('Limit-Per-S')
        return ports.EndpointNotice(
            'Leaving' in fields,
            int(fields.get('Pause-Ms', 0)),
            None if limit_per_s is None else float(limit_per_s),
        )

    def read_handle(self, body):
        if not body:
            raise errors.ProtocolError('no handle')
        return body.decode()

    def release_path(self, handle):
        return f'/release/{handle}'


def _read_mark(fields):
    text = fields.get('Not-Run')
    return None if text is None else ports.NotRunMark(text)


class FakeEndpoint:
    """An endpoint whose responses are defined by the test.

    :param number: part of its id
    :param answer: called with the request and the reply
    """

    def __init__(self, stack, number, answer, role=''):
        self.requests = []
        self.lock = threading.Lock()
        self.answer = answer
        server = http_servers.Server(
            ('127.0.0.1', 0), self.serve, requests.Limits
        )
        self.server = server
        server.start()
        stack.callback(server.server_close)
        host, port = server.server_address
        self.endpoint = fleets.Endpoint(
            f'e{number}', 'svc', f'{host}:{port}', 'p1', 8, False, role
        )

    def serve(self, request, reply):
        with self.lock:
            self.requests.append(request)
        self.answer(request, reply)


class FakeState:
    """A fleet state with fixed endpoints.

    One that says that it leaves is marked in place.
    """

    def __init__(self, endpoints):
        self.by_id = {e.endpoint_id: e for e in endpoints}
        self.host_count = 1
        self.evacuated_places = frozenset()
        self.cold_rates = {}

    def endpoints(self, service):
        return list(self.by_id.values())

    def endpoint(self, endpoint_id):
        return self.by_id.get(endpoint_id)

    def record_leaving(self, endpoint):
        is_new = not endpoint.leaving
        endpoint.leaving = True
        return is_new


def make_notices(state, limits=None):
    """Returns notices that change the endpoints of a fake state."""
    return notices.EndpointNotices(
        FakeProtocol(),
        state,
        counters.Registry(),
        lambda: None,
        limits or make_limits(state),
    )


class FakePermits:
    """Grants as many permits as the test sets."""

    def __init__(self, granted=1_000_000, wait_ms=500, reachable=True):
        self.granted = granted
        self.wait_ms = wait_ms
        self.is_reachable = reachable
        self.asked = 0

    def ask(self, limit):
        self.asked += 1
        if self.granted > 0:
            self.granted -= 1
            return endpoint_messages.PermitAnswer(True, 0, 0)
        return endpoint_messages.PermitAnswer(
            False, self.wait_ms, self.wait_ms
        )


def make_limits(state, permits=None):
    """Returns limits whose permits come from the test."""
    return endpoint_limits.EndpointLimits(
        state, counters.Registry(), permits or FakePermits(), lambda: None
    )


class FakeTrials:
    """Answers as the test sets, and keeps what it is told."""

    def __init__(self, wait_ms=0, reachable=True):
        self.wait_ms = wait_ms
        self.is_reachable = reachable
        self.asked = []
        self.ended = []
        self.reports = []

    def ask(self, key):
        self.asked.append(key)
        return self.wait_ms

    def end(self, key, survived):
        self.ended.append((key, survived))

    def report(self, ended):
        self.reports.append(ended)


def make_watch(trials=None, quarantine=None):
    """Returns a watch whose trials are allowed by the test."""
    return request_watches.RequestWatch(
        'h1', quarantine or quarantines.Quarantine(), trials or FakeTrials()
    )


class FakeSlotSource:
    """Answers as the test sets, and keeps what it is told.

    ``answers`` has an answer, an error or None for no answer for each
    question.
    """

    def __init__(self, answers=(), reachable=True):
        self.answers = list(answers)
        self.is_reachable = reachable
        self.asked = []
        self.ended = []

    def ask(self, ask, timeout_ms):
        self.asked.append(ask)
        answer = self.answers.pop(0)
        future = futures.Future()
        if isinstance(answer, Exception):
            future.set_exception(answer)
        elif answer is not None:
            future.set_result(answer)
        return future

    def end(self, ended):
        self.ended.append(ended)


def make_slots(source=None, registry=None):
    """Returns slots that come from the test."""
    return slots.Slots(
        'h1',
        'p1',
        source or FakeSlotSource(reachable=False),
        registry or counters.Registry(),
    )


def make_forwarder(
    stack,
    state,
    endpoint_notices,
    slack=10,
    registry=None,
    limits=None,
    watch=None,
    endpoint_slots=None,
):
    """Returns a forwarder with connections of its own.

    :param slack: what the retry budget allows beyond its share
    """
    pools = exchanges.ConnectionPools()
    stack.callback(pools.close)
    budget = retries.RetryBudgetLimits(0.2, slack, 10_000)
    return forwards.Forwarder(
        state,
        FakeProtocol(),
        paths.DirectPaths(pools),
        choosers.Chooser('p1', random.Random(1)),
        retries.RetryBudgets(budget, state),
        endpoint_notices,
        limits or make_limits(state),
        watch or make_watch(),
        endpoint_slots or make_slots(),
        registry or counters.Registry(),
    )


def send_matching_response(request, reply, status=200, extra=(), body=b'ok'):
    """Sends a response that matches the request."""
    headers = [('Call', request.header('call')), *extra]
    reply.send(status, headers, body)


def make_route(kind=tables.RouteKind.IDEMPOTENT, **overrides):
    """Returns a route to the service ``svc``."""
    fields = {
        'timeout_ms': 2_000,
        'target_ms': 900,
        'priority': 1,
        'attempts': 2,
        'targets': [tables.Target('svc', 1.0)],
    }
    fields.update(overrides)
    return tables.Route('r', 'a.example', '/a/', kind, **fields)


def make_job(route, reply=None, call_id='c1', prompt_tokens=PROMPT_TOKENS):
    """Returns a job whose request has just arrived."""
    request = requests.Request(
        'POST', '/a/x', [('Call', call_id)], b'body', time.monotonic()
    )
    call = ports.Call(
        call_id, 'a.example', '/a/x', None, 5_000, prompt_tokens, 400, 100
    )
    return jobs.Job(
        request,
        call,
        reply or FakeReply(),
        None,
        route,
        None,
        'svc',
        interrupts.Interrupt(),
    )
