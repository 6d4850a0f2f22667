"""Chooses the endpoint of a plain service that gets a request."""

import contextlib
import logging
import time

from masticquay_gateway import endpoint_limits
from masticquay_gateway import fleet_states
from masticquay_gateway import jobs
from masticquay_gateway import notices
from masticquay_gateway import ports
from masticquay_gateway import slots
from masticquay_routing import choosers
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

# Retry-After of requests that no endpoint ran.
RETRY_AFTER_MS = 300
# Why a slot is given back, in logs and metrics.
UNLISTED = 'is not listed'
TRIED = 'was tried'
WITHHELD = 'leaves or wants a pause'
BARRED = 'is in no allowed region'
OTHER_VERSION = 'did not begin the stream'
AT_LIMIT = 'has reached its limit'
# These may have come about while the request waited for the slot.
_CHANGES = (WITHHELD, BARRED, OTHER_VERSION, AT_LIMIT)


class Choice:
    """The endpoint that is to get a request.

    :param slot: the request's slot there, None if it has none
    """

    __slots__ = ('endpoint', 'slot')

    def __init__(self, endpoint: fleets.Endpoint, slot: slots.Slot | None):
        self.endpoint = endpoint
        self.slot = slot


class EndpointChoices:
    """Chooses among the endpoints of a service, or has the leader do so."""

    def __init__(
        self,
        state: fleet_states.FleetState,
        chooser: choosers.Chooser,
        endpoint_notices: notices.EndpointNotices,
        limits: endpoint_limits.EndpointLimits,
        endpoint_slots: slots.Slots,
        registry: counters.Registry,
    ):
        self._state = state
        self._chooser = chooser
        self._notices = endpoint_notices
        self._limits = limits
        self._slots = endpoint_slots
        self._registry = registry

    def choose(
        self, job: jobs.Job, stack: contextlib.ExitStack
    ) -> Choice | None:
        """Chooses an endpoint; returns None if none may get the request.

        :param stack: gives the slot back
        :raises NoSlotError: if the leader has no slot for it in time
        """
        given_back_ids: set[str] = set()
        while True:
            slot = self._ask_slot(job, given_back_ids)
            if slot is None:
                break
            with contextlib.ExitStack() as slot_stack:
                slot_stack.enter_context(slot)
                endpoint = self._state.endpoint(slot.endpoint_id)
                reason = self._reason_to_give_back(job, endpoint)
                if not reason:
                    stack.enter_context(slot_stack.pop_all())
                    return Choice(endpoint, slot)
            self._record_given_back(job, slot, reason)
            if reason not in _CHANGES or slot.endpoint_id in given_back_ids:
                break
            # Others wait for the service, so this host must not choose.
            given_back_ids.add(slot.endpoint_id)
        endpoint = self._choose_own(job)
        return None if endpoint is None else Choice(endpoint, None)

    def refuse(self, job: jobs.Job) -> ports.Refusal:
        """Returns the refusal of a request that no endpoint may get."""
        endpoints = [
            e
            for e in self._state.endpoints(job.service)
            if job.allows_place(e.place)
        ]
        wait_ms = self._notices.refusal_ms(endpoints)
        if wait_ms:
            return ports.Refusal(
                ports.Reason.NOT_RUN, 'all endpoints leave or pause', wait_ms
            )
        withheld_ids = self._notices.withheld_ids(job.service)
        wait_ms = self._limits.plan_return_ms(
            [e for e in endpoints if e.endpoint_id not in withheld_ids]
        )
        if wait_ms:
            return ports.Refusal(
                ports.Reason.NOT_RUN,
                'all endpoints have reached the limits that they name',
                wait_ms,
            )
        return ports.Refusal(
            ports.Reason.NOT_RUN, 'no endpoint', RETRY_AFTER_MS
        )

    def _ask_slot(
        self, job: jobs.Job, given_back_ids: set[str]
    ) -> slots.Slot | None:
        """Asks for a slot if the service is scarce.

        :param given_back_ids: endpoints of which slots were given back
        :returns: None if this host is to choose the endpoint
        :raises NoSlotError: if the leader has no slot for it in time
        """
        if job.remaining_ms <= 0 or not self._slots.is_needed(job.service):
            return None
        listed = self._state.endpoints(job.service)
        usable = [e for e in self._list_endpoints(job) if slots.is_usable(e)]
        excluded_ids = self._excluded_ids(job, usable) | given_back_ids
        excluded_ids |= self._chooser.ejected_ids(usable, _now_ms())
        left = [e for e in usable if e.endpoint_id not in excluded_ids]
        if not left:
            return None
        left_ids = {e.endpoint_id for e in left}
        left_ids -= self._chooser.full_ids(left, _now_ms())
        return self._slots.ask(job, {e.endpoint_id for e in listed} - left_ids)

    def _reason_to_give_back(
        self, job: jobs.Job, endpoint: fleets.Endpoint | None
    ) -> str:
        """Returns why the slot of an endpoint can't be used, empty if it can.

        :param endpoint: None for one that is not listed
        """
        if endpoint is None:
            return UNLISTED
        if endpoint.endpoint_id in job.tried_ids:
            return TRIED
        reason = self._reason_to_withhold(job, endpoint)
        if reason:
            return reason
        return '' if self._limits.take(endpoint) else AT_LIMIT

    def _reason_to_withhold(
        self, job: jobs.Job, endpoint: fleets.Endpoint
    ) -> str:
        """Returns why an endpoint may not get a request, empty if it may.

        Its limit is not looked at, as its permit may have been taken.
        """
        if not slots.is_usable(endpoint) or self._notices.is_withheld(
            endpoint
        ):
            return WITHHELD
        if not job.allows_place(endpoint.place):
            return BARRED
        if job.call.resumes_stream and endpoint not in self._list_endpoints(
            job
        ):
            return OTHER_VERSION
        return ''

    def _record_given_back(
        self, job: jobs.Job, slot: slots.Slot, reason: str
    ) -> None:
        self._registry.count(
            'slots_given_back', 'reason', reason, 'service', job.service
        )
        LOG.info(
            'slot given back',
            extra={
                'call': job.call.call_id,
                'endpoint': slot.endpoint_id,
                'reason': reason,
                'elapsed_ms': round(job.elapsed_ms),
            },
        )

    def _choose_own(self, job: jobs.Job) -> fleets.Endpoint | None:
        """Chooses an endpoint and takes a permit if it names a limit."""
        endpoints = self._list_endpoints(job)
        excluded_ids = self._excluded_ids(job, endpoints)
        while True:
            endpoint = self._chooser.choose(
                endpoints,
                excluded_ids,
                _now_ms(),
                repeatable=job.route.retryable,
            )
            if endpoint is None or self._limits.take(endpoint):
                return endpoint
            # Another request has taken the last permit meanwhile.
            excluded_ids.add(endpoint.endpoint_id)

    def _excluded_ids(
        self, job: jobs.Job, endpoints: list[fleets.Endpoint]
    ) -> set[str]:
        """Returns the endpoints that must not get a request now."""
        excluded_ids = job.tried_ids | self._notices.withheld_ids(job.service)
        excluded_ids |= job.barred_ids(endpoints)
        return excluded_ids | self._limits.full_ids(endpoints)

    def _list_endpoints(self, job: jobs.Job) -> list[fleets.Endpoint]:
        """Returns the endpoints that may run a request.

        A caller's resumed stream goes on only if a single software version
        can have begun it.
        """
        endpoints = self._state.endpoints(job.service)
        if not job.call.resumes_stream:
            return endpoints
        version = self._state.only_stream_version(job.service)
        return [e for e in endpoints if e.software_version == version]


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
