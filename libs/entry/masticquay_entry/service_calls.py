"""Calls of plain services, sent at most once on non-idempotent routes."""

import hashlib
from urllib import parse

from masticquay_endpoints import errors
from masticquay_endpoints import protocols
from masticquay_entry import caller_requests
from masticquay_entry import dependencies
from masticquay_entry import intents
from masticquay_entry import placements
from masticquay_entry import refusals
from masticquay_entry import runs
from masticquay_membership import intent_messages
from masticquay_scheduling import messages
from masticquay_scheduling import prefixes

REPLAYED_HEADER = 'Masticquay-Replayed'
OMITTED_HEADER = 'Masticquay-Answer-Omitted'
REQUEST_ID_HEADER = 'Masticquay-Request-Id'
MAX_STORED_BODY_BYTES = 262_144
IN_PROGRESS_RETRY_AFTER_MS = 1_000
BAD_GATEWAY_RETRY_AFTER_MS = 500
PATH_SAFE_CHARS = "/:@!$&'()*+,;=~-._"

# Hop-by-hop and server headers of an endpoint's answer; not passed on.
UNRETURNED_HEADERS = frozenset(
    [
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'server',
        'te',
        'trailer',
        'trailers',
        'transfer-encoding',
        'upgrade',
    ]
)
# Only this router may set response headers with this prefix.
OWN_HEADER_PREFIX = 'masticquay-'


class ServiceAnswer:
    """The answer of a service, as it is returned to the caller."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ):
        self.status = status
        self.headers = headers
        self.body = body


class ServiceCall:
    """Makes one call of a service, with retries."""

    def __init__(
        self,
        deps: dependencies.Dependencies,
        run: runs.Run,
        request: caller_requests.CallerRequest,
    ):
        self._deps = deps
        self._run = run
        self._request = request
        self._service = run.admission.route.service
        self._placer = placements.Placer(deps, run, self._service)
        self._path = endpoint_path(request, self._service)

    @property
    def queue_wait_ms(self) -> int:
        """The time that the call waited for placements."""
        return self._placer.queue_wait_ms

    def run(self) -> ServiceAnswer:
        """Makes the call and returns its answer.

        :raises Refusal: when there is no answer
        """
        try:
            answer = self._send_with_retries()
        except errors.InterruptedCallError as cause:
            raise self._run.refusal_for(cause.reason) from cause
        self._deps.budget.record_success()
        return ServiceAnswer(
            answer.status, returned_headers(answer.headers), answer.body
        )

    def _send_with_retries(self) -> protocols.Answer:
        prompt_tokens = prefixes.count_tokens(self._request.body)
        while True:
            placement = self._placer.place([], prompt_tokens, 0, False)
            try:
                return self._run_attempt(placement)
            except placements.AttemptError as failure:
                if self._placer.allow_retry(failure):
                    self._deps.metrics.count_retry(failure.outcome)
                    continue
                raise refusals.Refusal(
                    502,
                    'service-failed',
                    'the service failed',
                    self._run.outcome,
                    BAD_GATEWAY_RETRY_AFTER_MS,
                ) from failure

    def _run_attempt(self, placement: messages.Placement) -> protocols.Answer:
        """Sends the call to the endpoint of a placement.

        A placement names the endpoint of a service as its decode endpoint.

        :raises AttemptError: when the call failed and may be sent again
        :raises Refusal: when a non-idempotent call may have run
        """
        outcome, faulty_endpoint = messages.FINISHED_CANCELLED, ''
        name = placement.decode_endpoint
        try:
            self._deps.registry.begin_dispatch(self._run)
            answer = self._send_request(placement)
            outcome = messages.FINISHED_DONE
            return answer
        except errors.InterruptedCallError:
            raise
        except errors.EndpointError as cause:
            outcome, faulty_endpoint = messages.FINISHED_DECODE_FAILED, name
            if isinstance(cause, errors.NotSentError):
                self._deps.registry.cancel_dispatch(self._run)
            elif self._run.finishes_once_dispatched:
                raise _unknown_outcome(cause) from cause
            raise placements.AttemptError(outcome, name, cause) from cause
        finally:
            self._placer.finish(placement, outcome, faulty_endpoint)

    def _send_request(self, placement: messages.Placement) -> protocols.Answer:
        endpoint = self._placer.find_endpoint(placement.decode_endpoint)
        remaining_ms = self._run.remaining_ms(self._deps.clock)
        # Only an idempotent call can be retried after a timeout.
        if (
            not self._run.finishes_once_dispatched
            and placement.transfer_timeout_ms
        ):
            remaining_ms = min(remaining_ms, placement.transfer_timeout_ms)
        headers = [
            *self._request.headers,
            (REQUEST_ID_HEADER, str(self._run.request_id)),
        ]
        with self._run.sending():
            return self._deps.client_cache.service(endpoint.address).send(
                self._request.method,
                self._path,
                headers,
                self._request.body,
                remaining_ms,
                self._run.interrupt,
            )


class AtMostOnceCall:
    """A non-idempotent call: its intent is recorded before it is sent."""

    def __init__(
        self,
        call: ServiceCall,
        intent_recorder: intents.IntentRecorder,
        run: runs.Run,
        request: caller_requests.CallerRequest,
    ):
        self._call = call
        self._intent_recorder = intent_recorder
        self._run = run
        self._request = request

    @property
    def queue_wait_ms(self) -> int:
        """The time that the call waited for placements."""
        return self._call.queue_wait_ms

    def run(self) -> ServiceAnswer:
        """Makes the call, or replays the recorded answer of an earlier one.

        :raises Refusal: when there is no answer
        """
        key = self._request.idempotency_key
        if not key:
            raise refusals.bad_request(
                'no-idempotency-key',
                'this route needs the header '
                f'{caller_requests.IDEMPOTENCY_HEADER}',
            )
        workspace = self._run.admission.workspace
        state = self._intent_recorder.begin(
            workspace, key, self._digest_request()
        )
        if state.state != intent_messages.INTENT_BEGUN:
            return _replay_answer(state)
        outcome, stored = intent_messages.OUTCOME_UNKNOWN, None
        try:
            answer = self._call.run()
            outcome = intent_messages.OUTCOME_RAN
            stored = _make_stored_answer(answer)
            return answer
        except refusals.Refusal as refusal:
            outcome = refusal.outcome
            raise
        finally:
            self._intent_recorder.finish(workspace, key, outcome, stored)

    def _digest_request(self) -> bytes:
        digest = hashlib.sha256()
        target = f'{self._request.path}?{self._request.query}'
        for part in (self._request.method, target):
            digest.update(part.encode('utf-8', 'replace') + b'\n')
        digest.update(self._request.body)
        return digest.digest()


def endpoint_path(request: caller_requests.CallerRequest, service: str) -> str:
    """Returns the path and query to send to the endpoint.

    The prefix ``/services/SERVICE`` is removed from the path.

    :raises Refusal: when the endpoint could take the path for another one
    """
    path = request.path
    segments = path.split('/')
    if '.' in segments or '..' in segments or '' in segments[1:-1]:
        raise refusals.bad_request('bad-path', 'the path is not canonical')
    if any(ord(char) < 32 or ord(char) == 127 for char in path):
        raise refusals.bad_request('bad-path', 'a control character')
    prefix = f'/services/{service}'
    if path == prefix or path.startswith(prefix + '/'):
        path = path[len(prefix) :] or '/'
    path = parse.quote(path, safe=PATH_SAFE_CHARS, encoding='latin-1')
    return f'{path}?{request.query}' if request.query else path


def returned_headers(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns the headers of an answer that are passed to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in UNRETURNED_HEADERS
        and not name.lower().startswith(OWN_HEADER_PREFIX)
        and '\n' not in value
        and '\r' not in value
    ]


def _unknown_outcome(cause: errors.EndpointError) -> refusals.Refusal:
    stalled = isinstance(cause, errors.StalledError)
    return refusals.Refusal(
        504 if stalled else 502,
        'outcome-unknown',
        'the service may have done the call; it is not repeated',
        refusals.UNKNOWN,
    )


def _make_stored_answer(answer: ServiceAnswer) -> intent_messages.StoredAnswer:
    headers = dict(answer.headers)
    body = answer.body
    if len(body) > MAX_STORED_BODY_BYTES:
        body = b''
        headers[OMITTED_HEADER] = 'true'
    return intent_messages.StoredAnswer(answer.status, headers, body)


def _replay_answer(
    state: intent_messages.IntentState,
) -> ServiceAnswer:
    """Returns the recorded answer of an earlier call with the same key.

    :raises Refusal: when there is none, or the key belongs to another request
    """
    if state.state == intent_messages.INTENT_FINISHED:
        stored = state.answer
        if stored is None:
            raise refusals.Refusal(
                409, 'answer-lost', 'it ran; no answer is kept', refusals.RAN
            )
        headers = [*stored.headers.items(), (REPLAYED_HEADER, 'true')]
        return ServiceAnswer(stored.status, headers, stored.body)
    if state.state == intent_messages.INTENT_MISMATCH:
        raise refusals.Refusal(
            422,
            'idempotency-key-reused',
            'another request was made under this idempotency key',
        )
    if state.state == intent_messages.INTENT_IN_PROGRESS:
        raise refusals.Refusal(
            409,
            'in-progress',
            'the call under this idempotency key is under way',
            refusals.UNKNOWN,
            IN_PROGRESS_RETRY_AFTER_MS,
        )
    raise refusals.Refusal(
        409,
        'outcome-unknown',
        'the call under this idempotency key may have run',
        refusals.UNKNOWN,
    )
