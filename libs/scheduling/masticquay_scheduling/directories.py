"""Connections to other hosts, one for each peer address."""

import threading
import typing

from masticquay_wire import dialers
from masticquay_wire import peers


class Directory(typing.Protocol):
    """Finds the connection to a host."""

    def find(self, peer_address: str) -> peers.Peer:
        """Returns the connection to an address; it dials on first use."""


class PeerDirectory:
    """Websocket connections to other hosts, created on first use."""

    def __init__(self, name: str, secret: bytes):
        self._name = name
        self._secret = secret
        self._peers: dict[str, dialers.WebsocketPeer] = {}
        self._lock = threading.Lock()

    def find(self, peer_address: str) -> peers.Peer:
        """Returns the connection to an address; it dials on first use."""
        with self._lock:
            peer = self._peers.get(peer_address)
            if peer is None:
                address = peers.Address.parse(peer_address)
                peer = dialers.WebsocketPeer(address, self._name, self._secret)
                self._peers[peer_address] = peer
            return peer

    def close_except(self, peer_addresses: set[str]) -> None:
        """Closes the connections to all other addresses."""
        with self._lock:
            to_drop = [a for a in self._peers if a not in peer_addresses]
            to_close = [self._peers.pop(address) for address in to_drop]
        for peer in to_close:
            peer.close()

    def close(self) -> None:
        """Closes all connections."""
        self.close_except(set())
