"""Entry daemon: creates and runs the parts of one entry host."""

import contextlib
import logging
import os
import random
import threading
import time
import typing

from masticquay_gateway import answers
from masticquay_gateway import caller_hosts
from masticquay_gateway import calls
from masticquay_gateway import drains
from masticquay_gateway import endpoint_limits
from masticquay_gateway import exchanges
from masticquay_gateway import fleet_states
from masticquay_gateway import forwards
from masticquay_gateway import host_reports
from masticquay_gateway import late_answers
from masticquay_gateway import links
from masticquay_gateway import notices
from masticquay_gateway import paths
from masticquay_gateway import peer_links
from masticquay_gateway import peer_services
from masticquay_gateway import placers
from masticquay_gateway import ports
from masticquay_gateway import quarantines
from masticquay_gateway import reach_watches
from masticquay_gateway import request_watches
from masticquay_gateway import retries
from masticquay_gateway import settings as settings_module
from masticquay_gateway import slots
from masticquay_gateway import streams
from masticquay_gateway import usages
from masticquay_routing import choosers
from masticquay_routing import fleets
from masticquay_routing import held_requests
from masticquay_routing import messages
from masticquay_routing import named_limits
from masticquay_routing import slot_messages
from masticquay_routing import stream_origins
from masticquay_routing import tables
from masticquay_serving import counters
from masticquay_serving import disconnects
from masticquay_serving import http_servers
from masticquay_wire import duties
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

DRAIN_POLL_INTERVAL_MS = 50
# Time without a renewal after which the host reads the endpoint list itself.
LOCAL_LIST_AFTER_MS = 3_000
LOCAL_LIST_INTERVAL_MS = 2_500


class EndpointLister(typing.Protocol):
    """Source of endpoints to use while control is unreachable."""

    def read(self) -> list[fleets.Endpoint]:
        """Returns all endpoints; any exception counts as a failed read."""


class EntryDaemon:
    """One entry host.

    :param reader: parses operators' documents into routing tables
    :param endpoint_lister: lists endpoints while control is unreachable
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        reader: tables.TableReader,
        caller_protocol: ports.CallerProtocol,
        endpoint_protocol: ports.EndpointProtocol,
        endpoint_lister: EndpointLister,
    ):
        self.settings = settings
        self.state = fleet_states.FleetState(reader, settings.regions)
        self.registry = counters.Registry()
        self._endpoint_lister = endpoint_lister
        self._stack = contextlib.ExitStack()
        self._draining = threading.Event()
        self._drain = drains.Drain(settings.grace_ms)
        self.usage = usages.Usage()
        incarnation = int.from_bytes(os.urandom(6), 'big')
        identity = host_reports.Identity(
            settings.name,
            settings.address,
            settings.place,
            incarnation,
            settings.link_address,
        )
        self.link = links.ControlLink(
            identity,
            settings.secret,
            lambda: self.settings.seeds,
            self.state,
            self,
        )
        self.quarantine = quarantines.Quarantine()
        self._watch = request_watches.RequestWatch(
            settings.name,
            self.quarantine,
            request_watches.LeaderTrials(settings.name, self.link),
        )
        self._limits = endpoint_limits.EndpointLimits(
            self.state,
            self.registry,
            endpoint_limits.PermitSource(settings.name, self.link),
            self.link.renew_now,
        )
        self._slots = slots.Slots(
            settings.name,
            settings.place,
            slots.LeaderSlots(self.link),
            self.registry,
        )
        self._placer = placers.Placer(
            settings.name,
            self.link,
            self.state,
            self._limits,
            self.registry,
        )
        self._notices = notices.EndpointNotices(
            endpoint_protocol,
            self.state,
            self.registry,
            self.link.renew_now,
            self._limits,
            self._handle_pause,
        )
        self._reach_watch = reach_watches.ReachWatch(
            self.state.endpoints_to_probe,
            self.registry,
            self._handle_reach_change,
        )
        self.registry.set_gauge_reader(self._read_gauges)
        self._late_answers = late_answers.LateAnswers(
            endpoint_protocol, self._notices, self.registry
        )
        self._pools = exchanges.ConnectionPools(
            exchanges.Observers(self._reach_watch, self._late_answers)
        )
        self._peer_links = peer_links.PeerLinks(
            fleets.Host(settings.name, settings.address, settings.place),
            settings.secret,
            lambda: self.state.hosts,
        )
        self._paths = paths.WatchedPaths(
            self._pools, self._reach_watch, self._peer_links, self.registry
        )
        self._peer_service = peer_services.PeerService(
            peers.Address.parse(settings.link_address),
            settings.secret,
            self.state,
            self._pools,
            self._notices,
            answers.AnswerChecker(
                endpoint_protocol, self._notices, self.registry
            ),
            self._reach_watch,
            self.registry,
        )
        self._chooser = choosers.Chooser(
            settings.place, random.Random(), self._count_skip
        )
        self._disconnect_watcher = disconnects.DisconnectWatcher()
        self.calls = self._make_call_service(
            caller_protocol, endpoint_protocol
        )
        address = peers.Address.parse(settings.address)
        self.server = http_servers.Server(
            (address.host, address.port),
            self.calls.serve,
            lambda: self.state.caller_limits,
            settings.connection_limit,
        )

    def start(self) -> None:
        """Starts the link to control and the server for callers."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._pools.close)
            stack.callback(self._late_answers.close)
            stack.callback(self._reach_watch.close)
            stack.callback(self._peer_links.close)
            self._peer_service.start()
            stack.callback(self._peer_service.close)
            stack.callback(self._disconnect_watcher.close)
            self.link.start()
            stack.callback(self.link.close)
            self.server.start()
            stack.callback(self.server.server_close)
            threading.Thread(
                target=self._poll_endpoint_list, name='own-list', daemon=True
            ).start()
            self._stack = stack.pop_all()
        LOG.info(
            'entry host started', extra={'address': self.settings.address}
        )

    def drain(self) -> None:
        """Reports not ready and waits until every request has ended.

        Callers use the host until their host lists have expired, so it
        accepts connections for some time before it closes idle ones. A
        request that it cannot finish in the grace period is refused.
        """
        LOG.info('entry host draining', extra={'active': self.active_count})
        self._drain.begin()
        self._draining.set()
        self.link.renew_now()
        self._peer_service.drain()
        self.server.drain()
        time.sleep(self._drain.accept_ms / 1000)
        self.server.stop_accepting()
        self.server.close_idle()
        while self.active_count or self.server.connection_count:
            if self._drain.remaining_ms <= 0:
                break
            time.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
            self.server.close_idle()
        LOG.info('entry host drained', extra={'active': self.active_count})
        self._cut_requests()

    def _cut_requests(self) -> None:
        """Ends what still runs, and waits until callers have been told."""
        self.calls.cut()
        end_s = time.monotonic() + drains.CUT_ANSWER_MS / 1000
        while self.calls.active_count and time.monotonic() < end_s:
            time.sleep(DRAIN_POLL_INTERVAL_MS / 1000)

    def close(self) -> None:
        """Stops all parts of the host."""
        self._stack.close()

    @property
    def active_count(self) -> int:
        """Number of requests in progress, those of peers included."""
        return self.calls.active_count + self._peer_service.active_count

    def is_ready(self) -> bool:
        """Whether callers may use this host."""
        return self.state.table is not None and not self._draining.is_set()

    def reaches_endpoints(self) -> bool:
        """Whether this host can connect to endpoints."""
        return not self._reach_watch.is_lost

    def report_usage(self) -> usages.UsageReport:
        """Returns the cost of requests that the leader has not confirmed.

        The unit is tokens or requests, as the workspace's rate counts them.
        """
        return self.usage.report()

    def confirm_usage(self, number: int) -> None:
        """Records that the leader charged the report with a number."""
        self.usage.confirm(number)

    def running_requests(self) -> list[messages.Running]:
        """Returns the placed requests that this host is running."""
        return self._placer.running_requests()

    def held_requests(self) -> held_requests.HeldRequests:
        """Returns the model requests that have not ended."""
        return self._placer.held_requests()

    def recent_ends(self) -> list[wire_messages.Message]:
        """Returns the ends of endpoints that the host has reported."""
        return [*self._placer.recent_ends(), *self._watch.recent_ends()]

    def apply_suspects(self, suspects: list[str]) -> None:
        """Replaces the requests of which one copy may run at a time."""
        self._watch.apply_suspects(suspects)

    def quarantined_prompts(self) -> dict[str, int]:
        """Returns the parts of prompts to refuse, with the time left in ms."""
        return self.quarantine.remaining()

    def set_quarantined_prompts(self, quarantined: dict[str, int]) -> None:
        """Replaces the parts of prompts to refuse."""
        self.quarantine.apply(quarantined)

    def recent_origins(self) -> list[stream_origins.StreamOrigin]:
        """Returns where recent streams began, also those that it keeps."""
        return self._placer.recent_origins()

    def keep_origins(self, origins: list[stream_origins.StreamOrigin]) -> None:
        """Keeps where streams of other hosts began, for the next leader."""
        self._placer.keep_origins(origins)

    def set_exhausted(self, exhausted: dict[str, int]) -> None:
        """Replaces the workspaces that are over their rate limit.

        :param exhausted: time in ms until requests of each workspace are
            allowed again
        """
        self.usage.set_exhausted(exhausted)

    def _read_gauges(self) -> dict[str, float]:
        return {
            'reaches_endpoints': float(self.reaches_endpoints()),
            'evacuated_places': len(self.state.evacuated_places),
        }

    def _handle_reach_change(self) -> None:
        """Tells the leader; drops connections whose path was lost."""
        if self._reach_watch.is_lost:
            self._pools.close()
        else:
            self._peer_links.close()
        self.link.renew_now()

    def _handle_pause(self, endpoint: fleets.Endpoint) -> None:
        """Has the leader grant no slots there to requests that wait."""
        if self._slots.is_awaited(endpoint.service):
            self.link.renew_now()

    def _count_skip(self, cause: str, endpoint_id: str) -> None:
        self.registry.count(
            'endpoints_skipped', 'cause', cause, 'endpoint', endpoint_id
        )

    def collect_endpoint_reports(self) -> list[messages.EndpointReport]:
        """Returns and resets what was seen of plain services' endpoints."""
        return self._chooser.collect_reports()

    def apply_endpoint_views(self, views: list[messages.EndpointView]) -> None:
        """Applies what all hosts together know of these endpoints."""
        self._chooser.drop_unlisted(self.state.all_endpoints())
        listed = [v for v in views if self.state.endpoint(v.endpoint_id)]
        self._chooser.apply_views(listed, time.monotonic_ns() // 1_000_000)

    def report_limits(self) -> list[named_limits.LimitWord]:
        """Returns what this host knows of the limits that endpoints name."""
        return self._limits.report()

    def apply_limits(self, words: list[named_limits.LimitWord]) -> None:
        """Applies what the leader knows of them."""
        self._limits.apply(words)

    def held_slots(self) -> slot_messages.HeldSlots | None:
        """Returns the requests that asked for slots and have not ended."""
        return self._slots.report(self._notices.pauses())

    def apply_scarce(self, services: list[str]) -> None:
        """Applies for which plain services hosts ask for slots."""
        self._slots.apply_scarce(services)

    def hosts(self) -> list[fleets.Host]:
        """Returns the hosts that callers should use."""
        settings = self.settings
        own = fleets.Host(
            settings.name,
            settings.address,
            settings.place,
            settings.link_address,
            self.reaches_endpoints(),
        )
        return caller_hosts.list_for_callers(
            self.state.hosts, own, self.is_ready()
        )

    def _make_call_service(
        self,
        caller_protocol: ports.CallerProtocol,
        endpoint_protocol: ports.EndpointProtocol,
    ) -> calls.CallService:
        budgets = retries.RetryBudgets(self.settings.budget, self.state)
        forwarder = forwards.Forwarder(
            self.state,
            endpoint_protocol,
            self._paths,
            self._chooser,
            budgets,
            self._notices,
            self._limits,
            self._watch,
            self._slots,
            self.registry,
        )
        streamer = streams.Streamer(
            self.settings.name,
            self.state,
            endpoint_protocol,
            self._paths,
            self._placer,
            budgets,
            self.quarantine,
            self._notices,
            self.registry,
        )
        return calls.CallService(
            self.state,
            caller_protocol,
            forwarder,
            streamer,
            self._placer,
            self.usage,
            self._disconnect_watcher,
            self.registry,
            self._drain,
        )

    def _poll_endpoint_list(self) -> None:
        """Reads the endpoint list while control is unreachable."""
        duty = duties.Duty(
            'own endpoint list',
            self._read_endpoint_list,
            lambda name: self.registry.count('duty_failures', 'duty', name),
        )
        duty.run(self._draining, LOCAL_LIST_INTERVAL_MS / 1000)

    def _read_endpoint_list(self) -> None:
        if self.link.since_renewal_ms < LOCAL_LIST_AFTER_MS:
            return
        if self.state.table is None:
            return
        try:
            endpoints = self._endpoint_lister.read()
        except Exception as cause:
            LOG.warning(
                'reading the endpoint list failed',
                extra={'cause': str(cause)},
            )
            return
        self.state.apply_local_list(endpoints)
        LOG.info(
            'endpoint list read without control',
            extra={'endpoints': len(endpoints)},
        )
