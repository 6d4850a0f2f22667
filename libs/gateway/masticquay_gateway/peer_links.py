"""Links to other entry hosts that send requests to endpoints for this one."""

import collections
import contextlib
import logging
import random
import threading
import time
import typing

from masticquay_gateway import errors
from masticquay_gateway import peer_requesters
from masticquay_routing import fleets
from masticquay_wire import errors as wire_errors
from masticquay_wire import exchange_links
from masticquay_wire import peers

LOG = logging.getLogger(__name__)

# A link may be lost unnoticed while idle, so it is not reused later than this.
IDLE_TIMEOUT_MS = 5_000
# For each peer.
MAX_IDLE_LINKS = 8
# A peer that could not be reached or did not answer is used last for so long.
AVOID_MS = 2_000
# A peer in this data centre is preferred up to so many more exchanges than
# one elsewhere.
OTHER_PLACE_EXCHANGES = 2
# Peers to dial before a request is given up.
MAX_DIALS = 3

HostList = typing.Callable[[], list[fleets.Host]]


class PeerLinks:
    """Idle links by peer, and the choice among the peers.

    :param own: this host
    :param secret: the fleet secret
    :param list_hosts: returns all entry hosts
    """

    def __init__(self, own: fleets.Host, secret: bytes, list_hosts: HostList):
        self._own = own
        self._secret = secret
        self._list_hosts = list_hosts
        self._lock = threading.Lock()
        self._idle: dict[str, collections.deque[peer_requesters.Requester]]
        self._idle = collections.defaultdict(collections.deque)
        self._in_use: collections.Counter[str] = collections.Counter()
        self._avoided_until_s: dict[str, float] = {}

    def acquire(
        self,
        excluded_names: set[str],
        allows_place: typing.Callable[[str], bool],
    ) -> tuple[fleets.Host, peer_requesters.Requester]:
        """Returns a peer that reaches endpoints, and a link to it.

        :param excluded_names: peers not to use
        :param allows_place: whether a peer in a place may be used
        :raises NoPathError: when there is none
        """
        usable = [
            host
            for host in self._list_peers(excluded_names)
            if allows_place(host.place)
        ]
        for host in usable[:MAX_DIALS]:
            link = self._pop_idle(host)
            if link is None:
                link = self._dial(host)
            if link is not None:
                with self._lock:
                    self._in_use[host.name] += 1
                return host, link
        raise errors.NoPathError('no path to endpoints, and no peer')

    def release(
        self, host: fleets.Host, link: peer_requesters.Requester
    ) -> None:
        """Keeps a link for reuse if it is idle, or closes it."""
        with self._lock:
            self._in_use[host.name] -= 1
            idle = self._idle[host.name]
            if link.is_idle and len(idle) < MAX_IDLE_LINKS:
                idle.append(link)
                return
        link.close()

    def avoid(self, host: fleets.Host) -> None:
        """Prefers other peers for a while, as this one did not answer."""
        with self._lock:
            self._avoided_until_s[host.name] = (
                time.monotonic() + AVOID_MS / 1000
            )

    def close(self) -> None:
        """Closes the idle links."""
        with self._lock:
            links = [link for idle in self._idle.values() for link in idle]
            self._idle.clear()
        for link in links:
            with contextlib.suppress(OSError):
                link.close()

    def _list_peers(self, excluded_names: set[str]) -> list[fleets.Host]:
        """Returns the usable peers, the best one first."""
        usable = [
            host
            for host in self._list_hosts()
            if host.link_address
            and host.reaches_endpoints
            and host.name != self._own.name
            and host.name not in excluded_names
        ]
        random.shuffle(usable)
        now_s = time.monotonic()
        with self._lock:
            usable.sort(key=lambda host: self._rank(host, now_s))
        return usable

    def _rank(self, host: fleets.Host, now_s: float) -> tuple[bool, int]:
        is_avoided = self._avoided_until_s.get(host.name, 0.0) > now_s
        exchanges = self._in_use[host.name]
        if host.place != self._own.place:
            exchanges += OTHER_PLACE_EXCHANGES
        return is_avoided, exchanges

    def _pop_idle(self, host: fleets.Host) -> peer_requesters.Requester | None:
        limit_s = time.monotonic() - IDLE_TIMEOUT_MS / 1000
        while True:
            with self._lock:
                idle = self._idle[host.name]
                link = idle.pop() if idle else None
            if link is None:
                return None
            if link.is_idle and link.last_used_s > limit_s:
                return link
            link.close()

    def _dial(self, host: fleets.Host) -> peer_requesters.Requester | None:
        try:
            link = exchange_links.dial(
                peers.Address.parse(host.link_address),
                self._own.name,
                self._secret,
            )
        except (wire_errors.WireError, ValueError) as cause:
            LOG.warning(
                'peer not reached',
                extra={'peer': host.name, 'cause': str(cause)},
            )
            self.avoid(host)
            return None
        return peer_requesters.Requester(link, host.name)
