"""The WSGI application: callers' requests to calls, calls to answers."""

import contextlib
import logging
import threading

from masticquay_bundles import models
from masticquay_entry import admissions
from masticquay_entry import backends
from masticquay_entry import call_reports
from masticquay_entry import callers
from masticquay_entry import completions
from masticquay_entry import drains
from masticquay_entry import host_lists
from masticquay_entry import intents
from masticquay_entry import metrics
from masticquay_entry import model_answers
from masticquay_entry import refusals
from masticquay_entry import responses
from masticquay_entry import runs
from masticquay_entry import servers
from masticquay_entry import service_calls
from masticquay_entry import settings

LOG = logging.getLogger(__name__)

CHAT_SUFFIX = '/chat/completions'
BUSY_RETRY_MS = 500


class Application:
    """Answers every request, whatever happens."""

    def __init__(
        self,
        parts: backends.Backends,
        gate: admissions.Gate,
        intent_recorder: intents.IntentRecorder,
        drain: drains.Drain,
        entry_settings: settings.EntrySettings,
    ):
        self._parts = parts
        self._gate = gate
        self._intent_recorder = intent_recorder
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
        self, environ: callers.Environ, start_response: responses.StartResponse
    ) -> responses.Body:
        try:
            page = self._pages.get(environ['PATH_INFO'])
            if page is not None:
                return page(environ, start_response)
            return self._serve_call(environ, start_response)
        except call_reports.CountedRefusal as counted:
            return responses.refuse(counted.refusal, start_response)
        except refusals.Refusal as refusal:
            self._count_early(refusal, environ)
            return responses.refuse(refusal, start_response)
        except Exception:
            LOG.exception('a request failed')
            refusal = refusals.Refusal(
                500, 'internal', 'internal error', refusals.UNKNOWN
            )
            return responses.refuse(refusal, start_response)

    def _serve_health(
        self, environ: callers.Environ, start_response: responses.StartResponse
    ) -> responses.Body:
        return responses.answer(
            200, [responses.JSON_TYPE], b'{"ok": true}', start_response
        )

    def _serve_readiness(
        self, environ: callers.Environ, start_response: responses.StartResponse
    ) -> responses.Body:
        membership = self._parts.membership
        ready = (
            membership.state().bundle is not None
            and membership.lease_valid()
            and not self._drain.begun
        )
        body = b'{"ready": true}' if ready else b'{"ready": false}'
        status = 200 if ready else 503
        return responses.answer(
            status, [responses.JSON_TYPE], body, start_response
        )

    def _serve_metrics(
        self, environ: callers.Environ, start_response: responses.StartResponse
    ) -> responses.Body:
        sources = self._settings.metrics_sources
        if sources and environ['REMOTE_ADDR'] not in sources:
            raise refusals.Refusal(
                403, 'foreign-source', 'metrics are not served to you'
            )
        headers = [('Content-Type', metrics.CONTENT_TYPE)]
        body = self._parts.metrics.render()
        return responses.answer(200, headers, body, start_response)

    def _serve_hosts(
        self, environ: callers.Environ, start_response: responses.StartResponse
    ) -> responses.Body:
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
            responses.JSON_TYPE,
            ('Cache-Control', f'private, max-age={ttl_ms // 1000}'),
            (refusals.OUTCOME_HEADER, refusals.RAN),
        ]
        body = host_lists.render_list(hosts, ttl_ms)
        return responses.answer(200, headers, body, start_response)

    def _serve_call(
        self, environ: callers.Environ, start_response: responses.StartResponse
    ) -> responses.Body:
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
            if all(r.access == models.ACCESS_KEYED for r in routes):
                # Before the body: strangers learn nothing of models.
                self._gate.find_workspace(table, request.key_digest)
            chat = request.path.endswith(CHAT_SUFFIX)
            completion = self._reader.read(request.body, chat)
            route = table.route_for_model(routes, completion.model)
            admission = self._gate.admit(table, route, request)
            run = self._begin(admission, caller, arrived_ms, stack)
            answer = model_answers.ModelAnswer(
                self._parts, run, completion, stack
            )
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
                refusal.status not in call_reports.REASONS_OF_CALLERS,
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
        start_response: responses.StartResponse,
    ) -> responses.Body:
        report = call_reports.CallReport(
            self._parts, run, run.admission.route.service
        )
        call = service_calls.ServiceCall(self._parts, run, request)
        if not run.admission.route.idempotent:
            call = service_calls.OnceCall(
                call, self._intent_recorder, run, request
            )
        try:
            answer = call.run()
        except refusals.Refusal as refusal:
            report.note_refusal(refusal)
            raise call_reports.CountedRefusal(refusal) from refusal
        report.note_answer(call.queue_wait_ms, 0, 0)
        headers = [
            *answer.headers,
            (refusals.OUTCOME_HEADER, refusals.RAN),
            (service_calls.REQUEST_ID_HEADER, str(run.request)),
        ]
        return responses.answer(
            answer.status, headers, answer.body, start_response
        )
