"""Follows the platform list: which endpoints are leaving."""

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
    """The newest answer of the platform list, by endpoint name."""

    def __init__(self) -> None:
        self._states: dict[str, str] = {}
        self.failed_count = 0

    def state_of(self, endpoint: str) -> str:
        """Returns how an endpoint was listed last."""
        return self._states.get(endpoint, STATE_UNLISTED)

    def poll(self, bundle: models.Bundle) -> list[str] | None:
        """Reads the list once.

        :returns: the names of the leaving endpoints, or None when there is
            no list or it gave no valid answer: then the last one stands
        """
        if not bundle.platform_list:
            return None
        try:
            answer = http_calls.call(
                bundle.platform_list,
                'GET',
                '/v1/hosts',
                None,
                POLL_TIMEOUT_MS,
            )
            states = _read_states(answer.body, bundle)
        except errors.OrderError as cause:
            self._note_failure(cause)
            return None
        self.failed_count = 0
        self._states = states
        return sorted(
            name for name, state in states.items() if state == STATE_LEAVING
        )

    def _note_failure(self, cause: errors.OrderError) -> None:
        if not self.failed_count:
            LOG.warning('platform list lost', extra={'cause': str(cause)})
        self.failed_count += 1


def _read_states(
    body: dict[str, typing.Any], bundle: models.Bundle
) -> dict[str, str]:
    """Maps the listed hosts to the bundle's endpoints, by address."""
    hosts = body.get('hosts')
    if not isinstance(hosts, list):
        raise errors.OrderError('the platform list has no hosts')
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
