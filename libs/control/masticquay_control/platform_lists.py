"""The platform list, which says which endpoints are leaving."""

import logging
import typing

from masticquay_bundles import models
from masticquay_control import errors
from masticquay_control import http_calls

LOG = logging.getLogger(__name__)

POLL_INTERVAL_MS = 1_000
POLL_TIMEOUT_MS = 800
STATE_LIVE = 'live'
STATE_LEAVING = 'leaving'
STATE_UNLISTED = 'unlisted'


class PlatformList:
    """The newest states in the platform list, by endpoint name."""

    def __init__(self) -> None:
        self._states: dict[str, str] = {}
        self.consecutive_failure_count = 0

    def state_of(self, endpoint: str) -> str:
        """Returns the newest listed state of an endpoint.

        :returns: ``STATE_UNLISTED`` if the list does not contain it
        """
        return self._states.get(endpoint, STATE_UNLISTED)

    def poll(self, bundle: models.Bundle) -> list[str] | None:
        """Fetches the list.

        If that fails, the states of the last valid response remain.

        :returns: the sorted names of the leaving endpoints; None if the bundle
            names no list, or no valid response arrived
        """
        if not bundle.platform_list:
            return None
        try:
            response = http_calls.call(
                bundle.platform_list,
                'GET',
                '/v1/hosts',
                None,
                POLL_TIMEOUT_MS,
            )
            if response.status != 200:
                raise errors.CallError(f'status {response.status}')
            states = _parse_states(response.body, bundle)
        except errors.CallError as cause:
            self._record_failure(cause)
            return None
        self.consecutive_failure_count = 0
        self._states = states
        return sorted(
            name for name, state in states.items() if state == STATE_LEAVING
        )

    def _record_failure(self, cause: errors.CallError) -> None:
        if not self.consecutive_failure_count:
            LOG.warning(
                'cannot read the platform list; using the last states',
                extra={'cause': str(cause)},
            )
        self.consecutive_failure_count += 1


def _parse_states(
    body: dict[str, typing.Any], bundle: models.Bundle
) -> dict[str, str]:
    """Returns the listed states of the bundle's endpoints, by name.

    The list identifies an endpoint by its address.
    """
    hosts = body.get('hosts')
    if not isinstance(hosts, list):
        raise errors.CallError('the platform list has no array of hosts')
    listed = {
        str(host.get('address')): str(host.get('state'))
        for host in hosts
        if isinstance(host, dict)
    }
    return {
        endpoint.name: listed[endpoint.address]
        for endpoint in bundle.endpoints
        if endpoint.address in listed
    }
