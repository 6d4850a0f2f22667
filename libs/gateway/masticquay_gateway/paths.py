"""Paths from this host to endpoints: its own, or by way of a peer."""

import contextlib
import logging
import typing

from masticquay_endpoints import connections
from masticquay_endpoints import interrupts
from masticquay_gateway import exchanges
from masticquay_gateway import peer_exchanges
from masticquay_gateway import peer_links
from masticquay_gateway import ports
from masticquay_gateway import reach_watches
from masticquay_routing import fleets
from masticquay_serving import counters

LOG = logging.getLogger(__name__)

Exchange = connections.Exchange | peer_exchanges.PeerExchange


class Paths(typing.Protocol):
    """Opens exchanges with endpoints."""

    def open(
        self,
        endpoint: fleets.Endpoint,
        interrupt: interrupts.Interrupt,
        purpose: ports.ExchangePurpose,
        timeout_ms: int,
    ) -> contextlib.AbstractContextManager[Exchange]:
        """Returns a connected exchange, to be used in ``with``.

        :param interrupt: aborts the exchange when it fires
        :param timeout_ms: limit for opening a connection
        :raises NotSentError: when the endpoint cannot be reached
        """

    def has_ended(self, endpoint: fleets.Endpoint, cause: Exception) -> bool:
        """Whether an endpoint that broke a request off has ended."""


class DirectPaths:
    """Opens connections of this host's own, whatever the cause of failures."""

    def __init__(self, pools: exchanges.ConnectionPools):
        self._pools = pools

    @contextlib.contextmanager
    def open(
        self,
        endpoint: fleets.Endpoint,
        interrupt: interrupts.Interrupt,
        purpose: ports.ExchangePurpose,
        timeout_ms: int,
    ) -> typing.Iterator[Exchange]:
        """Opens an exchange; see ``Paths``."""
        call_id = purpose.call_id
        with self._pools.open(endpoint, interrupt, call_id) as exchange:
            exchange.connect(timeout_ms)
            yield exchange

    def has_ended(self, endpoint: fleets.Endpoint, cause: Exception) -> bool:
        """Whether an endpoint that broke a request off has ended."""
        return exchanges.takes_no_connections(endpoint)


class WatchedPaths:
    """Goes by way of a peer while this host has no path of its own.

    :param watch: tells endpoints that are gone from a path that is lost
    """

    def __init__(
        self,
        pools: exchanges.ConnectionPools,
        watch: reach_watches.ReachWatch,
        links: peer_links.PeerLinks,
        registry: counters.Registry,
    ):
        self._pools = pools
        self._watch = watch
        self._links = links
        self._registry = registry

    @contextlib.contextmanager
    def open(
        self,
        endpoint: fleets.Endpoint,
        interrupt: interrupts.Interrupt,
        purpose: ports.ExchangePurpose,
        timeout_ms: int,
    ) -> typing.Iterator[Exchange]:
        """Opens an exchange; see ``Paths``.

        :raises NoPathError: when this host has no path and finds no peer
        """
        with contextlib.ExitStack() as stack:
            exchange = self._open_own(
                stack, endpoint, interrupt, purpose.call_id, timeout_ms
            )
            if exchange is None:
                exchange = stack.enter_context(
                    peer_exchanges.PeerExchange(
                        self._links,
                        endpoint,
                        purpose,
                        interrupt,
                        self._registry,
                    )
                )
                exchange.connect()
                LOG.info(
                    'request goes by way of a peer',
                    extra={
                        'call': purpose.call_id,
                        'endpoint': endpoint.endpoint_id,
                        'peer': exchange.peer.name,
                    },
                )
            yield exchange

    def has_ended(self, endpoint: fleets.Endpoint, cause: Exception) -> bool:
        """Whether an endpoint that broke a request off has ended."""
        return self._watch.has_ended(endpoint, cause)

    def _open_own(
        self,
        stack: contextlib.ExitStack,
        endpoint: fleets.Endpoint,
        interrupt: interrupts.Interrupt,
        call_id: str,
        timeout_ms: int,
    ) -> connections.Exchange | None:
        """Returns a connected exchange of this host's own.

        :returns: None if this host has no path
        :raises NotSentError: when the endpoint cannot be reached
        """
        if self._watch.is_lost:
            return None
        exchange = stack.enter_context(
            self._pools.open(endpoint, interrupt, call_id)
        )
        try:
            exchange.connect(timeout_ms)
        except exchanges.NotSentError:
            if self._watch.reaches_others(endpoint):
                raise
            return None
        return exchange
