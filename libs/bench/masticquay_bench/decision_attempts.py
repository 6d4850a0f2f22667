"""The steps of simulated requests, from arrival to the last attempt."""

from masticquay_bench import decision_engines
from masticquay_bench import decision_states
from masticquay_bench import decision_traces
from masticquay_bundles import models
from masticquay_scheduling import messages

# One-way delay of a message between hosts.
HOP_MS = 1
# Interval of retries at a decode engine without a free slot.
BUSY_RETRY_DELAY_MS = 20
MAX_ATTEMPTS = 4


class AttemptRunner:
    """Runs the attempts to serve each request, as its entry host would.

    :param classes: the service classes by name
    """

    __slots__ = ('_state', '_classes')

    def __init__(
        self,
        state: decision_states.State,
        classes: dict[str, models.ServiceClass],
    ):
        self._state = state
        self._classes = classes

    def arrive(self, request: decision_traces.Request) -> None:
        if request.host in self._state.failed_hosts:
            request.host = 'h1'
        outcome = decision_states.Outcome(request)
        self._state.outcomes.append(outcome)
        self._admit_attempt(decision_states.Attempt(outcome, 1), [])

    def _admit_attempt(
        self, attempt: decision_states.Attempt, excluded: list[str]
    ) -> None:
        """Asks the policy for a placement, one hop away."""
        request = attempt.outcome.request
        self._state.attempts[request.number] = attempt
        service_class = self._classes[request.class_name]
        elapsed_ms = self._state.clock.now_ms() - request.arrival_ms
        admit = messages.Admit(
            'pool',
            messages.RequestId(request.host, 1, request.number),
            attempt.attempt_number,
            request.workspace,
            request.class_name,
            request.prefix_hashes,
            request.prompt_tokens,
            request.max_output_tokens,
            service_class.first_token_target_ms - elapsed_ms - 3 * HOP_MS,
            service_class.deadline_ms - elapsed_ms,
            max(1, service_class.max_wait_ms - elapsed_ms),
            excluded,
            late_decode=self._state.policy.late_decode,
        )
        if attempt.outcome.first_token_at_ms is not None:
            admit.first_token_ms = service_class.first_token_target_ms

        def reply(response: messages.Placement | messages.Refused) -> None:
            self._state.schedule(
                self._state.time_after(HOP_MS),
                self._on_placement,
                attempt,
                response,
            )

        self._state.schedule(
            self._state.time_after(HOP_MS),
            self._state.call_policy,
            self._state.policy.admit,
            admit,
            reply,
        )

    def _on_placement(
        self,
        attempt: decision_states.Attempt,
        response: messages.Placement | messages.Refused,
    ) -> None:
        """Starts the prefill at the chosen endpoint, or records a refusal."""
        if isinstance(response, messages.Refused):
            if not attempt.ended:
                attempt.outcome.refusal_reason = response.reason
            attempt.ended = True
            return
        if attempt.ended:
            return
        attempt.placement = response
        engine = self._state.prefill_engines[response.prefill_endpoint]
        if not engine.alive:
            self.fail_attempt(attempt, response.prefill_endpoint)
            return
        busy_before_ms = engine.busy_ms
        request = attempt.outcome.request
        end_ms = engine.prefill(request, self._state.clock.now_ms())
        work_ms = engine.busy_ms - busy_before_ms
        self._state.total_prefill_ms += work_ms
        incarnation = engine.incarnation
        self._state.schedule(
            end_ms, self._on_prefilled, attempt, engine, incarnation, work_ms
        )

    def _on_prefilled(
        self,
        attempt: decision_states.Attempt,
        engine: decision_engines.PrefillEngine,
        incarnation: int,
        work_ms: float,
    ) -> None:
        """Starts the decode, or first asks for its endpoint."""
        if engine.incarnation == incarnation:
            engine.queued -= 1
        if attempt.ended:
            return
        attempt.prefilled_ms = self._state.clock.now_ms()
        placement = attempt.placement
        if placement.decode_endpoint:
            self._state.schedule(
                self._state.time_after(HOP_MS),
                self._state.call_policy,
                self._state.policy.prefill_done,
                placement,
            )
            self._start_decode(attempt, work_ms)
            return

        def reply(response: messages.Placement | messages.Refused) -> None:
            self._state.schedule(
                self._state.time_after(HOP_MS),
                self._on_decode_bound,
                attempt,
                response,
                work_ms,
            )

        self._state.schedule(
            self._state.time_after(HOP_MS),
            self._state.call_policy,
            self._state.policy.await_decode,
            placement,
            decision_engines.RESULT_TTL_MS - HOP_MS,
            reply,
        )

    def _on_decode_bound(
        self,
        attempt: decision_states.Attempt,
        response: messages.Placement | messages.Refused,
        work_ms: float,
    ) -> None:
        """Starts the decode, or retries if the policy refused it."""
        if attempt.ended:
            return
        if isinstance(response, messages.Refused):
            self._state.wasted_prefill_ms += work_ms
            self._end_attempt(attempt, messages.FINISHED_TRANSFER_FAILED, '')
            self._retry(attempt, [])
            return
        attempt.placement = response
        self._start_decode(attempt, work_ms)

    def _start_decode(
        self, attempt: decision_states.Attempt, work_ms: float
    ) -> None:
        """Transfers the KV cache and decodes, or waits for a slot.

        :param work_ms: processing time of the prefill, wasted on failure
        """
        if attempt.ended:
            return
        name = attempt.placement.decode_endpoint
        engine = self._state.decode_engines[name]
        request = attempt.outcome.request
        if not engine.alive:
            self._state.wasted_prefill_ms += work_ms
            self.fail_attempt(attempt, name)
            return
        if not engine.reserve(request):
            self._wait_for_slot(attempt, work_ms)
            return
        now_ms = self._state.clock.now_ms()
        transferred_ms = engine.transfer(request, now_ms)
        remaining_tokens = request.output_tokens
        if attempt.outcome.first_token_at_ms is not None:
            elapsed_ms = now_ms - attempt.outcome.first_token_at_ms
            remaining_tokens -= (
                elapsed_ms // decision_traces.DECODE_MS_PER_TOKEN
            )
            remaining_tokens = max(1, remaining_tokens)
        end_ms = transferred_ms + engine.decode_ms(remaining_tokens)
        first_token_at_ms = transferred_ms + engine.decode_ms(1)
        self._state.decode_ends_ms[request.number] = end_ms
        self._state.schedule(first_token_at_ms, self._on_first_token, attempt)
        self._state.schedule(
            end_ms, self._on_decoded, attempt, engine, engine.incarnation
        )

    def _wait_for_slot(
        self, attempt: decision_states.Attempt, work_ms: float
    ) -> None:
        """Retries a full engine until the prefill result expires."""
        age_ms = self._state.clock.now_ms() - attempt.prefilled_ms
        if age_ms + BUSY_RETRY_DELAY_MS < decision_engines.RESULT_TTL_MS:
            self._state.schedule(
                self._state.time_after(BUSY_RETRY_DELAY_MS),
                self._start_decode,
                attempt,
                work_ms,
            )
            return
        self._state.wasted_prefill_ms += work_ms
        self._end_attempt(attempt, messages.FINISHED_DECODE_FAILED, '')
        self._retry(attempt, [attempt.placement.decode_endpoint])

    def _on_first_token(self, attempt: decision_states.Attempt) -> None:
        if not attempt.ended and attempt.outcome.first_token_at_ms is None:
            attempt.outcome.first_token_at_ms = self._state.clock.now_ms()

    def _on_decoded(
        self,
        attempt: decision_states.Attempt,
        engine: decision_engines.DecodeEngine,
        incarnation: int,
    ) -> None:
        """Frees the decode slot and ends the attempt."""
        number = attempt.outcome.request.number
        if engine.incarnation == incarnation and engine.alive:
            self._state.release(engine, number)
            attempt.outcome.decode_runs += 1
        if attempt.ended:
            return
        attempt.outcome.end_ms = self._state.clock.now_ms()
        self._end_attempt(attempt, messages.FINISHED_DONE, '')

    def _end_attempt(
        self,
        attempt: decision_states.Attempt,
        finish_reason: str,
        failed_endpoint: str,
    ) -> None:
        """Ends an attempt and reports it to the policy.

        :param finish_reason: one of the ``FINISHED_`` constants
        :param failed_endpoint: empty if none failed
        """
        attempt.ended = True
        request = attempt.outcome.request
        self._state.attempts.pop(request.number, None)
        finished = messages.Finished(
            messages.RequestId(request.host, 1, request.number),
            attempt.attempt_number,
            finish_reason,
            request.output_tokens
            if finish_reason == messages.FINISHED_DONE
            else 0,
            failed_endpoint,
        )
        self._state.schedule(
            self._state.time_after(HOP_MS),
            self._state.call_policy,
            self._state.policy.finish,
            attempt.placement,
            finished,
        )

    def fail_attempt(
        self, attempt: decision_states.Attempt, endpoint: str
    ) -> None:
        """Ends an attempt because its endpoint failed, and retries."""
        finish_reason = messages.FINISHED_DECODE_FAILED
        if endpoint in self._state.prefill_engines:
            finish_reason = messages.FINISHED_PREFILL_FAILED
        self._state.decode_ends_ms.pop(attempt.outcome.request.number, None)
        self._end_attempt(attempt, finish_reason, endpoint)
        self._retry(attempt, [endpoint])

    def _retry(
        self, attempt: decision_states.Attempt, excluded: list[str]
    ) -> None:
        """Starts the next attempt, unless there were ``MAX_ATTEMPTS``.

        :param excluded: endpoints that the attempt should avoid
        """
        if attempt.attempt_number >= MAX_ATTEMPTS:
            attempt.outcome.refusal_reason = 'attempts'
            return
        self._admit_attempt(
            decision_states.Attempt(
                attempt.outcome, attempt.attempt_number + 1
            ),
            excluded,
        )
