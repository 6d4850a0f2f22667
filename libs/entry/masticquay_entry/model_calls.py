"""One model request: charge, placement, prefill, decode, resume, settle."""

from collections import abc
import contextlib
import json

from returns import result

from masticquay_bundles import models
from masticquay_endpoints import errors
from masticquay_endpoints import protocols
from masticquay_entry import backends
from masticquay_entry import completions
from masticquay_entry import placements
from masticquay_entry import refusals
from masticquay_entry import runs
from masticquay_scheduling import messages
from masticquay_scheduling import prefixes

# Lower numbers go first at engines.
PRIORITIES = {
    models.CLASS_PROMPT: 0,
    models.CLASS_STANDARD: 1,
    models.CLASS_DEFERRED: 2,
}
MAX_RESUMES = 4
PENDING_CANCEL_MS = 1_000
BAD_GATEWAY_RETRY_MS = 500

Batches = abc.Iterator[protocols.TokenBatch]


class ModelCall:
    """Runs one model request over as many attempts as it takes."""

    def __init__(
        self,
        parts: backends.Backends,
        run: runs.Run,
        request: completions.CompletionRequest,
    ):
        self._parts = parts
        self._run = run
        self._request = request
        self._placer = placements.Placer(parts, run, request.model)
        self._charged_tokens = 0
        self._touched: set[str] = set()
        self._texts: list[bytes] = []

    @property
    def output_tokens(self) -> int:
        """How many tokens have come so far."""
        return len(self._texts)

    @property
    def texts(self) -> list[bytes]:
        """The tokens so far, as JSON strings."""
        return self._texts

    @property
    def queue_wait_ms(self) -> int:
        """How long the request waited for placements."""
        return self._placer.queue_wait_ms

    def stream(self) -> Batches:
        """Yields the tokens, each once and in order.

        Closing the iterator cancels the request.

        :raises Refusal: when the request ends without its whole answer
        """
        try:
            self._charge()
            hashes = prefixes.hash_blocks(self._request.prompt)
            while True:
                placement = self._placer.place(
                    hashes,
                    self._request.prompt_tokens,
                    self._request.max_tokens - self.output_tokens,
                    late_decode=True,
                )
                try:
                    yield from self._attempt(placement)
                    return
                except placements.AttemptError as failure:
                    self._check_retry(failure)
        except errors.InterruptedCallError as cause:
            raise self._run.refusal_for(cause.reason) from cause
        finally:
            self._settle()

    def _charge(self) -> None:
        workspace = self._run.admission.workspace
        if not workspace:
            return
        service_class = self._run.admission.service_class
        wait_ms = service_class.max_wait_ms
        if service_class.kind != models.CLASS_DEFERRED:
            wait_ms = min(wait_ms, placements.RATE_WAIT_MS)
        tokens = self._request.prompt_tokens + self._request.max_tokens
        future = self._parts.rates.charge(workspace, tokens, wait_ms)
        try:
            charged = self._run.interrupt.wait(
                future, wait_ms + placements.ADMIT_MARGIN_MS
            )
        except errors.EndpointError as cause:
            future.add_done_callback(self._refund_late)
            if isinstance(cause, errors.StalledError):
                raise refusals.Refusal(
                    503,
                    'no-limiter',
                    'the rate limiter does not answer',
                    retry_after_ms=placements.BUSY_RETRY_AFTER_MS,
                ) from cause
            raise
        if isinstance(charged, result.Failure):
            raise refusals.from_scheduling(charged.failure())
        self._charged_tokens = charged.unwrap()

    def _refund_late(self, future) -> None:
        charged = future.result()
        if isinstance(charged, result.Success):
            self._parts.rates.refund(
                self._run.admission.workspace, charged.unwrap()
            )

    def _check_retry(self, failure: placements.AttemptError) -> None:
        if self._placer.allow_retry(failure):
            self._parts.metrics.count_retry(failure.outcome)
            return
        raise refusals.Refusal(
            502,
            failure.outcome,
            'the engines failed',
            self._run.outcome,
            BAD_GATEWAY_RETRY_MS,
        ) from failure

    def _attempt(self, placement: messages.Placement) -> Batches:
        ending = _Ending()
        try:
            self._parts.registry.begin_dispatch(self._run)
            prefill = self._prefill(placement, ending)
            placement = self._bind_decode(placement, prefill)
            yield from self._decode(placement, prefill, ending)
            ending.outcome = messages.FINISHED_DONE
            self._parts.budget.record_success()
        except placements.AttemptError as failure:
            ending.outcome = failure.outcome
            ending.endpoint = failure.endpoint
            raise
        finally:
            self._end_attempt(placement, ending)

    def _prefill(
        self, placement: messages.Placement, ending: '_Ending'
    ) -> protocols.PrefillResult | None:
        name = placement.prefill_endpoint
        if not name or name == placement.decode_endpoint:
            return None
        address = self._touch(name, ending)
        run = self._run
        timeout_ms = min(placement.prefill_timeout_ms, self._left_ms())
        try:
            with run.sending():
                done = self._parts.catalog.engine(address).prefill(
                    str(run.request),
                    placement.attempt,
                    self._request.model,
                    self._request.prompt,
                    self._priority(),
                    timeout_ms,
                    run.interrupt,
                )
        except errors.InterruptedCallError:
            raise
        except errors.EndpointError as cause:
            raise placements.AttemptError(
                messages.FINISHED_PREFILL_FAILED, name, cause
            ) from cause
        if placement.decode_endpoint:
            self._parts.pools.report_prefill_done(
                placement.pool, run.request, placement.attempt
            )
        return done

    def _bind_decode(
        self,
        placement: messages.Placement,
        prefill: protocols.PrefillResult | None,
    ) -> messages.Placement:
        """Completes a placement that came without a decode endpoint."""
        if placement.decode_endpoint or prefill is None:
            return placement
        expires_ms = min(prefill.expires_ms, self._left_ms())
        future = self._parts.pools.await_decode(
            placement.pool, self._run.request, placement.attempt, expires_ms
        )
        try:
            bound = self._run.interrupt.wait(
                future, expires_ms + placements.ADMIT_MARGIN_MS
            )
        except errors.StalledError as cause:
            raise placements.AttemptError(
                messages.FINISHED_TRANSFER_FAILED, '', cause
            ) from cause
        if isinstance(bound, result.Failure):
            cause = LookupError(bound.failure().reason)
            raise placements.AttemptError(
                messages.FINISHED_TRANSFER_FAILED, '', cause
            )
        return bound.unwrap()

    def _decode(
        self,
        placement: messages.Placement,
        prefill: protocols.PrefillResult | None,
        ending: '_Ending',
    ) -> Batches:
        name = placement.decode_endpoint
        address = self._touch(name, ending)
        engine = self._parts.catalog.engine(address)
        started = self.output_tokens
        batches = self._begin(engine, placement, prefill)
        if prefill is None and placement.prefill_endpoint:
            batches = self._report_prefill(placement, batches)
        resumes = 0
        while True:
            try:
                with self._run.sending():
                    yield from self._take(batches)
                return
            except errors.InterruptedCallError:
                raise
            except errors.EndpointError as cause:
                # A resume that brought no token shows an engine at fault.
                progressed = self.output_tokens > started
                if not progressed or resumes >= MAX_RESUMES:
                    raise _decode_failure(name, cause) from cause
                started = self.output_tokens
                resumes += 1
                self._parts.metrics.count_resume()
                batches = self._resume(engine, placement)

    def _begin(
        self,
        engine: protocols.Engine,
        placement: messages.Placement,
        prefill: protocols.PrefillResult | None,
    ) -> Batches:
        first_timeout_ms = placement.transfer_timeout_ms
        source_address = handle = ''
        if prefill is None:
            first_timeout_ms += placement.prefill_timeout_ms
        else:
            source = self._placer.find_endpoint(placement.prefill_endpoint)
            source_address, handle = source.address, prefill.handle
        so_far = ''.join(json.loads(text) for text in self._texts)
        request = protocols.DecodeRequest(
            str(self._run.request),
            placement.attempt,
            self._request.model,
            self._request.prompt,
            source_address,
            handle,
            self._request.max_tokens,
            self.output_tokens,
            so_far,
            self._priority(),
        )
        return engine.decode(
            request,
            min(first_timeout_ms, self._left_ms()),
            placement.stall_timeout_ms,
            self._run.interrupt,
        )

    def _resume(
        self, engine: protocols.Engine, placement: messages.Placement
    ) -> Batches:
        return engine.resume(
            str(self._run.request),
            placement.attempt,
            self.output_tokens,
            min(placement.stall_timeout_ms, self._left_ms()),
            self._run.interrupt,
        )

    def _report_prefill(
        self, placement: messages.Placement, batches: Batches
    ) -> Batches:
        """Reports the end of a prefill that the decoding engine made itself.

        The first token shows it.
        """
        reported = False
        with contextlib.closing(batches):
            for batch in batches:
                if not reported:
                    reported = True
                    self._parts.pools.report_prefill_done(
                        placement.pool, self._run.request, placement.attempt
                    )
                yield batch

    def _take(self, batches: Batches) -> Batches:
        """Passes batches on once they were found to follow the last one."""
        with contextlib.closing(batches):
            for batch in batches:
                if batch.first_index != len(self._texts):
                    raise errors.GarbledError('tokens out of order')
                if self._is_too_long(batch):
                    raise errors.GarbledError('more tokens than asked for')
                self._texts += batch.texts
                yield batch

    def _is_too_long(self, batch: protocols.TokenBatch) -> bool:
        total = len(self._texts) + len(batch.texts)
        return total > self._request.max_tokens

    def _touch(self, name: str, ending: '_Ending') -> str:
        """Returns an endpoint's address, to be cancelled at later.

        A cancel of an earlier attempt that is still under way there would
        hit this attempt too, so it ends first.
        """
        address = self._placer.find_endpoint(name).address
        pending = self._parts.canceller.find_pending(
            address, str(self._run.request)
        )
        if pending is not None:
            try:
                self._run.interrupt.wait(pending, PENDING_CANCEL_MS)
            except errors.StalledError as cause:
                raise placements.AttemptError(
                    messages.FINISHED_DECODE_FAILED, name, cause
                ) from cause
        ending.touched.append(address)
        self._touched.add(address)
        return address

    def _end_attempt(
        self, placement: messages.Placement, ending: '_Ending'
    ) -> None:
        """Frees the places, once the engines have acknowledged a cancel."""

        def finish() -> None:
            self._placer.finish(
                placement,
                ending.outcome,
                ending.endpoint,
                self.output_tokens,
            )

        if ending.outcome == messages.FINISHED_CANCELLED:
            self._touched.difference_update(ending.touched)
            self._parts.canceller.submit_all(
                ending.touched, str(self._run.request), finish
            )
            return
        finish()
        if ending.outcome == messages.FINISHED_DONE:
            self._touched.difference_update(ending.touched)
        elif ending.endpoint:
            address = self._placer.find_endpoint(ending.endpoint).address
            self._touched.discard(address)
            self._parts.canceller.submit(address, str(self._run.request))

    def _settle(self) -> None:
        """Cancels what earlier attempts left, and refunds unused tokens."""
        for address in self._touched:
            self._parts.canceller.submit(address, str(self._run.request))
        used_tokens = 0
        if self._run.may_have_run:
            used_tokens = self._request.prompt_tokens + self.output_tokens
        unused_tokens = self._charged_tokens - used_tokens
        if unused_tokens > 0:
            self._parts.rates.refund(
                self._run.admission.workspace, unused_tokens
            )

    def _priority(self) -> int:
        return PRIORITIES[self._run.admission.service_class.kind]

    def _left_ms(self) -> int:
        return self._run.left_ms(self._parts.clock)


class _Ending:
    """How an attempt ended, and the engines that it touched."""

    __slots__ = ('outcome', 'endpoint', 'touched')

    def __init__(self) -> None:
        self.outcome = messages.FINISHED_CANCELLED
        self.endpoint = ''
        self.touched: list[str] = []


def _decode_failure(
    name: str, cause: errors.EndpointError
) -> placements.AttemptError:
    if isinstance(cause, errors.RefusedError) and cause.status == 409:
        return placements.AttemptError(
            messages.FINISHED_TRANSFER_FAILED, '', cause
        )
    return placements.AttemptError(
        messages.FINISHED_DECODE_FAILED, name, cause
    )
