"""Counts the prompt tokens that engines read in vain, by cause."""

from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import jobs
from masticquay_gateway import relays
from masticquay_serving import counters
from masticquay_serving import errors as serving_errors

# The prefill engine had not answered, or not with a valid handle.
PREFILL_LOST = 'prefill_lost'
# No decode engine took the handle while it was valid.
HANDLE_LAPSED = 'handle_lapsed'
# The decode engine failed before the first event.
DECODE_LOST = 'decode_lost'
# No decode engine took the request.
DECODE_REFUSED = 'decode_refused'
CALLER_LEFT = 'caller_left'
DEADLINE = 'deadline'

CALLER_LEFT_ERRORS = (
    exchanges.InterruptedCallError,
    serving_errors.CallerDisconnectedError,
)
# The engine has not read the prompt itself.
UNREAD_ERRORS = (
    errors.EngineFailedError,
    errors.HarmfulPromptError,
)


class WastedPrompts:
    """Counts prompts that were read and brought their caller nothing."""

    def __init__(self, registry: counters.Registry):
        self._registry = registry

    def record(self, job: jobs.Job, cause: str) -> None:
        """Counts the prompt of a request."""
        if job.remaining_ms <= 0 and cause != CALLER_LEFT:
            cause = DEADLINE
        self._registry.count(
            'prompt_tokens_in_vain',
            'cause',
            cause,
            amount=job.call.prompt_tokens or 0,
        )

    def record_prefill(self, job: jobs.Job, error: Exception) -> None:
        """Counts a prompt that a prefill engine was sent.

        It may have read only a part of it.
        """
        if isinstance(error, CALLER_LEFT_ERRORS):
            self.record(job, CALLER_LEFT)
        elif not isinstance(error, exchanges.NotSentError):
            self.record(job, PREFILL_LOST)

    def record_decode(
        self, job: jobs.Job, stream: relays.RelayedStream, error: Exception
    ) -> None:
        """Counts a prompt whose stream failed before its first event."""
        if stream.first_ms:
            return
        if stream.handle is None and isinstance(error, UNREAD_ERRORS):
            return
        if isinstance(error, CALLER_LEFT_ERRORS):
            self.record(job, CALLER_LEFT)
        else:
            self.record(job, DECODE_LOST)
