"""One model request, from charging its tokens to refunding unused ones."""

from collections import abc
import contextlib
import json

from returns import result

from masticquay_bundles import models
from masticquay_endpoints import errors
from masticquay_endpoints import protocols
from masticquay_entry import completions
from masticquay_entry import dependencies
from masticquay_entry import placements
from masticquay_entry import refusals
from masticquay_entry import runs
from masticquay_entry import token_charges
from masticquay_scheduling import messages
from masticquay_scheduling import prefixes

# Engines serve lower numbers first.
ENGINE_PRIORITIES = {
    models.CLASS_URGENT: 0,
    models.CLASS_STANDARD: 1,
    models.CLASS_DEFERRED: 2,
}
MAX_RESUMES = 4
PENDING_CANCEL_TIMEOUT_MS = 1_000
BAD_GATEWAY_RETRY_AFTER_MS = 500

Batches = abc.Iterator[protocols.TokenBatch]


class ModelCall:
    """Runs one model request, with retries and resumes."""

    def __init__(
        self,
        deps: dependencies.Dependencies,
        run: runs.Run,
        request: completions.CompletionRequest,
    ):
        self._deps = deps
        self._run = run
        self._request = request
        self._placer = placements.Placer(deps, run, request.model)
        self._charge = token_charges.TokenCharge(deps, run)
        self._addresses_to_cancel: set[str] = set()
        self._texts: list[bytes] = []

    @property
    def output_tokens(self) -> int:
        """The number of tokens received so far."""
        return len(self._texts)

    @property
    def texts(self) -> list[bytes]:
        """The tokens received so far, each as a JSON string literal."""
        return self._texts

    @property
    def queue_wait_ms(self) -> int:
        """The time that the request waited for its placements."""
        return self._placer.queue_wait_ms

    def stream(self) -> Batches:
        """Yields the tokens, each once and in order.

        Closing the iterator cancels the request.

        :raises Refusal: when the request ends without its complete answer
        """
        try:
            self._charge.charge(
                self._request.prompt_tokens + self._request.max_tokens
            )
            hashes = prefixes.hash_blocks(self._request.prompt)
            while True:
                placement = self._placer.place(
                    hashes,
                    self._request.prompt_tokens,
                    self._request.max_tokens - self.output_tokens,
                    late_decode=True,
                )
                try:
                    yield from self._run_attempt(placement)
                    return
                except placements.AttemptError as failure:
                    self._check_retry(failure)
        except errors.InterruptedCallError as cause:
            raise self._run.refusal_for(cause.reason) from cause
        finally:
            self._settle()

    def _check_retry(self, failure: placements.AttemptError) -> None:
        """Returns if the request may be retried.

        :raises Refusal: when no attempt or retry budget is left
        """
        if self._placer.allow_retry(failure):
            self._deps.metrics.count_retry(failure.outcome)
            return
        raise refusals.Refusal(
            502,
            failure.outcome,
            'the engines failed',
            self._run.outcome,
            BAD_GATEWAY_RETRY_AFTER_MS,
        ) from failure

    def _run_attempt(self, placement: messages.Placement) -> Batches:
        ending = _Ending()
        try:
            self._deps.registry.begin_dispatch(self._run)
            prefill = self._prefill(placement, ending)
            placement = self._await_decode_endpoint(placement, prefill)
            yield from self._decode(placement, prefill, ending)
            ending.outcome = messages.FINISHED_DONE
            self._deps.budget.record_success()
        except placements.AttemptError as failure:
            ending.outcome = failure.outcome
            ending.endpoint = failure.endpoint
            raise
        finally:
            self._end_attempt(placement, ending)

    def _prefill(
        self, placement: messages.Placement, ending: '_Ending'
    ) -> protocols.PrefillResult | None:
        """Runs the prefill on an engine of its own.

        Returns None when the decode engine also runs the prefill.

        :raises AttemptError: when the prefill fails
        """
        name = placement.prefill_endpoint
        if not name or name == placement.decode_endpoint:
            return None
        address = self._register_engine_use(name, ending)
        run = self._run
        timeout_ms = min(placement.prefill_timeout_ms, self._remaining_ms())
        try:
            with run.sending():
                prefill_result = self._deps.client_cache.engine(
                    address
                ).prefill(
                    str(run.request_id),
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
            self._deps.pools.report_prefill_done(
                placement.pool, run.request_id, placement.attempt
            )
        return prefill_result

    def _await_decode_endpoint(
        self,
        placement: messages.Placement,
        prefill: protocols.PrefillResult | None,
    ) -> messages.Placement:
        """Returns a placement with a decode endpoint.

        Asks the pool for one when the placement came without it.

        :raises AttemptError: when the pool has none before the prefill result
            expires
        """
        if placement.decode_endpoint or prefill is None:
            return placement
        expires_ms = min(prefill.expires_ms, self._remaining_ms())
        future = self._deps.pools.await_decode(
            placement.pool, self._run.request_id, placement.attempt, expires_ms
        )
        try:
            completed = self._run.interrupt.wait(
                future, expires_ms + placements.ADMIT_MARGIN_MS
            )
        except errors.StalledError as cause:
            raise placements.AttemptError(
                messages.FINISHED_TRANSFER_FAILED, '', cause
            ) from cause
        if isinstance(completed, result.Failure):
            # The reason is a REASON constant of the pool's refusal.
            cause = LookupError(completed.failure().reason)
            raise placements.AttemptError(
                messages.FINISHED_TRANSFER_FAILED, '', cause
            )
        return completed.unwrap()

    def _decode(
        self,
        placement: messages.Placement,
        prefill: protocols.PrefillResult | None,
        ending: '_Ending',
    ) -> Batches:
        """Streams tokens; resumes a broken stream up to ``MAX_RESUMES`` times.

        :raises AttemptError: when the decode fails
        """
        name = placement.decode_endpoint
        address = self._register_engine_use(name, ending)
        engine = self._deps.client_cache.engine(address)
        tokens_before = self.output_tokens
        batches = self._start_decode(engine, placement, prefill)
        if prefill is None and placement.prefill_endpoint:
            batches = self._report_prefill_at_first_token(placement, batches)
        resumes = 0
        while True:
            try:
                with self._run.sending():
                    yield from self._check_batches(batches)
                return
            except errors.InterruptedCallError:
                raise
            except errors.EndpointError as cause:
                # An engine that fails before its first token, or again
                # without a token after a resume, is at fault.
                progressed = self.output_tokens > tokens_before
                if not progressed or resumes >= MAX_RESUMES:
                    raise _decode_failure(name, cause) from cause
                tokens_before = self.output_tokens
                resumes += 1
                self._deps.metrics.count_resume()
                batches = self._resume(engine, placement)

    def _start_decode(
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
        output_so_far = ''.join(json.loads(text) for text in self._texts)
        request = protocols.DecodeRequest(
            str(self._run.request_id),
            placement.attempt,
            self._request.model,
            self._request.prompt,
            source_address,
            handle,
            self._request.max_tokens,
            self.output_tokens,
            output_so_far,
            self._priority(),
        )
        return engine.decode(
            request,
            min(first_timeout_ms, self._remaining_ms()),
            placement.stall_timeout_ms,
            self._run.interrupt,
        )

    def _resume(
        self, engine: protocols.Engine, placement: messages.Placement
    ) -> Batches:
        return engine.resume(
            str(self._run.request_id),
            placement.attempt,
            self.output_tokens,
            min(placement.stall_timeout_ms, self._remaining_ms()),
            self._run.interrupt,
        )

    def _report_prefill_at_first_token(
        self, placement: messages.Placement, batches: Batches
    ) -> Batches:
        """Passes batches on; reports the end of the prefill at the first one.

        Used when the decode engine also runs the prefill, since only its
        first token shows that the prefill has ended.
        """
        reported = False
        with contextlib.closing(batches):
            for batch in batches:
                if not reported:
                    reported = True
                    self._deps.pools.report_prefill_done(
                        placement.pool, self._run.request_id, placement.attempt
                    )
                yield batch

    def _check_batches(self, batches: Batches) -> Batches:
        """Passes batches on after checking that they are contiguous.

        :raises ProtocolViolationError: when tokens are out of order or too
            many
        """
        with contextlib.closing(batches):
            for batch in batches:
                if batch.first_index != len(self._texts):
                    raise errors.ProtocolViolationError(
                        'engine sent tokens that are out of order'
                    )
                if self._is_too_long(batch):
                    raise errors.ProtocolViolationError(
                        'engine sent more tokens than max_tokens'
                    )
                self._texts += batch.texts
                yield batch

    def _is_too_long(self, batch: protocols.TokenBatch) -> bool:
        total = len(self._texts) + len(batch.texts)
        return total > self._request.max_tokens

    def _register_engine_use(self, name: str, ending: '_Ending') -> str:
        """Registers that an attempt uses an engine; returns its address.

        A registered engine gets a cancel if the attempt fails. First waits
        for a pending cancel of an earlier attempt at the same engine, which
        would also cancel this attempt.

        :raises AttemptError: when the pending cancel does not end in time
        """
        address = self._placer.find_endpoint(name).address
        pending = self._deps.canceller.find_pending(
            address, str(self._run.request_id)
        )
        if pending is not None:
            try:
                self._run.interrupt.wait(pending, PENDING_CANCEL_TIMEOUT_MS)
            except errors.StalledError as cause:
                raise placements.AttemptError(
                    messages.FINISHED_DECODE_FAILED, name, cause
                ) from cause
        ending.addresses.append(address)
        self._addresses_to_cancel.add(address)
        return address

    def _end_attempt(
        self, placement: messages.Placement, ending: '_Ending'
    ) -> None:
        """Reports the end of an attempt, which frees its reservations.

        The end of a cancelled attempt is reported only after its engines have
        acknowledged the cancel, or the cancel was given up.
        """

        def finish() -> None:
            self._placer.finish(
                placement,
                ending.outcome,
                ending.endpoint,
                self.output_tokens,
            )

        if ending.outcome == messages.FINISHED_CANCELLED:
            self._addresses_to_cancel.difference_update(ending.addresses)
            self._deps.canceller.submit_all(
                ending.addresses, str(self._run.request_id), finish
            )
            return
        finish()
        if ending.outcome == messages.FINISHED_DONE:
            self._addresses_to_cancel.difference_update(ending.addresses)
        elif ending.endpoint:
            address = self._placer.find_endpoint(ending.endpoint).address
            self._addresses_to_cancel.discard(address)
            self._deps.canceller.submit(address, str(self._run.request_id))

    def _settle(self) -> None:
        """Cancels what failed attempts hold, and refunds unused tokens."""
        for address in self._addresses_to_cancel:
            self._deps.canceller.submit(address, str(self._run.request_id))
        used_tokens = 0
        if self._run.may_have_run:
            used_tokens = self._request.prompt_tokens + self.output_tokens
        self._charge.settle(used_tokens)

    def _priority(self) -> int:
        return ENGINE_PRIORITIES[self._run.admission.service_class.kind]

    def _remaining_ms(self) -> int:
        return self._run.remaining_ms(self._deps.clock)


class _Ending:
    """How an attempt ended.

    The outcome stays ``FINISHED_CANCELLED`` unless the attempt completes or
    raises an ``AttemptError``, so it also stands for an interrupt, a refusal
    and a caller that left.

    :ivar endpoint: the endpoint at fault, empty when none is
    :ivar addresses: the engines that the attempt used
    """

    __slots__ = ('outcome', 'endpoint', 'addresses')

    def __init__(self) -> None:
        self.outcome = messages.FINISHED_CANCELLED
        self.endpoint = ''
        self.addresses: list[str] = []


def _decode_failure(
    name: str, cause: errors.EndpointError
) -> placements.AttemptError:
    """Returns the attempt error for a failed decode.

    Status 409 means that the KV cache to import is gone, or that the request
    was cancelled at the engine. No endpoint is then at fault, so the retry
    excludes none.
    """
    if isinstance(cause, errors.RefusedError) and cause.status == 409:
        return placements.AttemptError(
            messages.FINISHED_TRANSFER_FAILED, '', cause
        )
    return placements.AttemptError(
        messages.FINISHED_DECODE_FAILED, name, cause
    )
