"""Recording the result of each request in metrics and usage."""

from masticquay_entry import dependencies
from masticquay_entry import refusals
from masticquay_entry import runs

# Statuses of refusals that the caller caused. Any other refusal counts in the
# usage as made within the rate of the workspace.
CALLER_ERROR_STATUSES = frozenset(
    [400, 401, 403, 404, 405, 409, 413, 422, 429]
)


class RecordedRefusal(Exception):
    """Wraps a refusal that is already recorded in metrics and usage."""

    def __init__(self, refusal: refusals.Refusal):
        super().__init__(str(refusal))
        self.refusal = refusal


class CallRecorder:
    """Records how one request ended, in metrics and usage."""

    def __init__(
        self, deps: dependencies.Dependencies, run: runs.Run, target: str
    ):
        self._deps = deps
        self._run = run
        self._target = target
        self._workspace = run.admission.workspace
        self._class_name = run.admission.service_class.name

    def record_answer(
        self, queue_wait_ms: int, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Records a complete answer."""
        total_ms = self._deps.clock.now_ms() - self._run.arrived_ms
        self._deps.metrics.record_answer(
            self._workspace,
            self._class_name,
            queue_wait_ms,
            total_ms,
            output_tokens,
        )
        self._record_usage(prompt_tokens, output_tokens)

    def record_refusal(
        self,
        refusal: refusals.Refusal,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        """Records a request that was refused or failed before its end.

        Tokens count as used only if the request may have run. Usage leaves
        out the refusal of a caller that disconnected or stalled.
        """
        self._deps.metrics.count_refusal(
            self._workspace, self._class_name, refusal.code
        )
        if self._run.may_have_run and (prompt_tokens or output_tokens):
            self._record_usage(prompt_tokens, output_tokens)
        if refusal.code in (runs.CALLER_GONE, runs.CALLER_STALLED):
            return
        self._deps.usage.record_refusal(
            self._workspace,
            self._target,
            self._class_name,
            refusal.code,
            refusal.status not in CALLER_ERROR_STATUSES,
        )

    def _record_usage(self, prompt_tokens: int, output_tokens: int) -> None:
        self._deps.usage.record_answer(
            self._workspace,
            self._target,
            self._class_name,
            prompt_tokens,
            output_tokens,
        )
