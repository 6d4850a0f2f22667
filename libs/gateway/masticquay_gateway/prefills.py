"""Runs prefill of prompts and releases handles that remain unused."""

import logging
import threading
import time

from masticquay_endpoints import interrupts
from masticquay_gateway import answers
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import failures
from masticquay_gateway import jobs
from masticquay_gateway import notices
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import relays
from masticquay_gateway import retries
from masticquay_gateway import wasted_prompts
from masticquay_routing import engine_states
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 64 * 1024
# Time until an unused handle expires.
DEFAULT_HANDLE_TTL_MS = 500
RELEASE_TIMEOUT_MS = 500
# A release belongs to no request of a caller.
NO_CALL_ID = ''

UNRESPONSIVE_ERRORS = (exchanges.NotSentError, exchanges.StalledError)


class Prefiller:
    """Runs prefill on prefill engines."""

    def __init__(
        self,
        protocol: ports.EndpointProtocol,
        endpoint_paths: paths.Paths,
        placer: placers.Placer,
        budgets: retries.RetryBudgets,
        failure_reporter: failures.FailureReporter,
        endpoint_notices: notices.EndpointNotices,
        registry: counters.Registry,
    ):
        self._protocol = protocol
        self._paths = endpoint_paths
        self._placer = placer
        self._budgets = budgets
        self._failure_reporter = failure_reporter
        self._notices = endpoint_notices
        self._registry = registry
        self._wasted = wasted_prompts.WastedPrompts(registry)
        self._checker = answers.AnswerChecker(
            protocol, endpoint_notices, registry
        )

    def prefill(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        prefill: fleets.Endpoint,
    ) -> relays.PrefillHandle | None:
        """Runs the prefill of a prompt.

        :returns: a handle to the prompt's KV cache, None if the prefill
            failed
        :raises WithheldError: if the engine leaves or wants a pause
        :raises InterruptedCallError: if the caller disconnected
        """
        started_s = time.monotonic()
        try:
            handle_id = self._exchange(job, placement, prefill)
        except exchanges.InterruptedCallError as cause:
            self._wasted.record_prefill(job, cause)
            raise
        except errors.WithheldError:
            raise
        except (
            exchanges.EndpointError,
            errors.ResponseMismatchError,
        ) as cause:
            self._wasted.record_prefill(job, cause)
            self._failure_reporter.report_failure(
                job, prefill, cause, in_prefill=True
            )
            if not isinstance(cause, UNRESPONSIVE_ERRORS):
                # Only the response was lost, so the engine may be used again.
                job.tried_ids.discard(prefill.endpoint_id)
            self._budgets.record_retry(job.service)
            return None
        except (errors.NotRunError, errors.ProtocolError) as cause:
            if isinstance(cause, errors.ProtocolError):
                self._wasted.record_prefill(job, cause)
            self._failure_reporter.report_prefill_refusal(
                job, placement, cause
            )
            self._budgets.record_retry(job.service)
            return None
        duration_ms = (time.monotonic() - started_s) * 1000
        self._placer.finish_prefill(placement)
        self._registry.observe('prefill_ms', duration_ms)
        return relays.PrefillHandle(
            prefill, handle_id, self._handle_ttl_ms(job) / 1000
        )

    def release_unused(self, stream: relays.RelayedStream) -> None:
        """Releases a stream's handle unless a decode engine has used it.

        An engine that wants a pause, names a limit or is evacuated gets no
        such request either: the handle expires soon by itself.
        """
        handle, stream.handle = stream.handle, None
        if handle is None or stream.started:
            return
        if self._notices.takes_releases(handle.prefill):
            threading.Thread(
                target=self._delete_handle, args=(handle,), daemon=True
            ).start()

    def _exchange(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        prefill: fleets.Endpoint,
    ) -> str:
        purpose = ports.ExchangePurpose(
            job.call.call_id,
            needs_stamp=False,
            allows_place=job.allows_place,
        )
        with self._paths.open(
            prefill,
            job.interrupt,
            purpose,
            self._timeout_ms(job, placement),
        ) as exchange:
            self._notices.require_usable(prefill)
            exchange.send(
                job.request.method,
                job.request.target,
                self._protocol.prefill_headers(
                    job.request.headers, prefill, job.engine_context()
                ),
                job.request.body,
                self._timeout_ms(job, placement),
            )
            head = self._checker.check(
                job.call.call_id, prefill, exchange, needs_stamp=False
            )
            body = exchange.read_body(MAX_RESPONSE_BYTES)
        if head.status != 200:
            raise errors.NotRunError(
                f'prefill engine refused with status {head.status}',
                head.status,
            )
        return self._protocol.read_handle(body)

    def _handle_ttl_ms(self, job: jobs.Job) -> int:
        table = job.table
        engine = table.services[job.service].engine if table else None
        return engine.handle_ttl_ms if engine else DEFAULT_HANDLE_TTL_MS

    def _timeout_ms(
        self, job: jobs.Job, placement: placed_requests.RequestPlacement
    ) -> int:
        expected_ms = max(
            placement.prefill_ms, engine_states.MIN_EXPECTED_PREFILL_MS
        )
        limit_ms = int(expected_ms * engine_states.PREFILL_TIMEOUT_FACTOR)
        return max(1, min(job.remaining_ms, limit_ms))

    def _delete_handle(self, handle: relays.PrefillHandle) -> None:
        path = self._protocol.release_path(handle.handle_id)
        try:
            with self._paths.open(
                handle.prefill,
                interrupts.Interrupt(),
                ports.ExchangePurpose(NO_CALL_ID, needs_stamp=False),
                RELEASE_TIMEOUT_MS,
            ) as exchange:
                exchange.send('DELETE', path, [], b'', RELEASE_TIMEOUT_MS)
                self._checker.check(
                    NO_CALL_ID, handle.prefill, exchange, needs_stamp=False
                )
                exchange.read_body(MAX_RESPONSE_BYTES)
        except (
            exchanges.EndpointError,
            errors.NotRunError,
            errors.ResponseMismatchError,
        ) as cause:
            LOG.info(
                'releasing a prefill handle failed',
                extra={
                    'endpoint': handle.prefill.endpoint_id,
                    'cause': str(cause),
                },
            )
