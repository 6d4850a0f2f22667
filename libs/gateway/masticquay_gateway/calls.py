"""Routes each request and sends the caller its response or a refusal."""

import contextlib
import logging
import random
import threading
import time
import typing

from masticquay_endpoints import interrupts
from masticquay_gateway import drains
from masticquay_gateway import exchanges
from masticquay_gateway import fleet_states
from masticquay_gateway import forwards
from masticquay_gateway import jobs
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import streams
from masticquay_gateway import usages
from masticquay_routing import tables
from masticquay_serving import counters
from masticquay_serving import disconnects
from masticquay_serving import errors as serving_errors
from masticquay_serving import replies
from masticquay_serving import requests

LOG = logging.getLogger(__name__)

# Retry-After of requests that arrive before the first routing table.
STARTUP_RETRY_AFTER_MS = 500
# A new process usually has the routing table and endpoints by this time.
STARTUP_PERIOD_MS = 2_500
# Requests wait this long for them at most, and no longer than this part of the
# caller's deadline.
STARTUP_WAIT_MS = 1_000
STARTUP_WAIT_SHARE = 0.5
# Who refused a request, in logs and metrics.
REFUSED_BY_ENDPOINT = 'endpoint'
REFUSED_BY_HOST = 'host'
# Why a host that stops ends the waits of a request.
CUT_REASON = 'host stops'


class CallService:
    """Serves callers' requests; the application of their HTTP server.

    :param drain: refuses what a stopping host cannot finish
    """

    def __init__(
        self,
        state: fleet_states.FleetState,
        protocol: ports.CallerProtocol,
        forwarder: forwards.Forwarder,
        streamer: streams.Streamer,
        placer: placers.Placer,
        usage: usages.Usage,
        disconnect_watcher: disconnects.DisconnectWatcher,
        registry: counters.Registry,
        drain: drains.Drain,
    ):
        self._state = state
        self._protocol = protocol
        self._forwarder = forwarder
        self._streamer = streamer
        self._placer = placer
        self._usage = usage
        self._disconnect_watcher = disconnect_watcher
        self._registry = registry
        self._drain = drain
        self._lock = threading.Lock()
        self._active = 0
        self._jobs: set[jobs.Job] = set()
        self._started_s = time.monotonic()

    @property
    def active_count(self) -> int:
        """Number of requests in progress."""
        return self._active

    def serve(self, request: requests.Request, reply: replies.Reply) -> None:
        """Serves one request."""
        with self._lock:
            self._active += 1
        try:
            self._serve(request, reply)
        finally:
            with self._lock:
                self._active -= 1

    def cut(self) -> None:
        """Ends the requests in progress, as the host must exit.

        A caller that has no part of its answer yet gets one that says what is
        known; a stream that has begun is broken off.
        """
        with self._lock:
            running = list(self._jobs)
        for job in running:
            job.interrupt.fire(CUT_REASON)

    def _serve(self, request: requests.Request, reply: replies.Reply) -> None:
        begun_s = time.monotonic()
        call = self._protocol.read(request)
        self._wait_for_fleet(call)
        job_or_refusal = self._make_job(request, call, reply)
        if isinstance(job_or_refusal, ports.Refusal):
            self._refuse(call, reply, job_or_refusal, None)
            return
        job = job_or_refusal
        try:
            with (
                self._registered(job),
                self._disconnect_watcher.watched(
                    reply.sock,
                    lambda: job.interrupt.fire('caller disconnected'),
                ),
            ):
                refusal = self._run(job)
        except (
            exchanges.InterruptedCallError,
            serving_errors.CallerDisconnectedError,
        ):
            if job.interrupt.reason == CUT_REASON:
                self._end_cut(job)
                return
            # A later answer on this connection would be taken for this one's.
            reply.abort()
            self._record_disconnect(job)
            return
        if refusal is not None:
            self._refuse(call, reply, refusal, job)
        else:
            duration_ms = (time.monotonic() - begun_s) * 1000
            self._drain.durations.add(job.route.name, duration_ms)
            self._record_success(job)

    @contextlib.contextmanager
    def _registered(self, job: jobs.Job) -> typing.Iterator[None]:
        """Has ``cut`` end a request within the block."""
        with self._lock:
            self._jobs.add(job)
        try:
            yield
        finally:
            with self._lock:
                self._jobs.discard(job)

    def _end_cut(self, job: jobs.Job) -> None:
        """Answers a request that was cut, or breaks its stream off."""
        self._registry.count('requests_cut', 'route', job.route.name)
        LOG.warning(
            'request cut',
            extra={
                'call': job.call.call_id,
                'route': job.route.name,
                'elapsed_ms': round(job.elapsed_ms),
                'answer_begun': job.reply.started,
                'attempts': job.attempts.describe(),
            },
        )
        if job.reply.started:
            job.reply.abort()
            return
        refusal = ports.Refusal(
            ports.Reason.NOT_RUN, CUT_REASON, drains.RETRY_AFTER_MS
        )
        if job.attempts.may_have_run:
            refusal = ports.Refusal(ports.Reason.UNKNOWN, CUT_REASON)
        self._refuse(job.call, job.reply, refusal, job)

    def _wait_for_fleet(self, call: ports.Call) -> None:
        """Waits briefly for the fleet state on a newly started host.

        Callers reconnect right after a restart. A refusal would make them
        wait longer than control needs to send the fleet state.
        """
        uptime_ms = (time.monotonic() - self._started_s) * 1000
        if uptime_ms >= STARTUP_PERIOD_MS:
            return
        wait_ms = min(STARTUP_WAIT_MS, STARTUP_PERIOD_MS - uptime_ms)
        if call.deadline_ms is not None:
            wait_ms = min(wait_ms, call.deadline_ms * STARTUP_WAIT_SHARE)
        is_known = self._state.wait_until_complete(wait_ms / 1000)
        self._registry.count('starting_waits', 'fleet_known', str(is_known))

    def _make_job(
        self,
        request: requests.Request,
        call: ports.Call,
        reply: replies.Reply,
    ) -> jobs.Job | ports.Refusal:
        """Routes and authenticates a request.

        :returns: a refusal if there is no routing table, no matching route
            or no valid API key for a route that requires one
        """
        table = self._state.table
        if table is None:
            return ports.Refusal(
                ports.Reason.NOT_RUN,
                'no routing table yet',
                STARTUP_RETRY_AFTER_MS,
            )
        route = table.match(call.host, call.path)
        if route is None:
            return ports.Refusal(
                ports.Reason.NO_ROUTE, f'no match in table {table.version}'
            )
        workspace = None
        if table.requires_keys:
            workspace = (
                table.workspace_by_key(call.api_key) if call.api_key else None
            )
            if workspace is None and not route.is_public:
                return ports.Refusal(
                    ports.Reason.NO_KEY, f'not a key of table {table.version}'
                )
        return jobs.Job(
            request,
            call,
            reply,
            table,
            route,
            workspace,
            self._choose_service(route, call),
            interrupts.Interrupt(),
            self._state.regions,
        )

    def _choose_service(self, route: tables.Route, call: ports.Call) -> str:
        """Returns the service that began a resumed stream, if it is known."""
        if call.resumes_stream:
            origin = self._placer.find_origin(call.first_call_id)
            services = [target.service for target in route.targets]
            if origin is not None and origin.service in services:
                return origin.service
        return route.choose_service(random.random())

    def _run(self, job: jobs.Job) -> ports.Refusal | None:
        """Runs a request; returns None if the caller got a response."""
        refusal = self._drain.refuse_unfinishable(job)
        if refusal is not None:
            return refusal
        service = job.table.services[job.service]
        if service.engine is not None and job.call.prompt_tokens is not None:
            return self._streamer.run(job)
        refusal = self._charge_rate(job)
        if refusal is not None:
            return refusal
        result = self._forwarder.run(job)
        if isinstance(result, ports.Refusal):
            return result
        forwards.send_response(job.reply, result)
        return None

    def _charge_rate(self, job: jobs.Job) -> ports.Refusal | None:
        """Charges a request to its workspace's rate.

        Only for requests that need no placement; the others are charged when
        they are placed.

        :returns: a refusal if the workspace is over its rate limit, else None
        """
        workspace = job.workspace
        if workspace is None or workspace.rate_per_s <= 0:
            return None
        cost = float(workspace.cost(job.call.tokens))
        wait_ms = self._usage.wait_ms(workspace.name)
        if not wait_ms:
            wait_ms = self._placer.charge_rate(workspace, cost)
        if wait_ms:
            return ports.Refusal(
                ports.Reason.OVER_RATE, workspace.name, wait_ms
            )
        self._usage.add(workspace.name, cost)
        return None

    def _refuse(
        self,
        call: ports.Call,
        reply: replies.Reply,
        refusal: ports.Refusal,
        job: jobs.Job | None,
    ) -> None:
        if job is not None:
            refusal = self._require_proof(job, refusal)
        response = self._protocol.refusal_response(call, refusal)
        self._registry.count(
            'refused',
            'reason',
            refusal.reason.value,
            'by',
            _refused_by(refusal),
            'workspace',
            (job.workspace_name or '') if job else '',
        )
        LOG.warning(
            'request refused',
            extra={
                'call': call.call_id,
                'status': response.status,
                'reason': refusal.reason.value,
                'by': _refused_by(refusal),
                'detail': refusal.detail,
                'attempts': job.attempts.describe() if job else [],
                'route': job.route.name if job else None,
                'workspace': job.workspace_name if job else None,
                'retry_after_ms': refusal.retry_after_ms,
                'elapsed_ms': round(job.elapsed_ms) if job else None,
                'table_version': self._state.table_version,
            },
        )
        reply.send(response.status, response.headers, response.body)

    def _require_proof(
        self, job: jobs.Job, refusal: ports.Refusal
    ) -> ports.Refusal:
        """Returns a refusal without a promise that nothing proves."""
        if not refusal.reason.promises_not_run:
            return refusal
        if not job.attempts.may_have_run:
            return refusal
        self._registry.count('promises_contradicted', 'service', job.service)
        LOG.error(
            'refusal contradicts an attempt',
            extra={
                'call': job.call.call_id,
                'reason': refusal.reason.value,
                'detail': refusal.detail,
                'attempts': job.attempts.describe(),
            },
        )
        return ports.Refusal(ports.Reason.UNKNOWN, refusal.detail)

    def _record_disconnect(self, job: jobs.Job) -> None:
        self._registry.count('callers_left', 'route', job.route.name)
        LOG.info(
            'caller disconnected',
            extra={
                'call': job.call.call_id,
                'route': job.route.name,
                'elapsed_ms': round(job.elapsed_ms),
            },
        )

    def _record_success(self, job: jobs.Job) -> None:
        elapsed_ms = job.elapsed_ms
        self._registry.observe(
            'answer_ms', elapsed_ms, 'workspace', job.workspace_name or ''
        )
        LOG.info(
            'request served',
            extra={
                'call': job.call.call_id,
                'route': job.route.name,
                'elapsed_ms': round(elapsed_ms),
            },
        )


def _refused_by(refusal: ports.Refusal) -> str:
    return REFUSED_BY_ENDPOINT if refusal.by_endpoint else REFUSED_BY_HOST
