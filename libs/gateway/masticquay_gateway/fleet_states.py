"""What an entry host knows of the fleet, replaced as news arrive."""

import logging
import threading
import zlib

from masticquay_routing import errors as routing_errors
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import tables
from masticquay_serving import requests

LOG = logging.getLogger(__name__)

# Assumed by a host that was told of no other yet.
UNKNOWN_HOST_COUNT = 12


class FleetState:
    """The newest table, endpoints and hosts; versions only rise.

    :param reader: turns operators' documents into tables
    """

    def __init__(self, reader: tables.TableReader):
        self._reader = reader
        self._lock = threading.Lock()
        self._complete = threading.Event()
        self._by_service: dict[str, list[fleets.Endpoint]] = {}
        self._by_id: dict[str, fleets.Endpoint] = {}
        self.table: tables.Table | None = None
        self._first_limits = requests.Limits()
        self.endpoints_term = 0
        self.endpoints_number = 0
        self.hosts: list[fleets.Host] = []
        self._most_hosts = 0
        self.hosts_term = 0
        self.hosts_number = 0

    @property
    def table_version(self) -> int:
        """The version of the table in force, -1 for none."""
        table = self.table
        return table.version if table else -1

    @property
    def caller_limits(self) -> requests.LimitsLike:
        """What callers may send; defaults before the first table."""
        table = self.table
        return table.limits if table else self._first_limits

    @property
    def host_count(self) -> int:
        """How many entry hosts share budgets.

        The most that were known, since hosts out of touch spend theirs too.
        """
        return self._most_hosts or UNKNOWN_HOST_COUNT

    def wait_until_complete(self, timeout_s: float) -> bool:
        """Waits for the first table and the first endpoint list."""
        return self._complete.wait(timeout_s)

    def endpoints(self, service: str) -> list[fleets.Endpoint]:
        """Returns the endpoints of a service."""
        return self._by_service.get(service, [])

    def endpoint(self, endpoint_id: str) -> fleets.Endpoint | None:
        """Returns an endpoint that is on the list."""
        return self._by_id.get(endpoint_id)

    def take_table(self, update: messages.TableUpdate) -> bool:
        """Takes up a table if it is newer; returns whether it was."""
        with self._lock:
            if update.version <= self.table_version:
                return False
            try:
                table = self._reader.read(zlib.decompress(update.document))
            except (routing_errors.TableError, zlib.error) as cause:
                LOG.error('table not readable', extra={'cause': str(cause)})
                return False
            self.table = table
            self._note_completeness()
        LOG.info(
            'table in force',
            extra={'version': table.version, 'routes': len(table.routes)},
        )
        return True

    def take_endpoints(self, update: messages.EndpointUpdate) -> bool:
        """Takes up an endpoint list if it is newer."""
        with self._lock:
            number = (update.term, update.number)
            if number <= (self.endpoints_term, self.endpoints_number):
                return False
            self.endpoints_term, self.endpoints_number = number
            self._index(update.endpoints)
        LOG.info(
            'endpoint list taken',
            extra={
                'term': update.term,
                'number': update.number,
                'endpoints': len(update.endpoints),
                'leaving': [
                    e.endpoint_id for e in update.endpoints if e.leaving
                ],
            },
        )
        return True

    def take_own_list(self, endpoints: list[fleets.Endpoint]) -> None:
        """Takes up a list that this host read itself."""
        with self._lock:
            self._index(endpoints)

    def take_hosts(self, update: messages.HostUpdate) -> bool:
        """Takes up a host list if it is newer."""
        with self._lock:
            number = (update.term, update.number)
            if number <= (self.hosts_term, self.hosts_number):
                return False
            self.hosts_term, self.hosts_number = number
            self.hosts = update.hosts
            self._most_hosts = max(self._most_hosts, len(update.hosts))
        return True

    def _index(self, endpoints: list[fleets.Endpoint]) -> None:
        by_service: dict[str, list[fleets.Endpoint]] = {}
        for endpoint in endpoints:
            by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = by_service
        self._by_id = {e.endpoint_id: e for e in endpoints}
        self._note_completeness()

    def _note_completeness(self) -> None:
        if self.table is not None and self._by_id:
            self._complete.set()
