"""The WSGI application: calls, health, metrics and the list of hosts."""

import contextlib
import logging
import threading

from masticquay_bundles import models
from masticquay_entry import admissions
from masticquay_entry import call_recorders
from masticquay_entry import caller_requests
from masticquay_entry import completions
from masticquay_entry import dependencies
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

CHAT_PATH_SUFFIX = '/chat/completions'
BUSY_RETRY_AFTER_MS = 500


class Application:
    """Serves every request; an unexpected exception becomes a 500."""

    def __init__(
        self,
        deps: dependencies.Dependencies,
        authorizer: admissions.Authorizer,
        intent_recorder: intents.IntentRecorder,
        drain: drains.Drain,
        entry_settings: settings.EntrySettings,
    ):
        self._deps = deps
        self._authorizer = authorizer
        self._intent_recorder = intent_recorder
        self._drain = drain
        self._settings = entry_settings
        self._request_slots = threading.BoundedSemaphore(
            entry_settings.threads
        )
        self._completion_reader = completions.CompletionReader(
            entry_settings.default_output_tokens,
            entry_settings.output_limit_tokens,
        )
        self._builtin_handlers = {
            '/healthz': self._serve_health,
            '/readyz': self._serve_readiness,
            '/metrics': self._serve_metrics,
            '/v1/hosts': self._serve_hosts,
        }

    def __call__(
        self,
        environ: caller_requests.Environ,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        try:
            handler = self._builtin_handlers.get(environ['PATH_INFO'])
            if handler is not None:
                return handler(environ, start_response)
            return self._serve_call(environ, start_response)
        except call_recorders.RecordedRefusal as recorded:
            return responses.refuse(recorded.refusal, start_response)
        except refusals.Refusal as refusal:
            self._record_early_refusal(refusal, environ)
            return responses.refuse(refusal, start_response)
        except Exception:
            LOG.exception('unhandled exception while serving a request')
            refusal = refusals.Refusal(
                500, 'internal', 'internal error', refusals.UNKNOWN
            )
            return responses.refuse(refusal, start_response)

    def _serve_health(
        self,
        environ: caller_requests.Environ,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        return responses.respond(
            200, [responses.JSON_TYPE], b'{"ok": true}', start_response
        )

    def _serve_readiness(
        self,
        environ: caller_requests.Environ,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        membership = self._deps.membership
        ready = (
            membership.state().bundle is not None
            and membership.lease_valid()
            and not self._drain.started
        )
        body = b'{"ready": true}' if ready else b'{"ready": false}'
        status = 200 if ready else 503
        return responses.respond(
            status, [responses.JSON_TYPE], body, start_response
        )

    def _serve_metrics(
        self,
        environ: caller_requests.Environ,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        sources = self._settings.metrics_sources
        if sources and environ['REMOTE_ADDR'] not in sources:
            raise refusals.Refusal(
                403, 'foreign-source', 'metrics are not served to you'
            )
        headers = [('Content-Type', metrics.CONTENT_TYPE)]
        body = self._deps.metrics.render()
        return responses.respond(200, headers, body, start_response)

    def _serve_hosts(
        self,
        environ: caller_requests.Environ,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        if environ['REQUEST_METHOD'] != 'GET':
            raise refusals.Refusal(405, 'wrong-method', 'use GET')
        table = self._authorizer.current_table()
        request = caller_requests.read_request(environ, table.keys)
        workspace = None
        if request.key_digest and self._deps.membership.lease_valid():
            name = self._authorizer.authenticate(table, request.key_digest)
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
        return responses.respond(200, headers, body, start_response)

    def _serve_call(
        self,
        environ: caller_requests.Environ,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        with contextlib.ExitStack() as stack:
            self._acquire_slot(stack)
            arrived_ms = self._deps.clock.now_ms()
            table = self._authorizer.current_table()
            request = caller_requests.read_request(environ, table.keys)
            routes = table.match(request.method, request.path)
            caller = environ[servers.CALLER_KEY]
            if routes[0].service:
                admission = self._authorizer.admit(table, routes[0], request)
                run = self._register_run(admission, caller, arrived_ms, stack)
                return self._serve_service(run, request, start_response)
            if all(r.access == models.ACCESS_KEYED for r in routes):
                # Authenticate before the body is parsed, so that callers
                # without a valid key cannot probe for model names.
                self._authorizer.authenticate(table, request.key_digest)
            chat = request.path.endswith(CHAT_PATH_SUFFIX)
            completion = self._completion_reader.read(request.body, chat)
            route = table.route_for_model(routes, completion.model)
            admission = self._authorizer.admit(table, route, request)
            run = self._register_run(admission, caller, arrived_ms, stack)
            answer = model_answers.ModelAnswer(
                self._deps, run, completion, stack
            )
            return answer.serve(start_response)

    def _record_early_refusal(
        self, refusal: refusals.Refusal, environ: caller_requests.Environ
    ) -> None:
        """Records a refusal that came before class and target were known."""
        workspace = self._authorizer.lookup_workspace(
            caller_requests.read_key_digest(environ)
        )
        self._deps.metrics.count_refusal(workspace, '', refusal.code)
        if workspace:
            self._deps.usage.record_refusal(
                workspace,
                '',
                '',
                refusal.code,
                refusal.status not in call_recorders.CALLER_ERROR_STATUSES,
            )

    def _acquire_slot(self, stack: contextlib.ExitStack) -> None:
        """Takes a request slot, which is free again when the stack closes.

        :raises Refusal: when this host is leaving or has no free slot
        """
        if self._drain.rejecting:
            raise refusals.Refusal(
                503,
                'leaving',
                'this host is leaving; use another host',
                retry_after_ms=BUSY_RETRY_AFTER_MS,
            )
        if not self._request_slots.acquire(blocking=False):
            raise refusals.Refusal(
                503,
                'host-busy',
                'this host serves as many requests as it can',
                retry_after_ms=BUSY_RETRY_AFTER_MS,
            )
        stack.callback(self._request_slots.release)

    def _register_run(
        self,
        admission: admissions.Admission,
        caller: runs.CallerConnection,
        arrived_ms: int,
        stack: contextlib.ExitStack,
    ) -> runs.Run:
        """Registers a request as in progress until the stack closes."""
        run = runs.Run(
            self._deps.next_request_id(), admission, caller, arrived_ms
        )
        self._deps.registry.add(run)
        stack.callback(self._deps.registry.remove, run)
        return run

    def _serve_service(
        self,
        run: runs.Run,
        request: caller_requests.CallerRequest,
        start_response: responses.StartResponse,
    ) -> responses.Body:
        recorder = call_recorders.CallRecorder(
            self._deps, run, run.admission.route.service
        )
        call = service_calls.ServiceCall(self._deps, run, request)
        if not run.admission.route.idempotent:
            call = service_calls.AtMostOnceCall(
                call, self._intent_recorder, run, request
            )
        try:
            answer = call.run()
        except refusals.Refusal as refusal:
            recorder.record_refusal(refusal)
            raise call_recorders.RecordedRefusal(refusal) from refusal
        recorder.record_answer(call.queue_wait_ms, 0, 0)
        headers = [
            *answer.headers,
            (refusals.OUTCOME_HEADER, refusals.RAN),
            (service_calls.REQUEST_ID_HEADER, str(run.request_id)),
        ]
        return responses.respond(
            answer.status, headers, answer.body, start_response
        )
