"""The routing table, endpoints and hosts that an entry host knows."""

import logging
import threading
import time
import zlib

from masticquay_routing import cold_endpoints
from masticquay_routing import endpoint_changes
from masticquay_routing import endpoint_notices
from masticquay_routing import errors as routing_errors
from masticquay_routing import evacuations
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import regions as regions_module
from masticquay_routing import software_versions
from masticquay_routing import tables
from masticquay_serving import requests

LOG = logging.getLogger(__name__)

# Assumed until the first host list arrives.
DEFAULT_HOST_COUNT = 12
# Assumed for shares of rate limits until then, which must not be too large:
# the size of the largest fleet.
MOST_HOSTS = 400


class FleetState:
    """Holds the newest routing table, endpoint list and host list.

    Updates that are not newer than the current ones are ignored.

    :param reader: parses operators' documents into routing tables
    :param regions: of the places of endpoints and hosts
    """

    def __init__(
        self,
        reader: tables.TableReader,
        regions: regions_module.Regions = regions_module.NO_REGIONS,
    ):
        self._reader = reader
        self.regions = regions
        self._lock = threading.Lock()
        self._complete = threading.Event()
        self._by_service: dict[str, list[fleets.Endpoint]] = {}
        self._by_id: dict[str, fleets.Endpoint] = {}
        self._listed: list[fleets.Endpoint] = []
        self._leaving = endpoint_notices.LeavingEndpoints()
        # The requests a second that cold endpoints take, by id.
        self.cold_rates: dict[str, float] = {}
        self._evacuations = evacuations.NO_EVACUATIONS
        # Whether this host read the present list itself, without control.
        self._list_is_own = False
        self._stream_versions: software_versions.Versions | None = None
        self.table: tables.Table | None = None
        self._default_limits = requests.Limits()
        self.endpoints_term = 0
        self.endpoints_number = 0
        self.hosts: list[fleets.Host] = []
        self._max_host_count = 0
        self.hosts_term = 0
        self.hosts_number = 0

    @property
    def table_version(self) -> int:
        """The version of the routing table in force, -1 without one."""
        table = self.table
        return table.version if table else -1

    @property
    def evacuations_number(self) -> int:
        """The number of the change of evacuated places that is in force."""
        return self._evacuations.number

    @property
    def evacuated_places(self) -> frozenset[str]:
        """The places whose endpoints get no new requests."""
        return self._evacuations.places

    @property
    def caller_limits(self) -> requests.LimitsLike:
        """The limits on requests; defaults before the first routing table."""
        table = self.table
        return table.limits if table else self._default_limits

    @property
    def host_count(self) -> int:
        """Number of entry hosts among which budgets are divided.

        This is the highest number seen, since a host that control cannot
        reach still uses its share.
        """
        return self._max_host_count or DEFAULT_HOST_COUNT

    @property
    def rate_host_count(self) -> int:
        """Number of entry hosts among which rate limits are divided."""
        return self._max_host_count or MOST_HOSTS

    def wait_until_complete(self, timeout_s: float) -> bool:
        """Waits for the first routing table and the first endpoints.

        :returns: whether both are known
        """
        return self._complete.wait(timeout_s)

    def endpoints(self, service: str) -> list[fleets.Endpoint]:
        """Returns the endpoints of a service."""
        return self._by_service.get(service, [])

    def all_endpoints(self) -> list[fleets.Endpoint]:
        """Returns the endpoints of all services."""
        return list(self._by_id.values())

    def endpoints_to_probe(self) -> list[fleets.Endpoint]:
        """Returns the endpoints whose place is not evacuated."""
        places = self.evacuated_places
        return [e for e in self.all_endpoints() if e.place not in places]

    def endpoint(self, endpoint_id: str) -> fleets.Endpoint | None:
        """Returns a listed endpoint, None if it is not listed."""
        return self._by_id.get(endpoint_id)

    def apply_table(
        self, update: messages.TableUpdate, source: str = ''
    ) -> bool:
        """Applies a routing table if it is newer.

        :param source: address of the replica that sent it, for the log
        :returns: whether the table was applied
        """
        with self._lock:
            if update.version <= self.table_version:
                return False
            try:
                table = self._reader.read(zlib.decompress(update.document))
            except (routing_errors.TableError, zlib.error) as cause:
                LOG.error('invalid routing table', extra={'cause': str(cause)})
                return False
            self.table = table
            self._update_cold_rates()
            self._update_completeness()
        LOG.info(
            'routing table in force',
            extra={
                'version': table.version,
                'routes': len(table.routes),
                'source': source,
            },
        )
        self._warn_of_empty_regions(table)
        return True

    def _warn_of_empty_regions(self, table: tables.Table) -> None:
        allowed = [
            region
            for owner in [*table.routes, *(table.workspaces or [])]
            for region in owner.allowed_regions
        ]
        empty = self.regions.find_empty(allowed)
        if empty:
            LOG.warning(
                'allowed regions without a data centre',
                extra={'version': table.version, 'regions': empty},
            )

    def apply_endpoint_message(
        self, message: endpoint_changes.EndpointMessage
    ) -> bool:
        """Applies an endpoint list in any form; returns whether it did."""
        if isinstance(message, endpoint_changes.EndpointChanges):
            return self.apply_endpoint_changes(message)
        if isinstance(message, endpoint_changes.PackedEndpoints):
            return self.apply_endpoints(message.unpack())
        return self.apply_endpoints(message)

    def apply_endpoints(self, update: messages.EndpointUpdate) -> bool:
        """Applies an endpoint list if it is newer.

        The evacuated places have a number of their own: they are kept over
        lists that say nothing of them, and apply also without a newer list.

        :returns: whether the list was applied
        """
        with self._lock:
            if not self._replace_endpoints(update):
                return False
        _log_endpoints(update)
        return True

    def apply_endpoint_changes(
        self, changes: endpoint_changes.EndpointChanges
    ) -> bool:
        """Applies changes to the list that they are based on.

        Others are ignored: the leader sends the whole list to a host whose
        renewals do not confirm the newest one.

        :returns: whether they were applied
        """
        with self._lock:
            base = (changes.update.term, changes.base_number)
            if base != (self.endpoints_term, self.endpoints_number):
                return False
            update = changes.merge(self._listed)
            if not self._replace_endpoints(update):
                return False
        _log_endpoints(update)
        return True

    def _replace_endpoints(self, update: messages.EndpointUpdate) -> bool:
        """Applies a list if it is newer; the caller holds the lock."""
        has_moved = self._take_evacuations(update)
        term_and_number = (update.term, update.number)
        if term_and_number <= (self.endpoints_term, self.endpoints_number):
            if has_moved:
                self._index_endpoints(self._listed)
            return False
        if update.term > self.endpoints_term or self._list_is_own:
            self._leaving.begin_lists()
        self._list_is_own = False
        self.endpoints_term, self.endpoints_number = term_and_number
        self._index_endpoints(update.endpoints)
        self._stream_versions = update.stream_versions
        return True

    def _take_evacuations(self, update: messages.EndpointUpdate) -> bool:
        """Replaces the evacuated places if the update has newer ones."""
        number = update.evacuations_number
        if update.evacuated is None or number <= self._evacuations.number:
            return False
        self._evacuations = evacuations.Evacuations(number, update.evacuated)
        LOG.info(
            'evacuated places in force',
            extra={'number': number, 'places': update.evacuated},
        )
        return True

    def apply_local_list(self, endpoints: list[fleets.Endpoint]) -> None:
        """Applies an endpoint list that this host read without control.

        The term stays that of the last list from control, which replaces this
        one as soon as control is found again, also if it has not changed.
        """
        with self._lock:
            if not self._list_is_own:
                self._leaving.begin_lists()
            self._list_is_own = True
            self.endpoints_number = 0
            if self.table is not None:
                endpoints = cold_endpoints.ColdStarts().mark(
                    endpoints, self.table.services, _now_ms()
                )
            self._index_endpoints(endpoints)
            self._add_stream_versions(endpoints)

    def apply_hosts(self, update: messages.HostUpdate) -> bool:
        """Applies a host list if it is newer.

        :returns: whether the list was applied
        """
        with self._lock:
            term_and_number = (update.term, update.number)
            if term_and_number <= (self.hosts_term, self.hosts_number):
                return False
            self.hosts_term, self.hosts_number = term_and_number
            self.hosts = update.hosts
            self._max_host_count = max(self._max_host_count, len(update.hosts))
        return True

    def only_stream_version(self, service: str) -> str | None:
        """Returns the only version at which a service's streams may go on.

        :returns: None if there are several or if they are not known; empty if
            an older leader's endpoint list names no versions
        """
        with self._lock:
            versions = self._stream_versions
            listed = {
                e.software_version for e in self._by_service.get(service, [])
            }
        if versions is None and listed == {''}:
            return ''
        return software_versions.only_version(versions, service)

    def _add_stream_versions(self, endpoints: list[fleets.Endpoint]) -> None:
        """Adds the versions of a list that control did not send."""
        if self._stream_versions is None:
            return
        versions = {s: list(v) for s, v in self._stream_versions.items()}
        for endpoint in endpoints:
            of_service = versions.setdefault(endpoint.service, [])
            if endpoint.software_version not in of_service:
                of_service.append(endpoint.software_version)
        self._stream_versions = versions

    def record_leaving(self, endpoint: fleets.Endpoint) -> bool:
        """Records that an endpoint says that it leaves.

        It counts as leaving at once, whatever the list says.

        :returns: whether that was not known before
        """
        with self._lock:
            listed = self._by_id.get(endpoint.endpoint_id)
            if listed is None or listed.started_ms != endpoint.started_ms:
                return False
            is_new = self._leaving.add(
                endpoint.endpoint_id, endpoint.started_ms, _now_ms()
            )
            if is_new:
                self._index_endpoints(self._listed)
        return is_new

    def report_leaving(self) -> list[endpoint_notices.LeavingReport]:
        """Returns the endpoints to tell the leader of, which decides."""
        with self._lock:
            count = len(self._leaving)
            reports = self._leaving.report(_now_ms())
            if len(reports) != count:
                self._index_endpoints(self._listed)
        return reports

    def report_leaving_again(self) -> None:
        """Keeps the endpoints that leave until a leader was told of them."""
        with self._lock:
            self._leaving.begin_lists()

    def _index_endpoints(self, listed: list[fleets.Endpoint]) -> None:
        listed = evacuations.unmark(listed)
        self._listed = listed
        self._leaving.apply_list(listed, _now_ms())
        endpoints = self._evacuations.mark(self._leaving.mark(listed))
        by_service: dict[str, list[fleets.Endpoint]] = {}
        for endpoint in endpoints:
            by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = by_service
        self._by_id = {e.endpoint_id: e for e in endpoints}
        self._update_cold_rates()
        self._update_completeness()

    def _update_cold_rates(self) -> None:
        if self.table is not None:
            self.cold_rates = cold_endpoints.find_rates(
                self.all_endpoints(), self.table.services
            )

    def _update_completeness(self) -> None:
        if self.table is not None and self._by_id:
            self._complete.set()


def _log_endpoints(update: messages.EndpointUpdate) -> None:
    LOG.info(
        'endpoint list updated',
        extra={
            'term': update.term,
            'number': update.number,
            'endpoints': len(update.endpoints),
            'leaving': [
                e.endpoint_id
                for e in evacuations.unmark(update.endpoints)
                if e.leaving
            ],
            'software_versions': _count_versions(update.endpoints),
        },
    )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _count_versions(
    endpoints: list[fleets.Endpoint],
) -> dict[str, dict[str, int]]:
    """Returns the number of endpoints by service and software version."""
    counts: dict[str, dict[str, int]] = {}
    for endpoint in endpoints:
        by_version = counts.setdefault(endpoint.service, {})
        version = endpoint.software_version
        by_version[version] = by_version.get(version, 0) + 1
    return counts
