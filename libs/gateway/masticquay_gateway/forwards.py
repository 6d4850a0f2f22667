"""Requests to plain services: one endpoint after the other, if allowed."""

import logging
import time

from masticquay_gateway import exchanges
from masticquay_gateway import fleet_states
from masticquay_gateway import jobs
from masticquay_gateway import ports
from masticquay_gateway import retries
from masticquay_routing import choosers
from masticquay_routing import fleets
from masticquay_serving import counters
from masticquay_serving import replies

LOG = logging.getLogger(__name__)

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# A kept connection may have gone silent; a repeatable request does not wait
# on it for longer than this part of its time.
FIRST_TRY_SHARE = 0.5
RETURN_MS = 300


class Answer:
    """An endpoint's whole answer."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(self, status: int, headers: ports.Headers, body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


class Forwarder:
    """Runs requests on plain services."""

    def __init__(
        self,
        state: fleet_states.FleetState,
        protocol: ports.EndpointProtocol,
        pools: exchanges.Exchanges,
        chooser: choosers.Chooser,
        budgets: retries.Budgets,
        registry: counters.Registry,
    ):
        self._state = state
        self._protocol = protocol
        self._pools = pools
        self._chooser = chooser
        self._budgets = budgets
        self._registry = registry

    def run(self, job: jobs.Job) -> Answer | ports.Refusal:
        """Runs a request and returns its outcome.

        :raises InterruptedCallError: when the caller left
        """
        nothing = ports.Refusal(ports.Reason.NOT_RUN, 'no endpoint', RETURN_MS)
        refusal: ports.Refusal | None = None
        self._budgets.note_request(job.service)
        kept: Answer | None = None
        while True:
            endpoint = self._choose(job)
            if endpoint is None or job.remaining_ms <= 0:
                return kept or refusal or nothing
            if job.tried and not self._may_repeat(job):
                return kept or refusal or nothing
            job.tried.add(endpoint.endpoint_id)
            outcome = self._attempt(job, endpoint)
            if isinstance(outcome, Answer):
                if not self._is_worth_repeating(job, outcome):
                    return outcome
                kept = outcome
                continue
            refusal = ports.join_refusals(refusal, outcome)
            if outcome.reason is ports.Reason.NOT_RUN:
                continue
            if not job.route.repeatable:
                return outcome

    def _choose(self, job: jobs.Job) -> fleets.Endpoint | None:
        return self._chooser.choose(
            self._state.endpoints(job.service), job.tried, _now_ms()
        )

    def _may_repeat(self, job: jobs.Job) -> bool:
        if len(job.tried) >= max(job.route.attempts, 1):
            return False
        return self._budgets.take(job.service)

    def _is_worth_repeating(self, job: jobs.Job, answer: Answer) -> bool:
        return (
            answer.status >= 500
            and job.route.repeatable
            and len(job.tried) < job.route.attempts
        )

    def _attempt(
        self, job: jobs.Job, endpoint: fleets.Endpoint
    ) -> Answer | ports.Refusal:
        record = self._chooser.record(endpoint.endpoint_id)
        record.in_flight += 1
        started_s = time.monotonic()
        try:
            outcome = self._exchange(job, endpoint, record)
        except exchanges.InterruptedCallError:
            raise
        except exchanges.NotSentError as cause:
            record.note_failure(_now_ms(), hard=True)
            outcome = ports.Refusal(
                ports.Reason.NOT_RUN, f'not reached: {cause}', RETURN_MS
            )
        except exchanges.StalledError as cause:
            record.note_failure(_now_ms(), hard=True)
            outcome = ports.Refusal(ports.Reason.TIMED_OUT, str(cause))
        except exchanges.EndpointError as cause:
            record.note_failure(_now_ms(), hard=True)
            outcome = ports.Refusal(ports.Reason.UNKNOWN, str(cause))
        finally:
            record.in_flight -= 1
        self._note(job, endpoint, outcome, started_s)
        return outcome

    def _exchange(
        self,
        job: jobs.Job,
        endpoint: fleets.Endpoint,
        record: choosers.Record,
    ) -> Answer | ports.Refusal:
        headers = self._protocol.run_headers(
            job.request.headers, endpoint, job.terms()
        )
        started_s = time.monotonic()
        with self._pools.open(endpoint, job.interrupt) as exchange:
            response = exchange.send(
                job.request.method,
                job.request.target,
                headers,
                job.request.body,
                self._timeout_ms(job),
            )
            head = self._protocol.read_head(
                job.call, response.status, exchanges.headers_of(exchange)
            )
            body = exchange.read_body(MAX_ANSWER_BYTES)
        now_ms = _now_ms()
        if head.load is not None:
            record.note_load(head.load, now_ms)
        if not head.ran:
            record.note_failure(now_ms, hard=False)
            return ports.Refusal(
                ports.Reason.NOT_RUN, f'refused {response.status}', RETURN_MS
            )
        if not head.genuine:
            record.note_failure(now_ms, hard=True)
            return ports.Refusal(ports.Reason.UNKNOWN, 'not its answer')
        if response.status >= 500:
            record.note_failure(now_ms, hard=False)
        else:
            record.note_success((time.monotonic() - started_s) * 1000, now_ms)
        return Answer(response.status, head.headers, body)

    def _timeout_ms(self, job: jobs.Job) -> int:
        remaining_ms = max(1, job.remaining_ms)
        if job.route.repeatable and len(job.tried) < job.route.attempts:
            return max(1, int(remaining_ms * FIRST_TRY_SHARE))
        return remaining_ms

    def _note(
        self,
        job: jobs.Job,
        endpoint: fleets.Endpoint,
        outcome: Answer | ports.Refusal,
        started_s: float,
    ) -> None:
        duration_ms = (time.monotonic() - started_s) * 1000
        if isinstance(outcome, Answer) and outcome.status < 500:
            return
        said = (
            str(outcome.status)
            if isinstance(outcome, Answer)
            else f'{outcome.reason.value}: {outcome.detail}'
        )
        self._registry.count('attempts_failed', 'service', job.service)
        LOG.warning(
            'attempt failed',
            extra={
                'call': job.call.call_id,
                'endpoint': endpoint.endpoint_id,
                'attempt': len(job.tried),
                'duration_ms': round(duration_ms, 1),
                'outcome': said,
            },
        )


def send(reply: replies.Reply, answer: Answer) -> None:
    """Sends a whole answer to the caller."""
    reply.send(answer.status, answer.headers, answer.body)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
