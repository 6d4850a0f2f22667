"""Runs model requests: placement, prefill, decode and resumption."""

import functools
import logging

from masticquay_gateway import decodes
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import failures
from masticquay_gateway import fleet_states
from masticquay_gateway import jobs
from masticquay_gateway import notices
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import placement_requests
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import prefills
from masticquay_gateway import quarantines
from masticquay_gateway import relays
from masticquay_gateway import request_keys
from masticquay_gateway import retries
from masticquay_gateway import wasted_prompts
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import unmeetable_deadlines
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
# After a failed prefill, only a prompt of at least this length gets another
# placement. A shorter one stays with its decode engine, where its prefill
# delays the other streams only a little.
PLACE_AGAIN_MIN_PROMPT_TOKENS = 1_000


class _FailedAttempt:
    """Why an attempt did not give the caller a complete response.

    :param refusal: sent to the caller if no other attempt succeeds
    :param can_retry: whether the request may be sent again
    :param not_sent: whether the request was not sent to a decode engine, so
        that the next attempt is no retry
    """

    __slots__ = ('refusal', 'can_retry', 'not_sent')

    def __init__(
        self, refusal: ports.Refusal, can_retry: bool, not_sent: bool = False
    ):
        self.refusal = refusal
        self.can_retry = can_retry
        self.not_sent = not_sent


class Streamer:
    """Runs model requests and retries them where allowed."""

    def __init__(
        self,
        host: str,
        state: fleet_states.FleetState,
        protocol: ports.EndpointProtocol,
        endpoint_paths: paths.Paths,
        placer: placers.Placer,
        budgets: retries.RetryBudgets,
        quarantine: quarantines.Quarantine,
        endpoint_notices: notices.EndpointNotices,
        registry: counters.Registry,
    ):
        self._notices = endpoint_notices
        self._requests = placement_requests.PlacementRequests(
            host, state, endpoint_notices
        )
        self._state = state
        self._quarantine = quarantine
        self._placer = placer
        self._budgets = budgets
        self._failure_reporter = failures.FailureReporter(
            placer, endpoint_paths, registry
        )
        self._prefiller = prefills.Prefiller(
            protocol,
            endpoint_paths,
            placer,
            budgets,
            self._failure_reporter,
            endpoint_notices,
            registry,
        )
        self._wasted = wasted_prompts.WastedPrompts(registry)
        self._decoder = decodes.Decoder(
            protocol, endpoint_paths, placer, endpoint_notices, registry
        )

    def run(self, job: jobs.Job) -> ports.Refusal | None:
        """Runs a request and relays its stream.

        :returns: a refusal if nothing was sent to the caller, else None
        :raises InterruptedCallError: if the caller disconnected
        """
        self._budgets.record_request(job.service)
        if not job.call.prompt_key:
            job.call.prompt_key = request_keys.prompt_key_of(job)
        stream = relays.RelayedStream()
        if job.call.resumes_stream:
            stream.software_version = self._placer.find_version(job)
        try:
            refusal = self._try_engines(job, stream)
        except exchanges.InterruptedCallError:
            self._drop_handle(job, stream, wasted_prompts.CALLER_LEFT)
            raise
        if refusal is None:
            return None
        self._drop_handle(job, stream, wasted_prompts.DECODE_REFUSED)
        return self._end_failed(job, stream, refusal)

    def _try_engines(
        self, job: jobs.Job, stream: relays.RelayedStream
    ) -> ports.Refusal | None:
        """Runs a request on up to ``MAX_ATTEMPTS`` placements.

        :returns: None if the caller got an engine's response
        """
        refusal: ports.Refusal | None = None
        is_first_send = True
        for attempt in range(MAX_ATTEMPTS):
            if not is_first_send and not self._budgets.acquire(job.service):
                break
            wait_ms = self._quarantine.wait_ms(job.call)
            if wait_ms:
                refusal = ports.join_refusals(
                    refusal, _harmful_refusal(wait_ms)
                )
                break
            wait_ms = self._notices.refusal_ms(self._decode_engines(job))
            if wait_ms:
                refusal = ports.join_refusals(
                    refusal, _withheld_refusal(wait_ms)
                )
                break
            placement = self._get_placement(job, stream, charged=attempt > 0)
            if isinstance(placement, placement_messages.Refused):
                refusal = ports.join_refusals(refusal, _to_refusal(placement))
                break
            failure = self._attempt(
                job, placement, stream, can_place_again=attempt == 0
            )
            if failure is None:
                return None
            is_first_send = failure.not_sent
            refusal = ports.join_refusals(refusal, failure.refusal)
            if not failure.can_retry or job.remaining_ms <= 0:
                break
        return refusal

    def _drop_handle(
        self, job: jobs.Job, stream: relays.RelayedStream, cause: str
    ) -> None:
        """Releases a handle that no decode engine has taken."""
        if stream.handle is not None:
            self._wasted.record(job, cause)
            self._prefiller.release_unused(stream)

    def _decode_engines(self, job: jobs.Job) -> list[fleets.Endpoint]:
        return [
            endpoint
            for endpoint in self._state.endpoints(job.service)
            if endpoint.role == fleets.ROLE_DECODE
            and job.allows_place(endpoint.place)
        ]

    def _attempt(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        stream: relays.RelayedStream,
        can_place_again: bool,
    ) -> _FailedAttempt | None:
        """Sends a request once and releases its placement.

        :param can_place_again: whether a failed prefill may lead to another
            placement
        :returns: None if the caller got an engine's response
        """
        engine_ok = True
        completed = False
        try:
            self._send(job, placement, stream, can_place_again)
            completed = True
            return None
        except errors.HarmfulPromptError as cause:
            return _FailedAttempt(
                _harmful_refusal(cause.wait_ms), can_retry=False
            )
        except errors.TooLateError as cause:
            return _FailedAttempt(
                _not_run_refusal(cause), can_retry=False, not_sent=True
            )
        except (errors.PrefillFailedError, errors.WithheldError) as cause:
            return _FailedAttempt(
                _not_run_refusal(cause), can_retry=True, not_sent=True
            )
        except errors.NotRunError as cause:
            self._failure_reporter.report_refusal(job, placement, cause)
            refusal = _not_run_refusal(cause, by_endpoint=True)
            return _FailedAttempt(refusal, can_retry=True)
        except errors.EngineFailedError as cause:
            engine_ok = False
            return self._handle_engine_failure(job, placement, stream, cause)
        except exchanges.NotSentError as cause:
            engine_ok = False
            self._failure_reporter.report_failure(job, placement.decode, cause)
            return _FailedAttempt(
                _not_run_refusal(cause),
                can_retry=True,
                not_sent=isinstance(cause, errors.NoPathError),
            )
        except exchanges.InterruptedCallError:
            raise
        except (
            exchanges.EndpointError,
            errors.TruncatedStreamError,
            errors.ResponseMismatchError,
        ) as cause:
            engine_ok = False
            return self._handle_broken_stream(job, placement, stream, cause)
        finally:
            self._placer.release(placement, engine_ok, completed)

    def _send(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        stream: relays.RelayedStream,
        can_place_again: bool,
    ) -> None:
        """Runs the prefill if it is to run separately, then the decode."""
        if stream.handle is not None and not stream.handle.is_fresh:
            self._wasted.record(job, wasted_prompts.HANDLE_LAPSED)
            stream.handle = None
        if placement.prefill is not None and stream.splitter.last_id is None:
            self._require_harmless(job)
            self._require_usable(job, placement.prefill)
            _require_time(job, placement)
            stream.handle = self._prefiller.prefill(
                job, placement, placement.prefill
            )
            stream.prefilled_ms = job.elapsed_ms
            if stream.handle is None and can_place_again:
                self._request_new_placement(job)
        refused = False
        try:
            self._require_harmless(job)
            self._require_usable(job, placement.decode)
            stream.can_move = functools.partial(
                self._can_move, job, placement.decode
            )
            self._decoder.run(job, placement, stream)
        except (errors.NotRunError, exchanges.NotSentError):
            # Another decode engine may take the handle.
            refused = True
            raise
        except Exception as cause:
            self._wasted.record_decode(job, stream, cause)
            raise
        finally:
            if not refused:
                self._prefiller.release_unused(stream)

    def _can_move(self, job: jobs.Job, decode: fleets.Endpoint) -> bool:
        """Whether another engine may go on with the stream of an engine."""
        return job.route.resumable and any(
            engine.endpoint_id != decode.endpoint_id
            and engine.software_version == decode.software_version
            and not self._notices.is_withheld(engine)
            for engine in self._decode_engines(job)
        )

    def _require_harmless(self, job: jobs.Job) -> None:
        """Checks what was found since the request began to wait.

        :raises HarmfulPromptError: if such prompts end engines
        """
        if wait_ms := self._quarantine.wait_ms(job.call):
            raise errors.HarmfulPromptError(wait_ms)

    def _require_usable(
        self, job: jobs.Job, endpoint: fleets.Endpoint
    ) -> None:
        """Checks what an engine said since the request was placed.

        The leader may have placed it on an engine that this host did not know.

        :raises WithheldError: if it leaves, wants a pause or is not allowed
        """
        if not job.allows_place(endpoint.place):
            job.tried_ids.add(endpoint.endpoint_id)
            raise errors.WithheldError(
                f'{endpoint.endpoint_id} is in no allowed region'
            )
        self._notices.require_usable(endpoint)

    def _request_new_placement(self, job: jobs.Job) -> None:
        """Requests another placement for a long prompt without a prefill.

        Running its prefill on the decode engine would stall that engine's
        other streams.

        :raises PrefillFailedError: if the prompt is long and the retry
            budget allows another placement
        """
        if (job.call.prompt_tokens or 0) < PLACE_AGAIN_MIN_PROMPT_TOKENS:
            return
        if self._budgets.acquire(job.service):
            raise errors.PrefillFailedError('prefill failed')

    def _handle_engine_failure(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        stream: relays.RelayedStream,
        cause: errors.EngineFailedError,
    ) -> _FailedAttempt | None:
        """Passes on an engine's error response, unless a stream has begun.

        :returns: None if the response was passed on
        """
        self._failure_reporter.log(
            job, placement, 'engine returned an error response', cause
        )
        if stream.started:
            refusal = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
            return _FailedAttempt(refusal, can_retry=True)
        job.reply.send(cause.status, cause.headers, cause.body)
        return None

    def _handle_broken_stream(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        stream: relays.RelayedStream,
        cause: Exception,
    ) -> _FailedAttempt:
        """Decides whether a broken stream is resumed, and where."""
        self._failure_reporter.report_failure(
            job, placement.decode, cause, stream.written_ms
        )
        if _may_hold_kv_cache(cause) and not stream.was_broken:
            stream.cache_engine_id = placement.decode.endpoint_id
            job.tried_ids.discard(stream.cache_engine_id)
        stream.was_broken = True
        if job.remaining_ms <= 0:
            refusal = ports.Refusal(ports.Reason.TIMED_OUT, str(cause))
            return _FailedAttempt(refusal, can_retry=False)
        refusal = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
        return _FailedAttempt(refusal, can_retry=job.route.resumable)

    def _end_failed(
        self,
        job: jobs.Job,
        stream: relays.RelayedStream,
        refusal: ports.Refusal | None,
    ) -> ports.Refusal | None:
        """Returns the refusal, or aborts a stream that has begun."""
        if not stream.started:
            return refusal
        job.reply.abort()
        LOG.warning(
            'stream aborted before its end',
            extra={
                'call': job.call.call_id,
                'last_event': stream.splitter.last_id,
                'detail': refusal.detail if refusal else '',
            },
        )
        return None

    def _get_placement(
        self, job: jobs.Job, stream: relays.RelayedStream, charged: bool
    ) -> placed_requests.RequestPlacement | placement_messages.Refused:
        request = self._requests.make(job, stream, charged)
        stream.cache_engine_id = ''
        placement = self._placer.place(request, job.interrupt)
        stream.placed_ms = job.elapsed_ms
        return placement


def _require_time(
    job: jobs.Job, placement: placed_requests.RequestPlacement
) -> None:
    """Checks that a prompt can be read before its caller gives up.

    :raises TooLateError: if it surely cannot
    """
    certain_ms = placement.prefill_ms * unmeetable_deadlines.CERTAIN_SHARE
    if certain_ms > job.give_up_ms:
        raise errors.TooLateError('too little time to read the prompt')


def _not_run_refusal(
    cause: Exception, by_endpoint: bool = False
) -> ports.Refusal:
    return ports.Refusal(
        ports.Reason.NOT_RUN,
        str(cause),
        placement_requests.RETRY_AFTER_MS,
        by_endpoint,
    )


def _harmful_refusal(wait_ms: int) -> ports.Refusal:
    return ports.Refusal(
        ports.Reason.NOT_RUN, messages.REASON_HARMFUL_PROMPT, wait_ms
    )


def _withheld_refusal(wait_ms: int) -> ports.Refusal:
    return ports.Refusal(
        ports.Reason.NOT_RUN, 'all engines leave or pause', wait_ms
    )


def _may_hold_kv_cache(cause: Exception) -> bool:
    """Whether the engine may still run and hold the prompt's KV cache."""
    return isinstance(cause, exchanges.EndpointError)


def _to_refusal(refused: placement_messages.Refused) -> ports.Refusal:
    reason = ports.Reason.NOT_RUN
    if refused.over_rate:
        reason = ports.Reason.OVER_RATE
    return ports.Refusal(reason, refused.reason, refused.retry_after_ms)
