"""Links to other hosts, one for each peer address."""

import threading
import typing

from masticquay_wire import dialers
from masticquay_wire import peers


class Directory(typing.Protocol):
    """Finds the link to a host."""

    def find(self, peer_address: str) -> peers.Peer:
        """Returns the link to an address; it dials when first used."""


class PeerDirectory:
    """Websocket links to other hosts, made when first needed."""

    def __init__(self, name: str, secret: bytes):
        self._name = name
        self._secret = secret
        self._peers: dict[str, dialers.WebsocketPeer] = {}
        self._lock = threading.Lock()

    def find(self, peer_address: str) -> peers.Peer:
        """Returns the link to an address; it dials when first used."""
        with self._lock:
            peer = self._peers.get(peer_address)
            if peer is None:
                address = peers.Address.parse(peer_address)
                peer = dialers.WebsocketPeer(address, self._name, self._secret)
                self._peers[peer_address] = peer
            return peer

    def keep(self, peer_addresses: set[str]) -> None:
        """Closes the links to all other addresses."""
        with self._lock:
            absent = [a for a in self._peers if a not in peer_addresses]
            closing = [self._peers.pop(address) for address in absent]
        for peer in closing:
            peer.close()

    def close(self) -> None:
        """Closes all links."""
        self.keep(set())
