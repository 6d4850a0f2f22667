"""Reports engines that failed or refused a request."""

import logging

from masticquay_gateway import errors
from masticquay_gateway import exchanges
from masticquay_gateway import jobs
from masticquay_gateway import placers
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# How long an engine is left alone that refused: as its role is another one,
# or as it is full.
WRONG_ROLE_PAUSE_MS = 1_500
FULL_PAUSE_MS = 300
STATUS_WRONG_ROLE = 421


class Troubles:
    """Logs what engines did wrong and tells who places requests."""

    def __init__(self, placer: placers.Placer, registry: counters.Registry):
        self._placer = placer
        self._registry = registry

    def note_refusal(
        self, job: jobs.Job, place: placers.Place, cause: errors.NotRunError
    ) -> None:
        """Notes that a decode engine did not run a request."""
        self.log(job, place, 'not run', cause)
        job.tried.add(place.decode.endpoint_id)
        pause_ms = FULL_PAUSE_MS
        if cause.status == STATUS_WRONG_ROLE:
            pause_ms = WRONG_ROLE_PAUSE_MS
        self._placer.note_refusal(job.service, place.decode, pause_ms)

    def note_prefill_refusal(
        self, job: jobs.Job, place: placers.Place, cause: Exception
    ) -> None:
        """Notes that a prefill engine answered without a handle."""
        self.log(job, place, 'prefill without result', cause)
        if place.prefill is not None:
            job.tried.add(place.prefill.endpoint_id)
            self._placer.note_refusal(
                job.service, place.prefill, FULL_PAUSE_MS
            )

    def note_failure(
        self, job: jobs.Job, endpoint: fleets.Endpoint, cause: Exception
    ) -> None:
        """Notes that an engine failed a request or was not reached."""
        job.tried.add(endpoint.endpoint_id)
        self._registry.count('engine_trouble', 'service', job.service)
        LOG.warning(
            'engine trouble',
            extra={
                'call': job.call.call_id,
                'endpoint': endpoint.endpoint_id,
                'cause': f'{type(cause).__name__}: {cause}',
            },
        )
        reached = not isinstance(cause, exchanges.NotSentError)
        self._placer.note_trouble(job.service, endpoint, reached, str(cause))

    def log(
        self,
        job: jobs.Job,
        place: placers.Place,
        message: str,
        cause: Exception,
    ) -> None:
        """Logs an outcome with the place that it concerns."""
        prefill = place.prefill
        LOG.warning(
            message,
            extra={
                'call': job.call.call_id,
                'prefill': prefill.endpoint_id if prefill else None,
                'decode': place.decode.endpoint_id,
                'local': place.local,
                'cause': str(cause),
                'elapsed_ms': round(job.elapsed_ms),
            },
        )
