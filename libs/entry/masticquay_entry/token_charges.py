"""Charge of one model request to the rate of its workspace."""

from concurrent import futures

from returns import result

from masticquay_bundles import models
from masticquay_endpoints import errors
from masticquay_entry import dependencies
from masticquay_entry import placements
from masticquay_entry import refusals
from masticquay_entry import runs


class TokenCharge:
    """Charges the tokens of a request, and refunds those it did not use."""

    __slots__ = ('_deps', '_run', '_charged_tokens')

    def __init__(self, deps: dependencies.Dependencies, run: runs.Run):
        self._deps = deps
        self._run = run
        self._charged_tokens = 0

    def charge(self, tokens: int) -> None:
        """Charges tokens; a request without a workspace pays none.

        :raises Refusal: when the rate limiter refuses or does not answer
        :raises InterruptedCallError: when the request was interrupted
        """
        workspace = self._run.admission.workspace
        if not workspace:
            return
        service_class = self._run.admission.service_class
        wait_ms = service_class.max_wait_ms
        if service_class.kind != models.CLASS_DEFERRED:
            wait_ms = min(wait_ms, placements.MAX_RATE_WAIT_MS)
        future = self._deps.rates.charge(workspace, tokens, wait_ms)
        try:
            charged = self._run.interrupt.wait(
                future, wait_ms + placements.ADMIT_MARGIN_MS
            )
        except errors.EndpointError as cause:
            future.add_done_callback(self._refund_late_charge)
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

    def settle(self, used_tokens: int) -> None:
        """Refunds the tokens that were charged beyond the used ones."""
        unused_tokens = self._charged_tokens - used_tokens
        if unused_tokens > 0:
            self._deps.rates.refund(
                self._run.admission.workspace, unused_tokens
            )

    def _refund_late_charge(self, future: futures.Future) -> None:
        charged = future.result()
        if isinstance(charged, result.Success):
            self._deps.rates.refund(
                self._run.admission.workspace, charged.unwrap()
            )
