"""Streams whose engine says nothing for a while."""

import logging

from masticquay_gateway import jobs
from masticquay_gateway import paths
from masticquay_gateway import placers
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# An engine that sent parts of an event so lately is not silent.
MIN_QUIET_MS = 1_000


class Silences:
    """Waits for silent engines with whose streams nobody else can go on.

    To break such a stream off helps nobody: its caller may still be waiting,
    and the engine may go on. The placer learns of the silence at once.
    """

    __slots__ = ('_placer', '_registry')

    def __init__(self, placer: placers.Placer, registry: counters.Registry):
        self._placer = placer
        self._registry = registry

    def outlast(
        self,
        job: jobs.Job,
        engine: fleets.Endpoint,
        exchange: paths.Exchange,
    ) -> None:
        """Has an exchange outlast silence until the request's time ends."""

        def decide(quiet_ms: float) -> int:
            if quiet_ms < MIN_QUIET_MS or job.remaining_ms <= 0:
                return 0
            self._report(job, engine, quiet_ms, exchange.has_lost_path())
            return job.remaining_ms

        exchange.outlast_silence(decide)

    def _report(
        self,
        job: jobs.Job,
        engine: fleets.Endpoint,
        quiet_ms: float,
        has_lost_path: bool,
    ) -> None:
        self._registry.count('streams_silent', 'service', job.service)
        LOG.warning(
            'engine is silent amid a stream',
            extra={
                'call': job.call.call_id,
                'endpoint': engine.endpoint_id,
                'quiet_ms': round(quiet_ms),
                'remaining_ms': job.remaining_ms,
                'host_lost_path': has_lost_path,
            },
        )
        if not has_lost_path:
            self._placer.report_failure(
                job.service,
                engine,
                reached=True,
                stalled=True,
                reason='silent amid a stream',
            )
