"""Sessions of the entry hosts with the leader."""

import logging
import threading

from masticquay_coordination import deliveries
from masticquay_coordination import table_updates
from masticquay_coordination import updates
from masticquay_routing import evacuations
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import renewals
from masticquay_routing import software_versions
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

# A new leader publishes no host list for this long, as few hosts have found it
# yet; callers keep their older lists until then.
HOST_LIST_DELAY_MS = 1_200
# Changes of the host list within this time are sent together. Many hosts that
# restart at once would otherwise cause a list for each of them to all others.
HOST_LIST_INTERVAL_MS = 400


class Session:
    """The last renewal of one entry host, and the updates sent to it.

    :param usage_number: the number of the usage that was charged last
    """

    __slots__ = ('renewal', 'link', 'renewed_ms', 'sent', 'usage_number')

    def __init__(
        self,
        renewal: messages.Renew,
        link: peers.Connection,
        renewed_ms: int,
        sent: updates.SentUpdates,
        usage_number: int = 0,
    ):
        self.renewal = renewal
        self.link = link
        self.renewed_ms = renewed_ms
        self.sent = sent
        self.usage_number = usage_number


class Sessions:
    """The sessions of all hosts in one term.

    Sends the routing table, the endpoint list and the host list to the hosts.
    Each is encoded once and sent to a host again only if the host still lacks
    it after a while.

    :param term: the leader's term
    :param newest_table: the update with the newest table
    """

    def __init__(
        self,
        term: int,
        newest_table: table_updates.TableUpdates,
        clock: clocks.Clock,
    ):
        self.term = term
        self._newest_table = newest_table
        self._clock = clock
        self._lock = threading.RLock()
        self._sessions: dict[str, Session] = {}
        # The incarnations of each host before its restarts in this term.
        self._replaced: dict[str, set[int]] = {}
        self._started_ms = clock.now_ms()
        self._hosts: list[fleets.Host] = []
        self._hosts_changed = False
        self._hosts_published_ms = self._started_ms - HOST_LIST_INTERVAL_MS
        self._endpoints: list[fleets.Endpoint] = []
        self._stream_versions: software_versions.Versions | None = None
        self._endpoint_update: updates.Update | None = None
        self._host_update: updates.Update | None = None
        self._evacuations = evacuations.NO_EVACUATIONS
        # The first endpoint list of the term with these evacuations.
        self._evacuated_since = 0
        self.delivery = deliveries.Delivery(clock)
        self.evacuation_delivery = deliveries.Delivery(clock, 'evacuations')

    @property
    def host_names(self) -> set[str]:
        """The names of the hosts that have a session."""
        with self._lock:
            return set(self._sessions)

    @property
    def renew_interval_ms(self) -> int:
        """The time between two renewals of each host."""
        return renewals.interval_ms(len(self._sessions))

    @property
    def hosts_without_path(self) -> int:
        """Number of hosts that cannot connect to any endpoint."""
        with self._lock:
            return sum(
                not session.renewal.reaches_endpoints
                for session in self._sessions.values()
            )

    def renew(self, renewal: messages.Renew, link: peers.Connection) -> bool:
        """Renews a session and sends the updates that the host lacks.

        A late renewal of a process before a restart changes nothing.

        :returns: whether the host has restarted since its last renewal
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            if self.is_replaced(renewal):
                return False
            previous = self._sessions.get(renewal.host)
            has_restarted = _has_restarted(previous, renewal)
            if has_restarted:
                replaced = self._replaced.setdefault(renewal.host, set())
                replaced.add(previous.renewal.incarnation)
            sent = updates.SentUpdates()
            if previous is not None and previous.link is link:
                sent = previous.sent
            session = Session(
                renewal, link, now_ms, sent, _charged_number(previous, renewal)
            )
            self._sessions[renewal.host] = session
            if previous is None or _is_listed_differently(
                previous.renewal, renewal
            ):
                self._hosts_changed = True
            missing = self._find_missing(session, now_ms)
        self.delivery.confirm(renewal.host, renewal.table_version)
        self._confirm_evacuations(renewal)
        for update in missing:
            _send(session, update)
        self._log_reach(previous.renewal if previous else None, renewal)
        if previous is None:
            LOG.info(
                'host session opened',
                extra={'entry_host': renewal.host, 'term': self.term},
            )
        return has_restarted

    def is_replaced(self, renewal: messages.Renew) -> bool:
        """Whether the host's process has restarted since it sent this."""
        replaced = self._replaced.get(renewal.host, ())
        return renewal.incarnation in replaced

    def _log_reach(
        self, earlier: messages.Renew | None, renewal: messages.Renew
    ) -> None:
        """Logs that a host has lost its path to endpoints, or has it back."""
        reached_before = earlier is None or earlier.reaches_endpoints
        if renewal.reaches_endpoints == reached_before:
            return
        LOG.warning(
            'host reaches endpoints again'
            if renewal.reaches_endpoints
            else 'host reaches no endpoint',
            extra={
                'entry_host': renewal.host,
                'term': self.term,
                'hosts_without_path': self.hosts_without_path,
            },
        )

    def take_usage(self, renewal: messages.Renew) -> dict[str, float]:
        """Returns the usage in a renewal, empty if it was charged before."""
        with self._lock:
            session = self._sessions.get(renewal.host)
            if session is None or not renewal.usage_number:
                return renewal.usage
            if renewal.usage_number <= session.usage_number:
                return {}
            session.usage_number = renewal.usage_number
            return renewal.usage

    def expire(self) -> list[str]:
        """Drops the sessions that were not renewed in time.

        :returns: the names of their hosts
        """
        timeout_ms = renewals.session_timeout_ms(self.renew_interval_ms)
        limit_ms = self._clock.now_ms() - timeout_ms
        with self._lock:
            expired = [
                name
                for name, session in self._sessions.items()
                if session.renewed_ms < limit_ms
            ]
            for name in expired:
                del self._sessions[name]
                self._hosts_changed = True
        self.delivery.log_slow()
        self.evacuation_delivery.log_slow()
        for name in expired:
            self.delivery.drop(name)
            self.evacuation_delivery.drop(name)
            LOG.warning(
                'host session expired',
                extra={'entry_host': name, 'term': self.term},
            )
        return expired

    def publish_table(self) -> None:
        """Sends the newest table to all hosts."""
        with self._lock:
            update = self._newest_table.get()
            if update is None:
                return
            lacking = {
                name
                for name, session in self._sessions.items()
                if session.renewal.table_version < update.number
            }
            self.delivery.begin(update.number, lacking)
        self._publish(update)

    def publish_endpoints(
        self,
        endpoints: list[fleets.Endpoint],
        stream_versions: software_versions.Versions | None = None,
        evacuated: evacuations.Evacuations = evacuations.NO_EVACUATIONS,
    ) -> None:
        """Sends the endpoint list to all hosts if it changed.

        :param stream_versions: the software versions at which recent streams
            may have begun, None if they are not known
        :param evacuated: the places by which the endpoints are marked
        """
        with self._lock:
            previous = self._endpoint_update
            is_same = endpoints == self._endpoints
            is_same = is_same and stream_versions == self._stream_versions
            has_moved = evacuated.number != self._evacuations.number
            is_same = is_same and not has_moved
            if previous is not None and is_same:
                return
            self._endpoints = endpoints
            self._stream_versions = stream_versions
            number = _next_number(previous)
            update = updates.Update(
                updates.Kind.ENDPOINTS,
                number,
                messages.EndpointUpdate(
                    self.term,
                    number,
                    endpoints,
                    stream_versions,
                    sorted(evacuated.places),
                    evacuated.number,
                ),
            )
            self._endpoint_update = update
            if has_moved:
                self._evacuations = evacuated
                self._evacuated_since = number
                # A host has no list of this term that is not numbered yet.
                self.evacuation_delivery.begin(
                    evacuated.number, set(self._sessions)
                )
        self._publish(update)

    def publish_evacuations(self) -> None:
        """Sends the evacuated places to all hosts without a list.

        The platform's list may be missing when a term begins.
        """
        update = self._newest_table.evacuations()
        if update is not None and self._endpoint_update is None:
            self._publish(update)

    def publish_hosts(self) -> None:
        """Sends the host list to all hosts if it changed and is due."""
        now_ms = self._clock.now_ms()
        with self._lock:
            if not self._hosts_changed or not self._is_host_list_due(now_ms):
                return
            self._hosts_changed = False
            hosts = self._list_hosts()
            previous = self._host_update
            if previous is not None and hosts == self._hosts:
                return
            self._hosts = hosts
            self._hosts_published_ms = now_ms
            number = _next_number(previous)
            update = updates.Update(
                updates.Kind.HOSTS,
                number,
                messages.HostUpdate(self.term, number, hosts),
            )
            self._host_update = update
        self._publish(update)

    def _confirm_evacuations(self, renewal: messages.Renew) -> None:
        with self._lock:
            number = self._evacuations.number
            since = self._evacuated_since
        if renewal.term == self.term and renewal.endpoints_number >= since:
            self.evacuation_delivery.confirm(renewal.host, number)

    def announce_end(self) -> None:
        """Tells all hosts that this replica no longer leads."""
        self._publish(
            updates.Update(
                updates.Kind.LEADER,
                self.term,
                messages.LeaderChanged(self.term),
            )
        )

    def _publish(self, update: updates.Update) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            sessions = list(self._sessions.values())
            for session in sessions:
                session.sent.record(update, now_ms)
        for session in sessions:
            _send(session, update)

    def _is_host_list_due(self, now_ms: int) -> bool:
        if now_ms - self._started_ms < HOST_LIST_DELAY_MS:
            return False
        return now_ms - self._hosts_published_ms >= HOST_LIST_INTERVAL_MS

    def _list_hosts(self) -> list[fleets.Host]:
        return [
            fleets.Host(
                session.renewal.host,
                session.renewal.address,
                session.renewal.place,
                session.renewal.link_address,
                session.renewal.reaches_endpoints,
            )
            for _name, session in sorted(self._sessions.items())
            if session.renewal.ready
        ]

    def _find_missing(
        self, session: Session, now_ms: int
    ) -> list[updates.Update]:
        """Returns the updates that a host lacks and is not about to get."""
        renewal = session.renewal
        same_term = renewal.term == self.term
        held_numbers = (
            (self._newest_table.get(), renewal.table_version),
            (
                self._endpoint_update,
                renewal.endpoints_number if same_term else 0,
            ),
            (self._host_update, renewal.hosts_number if same_term else 0),
        )
        missing = [
            update
            for update, held_number in held_numbers
            if update is not None
            and held_number < update.number
            and session.sent.is_due(update, now_ms)
        ]
        evacuated = self._newest_table.evacuations()
        if (
            self._endpoint_update is None
            and evacuated is not None
            and session.sent.is_due(evacuated, now_ms)
        ):
            missing.append(evacuated)
        for update in missing:
            session.sent.record(update, now_ms)
        return missing


def _next_number(previous: updates.Update | None) -> int:
    return previous.number + 1 if previous else 1


def _has_restarted(previous: Session | None, renewal: messages.Renew) -> bool:
    """Whether a renewal is the first one after a restart of its host."""
    if previous is None:
        return False
    return previous.renewal.incarnation != renewal.incarnation


def _charged_number(previous: Session | None, renewal: messages.Renew) -> int:
    """Returns the number of the usage that a host was charged last."""
    if previous is None or _has_restarted(previous, renewal):
        return 0
    return previous.usage_number


def _is_listed_differently(
    earlier: messages.Renew, later: messages.Renew
) -> bool:
    """Whether two renewals of a host differ in what the host list says."""
    return _listed_fields(earlier) != _listed_fields(later)


def _listed_fields(renewal: messages.Renew) -> tuple:
    return (
        renewal.ready,
        renewal.address,
        renewal.place,
        renewal.link_address,
        renewal.reaches_endpoints,
    )


def _send(session: Session, update: updates.Update) -> None:
    try:
        session.link.notify_encoded(update.notice)
    except wire_errors.WireError:
        # The host renews over a new link and gets the update then.
        return
