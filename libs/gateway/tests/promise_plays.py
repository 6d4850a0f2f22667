"""Plays of one request whose attempts end as drawn, without a network."""

import contextlib
import random
import time
import types

from masticquay_gateway import calls
from masticquay_gateway import drains
from masticquay_gateway import exchanges
from masticquay_gateway import forwards
from masticquay_gateway import placed_requests
from masticquay_gateway import ports
from masticquay_gateway import quarantines
from masticquay_gateway import retries
from masticquay_gateway import streams
from masticquay_routing import choosers
from masticquay_routing import fleets
from masticquay_routing import placement_messages
from masticquay_routing import regions
from masticquay_routing import tables
from masticquay_serving import counters
from masticquay_serving import requests
from tests import drawn_attempts
from tests import fakes

GRACE_MS = 8_000
API_KEY = 'key'
PROMPT_PART = 'part'
# Nothing listens there, so an endpoint that broke off counts as ended.
ADDRESS = '127.0.0.1:1'
LONG_MS = 600_000
REFUSAL_STATUSES = {
    ports.Reason.NO_ROUTE: 404,
    ports.Reason.NO_KEY: 401,
    ports.Reason.OVER_RATE: 429,
    ports.Reason.NOT_RUN: 503,
    ports.Reason.UNKNOWN: 502,
    ports.Reason.TIMED_OUT: 504,
}
STREAM_EVENT_COUNT = 3
# Id and headers of an earlier request's answers.
EARLIER_ID = 'c9'
LATE_HEADERS = [('Call', EARLIER_ID), ('Not-Run', '1'), ('Leaving', '1')]


def make_response(status, headers, read1):
    """Returns the head of a response, whose body ``read1`` reads."""
    return types.SimpleNamespace(
        status=status,
        headers=types.SimpleNamespace(items=lambda: headers),
        length=0,
        will_close=False,
        read1=read1,
    )


class FakeExchange:
    """An exchange that ends as drawn."""

    def __init__(self, play):
        self.play = play
        self.attempt = None
        self.response = None
        self.connection = types.SimpleNamespace(
            exchange_count=2,
            set_timeout=lambda timeout_ms: None,
            has_carried=lambda call_ids: call_ids == {EARLIER_ID},
            record_call=lambda call_id: None,
        )
        self.late_count = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        pass

    def send(self, method, path, headers, body, timeout_ms):
        if method == 'DELETE':
            raise exchanges.EndpointError('not part of the play')
        is_prefill = ('Pre', '1') in headers
        attempt = self.attempt = self.play.next_attempt(is_prefill)
        if attempt.fate != 'answered':
            raise drawn_attempts.SEND_ERRORS[attempt.fate](attempt.fate)
        self.late_count = attempt.late_count
        self.respond()

    def outlast_silence(self, hook):
        """Does nothing, as nothing is silent in a play."""

    def respond(self):
        """Sets the next response."""
        if self.late_count:
            self.response = make_response(503, LATE_HEADERS, None)
            return
        attempt = self.attempt
        pieces = [
            b'id: %d\ndata: x\n\n' % number
            for number in range(1, STREAM_EVENT_COUNT + 1)
        ]
        if not attempt.whole:
            del pieces[attempt.event_count :]
        self.response = make_response(
            attempt.status,
            attempt.headers,
            lambda size_bytes: self.read_piece(pieces),
        )

    def read_next(self, limit_bytes):
        self.late_count -= 1
        self.respond()

    def read_piece(self, pieces):
        if pieces:
            return pieces.pop(0)
        if not self.attempt.whole:
            raise exchanges.EndpointError('broke off')
        return b''

    def read_body(self, limit_bytes):
        if not self.attempt.whole:
            raise exchanges.EndpointError('broke off')
        return b'handle'

    def translate_errors(self):
        return contextlib.nullcontext()

    def hold_memory(self, size_bytes):
        pass

    def mark_finished(self):
        pass


class DrawnProtocol(fakes.FakeProtocol):
    """Takes stamps and marks only from the headers."""

    def read(self, request):
        return ports.Call(
            drawn_attempts.OWN_ID,
            'a.example',
            '/a/x',
            API_KEY,
            None,
            self.prompt_tokens,
            400,
            100,
            prompt_parts=[PROMPT_PART],
        )

    def refusal_response(self, call, refusal):
        return ports.RefusalResponse(
            REFUSAL_STATUSES[refusal.reason], [], b'refused'
        )

    def parse_response_head(self, status, headers):
        fields = dict(headers)
        mark = fields.get('Not-Run')
        return ports.ResponseHead(
            status=status,
            answered_ids=frozenset(v for k, v in headers if k == 'Call'),
            not_run_mark=mark and ports.NotRunMark(mark, mark == '1'),
            has_stamp='Stamp' in fields,
            load=None,
            headers=[],
        )


class FakePlacer:
    """Places a request as drawn."""

    def __init__(self, options, endpoints):
        self.placements = list(options.placements)
        self.options = options
        self.endpoints = endpoints

    def place(self, request, interrupt):
        kind = self.placements.pop(0)
        left = [
            e for e in self.endpoints if e.endpoint_id not in request.avoid
        ]
        if kind in ('full', 'rate') or not left:
            return placement_messages.Refused(kind, 100, kind == 'rate')
        prefill = self.endpoints[-1] if kind == 'split' else None
        return placed_requests.RequestPlacement(
            prefill, left[0], request, False
        )

    def charge_rate(self, workspace, cost):
        return 100 if self.options.over_rate else 0

    def find_version(self, job):
        return ''

    def finish_prefill(self, placement):
        pass

    def begin_decode(self, placement, first_call_id):
        pass

    def release(self, placement, engine_ok, completed=False):
        pass

    def report_refusal(self, service, endpoint, pause_ms):
        pass

    def report_failure(self, *args, **options):
        pass


class Play:
    """One request, served by a whole ``CallService``.

    :ivar runs: the attempts that were made to run the request, without those
        of prefills
    :ivar was_interrupted: whether the caller left during one, or a prefill
    """

    def __init__(self, options, attempts):
        self.options = options
        self.attempts = list(attempts)
        self.runs = []
        self.was_interrupted = False
        self.quarantine = quarantines.Quarantine()
        self.registry = counters.Registry()
        self.request = requests.Request(
            'POST',
            '/a/x',
            [('Call', drawn_attempts.OWN_ID)],
            b'body',
            time.monotonic(),
        )
        self.reply = fakes.FakeReply()
        self.reply.sock = None
        self.endpoints = [
            fleets.Endpoint(
                f'e{number}',
                'svc',
                ADDRESS,
                'p1',
                8,
                False,
                fleets.ROLE_DECODE if options.is_model else '',
            )
            for number in range(options.endpoint_count)
        ]

    def next_attempt(self, is_prefill):
        """Returns the fate of a send; the last one drawn repeats."""
        attempt = self.attempts[0]
        if len(self.attempts) > 1:
            del self.attempts[0]
        self.was_interrupted |= attempt.fate == 'interrupted'
        if not is_prefill:
            self.runs.append(attempt)
        if attempt.ends_time:
            self.request.started_s -= LONG_MS / 1000
        if attempt.quarantines:
            self.quarantine.apply({PROMPT_PART: LONG_MS})
        return attempt

    def serve(self):
        """Serves the request."""
        if self.options.is_late:
            self.request.started_s -= LONG_MS / 1000
        self._make_service().serve(self.request, self.reply)

    def _make_service(self):
        state = fakes.FakeState(self.endpoints)
        protocol = DrawnProtocol()
        protocol.prompt_tokens = (
            self.options.prompt_tokens if self.options.is_model else None
        )
        limits = fakes.make_limits(
            state, fakes.FakePermits(self.options.permits)
        )
        if self.options.has_limits:
            for endpoint in self.endpoints:
                limits.record(endpoint, 5.0)
        notices = fakes.make_notices(state, limits)
        endpoint_paths = types.SimpleNamespace(
            open=lambda *args: FakeExchange(self),
            has_ended=lambda endpoint, cause: False,
        )
        budgets = retries.RetryBudgets(
            retries.RetryBudgetLimits(0, self.options.budget_slack, 10_000),
            state,
        )
        placer = FakePlacer(self.options, self.endpoints)
        forwarder = forwards.Forwarder(
            state,
            protocol,
            endpoint_paths,
            choosers.Chooser('p1', random.Random(1)),
            budgets,
            notices,
            limits,
            fakes.make_watch(
                fakes.FakeTrials(self.options.trial_wait_ms), self.quarantine
            ),
            fakes.make_slots(),
            self.registry,
        )
        streamer = streams.Streamer(
            'host',
            state,
            protocol,
            endpoint_paths,
            placer,
            budgets,
            self.quarantine,
            notices,
            self.registry,
        )
        return calls.CallService(
            types.SimpleNamespace(
                table=self._make_table(),
                table_version=1,
                regions=regions.NO_REGIONS,
                wait_until_complete=lambda timeout_s: True,
            ),
            protocol,
            forwarder,
            streamer,
            placer,
            types.SimpleNamespace(
                wait_ms=lambda name: 0, add=lambda name, cost: None
            ),
            types.SimpleNamespace(
                watched=lambda sock, hook: contextlib.nullcontext()
            ),
            self.registry,
            drains.Drain(GRACE_MS),
        )

    def _make_table(self):
        options = self.options
        route = fakes.make_route(
            tables.RouteKind.STREAM if options.is_model else options.kind,
            attempts=options.attempts,
            resumable=options.resumable,
            timeout_ms=LONG_MS // 2,
        )
        engine = tables.Engine(8, 10_000, 60_000, 100)
        service = tables.Service(
            'svc', '/', 10, engine if options.is_model else None
        )
        workspace = tables.Workspace(
            'w', [API_KEY], rate_per_s=10.0, burst=10.0
        )
        limits = tables.CallerLimits(1, 2, 3, 4)
        return tables.Table(1, [route], [service], [workspace], limits)
