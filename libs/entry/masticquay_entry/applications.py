"""The WSGI application: callers' requests to calls, calls to answers."""

import contextlib
import logging
import threading
import time
import typing

from masticquay_entry import admissions
from masticquay_entry import backends
from masticquay_entry import callers
from masticquay_entry import completions
from masticquay_entry import drains
from masticquay_entry import host_lists
from masticquay_entry import intents
from masticquay_entry import metrics
from masticquay_entry import model_calls
from masticquay_entry import refusals
from masticquay_entry import renderers
from masticquay_entry import runs
from masticquay_entry import servers
from masticquay_entry import service_calls
from masticquay_entry import settings

LOG = logging.getLogger(__name__)

CHAT_SUFFIX = '/chat/completions'
BUSY_RETRY_MS = 500
JSON_TYPE = ('Content-Type', 'application/json')
STREAM_HEADERS = [
    ('Content-Type', 'text/event-stream; charset=utf-8'),
    ('Cache-Control', 'no-cache'),
    (refusals.OUTCOME_HEADER, refusals.RAN),
]

StartResponse = typing.Callable[[str, refusals.Headers], typing.Any]
Body = typing.Iterable[bytes]

# Statuses of refusals for which the caller itself is the reason.
REASONS_OF_CALLERS = frozenset([400, 401, 403, 404, 405, 409, 413, 422, 429])


class _CountedRefusal(Exception):
    """A refusal that metrics and usage have counted already."""

    def __init__(self, refusal: refusals.Refusal):
        super().__init__(str(refusal))
        self.refusal = refusal


class Application:
    """Answers every request, whatever happens."""

    def __init__(
        self,
        parts: backends.Backends,
        gate: admissions.Gate,
        keeper: intents.IntentKeeper,
        drain: drains.Drain,
        entry_settings: settings.EntrySettings,
    ):
        self._parts = parts
        self._gate = gate
        self._keeper = keeper
        self._drain = drain
        self._settings = entry_settings
        self._places = threading.BoundedSemaphore(entry_settings.threads)
        self._reader = completions.CompletionReader(
            entry_settings.default_output_tokens,
            entry_settings.output_limit_tokens,
        )
        self._pages = {
            '/healthz': self._serve_health,
            '/readyz': self._serve_readiness,
            '/metrics': self._serve_metrics,
            '/v1/hosts': self._serve_hosts,
        }

    def __call__(
        self, environ: callers.Environ, start_response: StartResponse
    ) -> Body:
        try:
            page = self._pages.get(environ['PATH_INFO'])
            if page is not None:
                return page(environ, start_response)
            return self._serve_call(environ, start_response)
        except _CountedRefusal as counted:
            return _refuse(counted.refusal, start_response)
        except refusals.Refusal as refusal:
            self._count_early(refusal, environ)
            return _refuse(refusal, start_response)
        except Exception:
            LOG.exception('a request failed')
            refusal = refusals.Refusal(
                500, 'internal', 'internal error', refusals.UNKNOWN
            )
            return _refuse(refusal, start_response)

    def _serve_health(
        self, environ: callers.Environ, start_response: StartResponse
    ) -> Body:
        return _answer(200, [JSON_TYPE], b'{"ok": true}', start_response)

    def _serve_readiness(
        self, environ: callers.Environ, start_response: StartResponse
    ) -> Body:
        membership = self._parts.membership
        ready = (
            membership.state().bundle is not None
            and membership.lease_valid()
            and not self._drain.begun
        )
        body = b'{"ready": true}' if ready else b'{"ready": false}'
        status = 200 if ready else 503
        return _answer(status, [JSON_TYPE], body, start_response)

    def _serve_metrics(
        self, environ: callers.Environ, start_response: StartResponse
    ) -> Body:
        sources = self._settings.metrics_sources
        if sources and environ['REMOTE_ADDR'] not in sources:
            raise refusals.Refusal(
                403, 'foreign-source', 'metrics are not served to you'
            )
        headers = [('Content-Type', metrics.CONTENT_TYPE)]
        body = self._parts.metrics.render()
        return _answer(200, headers, body, start_response)

    def _serve_hosts(
        self, environ: callers.Environ, start_response: StartResponse
    ) -> Body:
        if environ['REQUEST_METHOD'] != 'GET':
            raise refusals.Refusal(405, 'wrong-method', 'use GET')
        table = self._gate.table()
        request = callers.read_request(environ, table.keys)
        workspace = None
        if request.key_digest and self._parts.membership.lease_valid():
            name = self._gate.find_workspace(table, request.key_digest)
            workspace = table.bundle.workspace(name)
        ttl_ms = self._settings.host_list_ttl_ms
        hosts = host_lists.choose_hosts(
            self._drain.listed_view(), self._settings.place, workspace
        )
        headers = [
            JSON_TYPE,
            ('Cache-Control', f'private, max-age={ttl_ms // 1000}'),
            (refusals.OUTCOME_HEADER, refusals.RAN),
        ]
        body = host_lists.render_list(hosts, ttl_ms)
        return _answer(200, headers, body, start_response)

    def _serve_call(
        self, environ: callers.Environ, start_response: StartResponse
    ) -> Body:
        with contextlib.ExitStack() as stack:
            self._take_place(stack)
            arrived_ms = self._parts.clock.now_ms()
            table = self._gate.table()
            request = callers.read_request(environ, table.keys)
            routes = table.match(request.method, request.path)
            caller = environ[servers.CALLER_KEY]
            if routes[0].service:
                admission = self._gate.admit(table, routes[0], request)
                run = self._begin(admission, caller, arrived_ms, stack)
                return self._serve_service(run, request, start_response)
            chat = request.path.endswith(CHAT_SUFFIX)
            completion = self._reader.read(request.body, chat)
            route = table.route_for_model(routes, completion.model)
            admission = self._gate.admit(table, route, request)
            run = self._begin(admission, caller, arrived_ms, stack)
            answer = _ModelAnswer(self._parts, run, completion, stack)
            return answer.serve(start_response)

    def _count_early(
        self, refusal: refusals.Refusal, environ: callers.Environ
    ) -> None:
        """Counts a refusal from before a request had a class and target."""
        workspace = self._gate.workspace_of(callers.read_digest(environ))
        self._parts.metrics.count_refusal(workspace, '', refusal.code)
        if workspace:
            self._parts.usage.record_refusal(
                workspace,
                '',
                '',
                refusal.code,
                refusal.status not in REASONS_OF_CALLERS,
            )

    def _take_place(self, stack: contextlib.ExitStack) -> None:
        if self._drain.refusing:
            raise refusals.Refusal(
                503,
                'leaving',
                'this host is leaving; use another host',
                retry_after_ms=BUSY_RETRY_MS,
            )
        if not self._places.acquire(blocking=False):
            raise refusals.Refusal(
                503,
                'host-busy',
                'this host serves as many requests as it can',
                retry_after_ms=BUSY_RETRY_MS,
            )
        stack.callback(self._places.release)

    def _begin(
        self,
        admission: admissions.Admission,
        caller: runs.Caller,
        arrived_ms: int,
        stack: contextlib.ExitStack,
    ) -> runs.Run:
        run = runs.Run(
            self._parts.next_request_id(), admission, caller, arrived_ms
        )
        self._parts.registry.add(run)
        stack.callback(self._parts.registry.remove, run)
        return run

    def _serve_service(
        self,
        run: runs.Run,
        request: callers.CallerRequest,
        start_response: StartResponse,
    ) -> Body:
        report = CallReport(self._parts, run, run.admission.route.service)
        call = service_calls.ServiceCall(self._parts, run, request)
        if not run.admission.route.idempotent:
            call = service_calls.OnceCall(call, self._keeper, run, request)
        try:
            answer = call.run()
        except refusals.Refusal as refusal:
            report.note_refusal(refusal)
            raise _CountedRefusal(refusal) from refusal
        report.note_answer(call.queue_wait_ms, 0, 0)
        headers = [
            *answer.headers,
            (refusals.OUTCOME_HEADER, refusals.RAN),
            (service_calls.REQUEST_ID_HEADER, str(run.request)),
        ]
        return _answer(answer.status, headers, answer.body, start_response)


class CallReport:
    """Counts how one request ended, for metrics and usage."""

    def __init__(self, parts: backends.Backends, run: runs.Run, target: str):
        self._parts = parts
        self._run = run
        self._target = target
        self._workspace = run.admission.workspace
        self._class_name = run.admission.service_class.name

    def note_answer(
        self, queue_wait_ms: int, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Counts a whole answer."""
        whole_ms = self._parts.clock.now_ms() - self._run.arrived_ms
        self._parts.metrics.record_end(
            self._workspace,
            self._class_name,
            queue_wait_ms,
            whole_ms,
            output_tokens,
        )
        self._note_usage(prompt_tokens, output_tokens)

    def note_refusal(
        self,
        refusal: refusals.Refusal,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        """Counts a request that ended without its whole answer."""
        self._parts.metrics.count_refusal(
            self._workspace, self._class_name, refusal.code
        )
        if self._run.may_have_run and (prompt_tokens or output_tokens):
            self._note_usage(prompt_tokens, output_tokens)
        if refusal.code in (runs.CALLER_GONE, runs.CALLER_STALLED):
            return
        self._parts.usage.record_refusal(
            self._workspace,
            self._target,
            self._class_name,
            refusal.code,
            refusal.status not in REASONS_OF_CALLERS,
        )

    def _note_usage(self, prompt_tokens: int, output_tokens: int) -> None:
        self._parts.usage.record_answer(
            self._workspace,
            self._target,
            self._class_name,
            prompt_tokens,
            output_tokens,
        )


class _ModelAnswer:
    """Serves one completion, whole or as a stream.

    The first batch is waited for before the head of the answer is sent, so
    that all that fails until then has a status of its own.
    """

    def __init__(
        self,
        parts: backends.Backends,
        run: runs.Run,
        completion: completions.CompletionRequest,
        stack: contextlib.ExitStack,
    ):
        self._parts = parts
        self._run = run
        self._completion = completion
        self._stack = stack
        self._report = CallReport(parts, run, completion.model)
        self._call = model_calls.ModelCall(parts, run, completion)
        self._renderer = renderers.Renderer(
            completion, str(run.request), int(time.time())
        )
        self._gaps = metrics.GapHistogram()

    def serve(self, start_response: StartResponse) -> Body:
        """Runs the call and answers."""
        tokens = self._completion.prompt_tokens + self._completion.max_tokens
        self._parts.usage.open(tokens)
        self._stack.callback(self._parts.usage.close, tokens)
        batches = self._stack.enter_context(
            contextlib.closing(self._call.stream())
        )
        try:
            first = next(batches)
        except refusals.Refusal as refusal:
            self._note_refusal(refusal)
            raise _CountedRefusal(refusal) from refusal
        self._note_first()
        if not self._completion.stream:
            return self._serve_whole(first, batches, start_response)
        start_response(refusals.status_line(200), STREAM_HEADERS)
        # From here on the stack belongs to the stream that is returned.
        stack = self._stack.pop_all()
        stack.callback(self._note_left)
        self._ended = False
        return _Stream(self._render(first, batches), stack)

    def _serve_whole(
        self,
        batch: typing.Any,
        batches: model_calls.Batches,
        start_response: StartResponse,
    ) -> Body:
        try:
            for later in batches:
                batch = later
        except refusals.Refusal as refusal:
            self._note_refusal(refusal)
            raise _CountedRefusal(refusal) from refusal
        body = self._renderer.render_whole(
            self._call.texts, batch.finish_reason
        )
        self._note_end()
        headers = [JSON_TYPE, (refusals.OUTCOME_HEADER, refusals.RAN)]
        return _answer(200, headers, body, start_response)

    def _render(
        self, batch: typing.Any, batches: model_calls.Batches
    ) -> typing.Iterator[bytes]:
        renderer, gaps = self._renderer, self._gaps
        previous_s = time.monotonic()
        try:
            yield renderer.render_batch(batch)
            for batch in batches:
                if not batch.texts:
                    continue
                now_s = time.monotonic()
                gaps.add((now_s - previous_s) * 1000)
                previous_s = now_s
                yield renderer.render_batch(batch)
        except refusals.Refusal as refusal:
            self._ended = True
            self._note_refusal(refusal)
            self._parts.metrics.count_cut(refusal.code)
            yield renderers.render_failure(refusal)
            return
        self._ended = True
        self._note_end()
        yield renderer.render_finish(
            batch.finish_reason, self._call.output_tokens
        )

    def _note_first(self) -> None:
        admission = self._run.admission
        self._parts.metrics.record_first_token(
            admission.workspace,
            admission.service_class.name,
            self._parts.clock.now_ms() - self._run.arrived_ms,
        )

    def _note_end(self) -> None:
        self._report.note_answer(
            self._call.queue_wait_ms,
            self._completion.prompt_tokens,
            self._call.output_tokens,
        )
        self._merge_gaps()

    def _note_refusal(self, refusal: refusals.Refusal) -> None:
        self._report.note_refusal(
            refusal, self._completion.prompt_tokens, self._call.output_tokens
        )
        self._merge_gaps()

    def _note_left(self) -> None:
        """Counts a stream that the caller left before its end."""
        if not self._ended:
            refusal = self._run.refusal_for(runs.CALLER_GONE)
            self._note_refusal(refusal)

    def _merge_gaps(self) -> None:
        admission = self._run.admission
        self._parts.metrics.gaps.merge(
            admission.workspace, admission.service_class.name, self._gaps
        )


class _Stream:
    """A streamed body that owns all that its request holds."""

    __slots__ = ('_chunks', '_stack')

    def __init__(
        self, chunks: typing.Iterator[bytes], stack: contextlib.ExitStack
    ):
        self._chunks = chunks
        self._stack = stack

    def __iter__(self) -> typing.Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Ends the request, wherever it stands."""
        self._stack.close()


def _answer(
    status: int,
    headers: refusals.Headers,
    body: bytes,
    start_response: StartResponse,
) -> Body:
    headers = [*headers, ('Content-Length', str(len(body)))]
    start_response(refusals.status_line(status), headers)
    return [body]


def _refuse(refusal: refusals.Refusal, start_response: StartResponse) -> Body:
    return _answer(
        refusal.status, refusal.headers(), refusal.body(), start_response
    )
