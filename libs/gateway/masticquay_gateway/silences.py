"""Streams whose engine says nothing for a while."""

import logging
import typing

from masticquay_gateway import jobs
from masticquay_gateway import paths
from masticquay_gateway import placers
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# An engine that sent parts of an event so lately is not silent.
MIN_QUIET_MS = 1_000
# After so long, it is asked again whether to wait.
WAIT_STEP_MS = 2_500


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
        can_move: typing.Callable[[], bool],
    ) -> None:
        """Has an exchange outlast silence until the request's time ends.

        :param can_move: whether another engine may go on with the stream. It
            is asked at each step, as engines come and go.
        """

        def decide(quiet_ms: float) -> int:
            if quiet_ms < MIN_QUIET_MS or job.remaining_ms <= 0:
                return 0
            if can_move():
                return 0
            is_path_doubtful = exchange.is_path_doubtful()
            if is_path_doubtful and job.route.resumable:
                # The same engine may be reached by another way.
                return 0
            if quiet_ms < MIN_QUIET_MS + WAIT_STEP_MS:
                self._report(job, engine, quiet_ms, is_path_doubtful)
            return min(WAIT_STEP_MS, job.remaining_ms)

        exchange.outlast_silence(decide)

    def _report(
        self,
        job: jobs.Job,
        engine: fleets.Endpoint,
        quiet_ms: float,
        is_path_doubtful: bool,
    ) -> None:
        self._registry.count('streams_silent', 'service', job.service)
        LOG.warning(
            'engine is silent amid a stream',
            extra={
                'call': job.call.call_id,
                'endpoint': engine.endpoint_id,
                'quiet_ms': round(quiet_ms),
                'remaining_ms': job.remaining_ms,
                'path_doubtful': is_path_doubtful,
            },
        )
        if not is_path_doubtful:
            self._placer.report_failure(
                job.service,
                engine,
                reached=True,
                stalled=True,
                reason='silent amid a stream',
            )
