"""Places model requests through the leader, or locally without it."""

import logging
import threading
import time

from masticquay_endpoints import interrupts
from masticquay_gateway import ended_engines
from masticquay_gateway import fleet_states
from masticquay_gateway import jobs
from masticquay_gateway import leader_placements
from masticquay_gateway import leaderless_rates
from masticquay_gateway import links
from masticquay_gateway import local_placers
from masticquay_gateway import placed_requests
from masticquay_gateway import ports
from masticquay_routing import fleets
from masticquay_routing import held_requests
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import queued_requests
from masticquay_routing import refusals
from masticquay_routing import request_limits
from masticquay_routing import stream_origins
from masticquay_routing import tables
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# A request waits this long for a leader that is about to be found: the first
# renewal is answered a moment after the routing table has arrived.
LEADER_WAIT_MS = 120
# Retry-After of a stream whose origin the leader knows, once it is found.
ORIGIN_RETRY_MS = 1_000


class BrokenStream:
    """A stream that its decode engine broke off, or a prefill.

    :param written_ms: how long the engine had been writing it, -1 if it had
        not begun
    :param in_prefill: whether a prefill engine broke a prefill off
    """

    __slots__ = ('call', 'written_ms', 'in_prefill')

    def __init__(
        self, call: ports.Call, written_ms: int, in_prefill: bool = False
    ):
        self.call = call
        self.written_ms = written_ms
        self.in_prefill = in_prefill


class Placer:
    """Gets placements from the leader, or makes them without it.

    :param limits: the limits that engines name, for placements without it
    """

    def __init__(
        self,
        host: str,
        link: links.ControlLink,
        state: fleet_states.FleetState,
        limits: request_limits.RequestLimits | None = None,
        registry: counters.Registry | None = None,
    ):
        self._host = host
        self._link = link
        self._state = state
        self._leader = leader_placements.LeaderPlacements(host, link)
        self._local = local_placers.LocalPlacer(state, limits)
        self._rates = leaderless_rates.LeaderlessRates(
            host, link, state, registry or counters.Registry()
        )
        self._lock = threading.Lock()
        self._requests = placed_requests.PlacedRequests()
        self._origins = stream_origins.StreamOrigins()
        self._ended_engines = ended_engines.EndedEngines()

    def find_origin(self, call_id: str) -> stream_origins.StreamOrigin | None:
        """Returns where a stream began, None if this host does not know."""
        with self._lock:
            return self._origins.find(call_id, _now_ms())

    def find_version(self, job: jobs.Job) -> str:
        """Returns the software version that began a caller's stream.

        :returns: empty if this host does not know it
        """
        origin = self.find_origin(job.call.first_call_id)
        if origin is None or origin.service != job.service:
            return ''
        return origin.software_version

    def recent_ends(self) -> list[placement_messages.EndpointTrouble]:
        """Returns the ends of engines that this host has reported."""
        return self._ended_engines.recent()

    def recent_origins(self) -> list[stream_origins.StreamOrigin]:
        """Returns the origins of recent streams, also those that it keeps."""
        with self._lock:
            return self._origins.list_all(_now_ms())

    def keep_origins(self, origins: list[stream_origins.StreamOrigin]) -> None:
        """Keeps where streams of other hosts began, for the next leader."""
        now_ms = _now_ms()
        with self._lock:
            for origin in origins:
                # Does not prolong how long a known one is kept.
                if self._origins.find(origin.call_id, now_ms) is None:
                    self._origins.add(origin, now_ms)

    def place(
        self,
        request: placement_messages.Admit,
        interrupt: interrupts.Interrupt,
    ) -> placed_requests.RequestPlacement | placement_messages.Refused:
        """Returns the placement of a request or a refusal.

        Gives the request its number.

        :raises InterruptedCallError: if the caller disconnected meanwhile
        """
        request.number = self._requests.begin()
        placed = False
        try:
            outcome = self._place(request, interrupt)
            placed = isinstance(outcome, placed_requests.RequestPlacement)
            if placed:
                self._requests.add(outcome)
            return outcome
        finally:
            if not placed:
                self._requests.end(request.number)

    def _place(
        self,
        request: placement_messages.Admit,
        interrupt: interrupts.Interrupt,
    ) -> placed_requests.RequestPlacement | placement_messages.Refused:
        response: leader_placements.Answer | None = None
        if not self._link.is_leader_reachable:
            self._link.wait_for_leader(LEADER_WAIT_MS)
        if self._link.is_leader_reachable:
            response = self._leader.ask(request, interrupt)
        if response is None:
            response = self._charge_without_leader(request, interrupt)
        if isinstance(response, leader_placements.LeftToHost):
            request.charged = True
            return self._place_locally(request)
        if isinstance(response, placement_messages.Placed):
            placement = self._resolve(request, response)
            if placement is not None:
                return placement
            self._leader.notify_finished(request, engine_ok=True)
            return placement_messages.Refused(
                'placed on an endpoint unknown to this host, or not of the '
                'software version that began the stream',
                500,
            )
        if isinstance(response, placement_messages.Refused):
            return response
        return self._place_locally(request)

    def finish_prefill(
        self, placement: placed_requests.RequestPlacement
    ) -> None:
        """Records that the prefill of a request has ended."""
        request = placement.request
        if placement.local:
            self._local.finish_prefill(request)
            return
        self._link.notify(
            placement_messages.PrefillDone(
                self._host, request.service, request.number
            )
        )

    def begin_decode(
        self, placement: placed_requests.RequestPlacement, first_call_id: str
    ) -> None:
        """Records that the first token of a request has arrived.

        :param first_call_id: id of the request that began the stream
        """
        request = placement.request
        origin = stream_origins.StreamOrigin(
            first_call_id, request.service, placement.decode.software_version
        )
        with self._lock:
            self._origins.add(origin, _now_ms())
        self._link.notify(
            placement_messages.Decoding(
                self._host,
                request.service,
                request.number,
                origin.call_id,
                origin.software_version,
            )
        )

    def release(
        self,
        placement: placed_requests.RequestPlacement,
        engine_ok: bool,
        completed: bool = False,
    ) -> None:
        """Releases the engines of a request.

        :param engine_ok: False if the decode engine failed
        :param completed: whether it wrote the whole answer
        """
        if placement.local:
            self._local.release(placement.request)
        self._leader.notify_finished(placement.request, engine_ok, completed)
        self._requests.end(placement.request.number)

    def report_failure(
        self,
        service: str,
        endpoint: fleets.Endpoint,
        reached: bool,
        stalled: bool,
        reason: str,
        broken: BrokenStream | None = None,
    ) -> None:
        """Reports an engine that failed a request.

        :param reached: whether a connection to it was established
        :param stalled: whether it sent nothing within the timeout
        :param broken: what the engine broke off, if it did
        """
        has_ended = broken is not None and not reached
        in_prefill = broken is not None and broken.in_prefill
        self._local.record_failure(
            service, endpoint.endpoint_id, reached, stalled
        )
        report = placement_messages.EndpointTrouble(
            self._host,
            service,
            endpoint.endpoint_id,
            reached,
            reason,
            stalled=stalled,
            written_ms=broken.written_ms if broken else -1,
            has_ended=has_ended and not in_prefill,
            prompt_key=broken.call.prompt_key if broken else '',
            prompt_parts=broken.call.prompt_parts if broken else [],
            ended_in_prefill=has_ended and in_prefill,
        )
        if has_ended:
            self._ended_engines.add(report)
        self._link.notify(report)

    def report_refusal(
        self, service: str, endpoint: fleets.Endpoint, pause_ms: int
    ) -> None:
        """Reports an engine that refused a request.

        :param pause_ms: how long it should get no requests
        """
        self._local.record_refusal(service, endpoint.endpoint_id, pause_ms)
        self._link.notify(
            placement_messages.EndpointTrouble(
                self._host,
                service,
                endpoint.endpoint_id,
                True,
                'refused',
                pause_ms,
            )
        )

    def charge_rate(self, workspace: tables.Workspace, cost: float) -> int:
        """Charges a request that needs no placement.

        :returns: 0 if it is allowed, else the time in ms to wait before a
            retry; always 0 while the leader is reachable
        """
        if self._link.is_leader_reachable:
            return 0
        return self._rates.charge(workspace.name, cost).wait_ms

    def running_requests(self) -> list[messages.Running]:
        """Returns the placed requests that this host is running."""
        return self._requests.running()

    def held_requests(self) -> held_requests.HeldRequests:
        """Returns the model requests that have not ended."""
        return self._requests.held()

    def _charge_without_leader(
        self,
        request: placement_messages.Admit,
        interrupt: interrupts.Interrupt,
    ) -> leader_placements.Answer | None:
        """Charges a request that this host is to place.

        :returns: None if it may be placed, else a refusal, or the answer of a
            leader that was found meanwhile
        """
        if request.charged:
            return None
        charge = self._rates.charge(
            request.workspace,
            request.cost,
            max(request.wait_ms, request.late_wait_ms),
        )
        if charge.leader_found:
            self._requests.end(request.number)
            # The leader may have been told that it has ended.
            request.number = self._requests.begin()
            answer = self._leader.ask(request, interrupt)
            return answer or placement_messages.Refused(
                'leader lost again', refusals.RETRY_AFTER_MIN_MS
            )
        if not charge.wait_ms:
            return None
        return placement_messages.Refused(
            f'over the share of the rate without the leader, by {charge.by}',
            charge.wait_ms,
            True,
        )

    def _place_locally(
        self, request: placement_messages.Admit
    ) -> placed_requests.RequestPlacement | placement_messages.Refused:
        if request.resumes and not request.software_version:
            version = self._version_without_leader(request)
            if version is None:
                return placement_messages.Refused(
                    'software version of the resumed stream is unknown here',
                    ORIGIN_RETRY_MS,
                )
            request.software_version = version
        outcome = self._local.admit(request)
        if isinstance(outcome, queued_requests.Refusal):
            return placement_messages.Refused(
                outcome.reason, outcome.retry_after_ms
            )
        return placed_requests.RequestPlacement(
            outcome.prefill,
            outcome.decode,
            request,
            True,
            outcome.prefill_ms,
        )

    def _version_without_leader(
        self, request: placement_messages.Admit
    ) -> str | None:
        """Returns the version at which a stream goes on, None if unknown.

        Other hosts may use versions by now that this host has not heard of,
        so a stream whose first request is named waits for the leader. Nobody
        can look up a stream of which no request is named.
        """
        if request.first_call_id:
            return None
        return self._state.only_stream_version(request.service)

    def _resolve(
        self,
        request: placement_messages.Admit,
        placed: placement_messages.Placed,
    ) -> placed_requests.RequestPlacement | None:
        decode = self._state.endpoint(placed.decode_id)
        prefill = None
        if placed.prefill_id:
            prefill = self._state.endpoint(placed.prefill_id)
        if decode is None or (placed.prefill_id and prefill is None):
            return None
        if request.resumes and not self._may_resume(request, placed, decode):
            return None
        return placed_requests.RequestPlacement(
            prefill, decode, request, False, placed.prefill_ms
        )

    def _may_resume(
        self,
        request: placement_messages.Admit,
        placed: placement_messages.Placed,
        decode: fleets.Endpoint,
    ) -> bool:
        """Whether a stream may go on at an engine.

        A leader of an earlier release names no version.
        """
        version: str | None
        version = request.software_version or placed.software_version
        if not version:
            version = self._state.only_stream_version(request.service)
        return version == decode.software_version


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
