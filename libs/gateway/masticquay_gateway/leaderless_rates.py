"""Charges requests to rate limits while the leader is unreachable."""

from concurrent import futures
import logging
import random
import threading
import time
import typing

from masticquay_gateway import fleet_states
from masticquay_routing import rate_messages
from masticquay_routing import rate_shares
from masticquay_routing import refusals
from masticquay_serving import counters
from masticquay_wire import errors as wire_errors
from masticquay_wire import messages as wire_messages

LOG = logging.getLogger(__name__)

ASK_TIMEOUT_MS = 150
# A share of one replica may be spent while others have some left.
MAX_ASKED_REPLICAS = 3
# The next leader is usually found within this time after a loss. Requests wait
# for it, or for a replica's share, no longer than that.
SEARCH_MS = 2_000
# A request waits no longer than this unless it says so.
MAX_WAIT_MS = 500
POLL_INTERVAL_MS = 50
# A replica whose share covers a request so soon is asked once more.
SHORT_WAIT_MS = 150

# Who charged a request, in logs and metrics.
BY_HOST = 'host'
BY_REPLICA = 'replica'
BY_DRAW = 'draw'


class ReplicaLink(typing.Protocol):
    """What charges need of the link to the control replicas."""

    @property
    def leader_lost_ms(self) -> int:
        """When the leader was lost, on the monotonic clock."""

    @property
    def responding_replicas(self) -> list[str]:
        """Addresses of the replicas that answer while there is no leader."""

    def wait_for_leader(self, timeout_ms: int) -> bool:
        """Waits for a leader; returns whether there is one."""

    def submit_to(
        self, address: str, message: wire_messages.Message, timeout_ms: int
    ) -> futures.Future:
        """Sends a request to a replica."""


class Charge:
    """The outcome of a charge.

    :param wait_ms: 0 if the request may run, else the time to wait
    :param by: who decided it
    :param leader_found: whether it was left to a leader that was found
    """

    __slots__ = ('wait_ms', 'by', 'leader_found')

    def __init__(self, wait_ms: int, by: str, leader_found: bool = False):
        self.wait_ms = wait_ms
        self.by = by
        self.leader_found = leader_found


class LeaderlessRates:
    """Charges requests to the shares of this host and of control replicas.

    A request that this host's share covers needs nobody else. Any other is
    charged to the larger share of a replica. If none answers, a draw decides
    whether this host lets it run.
    """

    def __init__(
        self,
        host: str,
        link: ReplicaLink,
        state: fleet_states.FleetState,
        registry: counters.Registry,
    ):
        self._host = host
        self._link = link
        self._state = state
        self._registry = registry
        self._lock = threading.Lock()
        self._random = random.Random()
        self._shares = rate_shares.RateShares(self._random)

    def charge(
        self, workspace: str, cost: float, max_wait_ms: int = MAX_WAIT_MS
    ) -> Charge:
        """Charges a request, or leaves it to a leader that is found.

        :param max_wait_ms: how long it may wait for that
        """
        limit = self._find_limit(workspace)
        if limit is None:
            return Charge(0, BY_HOST)
        charge = self._charge(limit, cost, max_wait_ms)
        if charge.leader_found:
            return charge
        self._registry.count(
            'leaderless_charges',
            'by',
            charge.by,
            'outcome',
            'refused' if charge.wait_ms else 'charged',
        )
        if not charge.wait_ms:
            LOG.info(
                'charged without the leader',
                extra={
                    'workspace': workspace,
                    'cost': cost,
                    'by': charge.by,
                    'hosts': self._state.rate_host_count,
                    'leader_lost_ms': _now_ms() - self._link.leader_lost_ms,
                },
            )
        return charge

    def _find_limit(self, workspace: str) -> rate_shares.RateLimit | None:
        table = self._state.table
        for found in (table.workspaces if table else None) or []:
            if found.name == workspace and found.rate_per_s > 0:
                return rate_shares.RateLimit(
                    workspace, found.rate_per_s, found.burst, table.version
                )
        return None

    def _charge(
        self, limit: rate_shares.RateLimit, cost: float, max_wait_ms: int
    ) -> Charge:
        if self._link.wait_for_leader(0):
            # It is only slow to answer, so replicas would leave it to it.
            if self._take(limit, cost):
                return self._draw(limit, cost)
            return Charge(0, BY_HOST)
        wait_until_ms = min(
            _now_ms() + max_wait_ms, self._link.leader_lost_ms + SEARCH_MS
        )
        has_waited = False
        while True:
            if not self._take(limit, cost):
                return Charge(0, BY_HOST)
            wait_ms = self._ask_replicas(limit, cost)
            left_ms = max(0, wait_until_ms - _now_ms())
            if wait_ms is None:
                if not left_ms:
                    return self._draw(limit, cost)
                pause_ms = POLL_INTERVAL_MS
            else:
                # Soon there may be a leader, which has the whole rate.
                pause_ms = wait_ms if wait_ms <= SHORT_WAIT_MS else left_ms
                if has_waited or not pause_ms:
                    return Charge(wait_ms, BY_REPLICA)
                has_waited = True
            if self._link.wait_for_leader(pause_ms):
                return Charge(0, '', leader_found=True)

    def _take(self, limit: rate_shares.RateLimit, cost: float) -> int:
        with self._lock:
            self._shares.begin(self._link.leader_lost_ms)
            return self._shares.take(limit, self._share, cost, _now_ms())

    def _draw(self, limit: rate_shares.RateLimit, cost: float) -> Charge:
        with self._lock:
            if self._shares.draw(limit, self._share, cost, _now_ms()):
                return Charge(0, BY_DRAW)
        # Another host may have a replica to ask.
        return Charge(refusals.RETRY_AFTER_MIN_MS, BY_DRAW)

    @property
    def _share(self) -> float:
        """The part of each limit that is this host's."""
        return rate_shares.HOSTS_SHARE / self._state.rate_host_count

    def _ask_replicas(
        self, limit: rate_shares.RateLimit, cost: float
    ) -> int | None:
        """Asks some replicas to charge a request.

        :returns: 0 if one did, the shortest time to wait if those that
            answered refused, None if none answered or they hear the leader
        """
        message = rate_messages.ChargeRate(
            self._host,
            limit.workspace,
            cost,
            limit.rate_per_s,
            limit.burst,
            limit.version,
        )
        addresses = self._link.responding_replicas
        self._random.shuffle(addresses)
        shortest_ms = None
        for address in addresses[:MAX_ASKED_REPLICAS]:
            future = self._link.submit_to(address, message, ASK_TIMEOUT_MS)
            try:
                answer = future.result(ASK_TIMEOUT_MS / 1000)
            except (wire_errors.WireError, futures.TimeoutError):
                continue
            if not answer.wait_ms:
                return 0
            if shortest_ms is None or answer.wait_ms < shortest_ms:
                shortest_ms = answer.wait_ms
        return shortest_ms


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
