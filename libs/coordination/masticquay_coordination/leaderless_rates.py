"""Charges requests to rate limits while the control group has no leader.

Any replica does so, from its own share of each limit. A host's share would be
less than a single request in a large fleet.
"""

import logging
import random
import threading

from masticquay_consensus import nodes
from masticquay_routing import messages
from masticquay_routing import rate_messages
from masticquay_routing import rate_shares
from masticquay_routing import refusals
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import peers

LOG = logging.getLogger(__name__)


class LeaderlessRates:
    """This replica's share of each rate limit.

    :param silence_ms: without a word from the leader for so long, it may be
        lost, although this replica does not stand for election yet
    """

    def __init__(
        self,
        node: nodes.Node,
        clock: clocks.Clock,
        randomness: random.Random,
        silence_ms: int,
    ):
        self._node = node
        self._clock = clock
        self._silence_ms = silence_ms
        self._lock = threading.Lock()
        self._shares = rate_shares.RateShares(randomness)
        # By workspace, since the last log line.
        self._charged: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        self._charged_count = 0
        self._refused_count = 0

    def register(self, listener: listeners.Listener) -> None:
        """Registers the handler at a listener."""
        listener.handle(rate_messages.ChargeRate, self._handle_charge)

    def _handle_charge(
        self, charge: rate_messages.ChargeRate, link: peers.Connection
    ) -> rate_messages.RateCharged:
        return self.charge(charge)

    def charge(
        self, charge: rate_messages.ChargeRate
    ) -> rate_messages.RateCharged:
        """Charges a request to this replica's share.

        :raises RemoteError: if the leader was heard from recently, or if this
            replica has no share
        """
        state = self._node.replica.state
        now_ms = self._clock.now_ms()
        heard_ms = state.leader_heard_ms()
        if heard_ms is None or now_ms < heard_ms + self._silence_ms:
            raise wire_errors.RemoteError(
                messages.CODE_NOT_LEADER, self._node.replica.leader_address()
            )
        limit = rate_shares.RateLimit(
            charge.workspace,
            charge.rate_per_s,
            charge.burst,
            charge.table_version,
        )
        share = rate_shares.REPLICAS_SHARE / state.voter_count
        with self._lock:
            # The leader may have lived until its next word was due.
            self._shares.begin(heard_ms + self._silence_ms)
            wait_ms = self._charge(limit, share, charge.cost, now_ms)
            self._record(charge, wait_ms)
        return rate_messages.RateCharged(wait_ms)

    def _charge(
        self,
        limit: rate_shares.RateLimit,
        share: float,
        cost: float,
        now_ms: int,
    ) -> int:
        if cost <= limit.burst * share:
            return self._shares.take(limit, share, cost, now_ms)
        if self._shares.draw(limit, share, cost, now_ms):
            return 0
        return refusals.RETRY_AFTER_MIN_MS

    def _record(self, charge: rate_messages.ChargeRate, wait_ms: int) -> None:
        costs = self._refused if wait_ms else self._charged
        name = charge.workspace
        costs[name] = costs.get(name, 0.0) + charge.cost
        if wait_ms:
            self._refused_count += 1
        else:
            self._charged_count += 1

    def log_charges(self) -> None:
        """Logs what was charged and refused since the last call."""
        with self._lock:
            charged, self._charged = self._charged, {}
            refused, self._refused = self._refused, {}
        if charged or refused:
            LOG.info(
                'charged to this replica without a leader',
                extra={
                    'charged': charged,
                    'refused': refused,
                    'voters': self._node.replica.state.voter_count,
                },
            )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges for the metrics."""
        return {
            'leaderless_charges': self._charged_count,
            'leaderless_charges_refused': self._refused_count,
        }
