"""Placement of attempts on endpoints, common to all calls."""

from concurrent import futures

from returns import result

from masticquay_bundles import models
from masticquay_endpoints import errors
from masticquay_entry import dependencies
from masticquay_entry import refusals
from masticquay_entry import runs
from masticquay_scheduling import messages

MAX_ATTEMPTS = 4
# Added to a wait limit, for the reply of the pool or limiter to arrive.
ADMIT_MARGIN_MS = 1_000
# Longest wait for the rate limiter, except for deferred classes.
MAX_RATE_WAIT_MS = 500
BUSY_RETRY_AFTER_MS = 1_000


class AttemptError(Exception):
    """An attempt failed; the request may be retried.

    :param outcome: a ``FINISHED`` constant of scheduling
    :param endpoint: the endpoint at fault, empty when none is
    """

    def __init__(self, outcome: str, endpoint: str, cause: Exception):
        super().__init__(f'{outcome} at {endpoint or "no endpoint"}: {cause}')
        self.outcome = outcome
        self.endpoint = endpoint


class Placer:
    """Obtains a placement for each attempt of one request.

    :ivar attempt: the number of the current attempt, from 1
    :ivar excluded: endpoints that failed earlier attempts
    :ivar pool: empty when no pool has an endpoint for the target
    :ivar queue_wait_ms: sum of the waits for placements by a pool
    """

    def __init__(
        self, deps: dependencies.Dependencies, run: runs.Run, target: str
    ):
        self._deps = deps
        self._run = run
        self._target = target
        self.pool = deps.pools.pool_of(target, deps.membership.host.place)
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

        :param prefix_hashes: hashes of the prompt's blocks, none for a service
        :param max_output_tokens: 0 for a service
        :param late_decode: whether the pool may choose the decode endpoint
            after the prefill
        :returns: the placement by a pool, or a local one on an open route
            while this host holds no lease
        :raises Refusal: when the pool refuses, no endpoint serves the target,
            or the wait limit or deadline passes
        :raises InterruptedCallError: when the request was interrupted
        """
        if not self.pool and not self._must_place_locally():
            raise refusals.Refusal(
                503,
                messages.REASON_NO_ENDPOINT,
                'no endpoint serves this now',
                self._run.outcome,
                BUSY_RETRY_AFTER_MS,
            )
        run, clock = self._run, self._deps.clock
        service_class = run.admission.service_class
        self.attempt += 1
        remaining_ms = run.remaining_ms(clock)
        started_ms = clock.now_ms()
        elapsed_ms = started_ms - run.arrived_ms
        max_wait_ms = max(0, service_class.max_wait_ms - elapsed_ms)
        first_token_ms = service_class.first_token_target_ms - elapsed_ms
        if self.attempt > 1:
            # The request was accepted before, and its first token may have
            # been sent. A late answer is better than a refusal, so it gets a
            # new queue wait, and its first token is due by the deadline.
            max_wait_ms = service_class.max_wait_ms
            first_token_ms = remaining_ms
        admit = messages.Admit(
            self.pool,
            run.request_id,
            self.attempt,
            run.admission.workspace,
            service_class.name,
            prefix_hashes,
            prompt_tokens,
            max_output_tokens,
            max(1, min(first_token_ms, remaining_ms)),
            remaining_ms,
            min(max_wait_ms, remaining_ms),
            list(self.excluded),
            late_decode=late_decode,
        )
        if self._must_place_locally():
            return self._place_locally(admit)
        future = self._deps.pools.admit(admit)
        placed = self._wait_for_pool(future, max_wait_ms + ADMIT_MARGIN_MS)
        self.queue_wait_ms += clock.now_ms() - started_ms
        if isinstance(placed, result.Failure):
            refusal = refusals.from_scheduling(placed.failure())
            refusal.outcome = run.outcome
            raise refusal
        return placed.unwrap()

    def _must_place_locally(self) -> bool:
        """Whether this is an open route and this host holds no lease."""
        if self._run.admission.keyed:
            return False
        return not self._deps.membership.lease_valid()

    def _place_locally(self, admit: messages.Admit) -> messages.Placement:
        endpoints = self._run.admission.route_table.bundle.endpoints
        placement = self._deps.local_placer.place(
            endpoints, self._target, admit
        )
        if placement is None:
            raise refusals.Refusal(
                503,
                messages.REASON_NO_ENDPOINT,
                'this host is cut off and serves as much as it may',
                self._run.outcome,
                BUSY_RETRY_AFTER_MS,
            )
        return placement

    def _wait_for_pool(
        self, future: futures.Future, timeout_ms: int
    ) -> result.Result:
        """Returns the pool's reply: a placement or a refusal.

        A placement that arrives after the wait has ended is released.
        """
        try:
            return self._run.interrupt.wait(future, timeout_ms)
        except errors.EndpointError as cause:
            self._deps.pools.withdraw(self.pool, self._run.request_id)
            future.add_done_callback(self._release_late_placement)
            if isinstance(cause, errors.StalledError):
                raise refusals.Refusal(
                    503,
                    messages.REASON_DEADLINE,
                    'no place within the wait limit',
                    self._run.outcome,
                    BUSY_RETRY_AFTER_MS,
                ) from cause
            raise

    def _release_late_placement(self, future: futures.Future) -> None:
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
        """Reports the end of an attempt, which frees its reservations.

        :param outcome: a ``FINISHED`` constant of scheduling
        :param endpoint: the endpoint at fault, empty when none is
        """
        finished = messages.Finished(
            placement.request,
            placement.attempt,
            outcome,
            output_tokens,
            endpoint,
        )
        if placement.pool:
            self._deps.pools.finish(placement.pool, finished)
        else:
            self._deps.local_placer.finish(finished)

    def find_endpoint(self, name: str) -> models.Endpoint:
        """Returns an endpoint by name.

        The bundle in force is searched as well as the one that the request
        was admitted under, because a pool may already use a newer bundle.

        :raises AttemptError: when neither bundle has the endpoint
        """
        found = self._run.admission.route_table.endpoints.get(name)
        if found is not None:
            return found
        bundle = self._deps.membership.state().bundle
        for endpoint in bundle.endpoints:
            if endpoint.name == name:
                return endpoint
        raise AttemptError(
            messages.FINISHED_CANCELLED,
            '',
            LookupError('placement names an endpoint that is in no bundle'),
        )

    def allow_retry(self, failure: AttemptError) -> bool:
        """Excludes the endpoint at fault; returns whether to try again.

        A retry needs an attempt below ``MAX_ATTEMPTS`` and takes one retry
        from the budget.
        """
        if failure.endpoint:
            self.excluded.append(failure.endpoint)
        if self.attempt >= MAX_ATTEMPTS:
            return False
        return self._deps.budget.take()
