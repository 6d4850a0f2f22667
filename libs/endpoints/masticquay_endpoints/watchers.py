"""What pool owners learn of endpoints, over HTTP."""

import contextlib
import json
import threading
import time
import typing

from masticquay_bundles import models
from masticquay_endpoints import catalogs
from masticquay_endpoints import connections
from masticquay_endpoints import errors
from masticquay_scheduling import messages
from masticquay_scheduling import protocols

LOAD_TIMEOUT_MS = 500
EVENTS_TIMEOUT_MS = 500
CANCEL_TIMEOUT_MS = 500
PLATFORM_TIMEOUT_MS = 500
PLATFORM_INTERVAL_MS = 1_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024
STATE_LEAVING = 'leaving'

BundleSource = typing.Callable[[], models.Bundle | None]


class HttpWatcher:
    """Polls endpoints by name; see ``scheduling.protocols.EndpointWatcher``.

    :param bundle_source: returns the bundle in force
    """

    def __init__(self, bundle_source: BundleSource, catalog: catalogs.Catalog):
        self._bundle_source = bundle_source
        self._catalog = catalog
        self._pools: dict[str, connections.ConnectionPool] = {}
        self._lock = threading.Lock()
        self._index: dict[str, models.Endpoint] = {}
        self._indexed: models.Bundle | None = None
        self._leaving: frozenset[str] = frozenset()
        self._platform_read_s = 0.0

    def read_load(self, endpoint: str) -> protocols.EndpointLoad | None:
        """Returns the newest load, None when the endpoint did not answer."""
        found = self._find(endpoint)
        if found is None:
            return None
        engine = found.kind == models.KIND_ENGINE
        path = '/v1/load' if engine else '/load'
        try:
            fields = self._get(found.address, path, LOAD_TIMEOUT_MS)
            return protocols.EndpointLoad(
                int(fields['slots_used']),
                int(fields.get('pieces_used', 0)),
                int(fields.get('queued', 0)),
                int(fields.get('incarnation', 0)),
                str(fields.get('version', '')),
                int(fields.get('age_ms', 0)),
            )
        except (errors.EndpointError, KeyError, TypeError, ValueError):
            return None

    def read_cache_events(
        self, endpoint: str, after_sequence: int
    ) -> list[protocols.CacheEvent]:
        """Returns cache events after a sequence number."""
        found = self._find(endpoint)
        if found is None:
            return []
        path = f'/v1/cache-events?after={after_sequence}'
        try:
            fields = self._get(found.address, path, EVENTS_TIMEOUT_MS)
            return [
                protocols.CacheEvent(
                    int(event['sequence']),
                    event['kind'] == 'stored',
                    int(event['block_hash']),
                )
                for event in fields['events']
            ]
        except (errors.EndpointError, KeyError, TypeError, ValueError):
            return []

    def cancel(self, endpoint: str, request: messages.RequestId) -> bool:
        """Cancels all attempts of a request; True when acknowledged."""
        found = self._find(endpoint)
        if found is None:
            return True
        if found.kind != models.KIND_ENGINE:
            return True
        engine = self._catalog.engine(found.address)
        try:
            engine.cancel(str(request), CANCEL_TIMEOUT_MS)
        except errors.EndpointError:
            return False
        return True

    def is_leaving(self, endpoint: str) -> bool:
        """Whether the platform list has the endpoint as leaving."""
        self._refresh_platform()
        return endpoint in self._leaving

    def close(self) -> None:
        """Closes idle connections."""
        with self._lock:
            pools = list(self._pools.values())
            self._pools.clear()
        for pool in pools:
            pool.close()

    def _find(self, endpoint: str) -> models.Endpoint | None:
        bundle = self._bundle_source()
        if bundle is not self._indexed:
            self._index = {e.name: e for e in bundle.endpoints}
            self._indexed = bundle
        return self._index.get(endpoint)

    def _refresh_platform(self) -> None:
        now_s = time.monotonic()
        with self._lock:
            due_s = self._platform_read_s + PLATFORM_INTERVAL_MS / 1000
            if self._platform_read_s and now_s < due_s:
                return
            self._platform_read_s = now_s
        bundle = self._bundle_source()
        if bundle is None or not bundle.platform_list:
            return
        with contextlib.suppress(
            errors.EndpointError, KeyError, TypeError, ValueError
        ):
            fields = self._get(
                bundle.platform_list, '/v1/hosts', PLATFORM_TIMEOUT_MS
            )
            self._leaving = _find_leaving(fields['hosts'], bundle)

    def _get(
        self, address: str, path: str, timeout_ms: int
    ) -> dict[str, typing.Any]:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = connections.ConnectionPool(address)
                self._pools[address] = pool
        with connections.Exchange(pool) as exchange:
            response = exchange.send('GET', path, [], b'', timeout_ms)
            content = exchange.read_body(MAX_ANSWER_BYTES)
            if response.status != 200:
                raise errors.RefusedError(response.status, path)
        fields = json.loads(content)
        if not isinstance(fields, dict):
            raise errors.GarbledError('no JSON object')
        return fields


def _find_leaving(
    hosts: list[dict[str, str]], bundle: models.Bundle
) -> frozenset[str]:
    """Returns the names of endpoints listed as leaving.

    The list names hosts by name or by address; an endpoint leaves when
    either is listed so.
    """
    listed = set()
    for host in hosts:
        if host.get('state') == STATE_LEAVING:
            listed.add(host.get('name'))
            listed.add(host.get('address'))
    return frozenset(
        endpoint.name
        for endpoint in bundle.endpoints
        if endpoint.name in listed or endpoint.address in listed
    )
