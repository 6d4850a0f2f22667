"""What metrics and usage are told of each request."""

from masticquay_entry import backends
from masticquay_entry import refusals
from masticquay_entry import runs

# Statuses of refusals for which the caller itself is the reason.
REASONS_OF_CALLERS = frozenset([400, 401, 403, 404, 405, 409, 413, 422, 429])


class CountedRefusal(Exception):
    """A refusal that metrics and usage have counted already."""

    def __init__(self, refusal: refusals.Refusal):
        super().__init__(str(refusal))
        self.refusal = refusal


class CallReport:
    """Counts how one request ended, for metrics and usage."""

    def __init__(self, parts: backends.Backends, run: runs.Run, target: str):
        self._parts = parts
        self._run = run
        self._target = target
        self._workspace = run.admission.workspace
        self._class_name = run.admission.service_class.name

    def note_answer(
        self, queue_wait_ms: int, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Counts a whole answer."""
        whole_ms = self._parts.clock.now_ms() - self._run.arrived_ms
        self._parts.metrics.record_end(
            self._workspace,
            self._class_name,
            queue_wait_ms,
            whole_ms,
            output_tokens,
        )
        self._note_usage(prompt_tokens, output_tokens)

    def note_refusal(
        self,
        refusal: refusals.Refusal,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        """Counts a request that ended without its whole answer."""
        self._parts.metrics.count_refusal(
            self._workspace, self._class_name, refusal.code
        )
        if self._run.may_have_run and (prompt_tokens or output_tokens):
            self._note_usage(prompt_tokens, output_tokens)
        if refusal.code in (runs.CALLER_GONE, runs.CALLER_STALLED):
            return
        self._parts.usage.record_refusal(
            self._workspace,
            self._target,
            self._class_name,
            refusal.code,
            refusal.status not in REASONS_OF_CALLERS,
        )

    def _note_usage(self, prompt_tokens: int, output_tokens: int) -> None:
        self._parts.usage.record_answer(
            self._workspace,
            self._target,
            self._class_name,
            prompt_tokens,
            output_tokens,
        )
