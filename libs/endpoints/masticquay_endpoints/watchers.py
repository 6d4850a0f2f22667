"""HTTP client with which pool owners poll endpoints and the platform list."""

import contextlib
import json
import threading
import time
import typing

from masticquay_bundles import models
from masticquay_endpoints import client_caches
from masticquay_endpoints import connections
from masticquay_endpoints import errors
from masticquay_scheduling import messages
from masticquay_scheduling import protocols

LOAD_TIMEOUT_MS = 500
CACHE_EVENTS_TIMEOUT_MS = 500
CANCEL_TIMEOUT_MS = 500
PLATFORM_LIST_TIMEOUT_MS = 500
PLATFORM_LIST_INTERVAL_MS = 1_000
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
STATE_LEAVING = 'leaving'

BundleSource = typing.Callable[[], models.Bundle | None]
Fields = dict[str, typing.Any]
Parsed = typing.TypeVar('Parsed')

_UNREADABLE_ERRORS = (errors.EndpointError, KeyError, TypeError, ValueError)


class HttpWatcher:
    """Polls endpoints; see ``scheduling.protocols.EndpointWatcher``.

    The methods take the name of an endpoint of the bundle.

    :param bundle_source: returns the bundle in force, None if there is none
    """

    def __init__(
        self,
        bundle_source: BundleSource,
        client_cache: client_caches.ClientCache,
    ):
        self._bundle_source = bundle_source
        self._client_cache = client_cache
        self._pools: dict[str, connections.ConnectionPool] = {}
        self._lock = threading.Lock()
        self._endpoints_by_name: dict[str, models.Endpoint] = {}
        self._indexed_bundle: models.Bundle | None = None
        self._leaving_endpoints: frozenset[str] = frozenset()
        self._platform_list_read_s = 0.0

    def read_load(self, endpoint: str) -> protocols.EndpointLoad | None:
        """Returns the latest load, None when it could not be read."""
        known_endpoint = self._find_endpoint(endpoint)
        if known_endpoint is None:
            return None
        is_engine = known_endpoint.kind == models.KIND_ENGINE
        path = '/v1/load' if is_engine else '/load'
        try:
            return self._get(
                known_endpoint.address, path, LOAD_TIMEOUT_MS, _parse_load
            )
        except _UNREADABLE_ERRORS:
            return None

    def read_cache_events(
        self, endpoint: str, after_sequence: int
    ) -> list[protocols.CacheEvent]:
        """Returns the cache events after a sequence number.

        The list is empty when they could not be read.
        """
        known_endpoint = self._find_endpoint(endpoint)
        if known_endpoint is None:
            return []
        path = f'/v1/cache-events?after={after_sequence}'
        try:
            return self._get(
                known_endpoint.address,
                path,
                CACHE_EVENTS_TIMEOUT_MS,
                _parse_cache_events,
            )
        except _UNREADABLE_ERRORS:
            return []

    def cancel(self, endpoint: str, request: messages.RequestId) -> bool:
        """Cancels all attempts of a request on an endpoint.

        :returns: True when the engine acknowledged, or when there is nothing
            to cancel as the endpoint is unknown or a plain service
        """
        known_endpoint = self._find_endpoint(endpoint)
        if known_endpoint is None:
            return True
        if known_endpoint.kind != models.KIND_ENGINE:
            return True
        engine = self._client_cache.engine(known_endpoint.address)
        try:
            engine.cancel(str(request), CANCEL_TIMEOUT_MS)
        except errors.EndpointError:
            return False
        return True

    def is_leaving(self, endpoint: str) -> bool:
        """Whether the platform list says that the endpoint is leaving.

        The list is read at most every ``PLATFORM_LIST_INTERVAL_MS``; when a
        read fails, the previous list stays in use.
        """
        self._refresh_platform_list()
        return endpoint in self._leaving_endpoints

    def close(self) -> None:
        """Closes idle connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()

    def _find_endpoint(self, endpoint: str) -> models.Endpoint | None:
        bundle = self._bundle_source()
        if bundle is not self._indexed_bundle:
            self._endpoints_by_name = {e.name: e for e in bundle.endpoints}
            self._indexed_bundle = bundle
        return self._endpoints_by_name.get(endpoint)

    def _refresh_platform_list(self) -> None:
        now_s = time.monotonic()
        with self._lock:
            due_s = (
                self._platform_list_read_s + PLATFORM_LIST_INTERVAL_MS / 1000
            )
            if self._platform_list_read_s and now_s < due_s:
                return
            self._platform_list_read_s = now_s
        bundle = self._bundle_source()
        if bundle is None or not bundle.platform_list:
            return
        with contextlib.suppress(*_UNREADABLE_ERRORS):
            self._leaving_endpoints = self._get(
                bundle.platform_list,
                '/v1/hosts',
                PLATFORM_LIST_TIMEOUT_MS,
                lambda fields: _find_leaving_endpoints(
                    fields['hosts'], bundle
                ),
            )

    def _get(
        self,
        address: str,
        path: str,
        timeout_ms: int,
        parse: typing.Callable[[Fields], Parsed],
    ) -> Parsed:
        """Returns the parsed answer to a request.

        The connection is used again only after an answer that can be parsed:
        another one may belong to an earlier request.

        :param parse: called with the JSON object of the answer
        """
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = connections.ConnectionPool(address)
                self._pools[address] = pool
        with connections.Exchange(pool) as exchange:
            response = exchange.send('GET', path, [], b'', timeout_ms)
            content = exchange.read_body(MAX_RESPONSE_BYTES)
            try:
                if response.status != 200:
                    raise errors.RefusedError(response.status, path)
                return parse(_parse_object(content))
            except _UNREADABLE_ERRORS:
                exchange.connection.shut_down()
                raise


def _parse_object(content: bytes) -> Fields:
    fields = json.loads(content)
    if not isinstance(fields, dict):
        raise errors.ProtocolViolationError(
            'endpoint sent a response that is not a JSON object'
        )
    return fields


def _parse_load(fields: Fields) -> protocols.EndpointLoad:
    return protocols.EndpointLoad(
        int(fields['slots_used']),
        int(fields.get('pieces_used', 0)),
        int(fields.get('queued', 0)),
        int(fields.get('incarnation', 0)),
        str(fields.get('version', '')),
        int(fields.get('age_ms', 0)),
    )


def _parse_cache_events(fields: Fields) -> list[protocols.CacheEvent]:
    return [
        protocols.CacheEvent(
            int(event['sequence']),
            event['kind'] == 'stored',
            int(event['block_hash']),
        )
        for event in fields['events']
    ]


def _find_leaving_endpoints(
    hosts: list[dict[str, str]], bundle: models.Bundle
) -> frozenset[str]:
    """Returns the names of the endpoints that are listed as leaving.

    The list refers to an endpoint by its name or by its address.
    """
    leaving_hosts = set()
    for host in hosts:
        if host.get('state') == STATE_LEAVING:
            leaving_hosts.add(host.get('name'))
            leaving_hosts.add(host.get('address'))
    return frozenset(
        endpoint.name
        for endpoint in bundle.endpoints
        if endpoint.name in leaving_hosts or endpoint.address in leaving_hosts
    )
