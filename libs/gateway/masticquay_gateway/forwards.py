"""Forwards requests to plain services, with retries where allowed."""

import contextlib
import logging
import time

from masticquay_gateway import answers
from masticquay_gateway import endpoint_choices
from masticquay_gateway import endpoint_limits
from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import fleet_states
from masticquay_gateway import jobs
from masticquay_gateway import notices
from masticquay_gateway import paths
from masticquay_gateway import ports
from masticquay_gateway import request_watches
from masticquay_gateway import retries
from masticquay_gateway import slots
from masticquay_gateway import timeout_causes
from masticquay_routing import choosers
from masticquay_routing import endpoint_statistics
from masticquay_routing import fleets
from masticquay_routing import server_loads
from masticquay_serving import counters
from masticquay_serving import replies

LOG = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Part of the remaining time that an attempt may take if a retry may follow. A
# reused connection whose peer has disappeared without a reset would otherwise
# use up all of it.
ATTEMPT_TIME_SHARE = 0.5
# With these an endpoint refuses what it has no room for.
FULL_STATUSES = (429, 503)
RETRY_AFTER_MS = endpoint_choices.RETRY_AFTER_MS


class Response:
    """An endpoint's whole response."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(self, status: int, headers: ports.Headers, body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


class Forwarder:
    """Runs requests on plain services, those without model engines."""

    def __init__(
        self,
        state: fleet_states.FleetState,
        protocol: ports.EndpointProtocol,
        endpoint_paths: paths.Paths,
        chooser: choosers.Chooser,
        budgets: retries.RetryBudgets,
        endpoint_notices: notices.EndpointNotices,
        limits: endpoint_limits.EndpointLimits,
        watch: request_watches.RequestWatch,
        endpoint_slots: slots.Slots,
        registry: counters.Registry,
    ):
        self._notices = endpoint_notices
        self._limits = limits
        self._watch = watch
        self._slots = endpoint_slots
        self._choices = endpoint_choices.EndpointChoices(
            state,
            chooser,
            endpoint_notices,
            limits,
            endpoint_slots,
            registry,
        )
        self._protocol = protocol
        self._paths = endpoint_paths
        self._chooser = chooser
        self._budgets = budgets
        self._registry = registry
        self._checker = answers.AnswerChecker(
            protocol, endpoint_notices, registry
        )

    def run(self, job: jobs.Job) -> Response | ports.Refusal:
        """Runs a request, at several endpoints in turn if necessary.

        :returns: an endpoint's response, or a refusal if no endpoint gave one
        :raises InterruptedCallError: if the caller disconnected
        """
        refusal: ports.Refusal | None = None
        self._budgets.record_request(job.service)
        error_response: Response | None = None
        while self._has_attempts_left(job):
            with self._watch.begin(job) as watched:
                if watched.wait_ms:
                    refused = _harmful_refusal(watched.wait_ms)
                    joined = ports.join_refusals(refusal, refused)
                    return error_response or joined
                try:
                    outcome = self._run_once(job, watched)
                except errors.NoSlotError as cause:
                    refused = ports.Refusal(
                        ports.Reason.NOT_RUN, str(cause), cause.wait_ms
                    )
                    joined = ports.join_refusals(refusal, refused)
                    return error_response or joined
                watched.survived = isinstance(outcome, Response)
            if outcome is None:
                break
            if isinstance(outcome, Response):
                if not self._should_retry(job, outcome):
                    return outcome
                error_response = outcome
                continue
            refusal = ports.join_refusals(refusal, outcome)
            if outcome.reason is ports.Reason.NOT_RUN:
                continue
            if not job.route.retryable:
                return outcome
        return error_response or refusal or self._choices.refuse(job)

    def _run_once(
        self, job: jobs.Job, watched: request_watches.WatchedAttempt
    ) -> Response | ports.Refusal | None:
        """Makes one attempt; returns None if no endpoint may get one.

        :raises NoSlotError: if the leader has no slot for it in time
        """
        with contextlib.ExitStack() as stack:
            choice = self._choices.choose(job, stack)
            if choice is None or job.remaining_ms <= 0:
                return None
            if not self._watch.allows(job, watched):
                return ports.Refusal(
                    ports.Reason.NOT_RUN,
                    'became a suspect while it waited',
                    RETRY_AFTER_MS,
                )
            if job.tried_ids and not self._budgets.acquire(job.service):
                return None
            job.tried_ids.add(choice.endpoint.endpoint_id)
            return self._attempt(
                job, choice.endpoint, watched.is_trial, choice.slot
            )

    def _has_attempts_left(self, job: jobs.Job) -> bool:
        return len(job.tried_ids) < max(job.route.attempts, 1)

    def _should_retry(self, job: jobs.Job, response: Response) -> bool:
        return (
            response.status >= 500
            and job.route.retryable
            and len(job.tried_ids) < job.route.attempts
        )

    def _attempt(
        self,
        job: jobs.Job,
        endpoint: fleets.Endpoint,
        is_trial: bool,
        slot: slots.Slot | None = None,
    ) -> Response | ports.Refusal:
        statistics = self._chooser.statistics(endpoint.endpoint_id)
        statistics.begin()
        self._registry.count('attempts', 'endpoint', endpoint.endpoint_id)
        started_s = time.monotonic()
        started_ms = _now_ms()
        try:
            outcome = self._exchange(job, endpoint, statistics, slot)
        except exchanges.InterruptedCallError:
            raise
        except errors.WithheldError as cause:
            outcome = self._record_withheld(job, endpoint, cause)
        except exchanges.NotSentError as cause:
            if not isinstance(cause, errors.NoPathError):
                statistics.record_failure(_now_ms(), unreachable=True)
            outcome = ports.Refusal(
                ports.Reason.NOT_RUN,
                f'endpoint not reached: {cause}',
                RETRY_AFTER_MS,
            )
        except errors.NotRunError as cause:
            outcome = self._record_refusal(endpoint, statistics, cause, slot)
        except errors.ResponseMismatchError as cause:
            statistics.record_failure(_now_ms())
            outcome = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
        except exchanges.StalledError as cause:
            if not isinstance(cause, exchanges.BudgetTimeoutError):
                statistics.record_timeout(started_ms, _now_ms())
            self._registry.count(
                'attempts_timed_out', 'cause', timeout_causes.find_cause(cause)
            )
            outcome = ports.Refusal(ports.Reason.TIMED_OUT, str(cause))
        except errors.PathLostError as cause:
            reason = ports.Reason.UNKNOWN
            if cause.is_stalled:
                reason = ports.Reason.TIMED_OUT
            outcome = ports.Refusal(reason, str(cause))
        except exchanges.EndpointError as cause:
            statistics.record_failure(_now_ms())
            outcome = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
            if exchanges.broke_off(cause) and self._paths.has_ended(
                endpoint, cause
            ):
                self._record_end(job, endpoint, is_trial)
        finally:
            statistics.end()
        if slot is not None and isinstance(outcome, ports.Refusal):
            slot.record_refusal(outcome)
        self._record_if_failed(job, endpoint, outcome, started_s)
        return outcome

    def _record_end(
        self, job: jobs.Job, endpoint: fleets.Endpoint, is_trial: bool
    ) -> None:
        """Records an endpoint that broke a request off because it ended."""
        key = self._watch.record_end(job, endpoint, is_trial)
        self._registry.count('endpoints_ended', 'service', job.service)
        LOG.warning(
            'endpoint ended under a request',
            extra={
                'call': job.call.call_id,
                'endpoint': endpoint.endpoint_id,
                'attempt': len(job.tried_ids),
                'request': key,
            },
        )

    def _exchange(
        self,
        job: jobs.Job,
        endpoint: fleets.Endpoint,
        statistics: endpoint_statistics.EndpointStatistics,
        slot: slots.Slot | None = None,
    ) -> Response:
        started_s = time.monotonic()
        purpose = ports.ExchangePurpose(
            job.call.call_id, allows_place=job.allows_place
        )
        with (
            job.attempts.sending(endpoint.endpoint_id),
            self._paths.open(
                endpoint, job.interrupt, purpose, self._timeout_ms(job)
            ) as exchange,
        ):
            self._notices.require_usable(endpoint)
            exchange.send(
                job.request.method,
                job.request.target,
                # After the wait for a connection, as they name the time left.
                self._protocol.run_headers(
                    job.request.headers, endpoint, job.endpoint_context()
                ),
                job.request.body,
                self._timeout_ms(job),
            )
            self._limits.count_sent(endpoint, len(job.tried_ids) > 1)
            head = self._checker.check(job.call.call_id, endpoint, exchange)
            body = exchange.read_body(MAX_RESPONSE_BYTES)
        now_ms = _now_ms()
        self._record_load(endpoint, statistics, head.load, slot)
        if head.status >= 500:
            statistics.record_error(now_ms)
            if slot is not None:
                slot.has_failed = True
        else:
            duration_ms = (time.monotonic() - started_s) * 1000
            statistics.record_success(duration_ms, now_ms)
            if slot is not None:
                slot.duration_ms = duration_ms
        return Response(head.status, head.headers, body)

    def _record_load(
        self,
        endpoint: fleets.Endpoint,
        statistics: endpoint_statistics.EndpointStatistics,
        load: server_loads.ServerLoad | None,
        slot: slots.Slot | None,
    ) -> None:
        if load is None:
            return
        statistics.record_load(load.in_flight, _now_ms(), load.believed_pace)
        self._slots.record_load(endpoint, load)
        if slot is not None:
            slot.load = load

    def _record_refusal(
        self,
        endpoint: fleets.Endpoint,
        statistics: endpoint_statistics.EndpointStatistics,
        cause: errors.NotRunError,
        slot: slots.Slot | None,
    ) -> ports.Refusal:
        self._record_load(endpoint, statistics, cause.load, slot)
        statistics.record_refusal(_now_ms())
        pause_ms = self._notices.pause_ms(endpoint)
        is_full = cause.status in FULL_STATUSES and not pause_ms
        if is_full:
            self._slots.record_full(endpoint)
        if slot is not None:
            slot.is_rejected = is_full
            slot.pause_ms = pause_ms
        return ports.Refusal(
            ports.Reason.NOT_RUN,
            str(cause),
            RETRY_AFTER_MS,
            by_endpoint=True,
        )

    def _record_withheld(
        self,
        job: jobs.Job,
        endpoint: fleets.Endpoint,
        cause: errors.WithheldError,
    ) -> ports.Refusal:
        """Records an endpoint that got no request after a wait.

        It was not tried, so another one may be.
        """
        job.tried_ids.discard(endpoint.endpoint_id)
        return ports.Refusal(
            ports.Reason.NOT_RUN,
            str(cause),
            self._choices.refuse(job).retry_after_ms,
            by_endpoint=True,
        )

    def _timeout_ms(self, job: jobs.Job) -> int:
        remaining_ms = max(1, job.remaining_ms)
        if job.route.retryable and len(job.tried_ids) < job.route.attempts:
            return max(1, int(remaining_ms * ATTEMPT_TIME_SHARE))
        return remaining_ms

    def _record_if_failed(
        self,
        job: jobs.Job,
        endpoint: fleets.Endpoint,
        outcome: Response | ports.Refusal,
        started_s: float,
    ) -> None:
        duration_ms = (time.monotonic() - started_s) * 1000
        if isinstance(outcome, Response) and outcome.status < 500:
            return
        outcome_text = (
            str(outcome.status)
            if isinstance(outcome, Response)
            else f'{outcome.reason.value}: {outcome.detail}'
        )
        self._registry.count('attempts_failed', 'service', job.service)
        LOG.warning(
            'attempt failed',
            extra={
                'call': job.call.call_id,
                'endpoint': endpoint.endpoint_id,
                'attempt': len(job.tried_ids),
                'duration_ms': round(duration_ms, 1),
                'outcome': outcome_text,
            },
        )


def send_response(reply: replies.Reply, response: Response) -> None:
    """Sends a whole response to the caller."""
    reply.send(response.status, response.headers, response.body)


def _harmful_refusal(wait_ms: int) -> ports.Refusal:
    return ports.Refusal(
        ports.Reason.NOT_RUN, 'endpoints ended under this request', wait_ms
    )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
