"""Reports engines that failed or refused requests."""

import logging
import threading

from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import jobs
from masticquay_gateway import paths
from masticquay_gateway import placed_requests
from masticquay_gateway import placers
from masticquay_routing import fleets
from masticquay_routing import harmful_prompts
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# How long an engine gets no requests after it has refused one: because it has
# another role than expected, or because it is full.
WRONG_ROLE_PAUSE_MS = 1_500
FULL_PAUSE_MS = 300
STATUS_WRONG_ROLE = 421


class FailureReporter:
    """Logs failures and refusals of engines and reports them to the placer."""

    def __init__(
        self,
        placer: placers.Placer,
        endpoint_paths: paths.Paths,
        registry: counters.Registry,
    ):
        self._placer = placer
        self._paths = endpoint_paths
        self._registry = registry

    def report_refusal(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        cause: errors.NotRunError,
    ) -> None:
        """Reports that a decode engine refused a request."""
        self.log(job, placement, 'decode engine refused the request', cause)
        job.tried_ids.add(placement.decode.endpoint_id)
        pause_ms = FULL_PAUSE_MS
        if cause.status == STATUS_WRONG_ROLE:
            pause_ms = WRONG_ROLE_PAUSE_MS
        self._placer.report_refusal(job.service, placement.decode, pause_ms)

    def report_prefill_refusal(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        cause: Exception,
    ) -> None:
        """Reports that a prefill engine returned no handle."""
        self.log(job, placement, 'prefill engine returned no handle', cause)
        if placement.prefill is not None:
            job.tried_ids.add(placement.prefill.endpoint_id)
            self._placer.report_refusal(
                job.service, placement.prefill, FULL_PAUSE_MS
            )

    def report_failure(
        self,
        job: jobs.Job,
        endpoint: fleets.Endpoint,
        cause: Exception,
        written_ms: float | None = None,
        in_prefill: bool = False,
    ) -> None:
        """Reports that an engine failed a request or was unreachable.

        Only logs it if this host has no path, which says nothing of engines.

        :param written_ms: how long it had been writing the stream, None if it
            had not begun
        :param in_prefill: whether it was reading the prompt for another engine
        """
        # An engine to which the path was lost may go on by way of a peer.
        if not isinstance(cause, errors.PathLostError):
            job.tried_ids.add(endpoint.endpoint_id)
        self._registry.count('engine_trouble', 'service', job.service)
        LOG.warning(
            'engine request failed',
            extra={
                'call': job.call.call_id,
                'endpoint': endpoint.endpoint_id,
                'role': endpoint.role,
                'cause': f'{type(cause).__name__}: {cause}',
                'written_ms': None
                if written_ms is None
                else round(written_ms),
                'prompt_parts': job.call.prompt_parts,
                'prompt': job.call.prompt_key,
            },
        )
        if isinstance(cause, (errors.PathLostError, errors.NoPathError)):
            return
        broken = None
        begins_answer = endpoint.role == fleets.ROLE_DECODE
        if (begins_answer or in_prefill) and _broke_off(cause):
            broken = placers.BrokenStream(
                job.call,
                -1 if written_ms is None else int(written_ms),
                in_prefill,
            )
        self._placer.report_failure(
            job.service,
            endpoint,
            reached=not isinstance(cause, exchanges.NotSentError),
            stalled=isinstance(cause, exchanges.StalledError),
            reason=str(cause),
            broken=broken,
        )
        if broken and broken.written_ms < harmful_prompts.SUSPECT_MS:
            threading.Thread(
                target=self._report_if_ended,
                args=(job, endpoint, cause, broken),
                daemon=True,
            ).start()

    def _report_if_ended(
        self,
        job: jobs.Job,
        endpoint: fleets.Endpoint,
        cause: Exception,
        broken: placers.BrokenStream,
    ) -> None:
        """Reports an engine that takes no connections after a broken stream.

        It tells the end of an engine from that of a connection.
        """
        if not self._paths.has_ended(endpoint, cause):
            return
        self._registry.count('engines_ended', 'service', job.service)
        LOG.warning(
            'engine ended as it read or began to answer a prompt',
            extra={
                'call': job.call.call_id,
                'endpoint': endpoint.endpoint_id,
                'written_ms': broken.written_ms,
                'in_prefill': broken.in_prefill,
                'prompt_parts': job.call.prompt_parts,
                'prompt': job.call.prompt_key,
            },
        )
        self._placer.report_failure(
            job.service,
            endpoint,
            reached=False,
            stalled=False,
            reason='takes no connections after it broke a request off',
            broken=broken,
        )

    def log(
        self,
        job: jobs.Job,
        placement: placed_requests.RequestPlacement,
        message: str,
        cause: Exception,
    ) -> None:
        """Logs a failed attempt with the engines of its placement."""
        prefill = placement.prefill
        LOG.warning(
            message,
            extra={
                'call': job.call.call_id,
                'prefill': prefill.endpoint_id if prefill else None,
                'decode': placement.decode.endpoint_id,
                'local': placement.local,
                'cause': str(cause),
                'elapsed_ms': round(job.elapsed_ms),
            },
        )


def _broke_off(cause: Exception) -> bool:
    """Whether an engine that had the request ended its connection."""
    if isinstance(cause, errors.TruncatedStreamError):
        return True
    return exchanges.broke_off(cause)
