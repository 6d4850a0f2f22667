"""What hosts ask for when a model request is to be placed."""

from masticquay_gateway import fleet_states
from masticquay_gateway import jobs
from masticquay_gateway import notices
from masticquay_gateway import relays
from masticquay_routing import placement_messages
from masticquay_routing import queued_requests

# Part of a request's target time that it may wait for a placement. After it,
# the first token would be late, so the request is refused.
QUEUE_TIME_SHARE = 0.6
# The retry of a refused request is late anyway and may wait this long if the
# reserve remains for the response.
LATE_WAIT_MS = 2_600
LATE_RESERVE_MS = 1_000
# Retry-After of a request that did not run, and the minimum time that another
# attempt may wait for a placement.
RETRY_AFTER_MS = 500


class PlacementRequests:
    """Makes the messages that ask for placements.

    :param host: this entry host
    """

    def __init__(
        self,
        host: str,
        state: fleet_states.FleetState,
        endpoint_notices: notices.EndpointNotices,
    ):
        self._host = host
        self._state = state
        self._notices = endpoint_notices

    def make(
        self, job: jobs.Job, stream: relays.RelayedStream, charged: bool
    ) -> placement_messages.Admit:
        """Returns the message that asks for a placement.

        :param charged: whether an earlier attempt was charged already
        """
        call = job.call
        workspace = job.workspace
        return placement_messages.Admit(
            host=self._host,
            number=0,
            service=job.service,
            workspace=workspace.name if workspace else '',
            cost=float(workspace.cost(call.tokens)) if workspace else 0.0,
            prompt_tokens=call.prompt_tokens or 0,
            output_tokens=queued_requests.expected_output(
                call.expected_output_tokens, call.max_output_tokens or 0
            ),
            priority=job.priority,
            urgent_ms=max(0, int(job.route.target_ms - job.elapsed_ms)),
            wait_ms=_wait_ms(job, charged),
            late_wait_ms=_late_wait_ms(job),
            prompt_key=call.prompt_key,
            avoid=sorted(
                job.tried_ids
                | self._notices.withheld_ids(job.service)
                | job.barred_ids(self._state.endpoints(job.service))
            ),
            prefer=stream.cache_engine_id,
            prefilled=stream.handle is not None and stream.handle.is_fresh,
            charged=charged,
            pause_ms=job.route.max_pause_ms
            or queued_requests.DEFAULT_PAUSE_MS,
            resumes=call.resumes_stream or stream.splitter.last_id is not None,
            first_call_id=call.first_call_id,
            software_version=stream.software_version,
            prompt_parts=call.prompt_parts,
            give_up_ms=max(1, job.give_up_ms),
        )


def _wait_ms(job: jobs.Job, charged: bool) -> int:
    """Returns how long the request may wait for a placement.

    :param charged: whether an earlier attempt was charged already
    """
    wait_ms = int(job.route.target_ms * QUEUE_TIME_SHARE - job.elapsed_ms)
    if charged:
        wait_ms = max(wait_ms, RETRY_AFTER_MS)
    return max(0, min(wait_ms, job.remaining_ms))


def _late_wait_ms(job: jobs.Job) -> int:
    """Returns how long the retry of a refused request may wait."""
    return max(0, min(LATE_WAIT_MS, job.give_up_ms - LATE_RESERVE_MS))
