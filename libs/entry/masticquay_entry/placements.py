"""Admission to pools, and the end of attempts: common to all calls."""

from concurrent import futures

from returns import result

from masticquay_bundles import models
from masticquay_endpoints import errors
from masticquay_entry import backends
from masticquay_entry import refusals
from masticquay_entry import runs
from masticquay_scheduling import messages

MAX_ATTEMPTS = 4
ADMIT_MARGIN_MS = 1_000
RATE_WAIT_MS = 500
BUSY_RETRY_AFTER_MS = 1_000


class AttemptError(Exception):
    """An attempt failed; another one may follow.

    :param outcome: a ``FINISHED`` constant of scheduling
    :param endpoint: the endpoint at fault, empty when none is
    """

    def __init__(self, outcome: str, endpoint: str, cause: Exception):
        super().__init__(f'{outcome} at {endpoint or "no endpoint"}: {cause}')
        self.outcome = outcome
        self.endpoint = endpoint


class Placer:
    """Obtains the placements of one request, attempt by attempt."""

    def __init__(self, parts: backends.Backends, run: runs.Run, target: str):
        self._parts = parts
        self._run = run
        self._target = target
        self.pool = parts.pools.pool_of(target, parts.membership.host.place)
        self.attempt = 0
        self.excluded: list[str] = []
        self.queue_wait_ms = 0

    def place(
        self,
        prefix_hashes: list[int],
        prompt_tokens: int,
        max_output_tokens: int,
        late_decode: bool,
    ) -> messages.Placement:
        """Waits for a placement.

        :param late_decode: the decode endpoint may come after the prefill
        :raises Refusal: when the pool refuses
        :raises InterruptedCallError: when the request was interrupted
        """
        if not self.pool and not self._is_cut_off():
            raise refusals.Refusal(
                503,
                messages.REASON_NO_ENDPOINT,
                'no endpoint serves this now',
                self._run.outcome,
                BUSY_RETRY_AFTER_MS,
            )
        run, clock = self._run, self._parts.clock
        service_class = run.admission.service_class
        self.attempt += 1
        left_ms = run.left_ms(clock)
        started_ms = clock.now_ms()
        elapsed_ms = started_ms - run.arrived_ms
        max_wait_ms = max(0, service_class.max_wait_ms - elapsed_ms)
        first_token_ms = service_class.first_token_target_ms - elapsed_ms
        if self.attempt > 1:
            # An accepted request is worth finishing late, and its first token
            # may be out already: it waits anew, up to its deadline.
            max_wait_ms = service_class.max_wait_ms
            first_token_ms = left_ms
        admit = messages.Admit(
            self.pool,
            run.request,
            self.attempt,
            run.admission.workspace,
            service_class.name,
            prefix_hashes,
            prompt_tokens,
            max_output_tokens,
            max(1, min(first_token_ms, left_ms)),
            left_ms,
            min(max_wait_ms, left_ms),
            list(self.excluded),
            late_decode=late_decode,
        )
        if self._is_cut_off():
            return self._place_locally(admit)
        future = self._parts.pools.admit(admit)
        placed = self._wait(future, max_wait_ms + ADMIT_MARGIN_MS)
        self.queue_wait_ms += clock.now_ms() - started_ms
        if isinstance(placed, result.Failure):
            refusal = refusals.from_scheduling(placed.failure())
            refusal.outcome = run.outcome
            raise refusal
        return placed.unwrap()

    def _is_cut_off(self) -> bool:
        if self._run.admission.keyed:
            return False
        return not self._parts.membership.lease_valid()

    def _place_locally(self, admit: messages.Admit) -> messages.Placement:
        endpoints = self._run.admission.table.bundle.endpoints
        placement = self._parts.local.place(endpoints, self._target, admit)
        if placement is None:
            raise refusals.Refusal(
                503,
                messages.REASON_NO_ENDPOINT,
                'this host is cut off and serves as much as it may',
                self._run.outcome,
                BUSY_RETRY_AFTER_MS,
            )
        return placement

    def _wait(self, future: futures.Future, timeout_ms: int) -> result.Result:
        """Waits for the pool; a placement that comes too late is freed."""
        try:
            return self._run.interrupt.wait(future, timeout_ms)
        except errors.EndpointError as cause:
            self._parts.pools.withdraw(self.pool, self._run.request)
            future.add_done_callback(self._free_late)
            if isinstance(cause, errors.StalledError):
                raise refusals.Refusal(
                    503,
                    messages.REASON_DEADLINE,
                    'no place within the wait limit',
                    self._run.outcome,
                    BUSY_RETRY_AFTER_MS,
                ) from cause
            raise

    def _free_late(self, future: futures.Future) -> None:
        placed = future.result()
        if isinstance(placed, result.Success):
            placement = placed.unwrap()
            self.finish(placement, messages.FINISHED_CANCELLED)

    def finish(
        self,
        placement: messages.Placement,
        outcome: str,
        endpoint: str = '',
        output_tokens: int = 0,
    ) -> None:
        """Frees the places of an attempt."""
        finished = messages.Finished(
            placement.request,
            placement.attempt,
            outcome,
            output_tokens,
            endpoint,
        )
        if placement.pool:
            self._parts.pools.finish(placement.pool, finished)
        else:
            self._parts.local.finish(finished)

    def find_endpoint(self, name: str) -> models.Endpoint:
        """Returns an endpoint of the bundle of the request.

        A pool may act under a newer bundle already.

        :raises AttemptError: when neither bundle has the endpoint
        """
        found = self._run.admission.table.endpoints.get(name)
        if found is not None:
            return found
        bundle = self._parts.membership.state().bundle
        for endpoint in bundle.endpoints:
            if endpoint.name == name:
                return endpoint
        raise AttemptError(
            messages.FINISHED_CANCELLED, '', LookupError('unknown endpoint')
        )

    def allow_retry(self, failure: AttemptError) -> bool:
        """Excludes the endpoint at fault; returns whether to try again."""
        if failure.endpoint:
            self.excluded.append(failure.endpoint)
        if self.attempt >= MAX_ATTEMPTS:
            return False
        return self._parts.budget.take()
